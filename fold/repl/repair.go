package repl

import (
	"time"

	"fuchsiafold.example/fold/raft"
)

// Limits of the group's own repair.
const (
	// lostAfter is the silence after which a voter may be replaced.
	lostAfter = 2500 * time.Millisecond
	// leaderSilence is how long a member that hears no leader waits before it
	// asks to be taken in: it may have been removed while it was away.
	leaderSilence = 3 * time.Second
	// minLive is the number of live replicas that must remain before a silent
	// voter is removed: with fewer, its disk may be needed for a quorum.
	minLive = 3
)

// Join asks the leader to take in a replica: first as a learner, then as a
// voter in place of any earlier replica on the same VM.
func (p *Replica) Join(m raft.Member) error {
	if !p.IsLeader() {
		return ErrNotLeader
	}
	if _, known := p.node.Membership().Get(m.ID); known {
		return nil
	}
	m.Voter = false
	return p.node.ChangeMember(m)
}

// repair takes the next step towards a vote for every live replica: the
// replica that a learner's VM lost, or a voter that is silent and can be
// spared, is removed once the learner has caught up, then it is promoted.
func (p *Replica) repair() {
	members := p.node.Membership()
	if lost, ok := p.lost(members); ok {
		// The next tick retries what an earlier change still blocks.
		_ = p.node.RemoveMember(lost.ID)
		return
	}
	for _, m := range members.Members {
		if m.Voter || !p.node.CaughtUp(m.ID) {
			continue
		}
		if old, ok := earlier(members, m); ok {
			_ = p.node.RemoveMember(old.ID)
			return
		}
		m.Voter = true
		_ = p.node.ChangeMember(m)
		return
	}
}

// lost returns a silent replica that the group can do without.
func (p *Replica) lost(members raft.Membership) (raft.Member, bool) {
	live := 0
	for _, m := range members.Members {
		if p.node.SinceLastContact(m.ID) < lostAfter && (m.Voter || p.node.CaughtUp(m.ID)) {
			live++
		}
	}
	if live < minLive {
		return raft.Member{}, false
	}
	for _, m := range members.Members {
		if p.node.SinceLastContact(m.ID) >= lostAfter {
			return m, true
		}
	}
	return raft.Member{}, false
}

// earlier returns another replica on the VM of m.
func earlier(members raft.Membership, m raft.Member) (raft.Member, bool) {
	for _, o := range members.Members {
		if o.ID != m.ID && (o.VM == m.VM || (o.Addr.IsValid() && o.Addr == m.Addr)) {
			return o, true
		}
	}
	return raft.Member{}, false
}
