package raft

import (
	"math/rand/v2"
	"testing"
	"time"
)

// threeVoters returns a membership of the voters a, b and c.
func threeVoters() Membership {
	var m Membership
	for _, id := range []string{"a", "b", "c"} {
		m = m.With(Member{ID: id, VM: id, Voter: true})
	}
	return m
}

// testNode returns a node of a group of three voters whose snapshot ends at
// index 1.
func testNode(id string, restored PersistentState) *Node { return seededNode(id, 1, restored) }

// seededNode is like testNode, with the seed of the node's random times.
func seededNode(id string, seed uint64, restored PersistentState) *Node {
	restored.Snapshot.Index, restored.Snapshot.Term, restored.Snapshot.Membership = 1, 1, threeVoters()
	return New(time.Unix(0, 0), Options{ID: id, Random: rand.New(rand.NewPCG(seed, seed))}, restored)
}

// TestEarlierTermsCommitIndirectly checks that a new leader does not commit an
// entry of an earlier term just because a quorum holds it: another leader may
// still replace that entry until an entry of the current term is on a quorum too.
func TestEarlierTermsCommitIndirectly(t *testing.T) {
	old := Entry{Index: 2, Term: 2, Data: []byte("old")}
	n := testNode("a", PersistentState{HardState: HardState{Term: 3}, Entries: []Entry{old}})
	n.Tick(time.Unix(3, 0))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 4})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 4})
	if n.Role() != Leader {
		t.Fatalf("role %v, want leader", n.Role())
	}
	r := n.Ready()
	last := r.Entries[len(r.Entries)-1]
	n.Persisted(last.Index, last.Term)
	n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 4, Index: 2})
	if n.CommitIndex() != 1 {
		t.Fatalf("commit index %d with only the earlier term's entry on a quorum, want 1", n.CommitIndex())
	}
	n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 4, Index: 3})
	if n.CommitIndex() != 3 {
		t.Errorf("commit index %d, want 3", n.CommitIndex())
	}
}

// TestOneVotePerTerm checks that a replica votes for one candidate in a term, and
// rejects another one even if its log is more up to date than the replica's.
func TestOneVotePerTerm(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	for _, tt := range []struct {
		from   string
		reject bool
	}{{"b", false}, {"c", true}, {"b", false}} {
		n.Step(n.now, Message{Type: Vote, From: tt.from, To: "a", Term: 2, Index: 5, LogTerm: 1})
		m := n.Ready().Messages[0]
		if m.Type != VoteReply || m.Reject != tt.reject {
			t.Errorf("reply to candidate %s: %+v, want reject %t", tt.from, m, tt.reject)
		}
	}
}

// TestOneMembershipChangeAtATime checks that a change of membership is rejected
// until the previous one is committed.
func TestOneMembershipChangeAtATime(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	n.Tick(time.Unix(3, 0))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 2})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 2})
	if err := n.ChangeMember(Member{ID: "d"}); err != ErrChangeInProgress {
		t.Errorf("ChangeMember before an entry of the term is committed: error %v, want ErrChangeInProgress", err)
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
		t.Errorf("RemoveMember during a change: error %v, want ErrChangeInProgress", err)
	}
	ack(3)
	if err := n.ChangeMember(Member{ID: "d", Voter: true}); err != ErrNotCaughtUp {
		t.Errorf("ChangeMember of a learner without entries to voter: error %v, want ErrNotCaughtUp", err)
	}
	if err := n.RemoveMember("c"); err != nil {
		t.Error(err)
	}
}

// TestVoteRejectedWhileLeaderIsActive checks that a replica in contact with its
// leader neither votes for another candidate nor adopts its term.
func TestVoteRejectedWhileLeaderIsActive(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	n.Step(n.now, Message{Type: Append, From: "b", To: "a", Term: 1, Index: 1, LogTerm: 1})
	n.Ready()
	n.Step(n.now.Add(DefaultElectionTimeout/2), Message{Type: Vote, From: "c", To: "a", Term: 9, Index: 9, LogTerm: 1})
	if m := n.Ready().Messages[0]; !m.Reject || n.Term() != 1 {
		t.Errorf("reply %+v, term %d, want a rejection and term 1", m, n.Term())
	}
}

// TestLeaderCountsOnlySyncedEntries checks that the leader of three voters does
// not commit an entry that one follower has synced but the leader itself has not.
func TestLeaderCountsOnlySyncedEntries(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 1}})
	n.Tick(time.Unix(3, 0))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 2})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 2})
	n.Ready()
	n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 2, Index: 2})
	if n.CommitIndex() != 1 {
		t.Fatalf("commit index %d before the leader's sync, want 1", n.CommitIndex())
	}
	n.Persisted(2, 2)
	if n.CommitIndex() != 2 {
		t.Errorf("commit index %d after the leader's sync, want 2", n.CommitIndex())
	}
}

// TestDelayedSnapshotKeepsAcknowledgedEntries guards against a replica that drops entries
// which it has acknowledged when a snapshot arrives that was sent before them.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 2}})
	entries := []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	n.Step(n.now, Message{Type: Append, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Entries: entries, Commit: 2})
	if r := n.Ready(); len(r.Messages) != 1 || r.Messages[0].Index != 4 {
		t.Fatalf("replies %+v, want one that acknowledges entry 4", r.Messages)
	}
	n.Step(n.now, Message{Type: InstallSnapshot, From: "b", To: "a", Term: 2, Snapshot: &Snapshot{Index: 3, Term: 2, Membership: threeVoters()}})
	r := n.Ready()
	if n.LastIndex() != 4 || r.Snapshot != nil {
		t.Errorf("last entry %d, snapshot to write %+v; want the acknowledged entry 4 and none", n.LastIndex(), r.Snapshot)
	}
	if n.CommitIndex() != 3 || len(r.Messages) != 1 || r.Messages[0].Index < 3 {
		t.Errorf("commit index %d, replies %+v; want what the snapshot covers to be committed and acknowledged", n.CommitIndex(), r.Messages)
	}
}

// TestSnapshotReplacesOtherLog is the case beside TestDelayedSnapshotKeepsAcknowledgedEntries in
// which the log differs from the leader's.
func TestSnapshotReplacesOtherLog(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1}}})
	n.Step(n.now, Message{Type: InstallSnapshot, From: "b", To: "a", Term: 2, Snapshot: &Snapshot{Index: 3, Term: 2, Membership: threeVoters()}})
	if r := n.Ready(); n.LastIndex() != 3 || r.Snapshot == nil {
		t.Errorf("last entry %d, snapshot to write %+v; want the log to end with the snapshot", n.LastIndex(), r.Snapshot)
	}
}
