package raft

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrNotLeader is returned by calls that only the leader takes.
var ErrNotLeader = errors.New("replica is not the leader")

// ErrChangeInProgress is returned while an earlier change of membership is not
// committed.
var ErrChangeInProgress = errors.New("a change of membership is under way")

// ErrNotCaughtUp is returned for a vote to a learner that lacks entries.
var ErrNotCaughtUp = errors.New("learner has not caught up")

// Options describes a Node. Only ID and Random have to be set.
type Options struct {
	ID                string
	Random            *rand.Rand
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest wait of a follower for its leader; the longest
	// is twice that.
	ElectionTimeout time.Duration
}

// PersistentState is what a replica has on its disk. The zero value is an empty disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is what the leader knows of another replica.
type progress struct {
	// match is the last entry known to be synced there; next is sent next and
	// is greater than match.
	match uint64
	next  uint64
	heard time.Time
	// round is the last heartbeat round that the replica answered.
	round uint64
	// installing is set while a snapshot is under way.
	installing time.Time
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

type membershipAt struct {
	index      uint64
	membership Membership
}

// Node is one replica. Make it with New. It is not safe for concurrent use.
type Node struct {
	opts   Options
	hard   HardState
	saved  HardState
	role   Role
	leader string
	log    raftLog
	// stable is the last entry known to be synced here.
	stable uint64
	// handed is the last entry that Ready gave out to be written.
	handed uint64
	// commit is at most log.last(); applied is at most commit.
	commit  uint64
	applied uint64
	// memberships is the history since the snapshot; the last one is in force
	// from the moment it is in the log.
	memberships []membershipAt
	snapshot    Snapshot
	install     *Snapshot

	electionAt  time.Time
	heartbeatAt time.Time
	// heardLeader is when the leader was last heard.
	heardLeader time.Time
	votes       map[string]bool
	progress    map[string]*progress
	round       uint64
	reads       []pendingRead
	messages    []Message
	readyReads  []Read
	failed      []uint64
	now         time.Time
}

// New returns a node that goes on from what its disk holds.
func New(now time.Time, o Options, r PersistentState) *Node {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	n := &Node{opts: o, hard: r.HardState, saved: r.HardState, snapshot: r.Snapshot, now: now}
	n.log.reset(r.Snapshot.Index, r.Snapshot.Term)
	n.log.entries = r.Entries
	n.commit = r.Snapshot.Index
	n.applied = r.Snapshot.Index
	n.stable = n.log.last()
	n.handed = n.stable
	n.rebuildMemberships()
	n.resetElection()
	// Nobody is known to lead when a replica starts. One that hears its leader
	// meanwhile does not vote against it.
	n.electionAt = n.now.Add(n.opts.ElectionTimeout/10 + time.Duration(n.opts.Random.Int64N(int64(n.opts.ElectionTimeout/2))))
	if m := n.Membership(); m.Voter(o.ID) && m.Quorum() == 1 {
		// Nobody else can lead.
		n.electionAt = now
	}
	return n
}

// Bootstrap returns what the disk of the first replica of a new group holds.
func Bootstrap(m Member) PersistentState {
	m.Voter = true
	return BootstrapGroup(Membership{Members: []Member{m}})
}

// BootstrapGroup returns what the disk of each founder of a new group holds. All
// founders must be given the same members.
func BootstrapGroup(m Membership) PersistentState {
	return PersistentState{Snapshot: Snapshot{Index: 1, Term: 1, Membership: m}, HardState: HardState{Term: 1}}
}

func (n *Node) rebuildMemberships() {
	n.memberships = []membershipAt{{n.snapshot.Index, n.snapshot.Membership}}
	for _, e := range n.log.entries {
		if e.Kind == KindMembership {
			n.memberships = append(n.memberships, membershipAt{e.Index, *e.Membership})
		}
	}
}

// Membership returns the membership in force.
func (n *Node) Membership() Membership { return n.memberships[len(n.memberships)-1].membership }

// Role returns what the node is at the moment.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the leader, empty if unknown.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// MembershipIndex returns the index of the membership in force.
func (n *Node) MembershipIndex() uint64 { return n.memberships[len(n.memberships)-1].index }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// CommitIndex returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.commit }

// AppliedIndex returns the index of the last entry handed out to be applied.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// LogSize returns the number of entries since the snapshot.
func (n *Node) LogSize() int { return len(n.log.entries) }

func (n *Node) resetElection() {
	spread := time.Duration(n.opts.Random.Int64N(int64(n.opts.ElectionTimeout)))
	n.electionAt = n.now.Add(n.opts.ElectionTimeout + spread)
}

// Tick tells the node the time. It is called at least once a heartbeat.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !now.Before(n.electionAt) {
		n.resetElection()
		n.campaign(PreCandidate)
	}
}

// Due returns when Tick has something to do next.
func (n *Node) Due() time.Time {
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

func (n *Node) tickLeader() {
	if !n.hearsQuorum() {
		n.follow(n.hard.Term, "")
		return
	}
	if !n.now.Before(n.heartbeatAt) {
		n.heartbeat()
	}
}

// hearsQuorum reports whether a quorum was heard within an election timeout.
func (n *Node) hearsQuorum() bool {
	count := 0
	m := n.Membership()
	for _, v := range m.Members {
		if v.Voter && (v.ID == n.opts.ID || n.now.Sub(n.progress[v.ID].heard) < n.opts.ElectionTimeout) {
			count++
		}
	}
	return count >= m.Quorum()
}

// follow makes the node a follower in a term.
func (n *Node) follow(term uint64, leader string) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	for _, r := range n.reads {
		n.failed = append(n.failed, r.id)
	}
	n.reads = nil
	n.resetElection()
}

func (n *Node) send(m Message) {
	m.From = n.opts.ID
	m.Term = max(m.Term, n.hard.Term)
	n.messages = append(n.messages, m)
}

// Step takes a message from another replica.
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
	if m.Term > n.hard.Term {
		leader := ""
		if m.Type == Append || m.Type == InstallSnapshot {
			leader = m.From
		}
		n.follow(m.Term, leader)
	}
	if m.Term < n.hard.Term {
		n.stepOld(m)
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

// stepOld tells a leader of an earlier term that it is one.
func (n *Node) stepOld(m Message) {
	if m.Type == Append || m.Type == InstallSnapshot {
		n.send(Message{Type: AppendReply, To: m.From, Reject: true, Index: n.log.last(), Round: m.Round})
	}
}

// Ready returns what has to be done, and counts it as handed out.
func (n *Node) Ready() Ready {
	r := Ready{Messages: n.messages, Reads: n.readyReads, FailedReads: n.failed, Snapshot: n.install}
	n.messages, n.readyReads, n.failed, n.install = nil, nil, nil, nil
	if n.hard != n.saved {
		h := n.hard
		r.HardState = &h
		n.saved = h
	}
	if n.handed < n.log.last() {
		r.Entries = n.log.entries[n.handed-n.log.base:]
		r.Entries = r.Entries[:len(r.Entries):len(r.Entries)]
		n.handed = n.log.last()
	}
	// A leader that is alone commits what is synced here; others may commit
	// what is synced elsewhere first, but apply only what is synced here.
	if hi := min(n.commit, n.handed); hi > n.applied {
		r.Committed = append([]Entry(nil), n.log.entries[n.applied-n.log.base:hi-n.log.base]...)
		n.applied = hi
	}
	return r
}

// Persisted says that the writes of a Ready are synced, entries up to index
// included.
func (n *Node) Persisted(index, term uint64) {
	// Entries that were replaced meanwhile do not count.
	if t, ok := n.log.term(index); !ok || t != term {
		return
	}
	n.stable = max(n.stable, index)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact takes a snapshot of the state as of an applied index, and drops the
// log up to it. It returns the snapshot to write.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index <= n.log.base || index > n.applied {
		return Snapshot{}, false
	}
	n.snapshot = Snapshot{Index: index, Term: term, Membership: n.membershipAt(index), Data: data}
	n.log.compact(index)
	n.rebuildMemberships()
	return n.snapshot, true
}

func (n *Node) membershipAt(index uint64) Membership {
	var out Membership
	for _, m := range n.memberships {
		if m.index <= index {
			out = m.membership
		}
	}
	return out
}

// Log returns the entries after the snapshot, all of which count as handed
// out to be written.
func (n *Node) Log() []Entry { return append([]Entry(nil), n.log.entries...) }
