package raft

import (
	"math/rand/v2"
	"testing"
	"time"
)

func threeVoters() Membership {
	var m Membership
	for _, id := range []string{"a", "b", "c"} {
		m = m.With(Member{ID: id, VM: id, Voter: true})
	}
	return m
}

func testNode(id string, r PersistentState) *Node {
	r.Snapshot.Index, r.Snapshot.Term, r.Snapshot.Membership = 1, 1, threeVoters()
	return New(time.Unix(0, 0), Options{ID: id, Random: rand.New(rand.NewPCG(1, 1))}, r)
}

// TestEarlierTermsCommitIndirectly: a new leader finds an entry of an earlier
// term on a quorum. It may be replaced as long as no entry of the leader's own
// term is on a quorum too, so it does not count as committed.
func TestEarlierTermsCommitIndirectly(t *testing.T) {
	old := Entry{Index: 2, Term: 2, Data: []byte("old")}
	n := testNode("a", PersistentState{HardState: HardState{Term: 3}, Entries: []Entry{old}})
	n.Tick(time.Unix(3, 0))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 4})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 4})
	if n.Role() != Leader {
		t.Fatalf("role %v", n.Role())
	}
	r := n.Ready()
	last := r.Entries[len(r.Entries)-1]
	n.Persisted(last.Index, last.Term)
	n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 4, Index: 2})
	if n.CommitIndex() != 1 {
		t.Fatalf("commit %d with only the earlier term's entry on a quorum, want 1", n.CommitIndex())
	}
	n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 4, Index: 3})
	if n.CommitIndex() != 3 {
		t.Errorf("commit %d, want 3", n.CommitIndex())
	}
}

// TestOneVoteEachTerm: a replica votes once a term, also for a better log.
func TestOneVoteEachTerm(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	for _, tt := range []struct {
		from   string
		reject bool
	}{{"b", false}, {"c", true}, {"b", false}} {
		n.Step(n.now, Message{Type: Vote, From: tt.from, To: "a", Term: 2, Index: 5, LogTerm: 1})
		m := n.Ready().Messages[0]
		if m.Type != VoteReply || m.Reject != tt.reject {
			t.Errorf("vote for %s: %+v, want reject %t", tt.from, m, tt.reject)
		}
	}
}

// TestChangesOneAtATime refuses a change of membership until the one before
// is committed.
func TestChangesOneAtATime(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	n.Tick(time.Unix(3, 0))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 2})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 2})
	if err := n.ChangeMember(Member{ID: "d"}); err != ErrChangeInProgress {
		t.Errorf("before an entry of the term is committed: %v", err)
	}
	ack := func(index uint64) {
		n.Ready()
		n.Persisted(index, 2)
		n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 2, Index: index})
	}
	ack(2)
	if err := n.ChangeMember(Member{ID: "d"}); err != nil {
		t.Fatal(err)
	}
	if err := n.RemoveMember("c"); err != ErrChangeInProgress {
		t.Errorf("during a change: %v", err)
	}
	ack(3)
	if err := n.ChangeMember(Member{ID: "d", Voter: true}); err != ErrNotCaughtUp {
		t.Errorf("a vote for a learner without entries: %v", err)
	}
	if err := n.RemoveMember("c"); err != nil {
		t.Error(err)
	}
}

// TestCutOffCandidateIsIgnored: a replica that hears its leader gives no vote.
func TestCutOffCandidateIsIgnored(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	n.Step(n.now, Message{Type: Append, From: "b", To: "a", Term: 1, Index: 1, LogTerm: 1})
	n.Ready()
	n.Step(n.now.Add(DefaultElectionTimeout/2), Message{Type: Vote, From: "c", To: "a", Term: 9, Index: 9, LogTerm: 1})
	if m := n.Ready().Messages[0]; !m.Reject || n.Term() != 1 {
		t.Errorf("%+v, term %d", m, n.Term())
	}
}

// TestLeaderCountsWhatItSynced: one follower's copy and an unsynced one of the
// leader's are no quorum of three.
func TestLeaderCountsWhatItSynced(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	n.Tick(time.Unix(3, 0))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 2})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 2})
	n.Ready()
	n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 2, Index: 2})
	if n.CommitIndex() != 1 {
		t.Fatalf("commit %d before the leader's sync, want 1", n.CommitIndex())
	}
	n.Persisted(2, 2)
	if n.CommitIndex() != 2 {
		t.Errorf("commit %d, want 2", n.CommitIndex())
	}
}
