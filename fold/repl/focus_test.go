package repl_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/state"
)

// apply sends a change to the leader and returns the revision it made.
func (g *group) apply(base uint64, change string) state.Result {
	g.t.Helper()
	var got *repl.Completion
	deadline := g.now.Add(20 * time.Second)
	for got == nil || got.Err != nil {
		if g.now.After(deadline) {
			g.t.Fatalf("change %s was not decided", change)
		}
		got = nil
		if l := g.leader(); l != nil {
			g.submit(l.vm, command(input{kind: opApply, nonce: change, base: base}), func(s *server, d repl.Completion) { got = &d })
		}
		g.runUntil(time.Second, func() bool { return got != nil })
	}
	return got.Result
}

// others returns the VMs but one.
func (g *group) others(vm string) []string {
	var out []string
	for _, o := range g.vms {
		if o != vm {
			out = append(out, o)
		}
	}
	return out
}

// TestThawedLeaderDoesNotAnswer stops the leader, lets the others go on and
// asks it the moment it runs again, before it has heard of them.
func TestThawedLeaderDoesNotAnswer(t *testing.T) {
	g := newGroup(t, 1, 3, 1000)
	g.apply(0, "first")
	old := g.leader()
	old.frozen = g.now.Add(10 * time.Second)
	g.runUntil(4*time.Second, nil)
	var next *server
	for _, vm := range g.others(old.vm) {
		if g.servers[vm].rep.IsLeader() {
			next = g.servers[vm]
		}
	}
	if next == nil {
		t.Fatal("the others have no leader")
	}
	var decided bool
	g.submit(next.vm, command(input{kind: opApply, nonce: "second", base: 1}), func(s *server, d repl.Completion) { decided = d.Err == nil })
	g.runUntil(time.Second, nil)
	if !decided {
		t.Fatal("the others did not decide")
	}
	old.frozen = time.Time{}
	answered := false
	g.read(old.vm, func(s *server, d repl.Completion) {
		if d.Err == nil && s.rep.Machine().Revision() < 2 {
			answered = true
		}
	})
	g.runUntil(5*time.Second, nil)
	if answered {
		t.Error("a thawed leader answered a read from old state")
	}
}

// TestIsolatedLeaderStepsDown cuts the leader off without a word; within two
// election timeouts it no longer thinks that it leads.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 2, 3, 1000)
	old := g.leader()
	g.isolate(old.vm, true, true)
	g.runUntil(2*raft.DefaultElectionTimeout, nil)
	if old.rep.IsLeader() {
		t.Error("the isolated leader still leads")
	}
}

// TestLongIsolationDoesNotDisturb isolates a follower for long; when it comes
// back the leader stays and the term does not grow.
func TestLongIsolationDoesNotDisturb(t *testing.T) {
	g := newGroup(t, 3, 3, 1000)
	l := g.leader()
	term := l.rep.Term()
	vm := g.others(l.vm)[0]
	g.isolate(vm, true, true)
	g.runUntil(10*time.Minute, nil)
	g.heal()
	g.runUntil(10*time.Second, nil)
	if !l.rep.IsLeader() || l.rep.Term() != term {
		t.Errorf("leads %t in term %d, want the same leader in term %d", l.rep.IsLeader(), l.rep.Term(), term)
	}
}

// TestSecondLossAfterRepair loses a disk, lets the repair end, and loses
// another VM right after: nothing decided is lost, and deciding goes on.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, seed, 3, 50)
		g.apply(0, "first")
		first := g.others(g.leader().vm)[0]
		g.kill(first)
		g.servers[first].disk = nil
		g.apply(1, "during")
		g.start(first)
		g.runUntil(20*time.Second, func() bool { return g.voters() == 3 })
		if g.voters() != 3 {
			t.Fatalf("seed %d: the repair did not end", seed)
		}
		second := g.others(first)[int(seed)%2]
		g.kill(second)
		g.servers[second].disk = nil
		if r := g.apply(2, "after"); r.Revision != 3 {
			t.Fatalf("seed %d: revision %d after the second loss, want 3", seed, r.Revision)
		}
	}
}

// TestRestartAfterManyChanges brings a VM back hundreds of changes later.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 500
	g := newGroup(t, 4, 3, 100)
	vm := g.others(g.leader().vm)[0]
	g.kill(vm)
	for i := range uint64(changes) {
		g.apply(i, fmt.Sprintf("c%d", i))
	}
	g.start(vm)
	g.runUntil(3*time.Second, func() bool { return g.servers[vm].rep.Machine().Revision() == changes })
	if r := g.servers[vm].rep.Machine().Revision(); r != changes {
		t.Errorf("revision %d within 3 s, want %d", r, changes)
	}
}

// TestResentChange gets the first answer again, also from the next leader.
func TestResentChange(t *testing.T) {
	g := newGroup(t, 5, 3, 1000)
	if r := g.apply(0, "mine"); r.Revision != 1 {
		t.Fatalf("revision %d", r.Revision)
	}
	if r := g.apply(0, "theirs"); !r.Conflict {
		t.Errorf("a second change on the same base: %+v, want a conflict", r)
	}
	g.kill(g.leader().vm)
	if r := g.apply(0, "mine"); r.Revision != 1 || r.Conflict {
		t.Errorf("resent: %+v, want revision 1", r)
	}
}

func single(t *testing.T) *repl.Replica {
	t.Helper()
	boot := raft.Bootstrap(raft.Member{ID: "a", VM: "a"})
	r, err := repl.New(time.Unix(0, 0), repl.Options{Raft: raft.Options{ID: "a", Random: rand.New(rand.NewPCG(1, 1))}}, boot)
	if err != nil {
		t.Fatal(err)
	}
	r.Tick(time.Unix(3, 0))
	return r
}

// TestNoAnswerBeforeSync holds the answer of a group of one until its entry
// is synced.
func TestNoAnswerBeforeSync(t *testing.T) {
	r := single(t)
	r.Submit(time.Unix(3, 0), 7, command(input{kind: opClaim, key: "k", nonce: "n"}))
	first := r.Output()
	if len(first.Completions) != 0 || len(r.Output().Completions) != 0 {
		t.Fatal("answered before the entry was synced")
	}
	r.Persisted(first.Write)
	out := r.Output()
	if len(out.Completions) != 1 || out.Completions[0].ID != 7 || out.Completions[0].Result.Claim != state.ClaimGranted {
		t.Errorf("after the sync: %+v", out.Completions)
	}
}
