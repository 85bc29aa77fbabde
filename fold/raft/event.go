package raft

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	// TermBelowLog: the disk holds entries of a later term than its hard state.
	TermBelowLog EventKind = iota + 1
	// CommittedEntryDiffers: a leader has another entry at an index that is committed
	// here.
	CommittedEntryDiffers
	// SecondLeader: two replicas lead in the same term.
	SecondLeader
	// AcknowledgedBeyondLog: a replica acknowledged an entry that the leader doesn't have.
	AcknowledgedBeyondLog
	// Campaigned: the node has asked the other voters for their votes.
	Campaigned
	// VoteRefused: the node has refused its vote, or a pre-vote, to a candidate.
	VoteRefused
	// Yielded: the node has ended its own pre-vote, as another candidate goes before it.
	Yielded
)

// Refusal is why a vote was refused.
type Refusal uint8

// The reasons of a refusal.
const (
	NotRefused Refusal = iota
	// ActiveLeader: the node leads, or has heard of its leader within an election timeout.
	ActiveLeader
	// EarlierTerm: the candidate's term is not above the node's own.
	EarlierTerm
	// OutdatedLog: the candidate's log is less up to date than the node's.
	OutdatedLog
	// VotedForOther: the node has voted for another candidate of the term.
	VotedForOther
)

var refusalNames = [...]string{
	NotRefused: "", ActiveLeader: "activeLeader", EarlierTerm: "earlierTerm", OutdatedLog: "outdatedLog", VotedForOther: "votedForOther",
}

func (r Refusal) String() string { return refusalNames[r] }

var eventNames = [...]string{
	TermBelowLog:          "termBelowLog",
	CommittedEntryDiffers: "committedEntryDiffers",
	SecondLeader:          "secondLeader",
	AcknowledgedBeyondLog: "acknowledgedBeyondLog",
	Campaigned:            "campaigned",
	VoteRefused:           "voteRefused",
	Yielded:               "yielded",
}

func (k EventKind) String() string { return eventNames[k] }

// Violation reports whether an event of the kind breaks an invariant of the algorithm: a
// disk has forgotten something, or a message is wrong.
func (k EventKind) Violation() bool { return k >= TermBelowLog && k <= AcknowledgedBeyondLog }

// Event is something that a Node tells its owner for the log.
type Event struct {
	Kind EventKind
	// Peer is the ID of the other replica, empty if the event concerns none.
	Peer string
	// Refusal is the reason of VoteRefused.
	Refusal Refusal
	// Term is the node's term, and OtherTerm that of what the event is about: of the
	// newest entry on the disk, of the message's entry at Index, or for which a candidate
	// wants a vote.
	Term, OtherTerm uint64
	// Index is that of the entry, or of the last entry of a candidate's log.
	Index uint64
}

// eventKey identifies events of one term of the node that are reported once.
type eventKey struct {
	kind    EventKind
	peer    string
	refusal Refusal
}

// report queues an event for the next Ready. Of the events of one kind, peer and refusal it
// reports the first in each of the node's terms.
func (n *Node) report(e Event) {
	e.Term = n.hardState.Term
	if n.reported == nil || n.reportedTerm != e.Term {
		n.reported, n.reportedTerm = map[eventKey]bool{}, e.Term
	}
	key := eventKey{e.Kind, e.Peer, e.Refusal}
	if n.reported[key] {
		return
	}
	n.reported[key] = true
	n.events = append(n.events, e)
}

// restoredHardState returns the hard state to start with. A disk of an earlier version may
// lack it: the replica then starts in the term of its newest entry, in which it votes for
// no other replica, as it may have voted before.
func (n *Node) restoredHardState(h HardState) HardState {
	last := n.log.lastTerm()
	if h.Term >= last {
		return h
	}
	n.report(Event{Kind: TermBelowLog, Index: n.log.last(), OtherTerm: last})
	return HardState{Term: last, Vote: n.opts.ID}
}

// contradicts reports whether a message of a leader shows that it is not the leader of this
// term, or that its log differs from what is committed here. Such a message must not be
// acknowledged: it would make the group replace committed entries.
func (n *Node) contradicts(m Message) bool {
	if n.role == Leader || (n.leader != "" && n.leader != m.From) {
		n.report(Event{Kind: SecondLeader, Peer: m.From, OtherTerm: m.Term})
		return true
	}
	if s := m.Snapshot; s != nil {
		return n.differsFromCommitted(m.From, s.Index, s.Term)
	}
	if n.differsFromCommitted(m.From, m.Index, m.LogTerm) {
		return true
	}
	for _, e := range m.Entries {
		if n.differsFromCommitted(m.From, e.Index, e.Term) {
			return true
		}
	}
	return false
}

// differsFromCommitted reports whether the entry committed at index is known not to be of
// term, the term of a leader's entry there.
func (n *Node) differsFromCommitted(leader string, index, term uint64) bool {
	own, ok := n.log.term(index)
	if !ok || index > n.commit || own == term {
		return false
	}
	n.report(Event{Kind: CommittedEntryDiffers, Peer: leader, Index: index, OtherTerm: term})
	return true
}
