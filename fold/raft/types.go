// Package raft is a replicated log for the system's own state: elections with
// pre-vote, a leader that steps down without a quorum, learners, one change
// of membership at a time, snapshots and linearizable reads. A Node is a state
// machine without input or output: messages and times go in, and Ready says
// what to write, send and apply.
package raft

import (
	"net/netip"
	"slices"
	"time"
)

// EntryKind says what an Entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// KindCommand: a command of the state machine above.
	KindCommand EntryKind = iota
	// KindNoop: nothing, written by each new leader.
	KindNoop
	// KindMembership: a new Membership.
	KindMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// Member is one replica.
type Member struct {
	// ID names the replica's disk: a VM that lost its disk has a new one.
	ID string `json:"id"`
	// VM names the VM that the replica runs on.
	VM   string         `json:"vm"`
	Addr netip.AddrPort `json:"addr"`
	// Voter is false for a learner, which follows the log without a vote.
	Voter bool `json:"voter"`
}

// Membership is the set of replicas, ordered by ID.
type Membership struct {
	Members []Member `json:"members"`
}

// Get returns a member.
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

// Quorum returns the number of votes that a decision needs.
func (m Membership) Quorum() int {
	n := 0
	for _, v := range m.Members {
		if v.Voter {
			n++
		}
	}
	return n/2 + 1
}

// With returns the membership with a member added or replaced.
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

// Without returns the membership without a member.
func (m Membership) Without(id string) Membership {
	members := slices.Clone(m.Members)
	return Membership{Members: slices.DeleteFunc(members, func(v Member) bool { return v.ID == id })}
}

// HardState is what a replica must not forget.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot is the state up to an index.
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

// Message goes from one replica to another. Which fields count depends on its
// Type.
type Message struct {
	Type MessageType
	From string
	To   string
	Term uint64
	// Index and LogTerm name the entry before Entries in an Append, the last
	// entry of a candidate, and the last matching entry in an AppendReply.
	Index    uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64
	Reject   bool
	Snapshot *Snapshot
	// Round numbers the leader's heartbeats; replies return it.
	Round uint64
}

// Read is a read that may be answered once Index has been applied.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is what a Node asks its owner to do, in the order of the fields:
// write, then send, then apply. Persisted is called when the writes are
// synced.
type Ready struct {
	HardState *HardState
	// Snapshot replaces the log and the state.
	Snapshot *Snapshot
	// Entries replace the log from the index of the first one on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
	// FailedReads holds reads that can't be answered here.
	FailedReads []uint64
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0
}

// Role is what a Node is at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "preCandidate", "candidate", "leader"}

func (r Role) String() string { return roleNames[r] }

// Defaults of the timing.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = time.Second
)

// Limits of one message.
const (
	maxEntries = 512
	maxBytes   = 1 << 20
)
