package raft

import (
	"fmt"
	"slices"
	"time"
)

// append adds an entry to the leader's log and returns its index. A change of
// membership takes effect at once.
func (n *Node) append(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.hardState.Term
	n.log.entries = append(n.log.entries, e)
	if e.Kind == KindMembership {
		n.memberships = append(n.memberships, membershipEntry{e.Index, *e.Membership})
		n.updateProgress()
	}
	return e.Index
}

// Propose adds a command to the log and returns its index and term. The command
// is committed only when Ready returns an entry with the same index and term in
// Committed. Propose returns ErrNotLeader on replicas other than the leader.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = n.append(Entry{Kind: KindCommand, Data: data})
	return index, n.hardState.Term, nil
}

// Flush sends the entries that Propose added to the other replicas.
func (n *Node) Flush() {
	if n.role != Leader {
		return
	}
	for _, id := range n.peerIDs() {
		n.replicate(id, n.progress[id])
	}
}

// replicate sends a replica the entries that it lacks, unless the installation
// of a snapshot is in progress there.
func (n *Node) replicate(id string, p *progress) {
	if p.next <= n.log.last() && !n.installInProgress(p) {
		n.sendAppend(id, p)
	}
}

// heartbeat starts a new heartbeat round: it sends an Append to every other
// member.
func (n *Node) heartbeat() {
	n.heartbeatRound++
	n.heartbeatAt = n.now.Add(n.opts.HeartbeatInterval)
	for _, id := range n.peerIDs() {
		n.sendAppend(id, n.progress[id])
	}
	n.confirmReads()
}

// peerIDs returns the IDs of the other members.
func (n *Node) peerIDs() []string {
	var out []string
	for _, m := range n.Membership().Members {
		if m.ID != n.opts.ID {
			out = append(out, m.ID)
		}
	}
	return out
}

// sendAppend sends the entries from p.next on, or the snapshot if the log no
// longer holds the entry before them. Without new entries, the Append is only a
// heartbeat.
func (n *Node) sendAppend(id string, p *progress) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.slice(p.next, n.log.last())
	n.send(Message{Type: Append, To: id, Index: prev, LogTerm: term, Entries: entries, Commit: n.commit, Round: n.heartbeatRound})
	if len(entries) > 0 {
		// The entries are not sent again unless the replica rejects a later
		// Append, such as the next heartbeat, because it lacks them.
		p.next = entries[len(entries)-1].Index + 1
	}
}

// installRetryTimeouts is the number of election timeouts after which a snapshot
// that was not acknowledged is sent again.
const installRetryTimeouts = 4

// sendSnapshot sends the last snapshot, unless its installation is in progress.
func (n *Node) sendSnapshot(id string, p *progress) {
	if n.installInProgress(p) {
		// An empty Append at index 0, which every replica accepts, keeps the
		// replica from starting an election during the installation.
		n.send(Message{Type: Append, To: id, Round: n.heartbeatRound})
		return
	}
	p.installSentAt = n.now
	s := n.snapshot
	n.send(Message{Type: InstallSnapshot, To: id, Snapshot: &s, Round: n.heartbeatRound})
}

// installInProgress reports whether a snapshot was sent to the replica and has
// been neither acknowledged nor given up.
func (n *Node) installInProgress(p *progress) bool {
	return !p.installSentAt.IsZero() && n.now.Sub(p.installSentAt) < installRetryTimeouts*n.opts.ElectionTimeout
}

// stepAppend handles an Append from the leader.
func (n *Node) stepAppend(m Message) {
	n.acceptLeader(m.From)
	if m.Index < n.commit {
		// Committed entries are the same in the leader's log: contradicts has checked
		// those in the message.
		n.send(Message{Type: AppendReply, To: m.From, Index: n.commit, Round: m.Round})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(n.log.last(), m.Index-1)
		n.send(Message{Type: AppendReply, To: m.From, Reject: true, Index: hint, Round: m.Round})
		return
	}
	last := n.mergeEntries(m.Index, m.Entries)
	n.commit = max(n.commit, min(m.Commit, last))
	n.send(Message{Type: AppendReply, To: m.From, Index: last, Round: m.Round})
}

// acceptLeader makes the node a follower of the leader of the current term, from
// which a message has arrived.
func (n *Node) acceptLeader(leader string) {
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.lastLeaderContact = n.now
	n.resetElectionTimer()
}

// mergeEntries adds the entries that follow prev to the log, replaces those that
// conflict, and returns the last index that matches the leader's log.
func (n *Node) mergeEntries(prev uint64, entries []Entry) uint64 {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.discardFrom(e.Index)
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		n.rebuildMemberships()
		break
	}
	return prev + uint64(len(entries))
}

// discardFrom removes the entries from index on, which conflict with the
// leader's log. It panics if one of them is committed.
func (n *Node) discardFrom(index uint64) {
	if index <= n.commit {
		panic(fmt.Sprintf("raft: entry %d is committed and can't be replaced", index))
	}
	n.log.truncate(index)
	n.stable = min(n.stable, index-1)
	n.handedOut = min(n.handedOut, index-1)
}

// stepInstall handles a snapshot from the leader. It replaces the log unless the
// replica has committed at least as much, or its log has the snapshot's last entry and so
// all before it. What follows that entry stays: the replica may have acknowledged it, and the
// snapshot may have been delayed.
func (n *Node) stepInstall(m Message) {
	n.acceptLeader(m.From)
	s := m.Snapshot
	if s.Index <= n.commit {
		n.send(Message{Type: AppendReply, To: m.From, Index: n.commit, Round: m.Round})
		return
	}
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		n.commit = s.Index
		n.send(Message{Type: AppendReply, To: m.From, Index: s.Index, Round: m.Round})
		return
	}
	n.log.reset(s.Index, s.Term)
	n.snapshot = *s
	n.receivedSnapshot = s
	n.commit, n.applied = s.Index, s.Index
	n.stable, n.handedOut = s.Index, s.Index
	n.rebuildMemberships()
	n.send(Message{Type: AppendReply, To: m.From, Index: s.Index, Round: m.Round})
}

// stepAppendReply handles a replica's reply to an Append or InstallSnapshot.
func (n *Node) stepAppendReply(m Message) {
	if n.role != Leader {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	if !m.Reject && m.Index > n.log.last() {
		n.report(Event{Kind: AcknowledgedBeyondLog, Peer: m.From, Index: m.Index})
		return
	}
	p.lastContact = n.now
	p.ackedRound = max(p.ackedRound, m.Round)
	n.confirmReads()
	if m.Reject {
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		n.replicate(m.From, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.installSentAt = time.Time{}
		n.advanceCommit()
	}
	if n.role != Leader {
		return
	}
	if p.next <= p.match {
		p.next = p.match + 1
	}
	n.replicate(m.From, p)
}

// advanceCommit commits the entries that a quorum has synced, if the last of
// them is of the current term.
func (n *Node) advanceCommit() {
	m := n.Membership()
	var synced []uint64
	for _, v := range m.Members {
		switch {
		case !v.Voter:
		case v.ID == n.opts.ID:
			synced = append(synced, n.stable)
		default:
			synced = append(synced, n.progress[v.ID].match)
		}
	}
	slices.Sort(synced)
	if len(synced) == 0 {
		return
	}
	index := synced[len(synced)-m.Quorum()]
	if t, ok := n.log.term(index); !ok || t != n.hardState.Term || index <= n.commit {
		return
	}
	n.commit = index
	n.confirmReads()
	n.stepDownIfRemoved()
}

// stepDownIfRemoved makes a leader a follower once its own removal is committed.
// It sends a last heartbeat first.
func (n *Node) stepDownIfRemoved() {
	last := n.memberships[len(n.memberships)-1]
	if _, member := last.membership.Get(n.opts.ID); member || last.index > n.commit {
		return
	}
	n.heartbeat()
	n.becomeFollower(n.hardState.Term, "")
}
