package repl_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
)

// found starts a group of n VMs of which the first founders have the same
// membership on their disks. The VMs start in the given order, a second apart.
func found(t *testing.T, seed uint64, n, founders int, order []int) *group {
	g := newRig(t, seed, n, 1000)
	var members raft.Membership
	for _, vm := range g.vms[:founders] {
		s := g.servers[vm]
		s.id = vm + "#founder"
		m := member(s)
		m.Voter = true
		members = members.With(m)
	}
	for _, vm := range g.vms[:founders] {
		start := raft.BootstrapGroup(members)
		g.servers[vm].disk = &disk{hard: start.HardState, snapshot: start.Snapshot}
	}
	for i, k := range order {
		g.after(time.Duration(i)*time.Second, func() {
			g.start(g.vms[k])
			g.tick(g.vms[k])
		})
	}
	g.runUntil(time.Duration(n)*time.Second+20*time.Second, func() bool { return g.voters() == n })
	if v := g.voters(); v != n {
		t.Fatalf("seed %d, order %v: %d of %d voters", seed, order, v, n)
	}
	return g
}

// TestFound forms groups from founders that start in every order, with further
// VMs that join, and decides a change at each.
func TestFound(t *testing.T) {
	for seed := range uint64(10) {
		for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {2, 3, 0, 1}, {1, 0, 3, 2}} {
			g := found(t, seed, 4, 3, order)
			if r := g.apply(0, "first"); r.Revision != 1 {
				t.Errorf("seed %d, order %v: revision %d", seed, order, r.Revision)
			}
		}
	}
}

// TestReplaceVM takes a VM away for good and brings another one in its place,
// several times over: the group has as many live voters as before, and keeps
// what was decided even when another VM is lost right after each repair.
func TestReplaceVM(t *testing.T) {
	for seed := range uint64(10) {
		g := found(t, seed, 3, 3, []int{0, 1, 2})
		g.apply(0, "first")
		for i := range 3 {
			lost := g.vms[i]
			g.kill(lost)
			fresh := fmt.Sprintf("vm%d", 4+i)
			g.vms = append(g.vms, fresh)
			g.servers[fresh] = &server{vm: fresh}
			g.start(fresh)
			g.tick(fresh)
			g.runUntil(20*time.Second, func() bool { return g.voters() == 3 && len(g.leader().rep.Membership().Members) == 3 })
			l := g.leader()
			if l == nil || g.voters() != 3 || len(l.rep.Membership().Members) != 3 {
				t.Fatalf("seed %d: %d voters after VM %s was replaced", seed, g.voters(), lost)
			}
			// One more is lost for a while, whichever leads.
			g.kill(l.vm)
			if r := g.apply(uint64(1+i), fmt.Sprint("change", i)); r.Revision != uint64(2+i) {
				t.Errorf("seed %d: revision %d after replacement %d", seed, r.Revision, i)
			}
			g.start(l.vm)
			g.runUntil(20*time.Second, func() bool { return g.voters() == 3 })
		}
	}
}

// TestAwayForLong cuts a voter of four off until it is removed, and heals the
// cut: it is a voter again, with what was decided meanwhile.
func TestAwayForLong(t *testing.T) {
	for seed := range uint64(10) {
		g := found(t, seed, 4, 3, []int{0, 1, 2, 3})
		away := g.vms[seed%4]
		g.isolate(away, true, true)
		g.runUntil(30*time.Second, nil)
		for _, vm := range g.others(away) {
			if s := g.servers[vm]; s.rep.IsLeader() {
				if _, in := s.rep.Membership().Get(g.servers[away].id); in {
					t.Errorf("seed %d: a VM that is away for 30 s is still a member", seed)
				}
			}
		}
		g.apply(0, "meanwhile")
		g.heal()
		g.runUntil(20*time.Second, func() bool { return g.voters() == 4 })
		if g.voters() != 4 {
			t.Errorf("seed %d: %d voters after the cut healed", seed, g.voters())
		}
		g.runUntil(5*time.Second, nil)
		if r := g.servers[away].rep.Machine().Revision(); r != 1 {
			t.Errorf("seed %d: the VM that was away has revision %d", seed, r)
		}
	}
}

// TestAloneKeepsVoters loses one of three for long: it is not removed, since
// the two that are left could not lose another one then.
func TestAloneKeepsVoters(t *testing.T) {
	g := found(t, 1, 3, 3, []int{0, 1, 2})
	g.kill(g.vms[0])
	g.runUntil(time.Minute, nil)
	if n := len(g.leader().rep.Membership().Members); n != 3 {
		t.Errorf("%d members, want 3", n)
	}
}

// TestTwoOfSixLoseDisks kills a group of six right after it has acknowledged a
// change; two disks are lost, that of the leader among them. The four others
// are the quorum: they agree on a leader, and the change is there.
func TestTwoOfSixLoseDisks(t *testing.T) {
	const recovery = 4 * time.Second
	for seed := range uint64(100) {
		g := found(t, seed, 6, 3, []int{0, 1, 2, 3, 4, 5})
		g.apply(0, "acknowledged")
		first := g.leader().vm
		other := g.others(first)[seed%5]
		for _, vm := range g.vms {
			g.kill(vm)
		}
		g.servers[first].disk = nil
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
		if r := l.rep.Machine().Revision(); r != 1 {
			t.Errorf("seed %d: revision %d", seed, r)
		}
	}
}
