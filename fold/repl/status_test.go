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
