package raft

import (
	"testing"
	"time"
)

// electionStep is longer than any election timer of a node.
const electionStep = 2 * DefaultElectionTimeout

// deliverAll delivers what the nodes send, in the order in which it is sent over each link,
// until they send nothing more. Messages to other nodes, or that drop matches, are lost.
func deliverAll(nodes map[string]*Node, drop func(Message) bool) {
	for sent := true; sent; {
		sent = false
		for _, from := range []string{"a", "b", "c"} {
			n := nodes[from]
			if n == nil {
				continue
			}
			for _, m := range n.Ready().Messages {
				if to := nodes[m.To]; to != nil && !drop(m) {
					to.Step(to.now, m)
					sent = true
				}
			}
		}
	}
}

// leaders returns the IDs of the nodes that lead.
func leaders(nodes map[string]*Node) []string {
	var out []string
	for _, id := range []string{"a", "b", "c"} {
		if n := nodes[id]; n != nil && n.Role() == Leader {
			out = append(out, id)
		}
	}
	return out
}

// nothingLost drops no message.
func nothingLost(Message) bool { return false }

// TestCandidatesAtOnceElectLeader guards against a group that stays without a leader for a
// further election timeout, as the two voters that are left vote for themselves.
func TestCandidatesAtOnceElectLeader(t *testing.T) {
	for _, tt := range []struct {
		name   string
		terms  [2]uint64
		newer  string
		leader string
	}{
		{name: "equal logs", terms: [2]uint64{1, 1}, leader: "b"},
		{name: "newer log", terms: [2]uint64{1, 1}, newer: "a", leader: "a"},
		{name: "later term", terms: [2]uint64{3, 1}, leader: "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			nodes := map[string]*Node{}
			for i, id := range []string{"a", "b"} {
				restored := PersistentState{HardState: HardState{Term: tt.terms[i]}}
				if id == tt.newer {
					restored.Entries = []Entry{{Index: 2, Term: 1}}
				}
				nodes[id] = testNode(id, restored)
			}
			for _, n := range nodes {
				n.Tick(time.Unix(0, 0).Add(electionStep))
			}
			deliverAll(nodes, nothingLost)
			if got := leaders(nodes); len(got) != 1 || got[0] != tt.leader {
				t.Errorf("leaders %q, want %s alone", got, tt.leader)
			}
		})
	}
}

// TestCandidateThatHearsNobodyHoldsNobodyUp guards against a voter that never stands for
// election, as it gives way to one that nothing reaches.
func TestCandidateThatHearsNobodyHoldsNobodyUp(t *testing.T) {
	toDeaf := func(m Message) bool { return m.To == "c" }
	for seed := range uint64(100) {
		nodes := map[string]*Node{}
		for i, id := range []string{"a", "b", "c"} {
			nodes[id] = seededNode(id, seed+uint64(i)*1000, PersistentState{HardState: HardState{Term: 1}})
		}
		begun := time.Unix(0, 0)
		for now := begun; len(leaders(nodes)) == 0; now = now.Add(time.Millisecond) {
			if now.Sub(begun) > electionStep {
				t.Errorf("seed %d: no leader after %v", seed, electionStep)
				break
			}
			for _, n := range nodes {
				n.Tick(now)
			}
			deliverAll(nodes, toDeaf)
		}
	}
}
