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
	// counts as silent since its last message.
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
// leader removes any voter that was on the same VM before and makes the new one a
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
	if err := p.changeMember(MemberJoined, m); err != nil {
		return err
	}
	for _, o := range p.node.Membership().Members {
		if sameVM(o, m) {
			// It may be lost, and must not take the place of m because of what it had before.
			p.node.DoubtCaughtUp(o.ID)
		}
	}
	return nil
}

// repair takes the next step towards a group in which every live replica is a
// voter. It removes an unreachable voter that the group can do without. If there
// is none, it brings in a learner that has caught up. If there is none either, it
// removes a learner that is lost: it has no vote, so its removal can wait.
func (p *Replica) repair(now time.Time) {
	// A change fails while an earlier one is in progress. The next tick retries it.
	members := p.node.Membership()
	removable, ok := p.removableMember(now, members)
	if ok && removable.Voter {
		_ = p.removeMember(MemberSilent, removable)
		return
	}
	if p.bringInLearner(members) {
		return
	}
	if ok {
		_ = p.removeMember(MemberSilent, removable)
		return
	}
	if outlived, ok := p.outlivedLearner(now, members); ok {
		_ = p.removeMember(MemberReplaced, outlived)
	}
}

// bringInLearner takes the first learner that has caught up: it removes the voter that was on
// the learner's VM before, or promotes the learner if there is none. It reports whether there
// is such a learner.
func (p *Replica) bringInLearner(members raft.Membership) bool {
	for _, m := range members.Members {
		if m.Voter || !p.node.CaughtUp(m.ID) {
			continue
		}
		if previous, ok := previousVoter(members, m); ok {
			_ = p.removeMember(MemberReplaced, previous)
			return true
		}
		m.Voter = true
		_ = p.changeMember(MemberPromoted, m)
		return true
	}
	return false
}

// outlivedLearner returns a silent learner on whose VM another replica is live. No quorum
// counts a learner, so it is removed however few other replicas are live.
func (p *Replica) outlivedLearner(now time.Time, members raft.Membership) (raft.Member, bool) {
	for _, m := range members.Members {
		if m.Voter || p.silence(now, m.ID) < removalTimeout {
			continue
		}
		for _, o := range members.Members {
			if sameVM(m, o) && p.silence(now, o.ID) < surplusTimeout {
				return m, true
			}
		}
	}
	return raft.Member{}, false
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
	var unreachable raft.Member
	for _, m := range members.Members {
		switch {
		case p.silence(now, m.ID) < timeout:
			if m.Voter || p.node.CaughtUp(m.ID) {
				live++
			}
		case unreachable.ID == "" || (m.Voter && !unreachable.Voter):
			unreachable = m
		}
	}
	return unreachable, unreachable.ID != "" && live >= minLiveReplicas
}

// silence returns the time since the last contact with a member. For the previous leader, that
// is its last message before the election too, unless it replies to this one.
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

// previousVoter returns a voter on the VM of m.
func previousVoter(members raft.Membership, m raft.Member) (raft.Member, bool) {
	for _, o := range members.Members {
		if o.Voter && sameVM(o, m) {
			return o, true
		}
	}
	return raft.Member{}, false
}

// sameVM reports whether two replicas have the same VM name or address.
func sameVM(a, b raft.Member) bool {
	return a.ID != b.ID && (a.VM == b.VM || (a.Addr.IsValid() && a.Addr == b.Addr))
}
