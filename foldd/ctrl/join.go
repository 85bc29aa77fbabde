package ctrl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/foldd/link"
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// ErrGroupExists is returned by New when ServerConfig.Bootstrap is set although
// another control VM already belongs to a group.
var ErrGroupExists = eris.New("another control VM already has a group: remove the setting control.bootstrap to join it")

// ErrNoGroup is returned by New when no reachable control VM reports a group
// that the replica could join.
var ErrNoGroup = eris.New("no reachable control VM belongs to a group")

// joinTimeout limits the join requests of one round.
const joinTimeout = 2 * time.Second

// openFolder opens the replica's data folder. If the folder is empty, it creates
// an initial member, joins the group that a peer reports, or bootstraps a new
// group. A replica whose disk was lost thus gets a new identity, unless it is an
// initial member: under its old identity it could vote twice in a term or count
// for entries that it no longer has.
func openFolder(c ServerConfig) (*store.Folder, raft.PersistentState, error) {
	f, r, err := store.Open(c.DataFolder)
	if !errors.Is(err, store.ErrEmpty) {
		return f, r, err
	}
	id := store.Identity{ID: c.VM + "#" + randomID()}
	var start raft.PersistentState
	if slices.Contains(c.InitialMembers, c.Addr) {
		return createInitialMember(c)
	}
	group, err := findGroup(c)
	switch {
	case err == nil && c.Bootstrap:
		return nil, r, ErrGroupExists
	case err == nil:
		id.Group = group
	case c.Bootstrap:
		id.Group = randomID()
		start = raft.Bootstrap(raft.Member{ID: id.ID, VM: c.VM, Addr: c.Addr})
	}
	if id.Group == "" {
		return nil, r, err
	}
	f, err = store.Create(c.DataFolder, id, start)
	return f, start, err
}

// createInitialMember creates the data folder of an initial member of a new group.
// All initial members derive the same membership and group name from the list of
// addresses, so none of them has to be selected to bootstrap the group.
func createInitialMember(c ServerConfig) (*store.Folder, raft.PersistentState, error) {
	addrs := slices.Clone(c.InitialMembers)
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	var members raft.Membership
	group := sha256.New()
	for _, a := range slices.Compact(addrs) {
		members = members.With(raft.Member{ID: initialMemberID(a), VM: a.String(), Addr: a, Voter: true})
		fmt.Fprintln(group, a)
	}
	id := store.Identity{ID: initialMemberID(c.Addr), Group: hex.EncodeToString(group.Sum(nil)[:6])}
	start := raft.BootstrapGroup(members)
	f, err := store.Create(c.DataFolder, id, start)
	return f, start, err
}

// initialMemberID returns the replica ID of the initial member at a.
func initialMemberID(a netip.AddrPort) string { return a.String() + "#founder" }

func randomID() string {
	var b [6]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// findGroup returns the first group that another control VM reports, or
// ErrNoGroup.
func findGroup(c ServerConfig) (string, error) {
	group, err := askPeers(context.Background(), c, nil)
	if err != nil || group == "" {
		return "", ErrNoGroup
	}
	return group, nil
}

// joinAnswer is a control VM's answer to a join request.
type joinAnswer struct {
	group string
	// leader is the leader's address if the control VM rejects the request and names it.
	leader string
	err    error
}

// askPeers asks all possible control VMs at the same time, and the leaders that they name,
// to add m to their group, and returns the group's name once one of them does. If m is nil,
// it only asks for the name. One that is silent delays none of the others.
func askPeers(ctx context.Context, c ServerConfig, m *wire.Member) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	answers := make(chan joinAnswer)
	asked := map[string]bool{c.Addr.String(): true, "": true}
	pending := 0
	ask := func(addr string) {
		if asked[addr] {
			return
		}
		asked[addr] = true
		pending++
		go func() {
			answer := requestJoin(ctx, c, addr, m)
			select {
			case answers <- answer:
			case <-ctx.Done():
			}
		}()
	}
	for _, addr := range c.Peers() {
		ask(addr.String())
	}
	var failed []error
	for ; pending > 0; pending-- {
		select {
		case answer := <-answers:
			if answer.err == nil {
				return answer.group, nil
			}
			failed = append(failed, answer.err)
			ask(answer.leader)
		case <-ctx.Done():
			return "", errors.Join(append(failed, ctx.Err())...)
		}
	}
	return "", errors.Join(failed...)
}

// requestJoin asks the control VM at addr to add m to its group. If m is nil, it only asks
// for the group's name.
func requestJoin(ctx context.Context, c ServerConfig, addr string, m *wire.Member) joinAnswer {
	client := wire.NewControlServiceClient(c.HTTP, "http://"+addr, c.Options)
	res, err := client.Join(ctx, connect.NewRequest(&wire.JoinRequest{Member: m}))
	if err == nil {
		return joinAnswer{group: res.Msg.GetGroup()}
	}
	answer := joinAnswer{err: fmt.Errorf("join request to %s: %w", addr, err)}
	var ce *connect.Error
	if errors.As(err, &ce) {
		answer.leader = ce.Meta().Get(headerLeader)
	}
	return answer
}

// joinLoop asks the other control VMs to add this replica to the group, every joinInterval
// while needsJoin reports true.
func (h *Server) joinLoop() {
	defer h.done.Done()
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	ctx, cancel := h.untilStopped()
	defer cancel()
	self := store.ToMember(raft.Member{ID: h.identity.ID, VM: h.conf.VM, Addr: h.conf.Addr})
	state := link.State{Log: h.conf.Log.WithField("replica", h.identity.ID), Failed: "control replica can't join its group", Regained: "control replica's request to join its group was accepted"}
	for {
		select {
		case <-h.stop:
			return
		case <-t.C:
		}
		if !h.needsJoin() {
			continue
		}
		begun := time.Now()
		_, err := askPeers(ctx, h.conf, self)
		state.Record(begun, err, nil)
	}
}

// untilStopped returns a context that ends when the replica stops.
func (h *Server) untilStopped() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-h.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// needsJoin reports whether the replica is not a member, or has received nothing
// from a leader for so long that it may have been removed.
func (h *Server) needsJoin() bool {
	needed := false
	err := h.do(context.Background(), func(now time.Time) { needed = h.rep.NeedsJoin(now) })
	return err == nil && needed
}
