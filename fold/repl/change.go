package repl

import (
	"time"

	"fuchsiafold.example/fold/raft"
)

// ChangeKind is the kind of a MemberChange.
type ChangeKind uint8

// The kinds of changes.
const (
	// MemberJoined: the member was added as a learner.
	MemberJoined ChangeKind = iota + 1
	// MemberPromoted: the member has caught up and was made a voter.
	MemberPromoted
	// MemberReplaced: the member was removed for another replica on its VM or address.
	MemberReplaced
	// MemberSilent: the member was removed since it doesn't answer.
	MemberSilent
)

// MemberChange is a change of the membership that this replica has made as the leader. It is
// undone if another leader is elected before it is committed.
type MemberChange struct {
	Kind   ChangeKind
	Member raft.Member
	// Silence is how long the member had not answered at that time. It is zero for
	// MemberJoined.
	Silence time.Duration
	// Index is the index of the entry with the new membership.
	Index uint64
}

// changeMember adds or replaces a member, and records why.
func (p *Replica) changeMember(kind ChangeKind, m raft.Member) error {
	if err := p.node.ChangeMember(m); err != nil {
		return err
	}
	p.recordChange(kind, m, p.node.SinceLastContact(m.ID))
	return nil
}

// removeMember removes a member, and records why.
func (p *Replica) removeMember(kind ChangeKind, m raft.Member) error {
	silence := p.node.SinceLastContact(m.ID)
	if err := p.node.RemoveMember(m.ID); err != nil {
		return err
	}
	p.recordChange(kind, m, silence)
	return nil
}

func (p *Replica) recordChange(kind ChangeKind, m raft.Member, silence time.Duration) {
	p.changes = append(p.changes, MemberChange{Kind: kind, Member: m, Silence: silence, Index: p.node.MembershipIndex()})
}
