// Package raft implements the Raft consensus algorithm for the replicated log of
// the control state. It has elections with pre-vote, leaders that step down
// without a quorum, learners, membership changes one at a time, snapshots and
// linearizable reads.
//
// A Node does no input or output of its own. Its owner passes in messages and
// the time, and calls Ready for what to write, send and apply.
package raft

import (
	"net/netip"
	"slices"
	"time"
)

// EntryKind is the kind of content of an Entry.
type EntryKind uint8

// The kinds of entries.
const (
	// KindCommand marks a command of the replicated state machine.
	KindCommand EntryKind = iota
	// KindNoop marks an empty entry. Each new leader writes one.
	KindNoop
	// KindMembership marks a new Membership.
	KindMembership
)

// Entry is one entry of the log. Data is set for KindCommand, Membership for
// KindMembership.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// Member is one replica.
type Member struct {
	// ID identifies the replica's disk: a VM that lost its disk gets a new ID.
	ID string `json:"id"`
	// VM is the name of the VM on which the replica runs.
	VM   string         `json:"vm"`
	Addr netip.AddrPort `json:"addr"`
	// Voter is false for a learner, which receives the log but has no vote.
	Voter bool `json:"voter"`
}

// Membership is the set of replicas, ordered by ID.
type Membership struct {
	Members []Member `json:"members"`
}

// Get returns the member with the given ID, and whether there is one.
func (m Membership) Get(id string) (Member, bool) {
	for _, v := range m.Members {
		if v.ID == id {
			return v, true
		}
	}
	return Member{}, false
}

// Voter reports whether the replica has a vote.
func (m Membership) Voter(id string) bool {
	v, ok := m.Get(id)
	return ok && v.Voter
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int {
	n := 0
	for _, v := range m.Members {
		if v.Voter {
			n++
		}
	}
	return n/2 + 1
}

// With returns a copy of the membership with a member added or replaced.
func (m Membership) With(v Member) Membership {
	out := m.Without(v.ID)
	out.Members = append(out.Members, v)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Without returns a copy of the membership without a member.
func (m Membership) Without(id string) Membership {
	members := slices.Clone(m.Members)
	return Membership{Members: slices.DeleteFunc(members, func(v Member) bool { return v.ID == id })}
}

// HardState is the state that must survive a restart of the replica. It must be
// synced before messages that depend on it are sent.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot is the state after all entries up to Index, which has the given Term.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageType is the type of a Message.
type MessageType uint8

// The types of messages.
const (
	PreVote MessageType = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot
)

// Message is sent from one replica to another. Its Type determines which of the
// other fields are used.
type Message struct {
	Type MessageType
	From string
	To   string
	Term uint64
	// Index and LogTerm identify the entry before Entries in an Append, and the
	// last entry of the candidate in a PreVote or Vote. In an AppendReply, Index
	// is the last matching entry, or with Reject the highest that may match.
	Index    uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64
	Reject   bool
	Snapshot *Snapshot
	// Round is the number of the leader's heartbeat round. Replies repeat it.
	Round uint64
}

// fromLeader reports whether only a leader sends messages of this type.
func (m Message) fromLeader() bool { return m.Type == Append || m.Type == InstallSnapshot }

// Transfer reports whether the message carries entries or a snapshot. All other messages are
// small, and none of them depends on a transfer that was sent before it.
func (m Message) Transfer() bool { return len(m.Entries) > 0 || m.Snapshot != nil }

// Read is a confirmed read, which may be answered once Index has been applied.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is the work that a Node hands to its owner, to be done in the order of
// the fields: write, then send, then apply. The owner calls Persisted once the
// writes are synced.
type Ready struct {
	HardState *HardState
	// Snapshot replaces the whole log and state.
	Snapshot *Snapshot
	// Entries replace the log from the index of the first of them on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
	// FailedReads holds the IDs of reads that this replica can't answer because
	// it is not, or no longer, the leader.
	FailedReads []uint64
	Events      []Event
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0 && len(r.Events) == 0
}

// Role is the role of a Node in its term.
type Role uint8

// Roles of a Node. A PreCandidate asks whether it could win an election before
// it starts a new term as Candidate.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "preCandidate", "candidate", "leader"}

func (r Role) String() string { return roleNames[r] }

// Default values of Options.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = time.Second
)

// Limits of the entries in one Append. maxMessageBytes bounds the sum of their
// data in bytes; a single larger entry is sent alone.
const (
	maxMessageEntries = 512
	maxMessageBytes   = 1 << 20
)
