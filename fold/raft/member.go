package raft

import "time"

// ChangeMember adds or replaces one member. It returns ErrNotCaughtUp for a
// voter that is further behind than CaughtUp allows, ErrChangeInProgress while
// an earlier change is not committed, and ErrNotLeader on other replicas.
func (n *Node) ChangeMember(m Member) error {
	if err := n.checkMembershipChange(); err != nil {
		return err
	}
	if p := n.progress[m.ID]; m.Voter && (p == nil || !n.keepsPace(p)) {
		return ErrNotCaughtUp
	}
	n.changeMembership(n.Membership().With(m))
	return nil
}

// RemoveMember removes one member. It returns ErrChangeInProgress while an
// earlier change is not committed, and ErrNotLeader on other replicas.
func (n *Node) RemoveMember(id string) error {
	if err := n.checkMembershipChange(); err != nil {
		return err
	}
	n.changeMembership(n.Membership().Without(id))
	return nil
}

// checkMembershipChange returns an error if the membership can't be changed
// now. Only one change may be in progress, and the leader must have committed
// an entry of its term.
func (n *Node) checkMembershipChange() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	last := n.memberships[len(n.memberships)-1]
	term, ok := n.log.term(n.commit)
	if last.index > n.commit || !ok || term != n.hardState.Term {
		return ErrChangeInProgress
	}
	return nil
}

func (n *Node) changeMembership(m Membership) {
	n.append(Entry{Kind: KindMembership, Membership: &m})
	n.Flush()
}

// CaughtUp reports whether a member has replied within an election timeout and
// lacks no committed entry older than that. It is false for the leader itself and on replicas
// other than the leader.
func (n *Node) CaughtUp(id string) bool {
	p := n.progress[id]
	return p != nil && n.keepsPace(p) && p.match > 0 && n.now.Sub(p.lastContact) < n.opts.ElectionTimeout
}

// SinceLastContact returns the time since the leader last received a reply from
// a member. It is zero for the replica itself, for replicas that are not
// members, and on replicas other than the leader.
func (n *Node) SinceLastContact(id string) time.Duration {
	p := n.progress[id]
	if p == nil || id == n.opts.ID {
		return 0
	}
	return n.now.Sub(p.lastContact)
}

// Answered reports whether a member has replied to this replica since it became the leader.
func (n *Node) Answered(id string) bool {
	p := n.progress[id]
	return p != nil && p.ackedRound > 0
}
