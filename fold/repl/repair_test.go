package repl_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/state"
)

const (
	// nextLoss is the time from the start of a new VM until the site may lose the next disk.
	nextLoss = 4 * time.Second
	// maxRecovery is the longest time without a leader that confirms changes after a loss.
	maxRecovery = 5 * time.Second
)

// replacement is one way in which a control VM is replaced by a VM at another address.
type replacement struct {
	name string
	// leader is true if the replaced VM leads.
	leader bool
	// stopped is the time from the start of the new VM until the old one is gone, negative if
	// that is gone before.
	stopped time.Duration
}

// replacements are all of a group in which the old VM is gone soon enough before the next
// loss for a new leader to be elected and to notice it.
var replacements = []replacement{
	{"a follower is lost at once", false, 0},
	{"the leader is lost at once", true, 0},
	{"a follower is lost long before", false, -3 * time.Second},
	{"the leader is lost long before", true, -3 * time.Second},
	{"a follower is stopped after the start", false, time.Second},
	{"the leader is stopped after the start", true, time.Second},
	{"a follower is stopped late after the start", false, 2500 * time.Millisecond},
}

// addVM starts a new VM at an address of its own.
func (g *group) addVM() string {
	vm := fmt.Sprint("vm", len(g.vms)+1)
	g.vms = append(g.vms, vm)
	g.servers[vm] = &server{vm: vm}
	g.start(vm)
	g.tick(vm)
	return vm
}

// replace replaces a VM of a group, and returns nextLoss after the start of the new one.
func (g *group) replace(how replacement) (gone, added string) {
	gone = g.leader().vm
	if !how.leader {
		gone = g.otherVMs(gone)[g.random.IntN(len(g.vms)-1)]
	}
	if how.stopped <= 0 {
		g.kill(gone)
		g.runUntil(-how.stopped, nil)
	} else {
		g.after(how.stopped, func() { g.kill(gone) })
	}
	added = g.addVM()
	g.runUntil(nextLoss, nil)
	return gone, added
}

// tryVersion submits a version at a VM, and sets confirmed once it is committed.
func (g *group) tryVersion(vm string, version uint64, confirmed *bool) {
	c := state.Command{ApplyConfig: &state.ApplyConfig{Version: version, Document: []byte("{}")}}
	g.submit(vm, c, func(_ *server, d repl.Completion) { *confirmed = *confirmed || d.Err == nil })
}

// confirmsAgain reports whether some leader confirms a change within maxRecovery.
func (g *group) confirmsAgain(version uint64) bool {
	confirmed := false
	for end := g.now.Add(maxRecovery); !confirmed && g.now.Before(end); {
		for _, vm := range g.vms {
			if s := g.servers[vm]; s.replica != nil && s.replica.IsLeader() {
				g.tryVersion(vm, version, &confirmed)
			}
		}
		g.runUntil(tickInterval, nil)
	}
	return confirmed
}

// TestNextDiskAfterReplacementMayBeLost guards against a replaced VM that stays a voter for so
// long that the loss of one more disk ends the group, though three replicas were live.
func TestNextDiskAfterReplacementMayBeLost(t *testing.T) {
	for _, group := range []struct {
		size  int
		seeds uint64
	}{{3, 200}, {5, 50}, {7, 50}} {
		for _, how := range replacements {
			t.Run(fmt.Sprintf("%d voters, %s", group.size, how.name), func(t *testing.T) {
				t.Parallel()
				for seed := range group.seeds {
					loseNextDisk(t, seed, group.size, how)
				}
			})
		}
	}
}

// loseNextDisk replaces a VM, and then any one of the others loses its disk and stays away.
func loseNextDisk(t *testing.T, seed uint64, size int, how replacement) {
	g := newGroup(t, seed, size, 50)
	g.spreadTicks = true
	confirmed := false
	g.tryVersion(g.leader().vm, 1, &confirmed)
	g.runUntil(time.Second, nil)
	gone, _ := g.replace(how)
	others := g.otherVMs(gone)
	lost := others[g.random.IntN(len(others))]
	g.kill(lost)
	g.servers[lost].disk = nil
	if !g.confirmsAgain(2) {
		t.Errorf("seed %d: no change confirmed within %v of the loss of the disk of %s, %s was replaced", seed, maxRecovery, lost, gone)
	}
	if l := g.leader(); l != nil && l.replica.Machine().Revision() != 2 {
		t.Errorf("seed %d: version %d in force, want 2", seed, l.replica.Machine().Revision())
	}
}

// TestVoterThatLedLongAgoIsNotRemovedAtOnce guards against a replica that led long ago and
// votes for the next leader, but counts as silent since it led.
func TestVoterThatLedLongAgoIsNotRemovedAtOnce(t *testing.T) {
	for _, size := range []int{4, 5} {
		t.Run(fmt.Sprint(size, " voters"), func(t *testing.T) {
			g := newGroup(t, 1, size, 50)
			first := g.leader()
			g.isolate(first.vm, true, true)
			g.runUntil(time.Minute, func() bool { return g.otherLeader(first) != nil })
			second := g.otherLeader(first)
			g.heal()
			g.runUntil(time.Minute, nil)
			if g.leader() != second || g.liveVoters() != size {
				t.Fatalf("%d live voters, want %s to lead %d", g.liveVoters(), second.vm, size)
			}
			g.electAgain(second, first)
			g.isolate(first.vm, true, true)
			const missed = 800 * time.Millisecond
			g.runUntil(missed, nil)
			if !second.replica.Membership().Voter(first.id) {
				t.Errorf("%s was removed %v after it was cut off", first.id, missed)
			}
		})
	}
}

// otherLeader returns a leader other than s, or nil.
func (g *group) otherLeader(s *server) *server {
	for _, vm := range g.otherVMs(s.vm) {
		if o := g.servers[vm]; o.replica != nil && o.replica.IsLeader() {
			return o
		}
	}
	return nil
}

// electAgain makes the leader step down and win the next election with the vote of voter:
// nobody else but one more VM has links to it.
func (g *group) electAgain(leader, voter *server) {
	for _, vm := range g.vms {
		g.isolate(vm, true, true)
	}
	g.runUntil(time.Minute, func() bool { return !leader.replica.IsLeader() })
	third := slices.DeleteFunc(g.otherVMs(leader.vm), func(vm string) bool { return vm == voter.vm })[0]
	for _, vm := range []string{voter.vm, third} {
		delete(g.blocked, [2]string{vm, leader.vm})
		delete(g.blocked, [2]string{leader.vm, vm})
	}
	g.runUntil(time.Minute, leader.replica.IsLeader)
	g.heal()
}

// TestVoteDoesNotWaitForRemovalOfLearner guards against a replica that votes late, as a learner
// whose disk is lost too is removed before.
func TestVoteDoesNotWaitForRemovalOfLearner(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, seed, 3, 50)
		vm := g.otherVMs(g.leader().vm)[0]
		joins := func() bool {
			_, isMember := g.leader().replica.Membership().Get(g.servers[vm].id)
			return isMember
		}
		loseDisk := func() {
			g.kill(vm)
			g.servers[vm].disk = nil
			g.start(vm)
		}
		loseDisk()
		g.runUntil(time.Minute, joins)
		learner := g.servers[vm].id
		if g.leader().replica.Membership().Voter(learner) {
			t.Fatalf("seed %d: %s votes at once, want a learner", seed, learner)
		}
		loseDisk()
		g.runUntil(time.Minute, func() bool { return g.leader().replica.Membership().Voter(g.servers[vm].id) })
		if _, waited := g.leader().replica.Membership().Get(learner); !waited {
			t.Errorf("seed %d: the learner %s was removed before %s was promoted", seed, learner, g.servers[vm].id)
		}
	}
}

// TestLostLearnersDoNotPileUp guards against a VM that loses its disk again and again, and adds a
// learner each time that is never removed, as too few other replicas are live.
func TestLostLearnersDoNotPileUp(t *testing.T) {
	const (
		disks   = 20
		restart = time.Second
		// maxLearners is as many as join until a silent one is removed after 2.5 s, and two.
		maxLearners = 5
	)
	for _, size := range []int{3, 5, 7} {
		g := newGroup(t, 1, size, 50)
		vm := g.otherVMs(g.leader().vm)[0]
		for range disks {
			g.kill(vm)
			g.servers[vm].disk = nil
			g.runUntil(restart, nil)
			g.start(vm)
			g.runUntil(time.Minute, func() bool {
				_, isMember := g.leader().replica.Membership().Get(g.servers[vm].id)
				return isMember
			})
			members := g.leader().replica.Membership().Members
			if learners := len(members) - size; learners > maxLearners {
				t.Fatalf("%d replicas: %d learners, want at most %d", size, learners, maxLearners)
			}
		}
		g.runUntil(nextLoss, nil)
		if n := len(g.leader().replica.Membership().Members); n != size || g.liveVoters() != size {
			t.Errorf("%d replicas: %d members and %d live voters %v after the last start", size, n, g.liveVoters(), nextLoss)
		}
	}
}

// TestLiveReplicaOutlivesLostLearner guards against a replica that is removed for a learner of its
// VM that was lost before it joined.
func TestLiveReplicaOutlivesLostLearner(t *testing.T) {
	const (
		maxLearning = 300 * time.Millisecond
		// lastInOrder is a number of disks after which the ID of the next one sorts behind that of
		// the one after it.
		lastInOrder = 7
	)
	for _, size := range []int{3, 5, 7} {
		for learning := time.Duration(0); learning < maxLearning; learning += time.Millisecond {
			for _, disks := range []int{size, lastInOrder} {
				g := newGroup(t, uint64(learning), size, 50)
				g.newDisks = disks
				outliveLearner(t, g, learning)
			}
		}
	}
}

// outliveLearner makes a VM lose its disk twice, the second time soon after the first, and checks
// that it votes in time, and goes on voting.
func outliveLearner(t *testing.T, g *group, learning time.Duration) {
	vm := g.otherVMs(g.leader().vm)[0]
	loseDisk := func() {
		g.kill(vm)
		g.servers[vm].disk = nil
		g.start(vm)
		g.join(g.servers[vm])
	}
	loseDisk()
	g.runUntil(learning, nil)
	loseDisk()
	voted, removed := false, false
	g.runUntil(nextLoss, func() bool {
		votes := g.leader().replica.Membership().Voter(g.servers[vm].id)
		removed = removed || (voted && !votes)
		voted = votes
		return false
	})
	if removed || !voted {
		t.Errorf("%d replicas: the second disk comes %v after the first, its replica votes after %v: %t, was removed: %t", len(g.vms), learning, nextLoss, voted, removed)
	}
}
