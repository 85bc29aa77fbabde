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

// apply sends a configuration change to the leader and returns its result. It
// retries until the change is committed, and fails the test after 20 s.
func (g *group) apply(base uint64, change string) state.Result {
	g.t.Helper()
	var got *repl.Completion
	deadline := g.now.Add(20 * time.Second)
	for got == nil || got.Err != nil {
		if g.now.After(deadline) {
			g.t.Fatalf("change %s was not committed within 20 s", change)
		}
		got = nil
		if l := g.leader(); l != nil {
			g.submit(l.vm, command(input{kind: opApply, nonce: change, base: base}), func(s *server, d repl.Completion) { got = &d })
		}
		g.runUntil(time.Second, func() bool { return got != nil })
	}
	return got.Result
}

// otherVMs returns all VMs except the given one.
func (g *group) otherVMs(vm string) []string {
	var out []string
	for _, o := range g.vms {
		if o != vm {
			out = append(out, o)
		}
	}
	return out
}

// TestResumedLeaderAnswersNoStaleRead checks that a leader that was frozen while
// the others elected a new one and committed a change does not answer a read
// from its old state. The read arrives before any message of the new leader.
func TestResumedLeaderAnswersNoStaleRead(t *testing.T) {
	g := newGroup(t, 1, 3, 1000)
	g.apply(0, "first")
	old := g.leader()
	old.frozenUntil = g.now.Add(10 * time.Second)
	g.runUntil(4*time.Second, nil)
	var newLeader *server
	for _, vm := range g.otherVMs(old.vm) {
		if g.servers[vm].replica.IsLeader() {
			newLeader = g.servers[vm]
		}
	}
	if newLeader == nil {
		t.Fatal("the other VMs elected no leader within 4 s")
	}
	var committed bool
	g.submit(newLeader.vm, command(input{kind: opApply, nonce: "second", base: 1}), func(s *server, d repl.Completion) { committed = d.Err == nil })
	g.runUntil(time.Second, nil)
	if !committed {
		t.Fatal("the new leader did not commit the change within 1 s")
	}
	old.frozenUntil = time.Time{}
	answered := false
	g.read(old.vm, func(s *server, d repl.Completion) {
		if d.Err == nil && s.replica.Machine().Revision() < 2 {
			answered = true
		}
	})
	g.runUntil(5*time.Second, nil)
	if answered {
		t.Error("a resumed leader answered a read from stale state")
	}
}

// TestIsolatedLeaderStepsDown checks that a leader that loses contact with all
// other VMs steps down within two election timeouts.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 2, 3, 1000)
	old := g.leader()
	g.isolate(old.vm, true, true)
	g.runUntil(2*raft.DefaultElectionTimeout, nil)
	if old.replica.IsLeader() {
		t.Error("the isolated leader has not stepped down after two election timeouts")
	}
}

// TestIsolatedFollowerDoesNotDisruptLeader checks that a follower that returns
// after 10 minutes of isolation neither deposes the leader nor raises the term.
func TestIsolatedFollowerDoesNotDisruptLeader(t *testing.T) {
	g := newGroup(t, 3, 3, 1000)
	l := g.leader()
	term := l.replica.Term()
	vm := g.otherVMs(l.vm)[0]
	g.isolate(vm, true, true)
	g.runUntil(10*time.Minute, nil)
	g.heal()
	g.runUntil(10*time.Second, nil)
	if !l.replica.IsLeader() || l.replica.Term() != term {
		t.Errorf("leader %t in term %d, want the same leader in term %d", l.replica.IsLeader(), l.replica.Term(), term)
	}
}

// TestSecondDiskLossAfterRepair checks that a group that has replaced a lost disk
// survives the loss of a second one right after: it keeps all committed changes
// and commits new ones.
func TestSecondDiskLossAfterRepair(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, seed, 3, 50)
		g.apply(0, "first")
		first := g.otherVMs(g.leader().vm)[0]
		g.kill(first)
		g.servers[first].disk = nil
		g.apply(1, "during")
		g.start(first)
		g.runUntil(20*time.Second, func() bool { return g.liveVoters() == 3 })
		if g.liveVoters() != 3 {
			t.Fatalf("seed %d: fewer than 3 live voters 20 s after the first disk was replaced", seed)
		}
		second := g.otherVMs(first)[int(seed)%2]
		g.kill(second)
		g.servers[second].disk = nil
		if r := g.apply(2, "after"); r.Revision != 3 {
			t.Fatalf("seed %d: revision %d after the second disk loss, want 3", seed, r.Revision)
		}
	}
}

// TestRestartAfterManyChanges checks that a VM that was down for 500 changes, and
// so for several snapshots, catches up within 3 s of its restart.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 500
	g := newGroup(t, 4, 3, 100)
	vm := g.otherVMs(g.leader().vm)[0]
	g.kill(vm)
	for i := range uint64(changes) {
		g.apply(i, fmt.Sprintf("c%d", i))
	}
	g.start(vm)
	g.runUntil(3*time.Second, func() bool { return g.servers[vm].replica.Machine().Revision() == changes })
	if r := g.servers[vm].replica.Machine().Revision(); r != changes {
		t.Errorf("revision %d 3 s after the restart, want %d", r, changes)
	}
}

// TestResentChangeGetsFirstAnswer checks that a change that is sent again gets the
// result of its first submission, even from a new leader after other changes.
func TestResentChangeGetsFirstAnswer(t *testing.T) {
	g := newGroup(t, 5, 3, 1000)
	if r := g.apply(0, "mine"); r.Revision != 1 {
		t.Fatalf("first submission: revision %d, want 1", r.Revision)
	}
	if r := g.apply(0, "theirs"); !r.Conflict {
		t.Errorf("second change on the same base: %+v, want a conflict", r)
	}
	g.kill(g.leader().vm)
	if r := g.apply(0, "mine"); r.Revision != 1 || r.Conflict {
		t.Errorf("resent change: %+v, want revision 1 without a conflict", r)
	}
}

// newSingleReplica returns the leader of a group of one.
func newSingleReplica(t *testing.T) *repl.Replica {
	t.Helper()
	boot := raft.Bootstrap(raft.Member{ID: "a", VM: "a"})
	r, err := repl.New(time.Unix(0, 0), repl.Options{Raft: raft.Options{ID: "a", Random: rand.New(rand.NewPCG(1, 1))}}, boot)
	if err != nil {
		t.Fatal(err)
	}
	r.Tick(time.Unix(3, 0))
	return r
}

// TestNoAnswerBeforeSync checks that a group of one does not complete a command
// before its entry is synced.
func TestNoAnswerBeforeSync(t *testing.T) {
	r := newSingleReplica(t)
	r.Submit(time.Unix(3, 0), 7, command(input{kind: opClaim, key: "k", nonce: "n"}))
	first := r.Output()
	if len(first.Completions) != 0 || len(r.Output().Completions) != 0 {
		t.Fatal("command completed before its entry was synced")
	}
	r.Persisted(first.Write)
	out := r.Output()
	if len(out.Completions) != 1 || out.Completions[0].ID != 7 || out.Completions[0].Result.Claim != state.ClaimGranted {
		t.Errorf("completions after the sync: %+v, want a granted claim with ID 7", out.Completions)
	}
}
