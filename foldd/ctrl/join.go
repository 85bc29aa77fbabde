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
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// ErrGroupExists is returned by New when ServerConfig.Bootstrap is set although
// another control VM already belongs to a group.
var ErrGroupExists = eris.New("another control VM already has a group: remove the setting control.bootstrap to join it")

// ErrNoGroup is returned by New when no reachable control VM reports a group
// that the replica could join.
var ErrNoGroup = eris.New("no reachable control VM belongs to a group")

// joinTimeout limits one join request.
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
	for _, addr := range c.Peers() {
		if addr == c.Addr {
			continue
		}
		group, err := requestJoin(c, addr.String(), nil)
		if err == nil && group != "" {
			return group, nil
		}
	}
	return "", ErrNoGroup
}

// requestJoin asks the control VM at addr to add m to its group, and returns the
// group's name. If m is nil, it only asks for the name.
func requestJoin(c ServerConfig, addr string, m *wire.Member) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	client := wire.NewControlServiceClient(c.HTTP, "http://"+addr, c.Options)
	res, err := client.Join(ctx, connect.NewRequest(&wire.JoinRequest{Member: m}))
	if err != nil {
		return "", fmt.Errorf("join request to %s: %w", addr, err)
	}
	return res.Msg.GetGroup(), nil
}

// joinLoop asks the peers to add this replica to the group, every joinInterval
// while needsJoin reports true. The first peer that accepts ends the round.
func (h *Server) joinLoop() {
	defer h.done.Done()
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	self := store.ToMember(raft.Member{ID: h.identity.ID, VM: h.conf.VM, Addr: h.conf.Addr})
	for {
		select {
		case <-h.stop:
			return
		case <-t.C:
		}
		if !h.needsJoin() {
			continue
		}
		for _, addr := range h.conf.Peers() {
			if addr == h.conf.Addr {
				continue
			}
			if _, err := requestJoin(h.conf, addr.String(), self); err == nil {
				break
			}
		}
	}
}

// needsJoin reports whether the replica is not a member, or has received nothing
// from a leader for so long that it may have been removed.
func (h *Server) needsJoin() bool {
	needed := false
	err := h.do(context.Background(), func(now time.Time) { needed = h.rep.NeedsJoin(now) })
	return err == nil && needed
}
