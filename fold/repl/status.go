package repl

import (
	"time"

	"fuchsiafold.example/fold/raft"
)

// MemberStatus is what the leader knows of a member of the group.
type MemberStatus struct {
	raft.Member
	// Progress is that of the leader itself if it has no State. Its Confirmed is at most
	// GroupStatus.LastIndex.
	raft.Progress
	// BytesBehind is the size of the data that the leader has and the member may lack.
	BytesBehind int
	// Silence is the time since the member's last reply, zero for the leader.
	Silence time.Duration
	// Live is set if Silence is shorter than an election timeout.
	Live bool
}

// GroupStatus is what the leader knows of the group. The zero value stands for a replica
// that is not the leader.
type GroupStatus struct {
	// LastIndex is the index of the last entry of the leader's log.
	LastIndex uint64
	// Members is ordered by ID.
	Members []MemberStatus
	// Quorum is the number of voters that form a majority, and LiveVoters that of the
	// voters that are live.
	Quorum, LiveVoters int
}

// LossEndsGroup reports whether the voters that would be left after the loss of one that is
// live are too few for a quorum.
func (s GroupStatus) LossEndsGroup() bool { return s.LiveVoters <= s.Quorum }

// EntriesBehind returns how many entries of the leader's log a member may lack.
func (s GroupStatus) EntriesBehind(m MemberStatus) uint64 { return s.LastIndex - m.Confirmed }

// GroupStatus returns what the leader knows of the group, and false on replicas other than
// the leader.
func (p *Replica) GroupStatus() (GroupStatus, bool) {
	if !p.IsLeader() {
		return GroupStatus{}, false
	}
	members := p.node.Membership()
	s := GroupStatus{LastIndex: p.node.LastIndex(), Quorum: members.Quorum()}
	for _, m := range members.Members {
		status := p.memberStatus(m)
		s.Members = append(s.Members, status)
		if m.Voter && status.Live {
			s.LiveVoters++
		}
	}
	return s, true
}

func (p *Replica) memberStatus(m raft.Member) MemberStatus {
	progress, ok := p.node.Progress(m.ID)
	if !ok {
		progress.Confirmed = p.node.LastIndex()
	}
	return MemberStatus{
		Member:      m,
		Progress:    progress,
		BytesBehind: p.node.BytesAfter(progress.Confirmed),
		Silence:     p.node.SinceLastContact(m.ID),
		Live:        p.node.Live(m.ID),
	}
}
