package raft

import (
	"errors"
	"testing"
	"time"
)

// followLearner lets the leader commit an entry in each interval for a time, while the learner
// d acknowledges each of them late, and reports whether d may become a voter at some moment.
func followLearner(t *testing.T, interval, late time.Duration) bool {
	t.Helper()
	const length = 10 * time.Second
	n := leaderOf(t, 0, 0, true)
	n.Persisted(n.LastIndex(), 2)
	if err := n.ChangeMember(Member{ID: "d"}); err != nil {
		t.Fatal(err)
	}
	behind := uint64(late / interval)
	for end := n.now.Add(length); n.now.Before(end); n.Tick(n.now.Add(interval)) {
		if _, _, err := n.Propose(nil); err != nil {
			t.Fatal(err)
		}
		last := n.LastIndex()
		n.Persisted(last, 2)
		n.Step(n.now, Message{Type: AppendReply, From: "b", To: "a", Term: 2, Index: last, Round: n.heartbeatRound})
		if n.CommitIndex() != last {
			t.Fatalf("commit index %d, want %d", n.CommitIndex(), last)
		}
		if last > behind {
			n.Step(n.now, Message{Type: AppendReply, From: "d", To: "a", Term: 2, Index: last - behind, Round: n.heartbeatRound})
		}
		n.Flush()
		n.Ready()
		if !n.CaughtUp("d") {
			continue
		}
		if err := n.ChangeMember(Member{ID: "d", Voter: true}); err != nil {
			t.Errorf("promotion: %v", err)
		}
		return true
	}
	if err := n.ChangeMember(Member{ID: "d", Voter: true}); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("promotion: error %v, want ErrNotCaughtUp", err)
	}
	return false
}

// TestLearnerThatKeepsPaceIsPromoted guards against a learner that never votes, as new entries are
// always on their way to it.
func TestLearnerThatKeepsPaceIsPromoted(t *testing.T) {
	if !followLearner(t, 50*time.Millisecond, 400*time.Millisecond) {
		t.Error("a learner that lacks the entries of the last 400 ms never counts as caught up")
	}
}

// TestLearnerThatIsFarBehindIsNotPromoted checks that a learner without the entries of the last
// seconds does not count as caught up.
func TestLearnerThatIsFarBehindIsNotPromoted(t *testing.T) {
	if followLearner(t, 50*time.Millisecond, 3*time.Second) {
		t.Error("a learner that lacks the entries of the last 3 s counts as caught up")
	}
}
