package repl_test

import (
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
)

// status returns what the group's leader knows of the group.
func (g *group) status() repl.GroupStatus {
	g.t.Helper()
	leader := g.leader()
	if leader == nil {
		g.t.Fatal("the group has no leader")
	}
	s, ok := leader.replica.GroupStatus()
	if !ok {
		g.t.Fatal("the leader has no status of its group")
	}
	return s
}

// TestStatusTellsWhatEndsTheGroup guards against a group that only looks whole.
func TestStatusTellsWhatEndsTheGroup(t *testing.T) {
	for _, n := range []int{3, 5} {
		for lost := range (n + 1) / 2 {
			g := newGroup(t, 1, n, 1000)
			g.runUntil(time.Second, nil)
			for _, vm := range g.otherVMs(g.leader().vm)[:lost] {
				g.kill(vm)
			}
			// Longer than an election timeout, and too short for a removal.
			g.runUntil(raft.DefaultElectionTimeout+100*time.Millisecond, nil)
			s := g.status()
			if s.LiveVoters != n-lost || s.LossEndsGroup() != (lost == n/2) {
				t.Errorf("%d of %d VMs lost: %d live voters, quorum %d, one more loss ends the group: %t", lost, n, s.LiveVoters, s.Quorum, s.LossEndsGroup())
			}
		}
	}
}

// TestLossEndsGroupByVoters guards against voters that answer or vote in name only counted as
// ones that can replace a lost one.
func TestLossEndsGroupByVoters(t *testing.T) {
	sound := repl.VoterHealth{Live: true, UpToDate: true}
	behind, silent, lost := repl.VoterHealth{Live: true}, repl.VoterHealth{UpToDate: true}, repl.VoterHealth{}
	for _, tt := range []struct {
		name string
		// sound is the number of voters that are live and up to date, and others are the rest.
		sound  int
		others []repl.VoterHealth
		want   bool
	}{
		{"no voters", 0, nil, true},
		{"1 of 1", 1, nil, true},
		{"2 of 2", 2, nil, true},
		{"1 of 2, one lost", 1, []repl.VoterHealth{lost}, true},
		{"3 of 3", 3, nil, false},
		{"2 of 3, one silent", 2, []repl.VoterHealth{silent}, true},
		{"2 of 3, one behind", 2, []repl.VoterHealth{behind}, true},
		{"1 of 3, no quorum", 1, []repl.VoterHealth{lost, lost}, true},
		{"4 of 4", 4, nil, false},
		{"3 of 4, one silent", 3, []repl.VoterHealth{silent}, true},
		{"3 of 4, one behind", 3, []repl.VoterHealth{behind}, true},
		{"2 of 4, no quorum", 2, []repl.VoterHealth{lost, lost}, true},
		{"5 of 5", 5, nil, false},
		{"4 of 5, one lost", 4, []repl.VoterHealth{lost}, false},
		{"4 of 5, one behind", 4, []repl.VoterHealth{behind}, false},
		{"3 of 5, two lost", 3, []repl.VoterHealth{lost, lost}, true},
		{"3 of 5, one behind, one silent", 3, []repl.VoterHealth{behind, silent}, true},
		{"2 of 5, no quorum", 2, []repl.VoterHealth{lost, lost, behind}, true},
	} {
		voters := append([]repl.VoterHealth{}, tt.others...)
		for range tt.sound {
			voters = append(voters, sound)
		}
		if got := repl.LossEndsGroup(voters); got != tt.want {
			t.Errorf("%s: one more loss ends the group: %t, want %t", tt.name, got, tt.want)
		}
	}
}

// TestStatusOfVoterThatIsBehind guards against a group that looks safe while a voter lacks data,
// and against learners counted as voters.
func TestStatusOfVoterThatIsBehind(t *testing.T) {
	voter := repl.MemberStatus{Member: raft.Member{Voter: true}, Live: true}
	behind := voter
	behind.BehindFor = time.Second
	learner := repl.MemberStatus{Live: true}
	for _, tt := range []struct {
		name    string
		members []repl.MemberStatus
		want    bool
	}{
		{"three voters", []repl.MemberStatus{voter, voter, voter}, false},
		{"one of three is behind", []repl.MemberStatus{voter, voter, behind}, true},
		{"two voters and a learner", []repl.MemberStatus{voter, voter, learner}, true},
	} {
		if got := (repl.GroupStatus{Members: tt.members}).LossEndsGroup(); got != tt.want {
			t.Errorf("%s: one more loss ends the group: %t, want %t", tt.name, got, tt.want)
		}
	}
}

// TestStatusCountsWhatMemberLacks guards against a lag that a snapshot hides.
func TestStatusCountsWhatMemberLacks(t *testing.T) {
	const changes = 10
	for _, snapshotEvery := range []int{1000, 4} {
		g := newGroup(t, 1, 3, snapshotEvery)
		leader := g.leader()
		lost := g.servers[g.otherVMs(leader.vm)[0]]
		g.kill(lost.vm)
		for i := range changes {
			g.apply(uint64(i), "change")
		}
		g.runUntil(time.Second, nil)
		s := g.status()
		for _, m := range s.Members {
			entries := s.EntriesBehind(m)
			if (m.State == "") != (m.ID == leader.id) {
				t.Errorf("%s: state %q, want one for each member but the leader", m.ID, m.State)
			}
			if m.ID != lost.id && (entries != 0 || m.BytesBehind != 0) {
				t.Errorf("%s lacks %d entries and %d bytes, want none", m.ID, entries, m.BytesBehind)
			}
			if m.ID == lost.id && (entries < changes || m.BytesBehind == 0 || m.Silence < time.Second) {
				t.Errorf("%s lacks %d entries and %d bytes after %v, want at least %d entries", m.ID, entries, m.BytesBehind, m.Silence, changes)
			}
		}
		for _, vm := range g.otherVMs(leader.vm)[1:] {
			if _, ok := g.servers[vm].replica.GroupStatus(); ok {
				t.Errorf("%s doesn't lead and has a status of the group", vm)
			}
		}
	}
}
