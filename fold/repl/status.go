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
	// BehindFor is how long the member has been behind, zero if it is not. GroupStatus
	// leaves it zero: whoever asks repeatedly sets it.
	BehindFor time.Duration
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

// VoterHealth is what the leader knows of a voter's state.
type VoterHealth struct {
	// Live is set if the voter answers, and UpToDate if it is not behind.
	Live, UpToDate bool
}

// LossEndsGroup reports whether the loss of one more voter may leave fewer voters than a
// quorum that are live and up to date. This is so if they are too few already.
func LossEndsGroup(voters []VoterHealth) bool {
	quorum := len(voters)/2 + 1
	sound := 0
	for _, v := range voters {
		if v.Live && v.UpToDate {
			sound++
		}
	}
	return sound <= quorum
}

// LossEndsGroup reports whether the loss of one more voter may end the group.
func (s GroupStatus) LossEndsGroup() bool {
	var voters []VoterHealth
	for _, m := range s.Members {
		if m.Voter {
			voters = append(voters, VoterHealth{Live: m.Live, UpToDate: m.BehindFor == 0})
		}
	}
	return LossEndsGroup(voters)
}

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
