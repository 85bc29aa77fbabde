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

// ErrGroupExists is returned when a group is to be started although another
// control VM has one.
var ErrGroupExists = eris.New("another control VM already has a group: start without --bootstrap to join it")

// ErrNoGroup is returned when no control VM knows of a group to join.
var ErrNoGroup = eris.New("no control VM knows of a group")

const joinTimeout = 2 * time.Second

// openFolder opens the replica's folder. For an empty one it starts a group
// or joins one; a disk that was lost comes back with a new identity, so that
// the replica can't vote on what it has forgotten.
func openFolder(c ServerConfig) (*store.Folder, raft.PersistentState, error) {
	f, r, err := store.Open(c.DataFolder)
	if !errors.Is(err, store.ErrEmpty) {
		return f, r, err
	}
	id := store.Identity{ID: c.VM + "#" + randomID()}
	var start raft.PersistentState
	if slices.Contains(c.InitialMembers, c.Addr) {
		return found(c)
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

// found makes the folder of one of the founders of a group. All of them start
// from the same membership, so that none has to be chosen to begin.
func found(c ServerConfig) (*store.Folder, raft.PersistentState, error) {
	founders := slices.Clone(c.InitialMembers)
	slices.SortFunc(founders, netip.AddrPort.Compare)
	var members raft.Membership
	group := sha256.New()
	for _, a := range slices.Compact(founders) {
		members = members.With(raft.Member{ID: founderID(a), VM: a.String(), Addr: a, Voter: true})
		fmt.Fprintln(group, a)
	}
	id := store.Identity{ID: founderID(c.Addr), Group: hex.EncodeToString(group.Sum(nil)[:6])}
	start := raft.BootstrapGroup(members)
	f, err := store.Create(c.DataFolder, id, start)
	return f, start, err
}

func founderID(a netip.AddrPort) string { return a.String() + "#founder" }

func randomID() string {
	var b [6]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// findGroup asks the other control VMs for their group.
func findGroup(c ServerConfig) (string, error) {
	for _, addr := range c.Peers() {
		if addr == c.Addr {
			continue
		}
		group, err := askJoin(c, addr.String(), nil)
		if err == nil && group != "" {
			return group, nil
		}
	}
	return "", ErrNoGroup
}

// askJoin asks a control VM to take a member in, or only for its group.
func askJoin(c ServerConfig, addr string, m *wire.Member) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	client := wire.NewControlServiceClient(c.HTTP, "http://"+addr, c.Options)
	res, err := client.Join(ctx, connect.NewRequest(&wire.JoinRequest{Member: m}))
	if err != nil {
		return "", fmt.Errorf("ask %s: %w", addr, err)
	}
	return res.Msg.GetGroup(), nil
}

// joinLoop asks to be taken in for as long as the replica is no member, or
// hears no leader and may be one no longer.
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
		if !h.outside() {
			continue
		}
		for _, addr := range h.conf.Peers() {
			if addr == h.conf.Addr {
				continue
			}
			if _, err := askJoin(h.conf, addr.String(), self); err == nil {
				break
			}
		}
	}
}

func (h *Server) outside() bool {
	outside := false
	err := h.do(context.Background(), func(now time.Time) { outside = h.rep.NeedsJoin(now) })
	return err == nil && outside
}
