package repl

import "fuchsiafold.example/fold/raft"

// ReportPath is where control VMs serve their GroupReport to operators.
const ReportPath = "/v1/control"

// Contact is whether a replica can reach a member of its group.
type Contact string

// The kinds of contact. Replicas that don't lead send each other messages only while no
// leader is known, and otherwise have no contact to tell of.
const (
	ContactUnknown Contact = "unknown"
	Reachable      Contact = "reachable"
	Unreachable    Contact = "unreachable"
)

// NeverHeard is the SilenceMillis of a member that has sent no message.
const NeverHeard = -1

// GroupReport is what a control VM tells operators of its group.
type GroupReport struct {
	// Replica is the ID of the replica that reports, and Leader the VM of the leader that it
	// knows, empty if it knows none.
	Replica string `json:"replica"`
	Leader  string `json:"leader,omitempty"`
	Term    uint64 `json:"term"`
	// Leads is set if the replica is the leader itself.
	Leads bool `json:"leads"`
	// LeaderlessMillis is for how long the replica has known no leader.
	LeaderlessMillis int64 `json:"leaderlessMillis,omitempty"`
	// LastIndex is the index of the last entry of the replica's log.
	LastIndex uint64 `json:"lastIndex"`
	// Voters is the number of voters, and Quorum that of a majority of them.
	Voters int `json:"voters"`
	Quorum int `json:"quorum"`
	// LossEndsGroup is as GroupStatus.LossEndsGroup. Only the leader sets it.
	LossEndsGroup bool `json:"lossEndsGroup"`
	// Members is ordered by ID.
	Members []MemberReport `json:"members"`
}

// MemberReport is what a control VM tells operators of a member of its group.
type MemberReport struct {
	raft.Member
	Contact Contact `json:"contact"`
	// SilenceMillis is the time since the member's last message, zero for the replica that
	// reports and NeverHeard if none has come.
	SilenceMillis int64 `json:"silenceMillis"`
	// ReplacedBy is the ID of the replica that answers at the member's address in its place.
	ReplacedBy string `json:"replacedBy,omitempty"`
	// Progress is set by the leader.
	Progress *ProgressReport `json:"progress,omitempty"`
}

// ProgressReport is how far the leader has brought a member up to date.
type ProgressReport struct {
	// State is as raft.Progress.State, empty for the leader itself.
	State string `json:"state,omitempty"`
	// Entries and Bytes are what the member may lack of the leader's log.
	Entries uint64 `json:"entries"`
	Bytes   int    `json:"bytes"`
	// InFlightBytes is the size of what was sent and is not acknowledged.
	InFlightBytes int `json:"inFlightBytes"`
	// BehindMillis is for how long the member has been behind, zero if it is not.
	BehindMillis int64 `json:"behindMillis"`
}

// Report returns the status as operators see it, of the fields that it holds.
func (s GroupStatus) Report() GroupReport {
	r := GroupReport{Leads: true, LastIndex: s.LastIndex, Quorum: s.Quorum, LossEndsGroup: s.LossEndsGroup()}
	for _, m := range s.Members {
		r.Members = append(r.Members, s.memberReport(m))
		if m.Voter {
			r.Voters++
		}
	}
	return r
}

func (s GroupStatus) memberReport(m MemberStatus) MemberReport {
	r := MemberReport{Member: m.Member, Contact: Unreachable, SilenceMillis: m.Silence.Milliseconds()}
	if m.Live {
		r.Contact = Reachable
	}
	r.Progress = &ProgressReport{
		State:         m.State,
		Entries:       s.EntriesBehind(m),
		Bytes:         m.BytesBehind,
		InFlightBytes: m.InFlight,
		BehindMillis:  m.BehindFor.Milliseconds(),
	}
	return r
}
