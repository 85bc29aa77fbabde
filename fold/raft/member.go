package raft

import "time"

// ChangeMember adds or replaces one member. A learner becomes a voter only
// when it has every committed entry.
func (n *Node) ChangeMember(m Member) error {
	if err := n.mayChange(); err != nil {
		return err
	}
	if p := n.progress[m.ID]; m.Voter && (p == nil || p.match < n.commit) {
		return ErrNotCaughtUp
	}
	n.changeMembership(n.Membership().With(m))
	return nil
}

// RemoveMember removes one member.
func (n *Node) RemoveMember(id string) error {
	if err := n.mayChange(); err != nil {
		return err
	}
	n.changeMembership(n.Membership().Without(id))
	return nil
}

// mayChange reports why the membership can't be changed now: changes go one
// at a time, and only after the leader has committed an entry of its term.
func (n *Node) mayChange() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	last := n.memberships[len(n.memberships)-1]
	term, ok := n.log.term(n.commit)
	if last.index > n.commit || !ok || term != n.hard.Term {
		return ErrChangeInProgress
	}
	return nil
}

func (n *Node) changeMembership(m Membership) {
	n.append(Entry{Kind: KindMembership, Membership: &m})
	n.Flush()
}

// CaughtUp reports whether a member is heard and has every committed entry.
func (n *Node) CaughtUp(id string) bool {
	p := n.progress[id]
	return p != nil && p.match >= n.commit && p.match > 0 && n.now.Sub(p.heard) < n.opts.ElectionTimeout
}

// SinceLastContact returns how long ago the leader last heard a member; zero for one
// that it can't tell of.
func (n *Node) SinceLastContact(id string) time.Duration {
	p := n.progress[id]
	if p == nil || id == n.opts.ID {
		return 0
	}
	return n.now.Sub(p.heard)
}
