package repl

import (
	"fuchsiafold.example/fold/raft"
)

// Join asks the leader to take in a replica: first as a learner, then as a
// voter in place of any earlier replica on the same VM.
func (p *Replica) Join(m raft.Member) error {
	if !p.Leads() {
		return ErrNotLeader
	}
	if _, known := p.node.Membership().Get(m.ID); known {
		return nil
	}
	m.Voter = false
	return p.node.ChangeMember(m)
}

// repair takes the next step towards a vote for a learner: the replica that
// its VM lost is removed once the learner has caught up, then it is promoted.
func (p *Replica) repair() {
	members := p.node.Membership()
	for _, m := range members.Members {
		if m.Voter || !p.node.CaughtUp(m.ID) {
			continue
		}
		if old, ok := earlier(members, m); ok {
			// The next tick retries what an earlier change still blocks.
			_ = p.node.RemoveMember(old.ID)
			return
		}
		m.Voter = true
		_ = p.node.ChangeMember(m)
		return
	}
}

// earlier returns another replica on the VM of m.
func earlier(members raft.Membership, m raft.Member) (raft.Member, bool) {
	for _, o := range members.Members {
		if o.VM == m.VM && o.ID != m.ID {
			return o, true
		}
	}
	return raft.Member{}, false
}
