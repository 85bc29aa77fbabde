package repl

import (
	"time"

	"fuchsiafold.example/fold/raft"
)

// Limits of the automatic repair of the membership.
const (
	// removalTimeout is the time without contact after which a member may be
	// removed.
	removalTimeout = 2500 * time.Millisecond
	// surplusTimeout is the same for a voter while the number of voters is even. The quorum
	// is smaller by one without it, so that the group survives as many losses as if the
	// voter came back.
	surplusTimeout = raft.DefaultElectionTimeout
	// answerTimeout is the time for a reply to a new leader, after which the previous leader
	// counts as silent since it was last heard as such.
	answerTimeout = raft.DefaultElectionTimeout / 2
	// noLeaderTimeout is the time without a leader after which a member asks to
	// join again: it may have been removed while it was unreachable.
	noLeaderTimeout = 3 * time.Second
	// minLiveReplicas is the number of live replicas that the group must have
	// before an unreachable member is removed: with fewer, its disk may be
	// needed for a quorum.
	minLiveReplicas = 3
)

// Join adds a replica to the group as a learner. Once it has caught up, the
// leader removes any previous replica on the same VM and makes the new one a
// voter. Join does nothing for a member, and returns ErrNotLeader on replicas
// other than the leader.
func (p *Replica) Join(m raft.Member) error {
	if !p.IsLeader() {
		return ErrNotLeader
	}
	if _, known := p.node.Membership().Get(m.ID); known {
		return nil
	}
	m.Voter = false
	return p.changeMember(MemberJoined, m)
}

// repair takes the next step towards a group in which every live replica is a
// voter. It removes an unreachable member that the group can do without. If
// there is none, it takes the first learner that has caught up: it removes the
// previous replica on the learner's VM, or promotes the learner if no such
// replica is left.
func (p *Replica) repair(now time.Time) {
	members := p.node.Membership()
	if removable, ok := p.removableMember(now, members); ok {
		// The change fails while an earlier one is in progress. The next tick
		// retries it.
		_ = p.removeMember(MemberSilent, removable)
		return
	}
	for _, m := range members.Members {
		if m.Voter || !p.node.CaughtUp(m.ID) {
			continue
		}
		if previous, ok := previousReplica(members, m); ok {
			_ = p.removeMember(MemberReplaced, previous)
			return
		}
		m.Voter = true
		_ = p.changeMember(MemberPromoted, m)
		return
	}
}

// removableMember returns an unreachable member that the group can do without.
func (p *Replica) removableMember(now time.Time, members raft.Membership) (raft.Member, bool) {
	if m, ok := p.unreachableMember(now, members, surplusTimeout); ok && m.Voter && evenVoters(members) {
		return m, true
	}
	return p.unreachableMember(now, members, removalTimeout)
}

// unreachableMember returns a member without contact for the given time, voters first, if
// there are enough live replicas to remove it.
func (p *Replica) unreachableMember(now time.Time, members raft.Membership, timeout time.Duration) (raft.Member, bool) {
	live := 0
	var unreachable []raft.Member
	for _, m := range members.Members {
		switch {
		case p.silence(now, m.ID) < timeout:
			if m.Voter || p.node.CaughtUp(m.ID) {
				live++
			}
		case m.Voter:
			unreachable = append([]raft.Member{m}, unreachable...)
		default:
			unreachable = append(unreachable, m)
		}
	}
	if live < minLiveReplicas || len(unreachable) == 0 {
		return raft.Member{}, false
	}
	return unreachable[0], true
}

// silence returns the time since the last contact with a member. For the previous leader, that
// is when it was last heard as such, unless it replies to this one.
func (p *Replica) silence(now time.Time, id string) time.Duration {
	since := p.node.SinceLastContact(id)
	if id == p.previousLeader.id && since >= answerTimeout && !p.node.Answered(id) {
		return now.Sub(p.previousLeader.at)
	}
	return since
}

// evenVoters reports whether the number of voters is even.
func evenVoters(members raft.Membership) bool {
	voters := 0
	for _, m := range members.Members {
		if m.Voter {
			voters++
		}
	}
	return voters%2 == 0
}

// previousReplica returns another replica with the VM name or address of m.
func previousReplica(members raft.Membership, m raft.Member) (raft.Member, bool) {
	for _, o := range members.Members {
		if o.ID != m.ID && (o.VM == m.VM || (o.Addr.IsValid() && o.Addr == m.Addr)) {
			return o, true
		}
	}
	return raft.Member{}, false
}
