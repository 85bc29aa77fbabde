package store

import (
	"net/netip"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/wire"
)

// ToMembers returns the wire form of a membership.
func ToMembers(m raft.Membership) []*wire.Member {
	var out []*wire.Member
	for _, v := range m.Members {
		out = append(out, ToMember(v))
	}
	return out
}

// ToMember returns the wire form of a member.
func ToMember(m raft.Member) *wire.Member {
	return &wire.Member{Id: m.ID, Vm: m.VM, Addr: m.Addr.String(), Voter: m.Voter}
}

// FromMember converts a member from its wire form. An address that doesn't parse
// becomes the invalid address.
func FromMember(m *wire.Member) raft.Member {
	// Nothing is sent to an invalid address, so the parse error is ignored.
	addr, _ := netip.ParseAddrPort(m.GetAddr())
	return raft.Member{ID: m.GetId(), VM: m.GetVm(), Addr: addr, Voter: m.GetVoter()}
}

func fromMembers(list []*wire.Member) raft.Membership {
	var out raft.Membership
	for _, m := range list {
		out.Members = append(out.Members, FromMember(m))
	}
	return out
}

// ToEntries returns the wire form of log entries.
func ToEntries(entries []raft.Entry) []*wire.Entry {
	var out []*wire.Entry
	for _, e := range entries {
		w := &wire.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
		if e.Membership != nil {
			w.Membership = ToMembers(*e.Membership)
		}
		out = append(out, w)
	}
	return out
}

// FromEntries converts log entries from their wire form.
func FromEntries(entries []*wire.Entry) []raft.Entry {
	var out []raft.Entry
	for _, w := range entries {
		e := raft.Entry{Index: w.GetIndex(), Term: w.GetTerm(), Kind: raft.EntryKind(w.GetKind()), Data: w.GetData()}
		if e.Kind == raft.KindMembership {
			m := fromMembers(w.GetMembership())
			e.Membership = &m
		}
		out = append(out, e)
	}
	return out
}

// ToSnapshot returns the wire form of a snapshot.
func ToSnapshot(s raft.Snapshot) *wire.Snapshot {
	return &wire.Snapshot{Index: s.Index, Term: s.Term, Membership: ToMembers(s.Membership), Data: s.Data}
}

// FromSnapshot converts a snapshot from its wire form.
func FromSnapshot(s *wire.Snapshot) raft.Snapshot {
	return raft.Snapshot{Index: s.GetIndex(), Term: s.GetTerm(), Membership: fromMembers(s.GetMembership()), Data: s.GetData()}
}

// ToMessage returns the wire form of a raft message.
func ToMessage(m raft.Message) *wire.LogMessage {
	w := &wire.LogMessage{
		Type: uint32(m.Type), From: m.From, To: m.To, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Entries: ToEntries(m.Entries), Commit: m.Commit, Reject: m.Reject, Round: m.Round,
	}
	if m.Snapshot != nil {
		w.Snapshot = ToSnapshot(*m.Snapshot)
	}
	return w
}

// FromMessage converts a raft message from its wire form.
func FromMessage(w *wire.LogMessage) raft.Message {
	m := raft.Message{
		Type: raft.MessageType(w.GetType()), From: w.GetFrom(), To: w.GetTo(), Term: w.GetTerm(), Index: w.GetIndex(), LogTerm: w.GetLogTerm(),
		Entries: FromEntries(w.GetEntries()), Commit: w.GetCommit(), Reject: w.GetReject(), Round: w.GetRound(),
	}
	if w.GetSnapshot() != nil {
		s := FromSnapshot(w.GetSnapshot())
		m.Snapshot = &s
	}
	return m
}
