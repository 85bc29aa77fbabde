package raft

import "time"

// progressState is what the leader does to bring a member up to date.
type progressState uint8

const (
	// probing: the leader looks for the last entry that the member shares with it. It sends
	// next to nothing until a probe is accepted.
	probing progressState = iota
	// replicating: the member has all entries up to match, and is sent those that follow as
	// far as its window allows.
	replicating
	// installing: a snapshot is on its way to the member, and no entries are sent.
	installing
)

// Limits of what is on its way to one member. A window that is open takes one more Append,
// so that an entry of any size gets through.
const (
	maxInFlightBytes   = 2 << 20
	maxInFlightAppends = 128
	// maxProbeBytes bounds the data of the entries that a probe carries.
	maxProbeBytes = 16 << 10
	// minTransferRate is the least rate, in bytes per second, at which entries and snapshots
	// are expected to reach a member.
	minTransferRate = 1 << 20
)

// progress is the leader's view of a member. The leader also has one for itself,
// which is not updated.
type progress struct {
	state progressState
	// match is the index of the last entry known to be synced at the replica.
	// next is the index of the next entry to send; it is greater than match.
	match       uint64
	next        uint64
	lastContact time.Time
	// target is what was committed at targetAt, when the member last reached the target
	// before. inTime is set if that took it less than an election timeout.
	target   uint64
	targetAt time.Time
	inTime   bool
	// ackedRound is the last heartbeat round that the replica acknowledged.
	ackedRound uint64
	// stateRound is the first round of the current state if that is not replicating: replies
	// of earlier rounds are to messages that were sent before it.
	stateRound uint64
	// probed is set once a probe was sent in the current state.
	probed bool
	// window holds what is on its way while the state is replicating.
	window window
	// snapshot is the index of the snapshot that was sent last, and snapshotBytes its size.
	snapshot      uint64
	snapshotBytes int
	// sentAt is when a snapshot was last sent, or since when the window has been waiting for
	// an acknowledgement.
	sentAt time.Time
}

// window holds the Appends with entries that were sent to a member and neither acknowledged
// nor given up. The zero value is empty.
type window struct {
	// appends is ordered by last.
	appends []sentAppend
	// bytes is the sum of the sizes of appends.
	bytes int
}

// sentAppend is an Append that is on its way: the index of its last entry and the size of
// its data in bytes.
type sentAppend struct {
	last uint64
	size int
}

func (w *window) open() bool {
	return w.bytes < maxInFlightBytes && len(w.appends) < maxInFlightAppends
}

func (w *window) empty() bool { return len(w.appends) == 0 }

func (w *window) add(entries []Entry) {
	a := sentAppend{last: entries[len(entries)-1].Index, size: dataSize(entries)}
	w.appends = append(w.appends, a)
	w.bytes += a.size
}

// acknowledge removes the Appends up to index.
func (w *window) acknowledge(index uint64) {
	acked := 0
	for acked < len(w.appends) && w.appends[acked].last <= index {
		w.bytes -= w.appends[acked].size
		acked++
	}
	w.appends = w.appends[acked:]
}

// dataSize returns the size of the entries' data in bytes.
func dataSize(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}

// enterState gives a member's progress another state. Replies to what was sent before no
// longer end that state.
func (n *Node) enterState(p *progress, s progressState) {
	n.heartbeatRound++
	p.state, p.stateRound, p.probed, p.window = s, n.heartbeatRound, false, window{}
}

// probeFrom makes the leader look for the last shared entry again, at next - 1.
func (n *Node) probeFrom(p *progress, next uint64) {
	p.next = next
	n.enterState(p, probing)
}

// inFlight returns the size in bytes of what is on its way to the member.
func (p *progress) inFlight() int {
	if p.state == installing {
		return p.snapshotBytes
	}
	return p.window.bytes
}

// noteTarget gives a member that has reached its target the next one.
func (n *Node) noteTarget(p *progress) {
	if p.match < p.target {
		return
	}
	p.inTime = n.now.Sub(p.targetAt) < n.opts.ElectionTimeout
	p.target, p.targetAt = n.commit, n.now
}

// upToDate reports whether a member has every committed entry, or keeps having those of less
// than an election timeout ago: while entries are committed without a pause, one that is
// slower than a quorum never has them all.
func (n *Node) upToDate(p *progress) bool {
	if p.match == 0 {
		return false
	}
	return p.match >= n.commit || (p.inTime && n.now.Sub(p.targetAt) < n.opts.ElectionTimeout)
}

// DoubtCaughtUp makes a member show again that it has caught up: with the entries that the leader
// has now. Until one of these is committed, a member that has every committed entry still counts.
func (n *Node) DoubtCaughtUp(id string) {
	if p := n.progress[id]; p != nil {
		p.target, p.targetAt, p.inTime = n.log.last(), n.now, false
	}
}

// overdue reports whether what is on its way to a member has been so for longer than the
// transfer should take, with two heartbeats in between.
func (n *Node) overdue(p *progress) bool {
	transfer := time.Duration(p.inFlight()) * time.Second / minTransferRate
	return n.now.Sub(p.sentAt) >= 2*n.opts.HeartbeatInterval+transfer
}

// DeliveryFailed reports that entries or a snapshot for a member were lost on the way. The
// leader sends them again once the member has answered a probe.
func (n *Node) DeliveryFailed(id string) {
	p := n.progress[id]
	if n.role != Leader || p == nil || p.state == probing {
		return
	}
	n.probeFrom(p, p.match+1)
}
