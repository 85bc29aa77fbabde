package raft

import (
	"testing"
)

// follower returns a follower in term 3 whose log ends with entries 2 and 3 of term 2, both
// committed by leader b.
func follower() *Node {
	n := testNode("a", PersistentState{HardState: HardState{Term: 3}, Entries: []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}})
	n.Step(n.now, Message{Type: Append, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 2, Commit: 3})
	n.Ready()
	return n
}

// TestDiskWithoutTermStartsInTermOfItsLog guards against a replica that votes twice in a
// term because an earlier version has written its log without a term and a vote.
func TestDiskWithoutTermStartsInTermOfItsLog(t *testing.T) {
	n := testNode("a", PersistentState{Entries: []Entry{{Index: 2, Term: 5}}})
	n.Step(n.now, Message{Type: Vote, From: "b", To: "a", Term: 5, Index: 9, LogTerm: 5})
	r := n.Ready()
	want := HardState{Term: 5, Vote: "a"}
	if r.HardState == nil || *r.HardState != want {
		t.Errorf("hard state to write %+v, want %+v", r.HardState, want)
	}
	if len(r.Messages) != 1 || !r.Messages[0].Reject {
		t.Errorf("replies to a candidate of the log's term %+v, want a rejection", r.Messages)
	}
	if len(r.Events) != 2 || r.Events[0].Kind != TermBelowLog || r.Events[1].Refusal != VotedForOther {
		t.Errorf("events %+v, want %v and the refusal %v", r.Events, TermBelowLog, VotedForOther)
	}
}

// TestRefusalNamesItsReason checks what a replica tells of each vote that it refuses, once
// in a term.
func TestRefusalNamesItsReason(t *testing.T) {
	for _, tt := range []struct {
		name    string
		message Message
		want    Refusal
	}{
		{"leader", Message{Type: PreVote, From: "c", Term: 4, Index: 3, LogTerm: 2}, ActiveLeader},
		{"term", Message{Type: PreVote, From: "c", Term: 3, Index: 3, LogTerm: 2}, EarlierTerm},
		{"log", Message{Type: PreVote, From: "c", Term: 4, Index: 2, LogTerm: 2}, OutdatedLog},
		{"vote", Message{Type: Vote, From: "c", Term: 4, Index: 3, LogTerm: 2}, VotedForOther},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := follower()
			if tt.want != ActiveLeader {
				n.now = n.now.Add(2 * DefaultElectionTimeout)
			}
			if tt.want == VotedForOther {
				n.Step(n.now, Message{Type: Vote, From: "b", To: "a", Term: 4, Index: 3, LogTerm: 2})
				n.Ready()
			}
			tt.message.To = "a"
			for range 3 {
				n.Step(n.now, tt.message)
			}
			e := n.Ready().Events
			if len(e) != 1 || e[0].Kind != VoteRefused || e[0].Refusal != tt.want || e[0].Peer != "c" {
				t.Errorf("events %+v, want one refusal of c: %v", e, tt.want)
			}
		})
	}
}

// TestContradictingLeaderIsNotAcknowledged guards against a replica that confirms entries
// which differ from those that it has committed, or a second leader of a term.
func TestContradictingLeaderIsNotAcknowledged(t *testing.T) {
	for _, tt := range []struct {
		name    string
		message Message
		want    EventKind
	}{
		{"entry before", Message{Type: Append, From: "c", Term: 4, Index: 2, LogTerm: 1}, CommittedEntryDiffers},
		{"entry", Message{Type: Append, From: "c", Term: 4, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 4}}}, CommittedEntryDiffers},
		{"snapshot", Message{Type: InstallSnapshot, From: "c", Term: 4, Snapshot: &Snapshot{Index: 3, Term: 1}}, CommittedEntryDiffers},
		{"leader", Message{Type: Append, From: "c", Term: 3, Index: 3, LogTerm: 2}, SecondLeader},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := follower()
			tt.message.To = "a"
			for range 3 {
				n.Step(n.now, tt.message)
			}
			r := n.Ready()
			if len(r.Messages) != 0 || n.Leader() == "c" {
				t.Errorf("messages %+v, leader %q; want no answer to c", r.Messages, n.Leader())
			}
			if len(r.Events) != 1 || r.Events[0].Kind != tt.want || r.Events[0].Peer != "c" {
				t.Errorf("events %+v, want one of kind %v about c", r.Events, tt.want)
			}
		})
	}
}

// TestLeaderOfAnotherTermWithSameLogIsAcknowledged is the case beside
// TestContradictingLeaderIsNotAcknowledged in which nothing is wrong.
func TestLeaderOfAnotherTermWithSameLogIsAcknowledged(t *testing.T) {
	n := follower()
	n.Step(n.now, Message{Type: Append, From: "c", To: "a", Term: 4, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 2}}})
	r := n.Ready()
	if len(r.Messages) != 1 || r.Messages[0].Reject || len(r.Events) != 0 {
		t.Errorf("messages %+v, events %+v; want an acknowledgement", r.Messages, r.Events)
	}
}

// TestAcknowledgementBeyondLogDoesNotCount guards against a leader that commits by a
// replica which acknowledges more than the leader has.
func TestAcknowledgementBeyondLogDoesNotCount(t *testing.T) {
	n := testNode("a", PersistentState{HardState: HardState{Term: 3}})
	n.Tick(n.now.Add(3 * DefaultElectionTimeout))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 4})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 4})
	n.Ready()
	n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 4, Index: 9})
	r := n.Ready()
	if len(r.Events) != 1 || r.Events[0].Kind != AcknowledgedBeyondLog {
		t.Errorf("events %+v, want one of kind %v", r.Events, AcknowledgedBeyondLog)
	}
	if n.CaughtUp("b") {
		t.Error("the replica counts as caught up")
	}
}
