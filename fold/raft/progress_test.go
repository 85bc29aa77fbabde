package raft

import (
	"testing"
	"time"
)

// leaderOf returns the leader, in term 2, of a group of three voters, with entries of a size
// after the first snapshot. The follower b has acknowledged the first entry of the term if
// synced is true. All messages so far are gone.
func leaderOf(t *testing.T, entries, size int, synced bool) *Node {
	t.Helper()
	restored := PersistentState{HardState: HardState{Term: 1}}
	for i := range entries {
		restored.Entries = append(restored.Entries, Entry{Index: uint64(i) + 2, Term: 1, Data: make([]byte, size)})
	}
	n := testNode("a", restored)
	n.Tick(time.Unix(3, 0))
	n.Step(n.now, Message{Type: PreVoteReply, From: "b", To: "a", Term: 2})
	n.Step(n.now, Message{Type: VoteReply, From: "b", To: "a", Term: 2})
	if n.Role() != Leader {
		t.Fatalf("role %v, want leader", n.Role())
	}
	if synced {
		n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 2, Index: n.LastIndex(), Round: n.heartbeatRound})
	}
	n.Ready()
	return n
}

// sentTo flushes a leader and returns what it sends to a member.
func sentTo(n *Node, id string) []Message {
	n.Flush()
	var out []Message
	for _, m := range n.Ready().Messages {
		if m.To == id {
			out = append(out, m)
		}
	}
	return out
}

// transferred returns the size of the entries' data in messages.
func transferred(messages []Message) int {
	size := 0
	for _, m := range messages {
		size += dataSize(m.Entries)
	}
	return size
}

// beat lets the leader send the heartbeat that is due, and returns what it sends to a member.
func beat(n *Node, id string) []Message {
	n.Tick(n.heartbeatAt)
	return sentTo(n, id)
}

// reject lets a member reject a message.
func reject(n *Node, m Message, last uint64) {
	n.Step(n.now, Message{Type: AppendReply, From: m.To, To: m.From, Term: m.Term, Reject: true, Index: last, Round: m.Round})
}

// accept lets a member accept a message.
func accept(n *Node, m Message) {
	last := m.Index + uint64(len(m.Entries))
	if m.Snapshot != nil {
		last = m.Snapshot.Index
	}
	n.Step(n.now, Message{Type: AppendReply, From: m.To, To: m.From, Term: m.Term, Index: last, Round: m.Round})
}

// TestEntriesOnTheirWayAreBounded guards against a leader that sends a member all that it
// lacks at once.
func TestEntriesOnTheirWayAreBounded(t *testing.T) {
	const size = 190 << 10
	n := leaderOf(t, 400, size, false)
	probes := sentTo(n, "b")
	reject(n, beat(n, "b")[0], 1)
	if got := transferred(probes); got > maxProbeBytes {
		t.Errorf("probes carry %d bytes, want at most %d", got, maxProbeBytes)
	}
	probe := sentTo(n, "b")
	if len(probe) != 1 || probe[0].Index != 1 || transferred(probe) > maxProbeBytes {
		t.Fatalf("after a rejection %d messages with %d bytes, want one probe at entry 1", len(probe), transferred(probe))
	}
	accept(n, probe[0])
	sent := transferred(sentTo(n, "b"))
	for range 5 {
		n.Step(n.now, Message{Type: AppendReply, From: "c", To: "a", Term: 2, Index: n.LastIndex(), Round: n.heartbeatRound})
		sent += transferred(beat(n, "b"))
	}
	if sent == 0 || sent > maxInFlightBytes+maxMessageBytes {
		t.Errorf("%d bytes on their way to one member, want some and at most %d", sent, maxInFlightBytes+maxMessageBytes)
	}
}

// TestRejectionsSendNothingTwice guards against entries that are sent again for each
// rejection of a message that was sent before them.
func TestRejectionsSendNothingTwice(t *testing.T) {
	n := leaderOf(t, 40, 10<<10, false)
	first, second := beat(n, "b")[0], beat(n, "b")[0]
	reject(n, first, 1)
	accept(n, sentTo(n, "b")[0])
	sent := transferred(sentTo(n, "b"))
	reject(n, second, 1)
	if again := transferred(sentTo(n, "b")); sent == 0 || again != 0 {
		t.Errorf("%d bytes sent, and %d again after a late rejection, want some and none", sent, again)
	}
}

// TestLostAcknowledgementIsRepeated guards against entries that are sent again because only
// the reply to them was lost.
func TestLostAcknowledgementIsRepeated(t *testing.T) {
	leader := leaderOf(t, 0, 0, true)
	follower := testNode("b", PersistentState{HardState: HardState{Term: 2}})
	last := leader.LastIndex()
	follower.Step(leader.now, Message{Type: Append, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1, Entries: leader.Log()})
	if _, _, err := leader.Propose(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	follower.Step(leader.now, sentTo(leader, "b")[0])
	follower.Ready()

	heartbeat := beat(leader, "b")[0]
	if len(heartbeat.Entries) != 0 || heartbeat.Index != last {
		t.Fatalf("heartbeat %+v, want one at entry %d without entries", heartbeat, last)
	}
	follower.Step(leader.now, heartbeat)
	if r := follower.Ready().Messages[0]; r.Index != last+1 || r.Reject {
		t.Errorf("reply %+v, want it to acknowledge entry %d", r, last+1)
	}
}

// TestLostEntriesAreSentAgainAfterAProbe guards against a member that waits for entries
// whose delivery has failed, and against entries that are sent to one that doesn't answer.
func TestLostEntriesAreSentAgainAfterAProbe(t *testing.T) {
	n := leaderOf(t, 0, 0, true)
	if _, _, err := n.Propose(make([]byte, 100<<10)); err != nil {
		t.Fatal(err)
	}
	if got := transferred(sentTo(n, "b")); got != 100<<10 {
		t.Fatalf("%d bytes sent, want the new entry", got)
	}
	n.DeliveryFailed("b")
	probe := sentTo(n, "b")
	if len(probe) != 1 || transferred(probe) != 0 {
		t.Fatalf("%d messages with %d bytes after a failed delivery, want a probe alone", len(probe), transferred(probe))
	}
	accept(n, probe[0])
	if got := transferred(sentTo(n, "b")); got != 100<<10 {
		t.Errorf("%d bytes sent once the member has answered, want the entry again", got)
	}
}

// TestSnapshotIsSentAgainOnlyToMemberThatAnswers guards against snapshots that pile up on
// their way to a member.
func TestSnapshotIsSentAgainOnlyToMemberThatAnswers(t *testing.T) {
	n := leaderOf(t, 20, 100, true)
	n.Persisted(n.LastIndex(), 2)
	n.Ready()
	if _, ok := n.Compact(n.LastIndex(), make([]byte, 100<<10)); !ok {
		t.Fatal("no snapshot was taken")
	}
	snapshots := func(messages []Message) int {
		count := 0
		for _, m := range messages {
			if m.Snapshot != nil {
				count++
			}
		}
		return count
	}
	sent := 0
	for range 5 {
		n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 2, Index: n.LastIndex(), Round: n.heartbeatRound})
		sent += snapshots(beat(n, "c"))
	}
	n.DeliveryFailed("c")
	sent += snapshots(sentTo(n, "c"))
	if sent != 1 {
		t.Fatalf("%d snapshots sent to a member that doesn't answer, want 1", sent)
	}
	n.Step(n.now.Add(time.Millisecond), Message{Type: AppendReply, From: "c", To: "a", Term: 2, Index: 1, Round: n.heartbeatRound})
	if got := snapshots(beat(n, "c")); got != 1 {
		t.Errorf("%d snapshots sent once it has answered, want 1", got)
	}
}

// TestMemberThatRejectsItsOwnAcknowledgementIsProbedOnceAHeartbeat guards against messages
// without a pause between a leader and a member whose disk has lost an entry.
func TestMemberThatRejectsItsOwnAcknowledgementIsProbedOnceAHeartbeat(t *testing.T) {
	n := leaderOf(t, 0, 0, true)
	n.DeliveryFailed("b")
	probe := sentTo(n, "b")
	if len(probe) != 1 || probe[0].Index != n.LastIndex() {
		t.Fatalf("messages %+v, want a probe at entry %d", probe, n.LastIndex())
	}
	reject(n, probe[0], n.LastIndex()-1)
	if sent := sentTo(n, "b"); len(sent) != 0 {
		t.Errorf("%d messages before the next heartbeat, want none", len(sent))
	}
	if sent := beat(n, "b"); len(sent) != 1 {
		t.Errorf("%d messages with the next heartbeat, want 1", len(sent))
	}
}
