package raft

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrNotLeader is returned by calls that only the leader can serve.
var ErrNotLeader = errors.New("replica is not the leader")

// ErrChangeInProgress is returned while an earlier change of membership is not
// committed, or while the leader has not committed an entry of its term.
var ErrChangeInProgress = errors.New("a change of membership is under way")

// ErrNotCaughtUp is returned when a learner that has not caught up is to become a voter.
var ErrNotCaughtUp = errors.New("learner has not caught up")

// Options configures a Node. Only ID and Random are required.
type Options struct {
	ID                string
	Random            *rand.Rand
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time that a follower waits for its leader
	// before it campaigns. The actual time is random, up to twice that.
	ElectionTimeout time.Duration
}

// PersistentState is the state that a replica keeps on its disk. The zero value
// stands for an empty disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// pendingRead is a read whose heartbeat round has no quorum of replies yet.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// membershipEntry is a membership and the index of the entry that set it.
type membershipEntry struct {
	index      uint64
	membership Membership
}

// Node is one replica. Create it with New. It is not safe for concurrent use.
type Node struct {
	opts      Options
	hardState HardState
	// prevHardState is the hard state that was last restored or returned by
	// Ready.
	prevHardState HardState
	role          Role
	leader        string
	log           raftLog
	// stable is the index of the last entry known to be synced on this replica.
	stable uint64
	// handedOut is the index of the last entry that Ready returned to be
	// written.
	handedOut uint64
	// commit is at most log.last(); applied is at most commit.
	commit  uint64
	applied uint64
	// memberships holds the membership of the snapshot and all later ones in
	// the log. The last one is in force as soon as it is in the log, committed
	// or not.
	memberships []membershipEntry
	snapshot    Snapshot
	// receivedSnapshot is a snapshot from the leader that the next Ready returns.
	receivedSnapshot *Snapshot

	electionAt  time.Time
	heartbeatAt time.Time
	// matched is the index up to which the log is known to match that of the leader of term
	// matchedTerm.
	matched     uint64
	matchedTerm uint64
	// lastLeaderContact is when the last message from the leader arrived.
	lastLeaderContact time.Time
	votes             map[string]bool
	progress          map[string]*progress
	heartbeatRound    uint64
	reads             []pendingRead
	messages          []Message
	readyReads        []Read
	failedReads       []uint64
	events            []Event
	// reported holds the events that were queued in the term reportedTerm.
	reported     map[eventKey]bool
	reportedTerm uint64
	now          time.Time
}

// New returns a node that continues from the state restored from its disk.
func New(now time.Time, o Options, restored PersistentState) *Node {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	n := &Node{opts: o, prevHardState: restored.HardState, snapshot: restored.Snapshot, now: now}
	n.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	n.log.entries = restored.Entries
	n.hardState = n.restoredHardState(restored.HardState)
	n.commit = restored.Snapshot.Index
	n.applied = restored.Snapshot.Index
	n.stable = n.log.last()
	n.handedOut = n.stable
	n.rebuildMemberships()
	n.resetElectionTimer()
	// No leader is known at the start, so the first timeout is short. An early
	// campaign does not disturb a working group: a replica in contact with its
	// leader does not vote against it.
	n.electionAt = n.now.Add(n.opts.ElectionTimeout/10 + time.Duration(n.opts.Random.Int64N(int64(n.opts.ElectionTimeout/2))))
	if m := n.Membership(); m.Voter(o.ID) && m.Quorum() == 1 {
		// The only voter has no other leader to wait for.
		n.electionAt = now
	}
	return n
}

// Bootstrap returns the initial disk state of the only member of a new group.
func Bootstrap(m Member) PersistentState {
	m.Voter = true
	return BootstrapGroup(Membership{Members: []Member{m}})
}

// BootstrapGroup returns the initial disk state of each initial member of a new
// group. All of them must be given the same members.
func BootstrapGroup(m Membership) PersistentState {
	return PersistentState{Snapshot: Snapshot{Index: 1, Term: 1, Membership: m}, HardState: HardState{Term: 1}}
}

// rebuildMemberships derives memberships from the snapshot and the log.
func (n *Node) rebuildMemberships() {
	n.memberships = []membershipEntry{{n.snapshot.Index, n.snapshot.Membership}}
	for _, e := range n.log.entries {
		if e.Kind == KindMembership {
			n.memberships = append(n.memberships, membershipEntry{e.Index, *e.Membership})
		}
	}
}

// Membership returns the membership in force.
func (n *Node) Membership() Membership { return n.memberships[len(n.memberships)-1].membership }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the leader, or an empty string if it is unknown.
func (n *Node) Leader() string { return n.leader }

// HardState returns the current term and vote. Right after Ready, they are what the owner
// has been told to write.
func (n *Node) HardState() HardState { return n.hardState }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// MembershipIndex returns the log index of the membership in force.
func (n *Node) MembershipIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// CommitIndex returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.commit }

// AppliedIndex returns the index of the last entry that Ready returned to be
// applied.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// LogSize returns the number of entries since the snapshot.
func (n *Node) LogSize() int { return len(n.log.entries) }

// resetElectionTimer sets electionAt to a random time between one and two
// election timeouts from now.
func (n *Node) resetElectionTimer() {
	jitter := time.Duration(n.opts.Random.Int64N(int64(n.opts.ElectionTimeout)))
	n.electionAt = n.now.Add(n.opts.ElectionTimeout + jitter)
}

// Tick advances the node's time, which starts an election or sends heartbeats
// when they are due. It must be called at least once a heartbeat interval.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !now.Before(n.electionAt) {
		n.resetElectionTimer()
		n.campaign(PreCandidate)
	}
}

// Due returns the time at which Tick has work to do next.
func (n *Node) Due() time.Time {
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

// tickLeader steps down without an active quorum, and sends a heartbeat that is
// due.
func (n *Node) tickLeader() {
	if !n.hasActiveQuorum() {
		n.becomeFollower(n.hardState.Term, "")
		return
	}
	if !n.now.Before(n.heartbeatAt) {
		n.heartbeat()
	}
}

// hasActiveQuorum reports whether a quorum has replied within an election
// timeout.
func (n *Node) hasActiveQuorum() bool {
	count := 0
	m := n.Membership()
	for _, v := range m.Members {
		if v.Voter && (v.ID == n.opts.ID || n.now.Sub(n.progress[v.ID].lastContact) < n.opts.ElectionTimeout) {
			count++
		}
	}
	return count >= m.Quorum()
}

// becomeFollower makes the node a follower in a term. All pending reads fail.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	for _, r := range n.reads {
		n.failedReads = append(n.failedReads, r.id)
	}
	n.reads = nil
	n.resetElectionTimer()
}

// send queues a message for the next Ready. Its term is at least the node's.
func (n *Node) send(m Message) {
	m.From = n.opts.ID
	m.Term = max(m.Term, n.hardState.Term)
	n.messages = append(n.messages, m)
}

// Step handles a message from another replica.
func (n *Node) Step(now time.Time, m Message) {
	n.now = now
	if m.To != n.opts.ID {
		return
	}
	switch m.Type {
	case PreVote, Vote:
		n.stepVote(m)
		return
	case PreVoteReply:
		n.stepPreVoteReply(m)
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	if m.Term < n.hardState.Term {
		n.stepStale(m)
		return
	}
	if m.fromLeader() && n.contradicts(m) {
		return
	}
	switch m.Type {
	case VoteReply:
		n.stepVoteReply(m)
	case Append:
		n.stepAppend(m)
	case AppendReply:
		n.stepAppendReply(m)
	case InstallSnapshot:
		n.stepInstall(m)
	}
}

// stepStale handles a message of an earlier term. A leader of that term gets a
// rejection, which carries the current term.
func (n *Node) stepStale(m Message) {
	if m.fromLeader() {
		n.send(Message{Type: AppendReply, To: m.From, Reject: true, Index: n.log.last(), Round: m.Round})
	}
}

// Ready returns the pending work. Each item is returned once.
func (n *Node) Ready() Ready {
	r := Ready{Messages: n.messages, Reads: n.readyReads, FailedReads: n.failedReads, Snapshot: n.receivedSnapshot, Events: n.events}
	n.messages, n.readyReads, n.failedReads, n.receivedSnapshot, n.events = nil, nil, nil, nil, nil
	if n.hardState != n.prevHardState {
		h := n.hardState
		r.HardState = &h
		n.prevHardState = h
	}
	if n.handedOut < n.log.last() {
		r.Entries = n.log.entries[n.handedOut-n.log.snapshotIndex:]
		r.Entries = r.Entries[:len(r.Entries):len(r.Entries)]
		n.handedOut = n.log.last()
	}
	// A sole voter commits only entries that it has synced. Other replicas may
	// learn that an entry is committed before they have written it. They apply
	// only entries that were handed out, which the owner writes first.
	if hi := min(n.commit, n.handedOut); hi > n.applied {
		r.Committed = append([]Entry(nil), n.log.entries[n.applied-n.log.snapshotIndex:hi-n.log.snapshotIndex]...)
		n.applied = hi
	}
	return r
}

// Persisted reports that the writes of a Ready are synced, up to and including
// the entry with the given index and term.
func (n *Node) Persisted(index, term uint64) {
	// An entry that was replaced in the meantime does not count as synced.
	if t, ok := n.log.term(index); !ok || t != term {
		return
	}
	n.stable = max(n.stable, index)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact makes data the snapshot of the state at an applied index and removes
// the log up to that index. It returns the snapshot to write, or false if the
// index is not applied or not in the log.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index <= n.log.snapshotIndex || index > n.applied {
		return Snapshot{}, false
	}
	n.snapshot = Snapshot{Index: index, Term: term, Membership: n.membershipAt(index), Data: data}
	n.log.compact(index)
	n.rebuildMemberships()
	return n.snapshot, true
}

// membershipAt returns the membership in force at a log index.
func (n *Node) membershipAt(index uint64) Membership {
	var out Membership
	for _, m := range n.memberships {
		if m.index <= index {
			out = m.membership
		}
	}
	return out
}

// Log returns the entries after the snapshot, for a caller that rewrites the
// log on disk. Right after Ready, all of them have been handed out.
func (n *Node) Log() []Entry { return append([]Entry(nil), n.log.entries...) }

// LogAfter returns the entries of the log after an index that the log holds, or with which it
// begins. The caller must not modify them.
func (n *Node) LogAfter(index uint64) []Entry { return n.log.after(index) }
