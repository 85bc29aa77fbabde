package repl_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
)

// bootstrapGroup starts a group of n VMs. The first ones, as many as initial, are
// the initial members and have the same membership on their disks; the others
// join. The VMs start in the given order, one second apart.
func bootstrapGroup(t *testing.T, seed uint64, n, initial int, order []int) *group {
	g := newEmptyGroup(t, seed, n, 1000)
	var members raft.Membership
	for _, vm := range g.vms[:initial] {
		s := g.servers[vm]
		s.id = vm + "#founder"
		m := member(s)
		m.Voter = true
		members = members.With(m)
	}
	for _, vm := range g.vms[:initial] {
		g.servers[vm].disk = &disk{raft.BootstrapGroup(members)}
	}
	for i, k := range order {
		g.after(time.Duration(i)*time.Second, func() {
			g.start(g.vms[k])
			g.tick(g.vms[k])
		})
	}
	g.runUntil(time.Duration(n)*time.Second+20*time.Second, func() bool { return g.liveVoters() == n })
	if v := g.liveVoters(); v != n {
		t.Fatalf("seed %d, order %v: %d live voters, want %d", seed, order, v, n)
	}
	return g
}

// TestBootstrapInAnyStartOrder checks that three initial members and one VM that
// joins form a group that commits a change, in several start orders.
func TestBootstrapInAnyStartOrder(t *testing.T) {
	for seed := range uint64(10) {
		for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {2, 3, 0, 1}, {1, 0, 3, 2}} {
			g := bootstrapGroup(t, seed, 4, 3, order)
			if r := g.apply(0, "first"); r.Revision != 1 {
				t.Errorf("seed %d, order %v: revision %d, want 1", seed, order, r.Revision)
			}
		}
	}
}

// TestReplacedVMsKeepCommittedState replaces each VM of a group by a new one. It
// checks that the group has as many live voters as before each time, and keeps
// all committed changes even if its leader fails right after the replacement.
func TestReplacedVMsKeepCommittedState(t *testing.T) {
	for seed := range uint64(10) {
		g := bootstrapGroup(t, seed, 3, 3, []int{0, 1, 2})
		g.apply(0, "first")
		for i := range 3 {
			lost := g.vms[i]
			g.kill(lost)
			replacement := fmt.Sprintf("vm%d", 4+i)
			g.vms = append(g.vms, replacement)
			g.servers[replacement] = &server{vm: replacement}
			g.start(replacement)
			g.tick(replacement)
			g.runUntil(20*time.Second, func() bool { return g.liveVoters() == 3 && len(g.leader().replica.Membership().Members) == 3 })
			l := g.leader()
			if l == nil || g.liveVoters() != 3 || len(l.replica.Membership().Members) != 3 {
				t.Fatalf("seed %d: %d live voters after VM %s was replaced, want 3 and no other members", seed, g.liveVoters(), lost)
			}
			// The leader fails for a while as well.
			g.kill(l.vm)
			if r := g.apply(uint64(1+i), fmt.Sprint("change", i)); r.Revision != uint64(2+i) {
				t.Errorf("seed %d: revision %d after replacement %d (counted from 0), want that number plus 2", seed, r.Revision, i)
			}
			g.start(l.vm)
			g.runUntil(20*time.Second, func() bool { return g.liveVoters() == 3 })
		}
	}
}

// TestRemovedVoterRejoins checks that one of four voters is removed while it is
// isolated, and afterwards becomes a voter again with the changes that were
// committed in the meantime.
func TestRemovedVoterRejoins(t *testing.T) {
	for seed := range uint64(10) {
		g := bootstrapGroup(t, seed, 4, 3, []int{0, 1, 2, 3})
		isolated := g.vms[seed%4]
		g.isolate(isolated, true, true)
		g.runUntil(30*time.Second, nil)
		for _, vm := range g.otherVMs(isolated) {
			if s := g.servers[vm]; s.replica.IsLeader() {
				if _, isMember := s.replica.Membership().Get(g.servers[isolated].id); isMember {
					t.Errorf("seed %d: a VM that has been isolated for 30 s is still a member", seed)
				}
			}
		}
		g.apply(0, "meanwhile")
		g.heal()
		g.runUntil(20*time.Second, func() bool { return g.liveVoters() == 4 })
		if g.liveVoters() != 4 {
			t.Errorf("seed %d: %d live voters after the partition healed, want 4", seed, g.liveVoters())
		}
		g.runUntil(5*time.Second, nil)
		if r := g.servers[isolated].replica.Machine().Revision(); r != 1 {
			t.Errorf("seed %d: the VM that was isolated has revision %d, want 1", seed, r)
		}
	}
}

// TestBrieflySilentVoterOfFourRejoins guards against a voter that is removed because of a short
// silence, and doesn't vote again.
func TestBrieflySilentVoterOfFourRejoins(t *testing.T) {
	for seed := range uint64(50) {
		g := bootstrapGroup(t, seed, 4, 3, []int{0, 1, 2, 3})
		silent := g.vms[seed%4]
		g.servers[silent].frozenUntil = g.now.Add(time.Second + time.Duration(g.random.Int64N(int64(2*time.Second))))
		g.runUntil(20*time.Second, nil)
		if g.liveVoters() != 4 {
			t.Errorf("seed %d: %d live voters 20 s after a short silence, want 4", seed, g.liveVoters())
		}
		g.apply(0, "afterwards")
	}
}

// TestTwoOfThreeKeepLostVoter checks that a group of three does not remove a voter
// that is down: the two others alone could not survive another loss.
func TestTwoOfThreeKeepLostVoter(t *testing.T) {
	g := bootstrapGroup(t, 1, 3, 3, []int{0, 1, 2})
	g.kill(g.vms[0])
	g.runUntil(time.Minute, nil)
	if n := len(g.leader().replica.Membership().Members); n != 3 {
		t.Errorf("%d members, want 3", n)
	}
}

// TestTwoOfSixLoseDisks kills all six VMs of a group right after it has
// acknowledged a change, and two of them lose their disks, the leader included.
// It checks that the other four, which are a quorum, elect a leader that has the
// change.
func TestTwoOfSixLoseDisks(t *testing.T) {
	const recovery = 4 * time.Second
	for seed := range uint64(100) {
		g := bootstrapGroup(t, seed, 6, 3, []int{0, 1, 2, 3, 4, 5})
		g.apply(0, "acknowledged")
		oldLeader := g.leader().vm
		other := g.otherVMs(oldLeader)[seed%5]
		for _, vm := range g.vms {
			g.kill(vm)
		}
		g.servers[oldLeader].disk = nil
		g.servers[other].disk = nil
		for _, vm := range g.vms {
			at := time.Duration(g.random.Int64N(int64(300 * time.Millisecond)))
			g.after(at, func() { g.start(vm) })
		}
		g.runUntil(recovery, func() bool { return g.leader() != nil })
		l := g.leader()
		if l == nil {
			t.Errorf("seed %d: no leader after %v", seed, recovery)
			continue
		}
		g.runUntil(time.Second, nil)
		if r := l.replica.Machine().Revision(); r != 1 {
			t.Errorf("seed %d: revision %d after the restart, want 1", seed, r)
		}
	}
}
