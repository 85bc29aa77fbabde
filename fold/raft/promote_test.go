package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// votingLimit is the time after which the next disk may be lost: a replica that was added
// before must vote by then.
const votingLimit = 4 * time.Second

// TestLearnerBecomesVoterWhileChangesGoOn guards against a learner that follows the log, but
// never has every committed entry as others confirm them before it.
func TestLearnerBecomesVoterWhileChangesGoOn(t *testing.T) {
	for _, delay := range []time.Duration{simStep, 3 * simStep, 5 * simStep} {
		t.Run(fmt.Sprint("delay ", delay), func(t *testing.T) {
			g := newLearnerGroup(delay)
			begun := g.now
			for g.now.Sub(begun) < votingLimit+catchUpElection {
				g.step()
				leader := g.leader()
				if leader == nil {
					continue
				}
				if _, _, err := leader.Propose(make([]byte, learnerEntrySize)); err != nil {
					t.Fatal(err)
				}
				g.run(leader)
				if leader.CaughtUp("c") && leader.ChangeMember(Member{ID: "c", VM: "c", Voter: true}) == nil {
					return
				}
			}
			t.Errorf("the learner has entries up to %d of %d, and is no voter", g.nodes["c"].LastIndex(), g.leader().LastIndex())
		})
	}
}

const (
	// catchUpElection is the time that the first election may take.
	catchUpElection = 3 * time.Second
	// learnerEntrySize is the size in bytes of an entry.
	learnerEntrySize = 200
)

// newLearnerGroup returns a group of two voters a and b and the learner c. Messages to and from
// c take time.
func newLearnerGroup(delay time.Duration) *laggingGroup {
	g := &laggingGroup{now: simBegin, nodes: map[string]*Node{}, delay: delay}
	members := threeVoters()
	c, _ := members.Get("c")
	c.Voter = false
	for i, id := range []string{"a", "b", "c"} {
		g.nodes[id] = New(g.now, Options{ID: id, Random: rand.New(rand.NewPCG(1, uint64(i)))}, BootstrapGroup(members.With(c)))
	}
	return g
}
