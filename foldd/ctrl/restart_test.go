package ctrl

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
)

// hardState returns the term and the vote of the VM's replica.
func (vm *rigVM) hardState(t *testing.T) raft.HardState {
	t.Helper()
	var h raft.HardState
	if err := vm.server.do(t.Context(), func(time.Time) { h = vm.server.rep.HardState() }); err != nil {
		t.Fatal(err)
	}
	return h
}

// awaitVoters waits until n live VMs vote.
func (g *groupRig) awaitVoters(t *testing.T, n int) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		if g.liveVoters(t) == n {
			return
		}
	}
	t.Fatalf("%d live voters, want %d", g.liveVoters(t), n)
}

// liveVoters returns how many live VMs vote, as the first live VM knows the group.
func (g *groupRig) liveVoters(t *testing.T) int {
	t.Helper()
	live := map[string]bool{}
	var members raft.Membership
	for _, vm := range g.vms {
		if vm.server == nil {
			continue
		}
		live[vm.server.identity.ID] = true
		var err error
		if members, _, err = vm.server.Status(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	n := 0
	for _, m := range members.Members {
		if m.Voter && live[m.ID] {
			n++
		}
	}
	return n
}

// TestReplicaThatJoinedBySnapshotKeepsTermAndVote guards against a replica that forgets its
// term and its vote at a restart because a snapshot has replaced its log.
func TestReplicaThatJoinedBySnapshotKeepsTermAndVote(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		joined := g.vms[(g.leader(t)+1)%len(g.vms)]
		g.stop(joined)
		joined.loseDisk(t)
		g.start(t, joined)
		g.awaitVoters(t, 3)
		before := joined.hardState(t)
		g.stop(joined)
		g.start(t, joined)
		if after := joined.hardState(t); after != before || after.Term == 0 {
			t.Errorf("term and vote %+v after a restart, want %+v as before it", after, before)
		}
	})
}

// TestAcknowledgedConfigurationSurvivesRestartOfAll guards against a group that loses an
// acknowledged configuration when all control VMs are killed and come back one after the
// other, after one of them has lost its disk.
func TestAcknowledgedConfigurationSurvivesRestartOfAll(t *testing.T) {
	for lost := range 5 {
		t.Run(fmt.Sprint("lost ", lost), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { restartAll(t, lost) })
		})
	}
}

// restartAll starts five control VMs, three of which form the group, lets the one with
// index lost lose its disk, kills all and starts the initial members last.
func restartAll(t *testing.T, lost int) {
	g := &groupRig{}
	addrs := vmAddrs(5)
	for i, addr := range addrs {
		g.addControlVM(t, addr, addrs[:3])
		g.vms[i].conf.Peers = func() []netip.AddrPort { return addrs }
	}
	g.apply(t, 1)
	g.awaitVoters(t, 5)
	g.stop(g.vms[lost])
	g.vms[lost].loseDisk(t)
	g.start(t, g.vms[lost])
	g.awaitVoters(t, 5)
	g.apply(t, 20)
	for _, vm := range g.vms {
		g.stop(vm)
	}
	order := []*rigVM{g.vms[3], g.vms[4], g.vms[lost%3], g.vms[(lost+1)%3], g.vms[(lost+2)%3]}
	for _, vm := range order[:3] {
		g.start(t, vm)
	}
	g.applyAtAnyOf(t, order[:3], 30)
	for _, vm := range order[3:] {
		g.start(t, vm)
	}
	time.Sleep(15 * time.Second)
	for _, vm := range g.vms {
		ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
		res, err := vm.client.Latest(ctx)
		cancel()
		if err != nil || string(res.GetDocument()) != "30" {
			t.Errorf("%v reads %q, error %v; want the acknowledged 30", vm.addr, res.GetDocument(), err)
		}
	}
}
