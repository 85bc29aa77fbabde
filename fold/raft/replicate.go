package raft

import (
	"fmt"
	"slices"
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

// replicate sends a member the entries that it lacks, as far as its window allows.
func (n *Node) replicate(id string, p *progress) {
	if p.state == probing && !p.probed {
		n.sendProbe(id, p)
	}
	for p.state == replicating && p.next <= n.log.last() && p.window.open() {
		n.sendEntries(id, p)
	}
}

// heartbeat starts a new heartbeat round: it sends a message to every other member.
func (n *Node) heartbeat() {
	n.heartbeatRound++
	n.heartbeatAt = n.now.Add(n.opts.HeartbeatInterval)
	for _, id := range n.peerIDs() {
		n.sendHeartbeat(id, n.progress[id])
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

// sendHeartbeat sends a member a probe, or an Append without entries, which never waits
// for what is on its way and does not depend on it.
func (n *Node) sendHeartbeat(id string, p *progress) {
	switch {
	case p.state == replicating && !p.window.empty() && n.overdue(p):
		n.probeFrom(p, p.match+1)
	case p.state == installing && n.overdue(p) && p.lastContact.After(p.sentAt):
		n.probeFrom(p, p.next)
	}
	if p.state == probing {
		n.sendProbe(id, p)
		return
	}
	n.sendAppendAt(id, p.match, nil)
}

// sendProbe asks a member whether it has the entry before p.next. The first probe carries
// the entries that follow if they are small. If the log no longer holds that entry, the
// member is sent the snapshot, once it has answered since it was sent one before.
func (n *Node) sendProbe(id string, p *progress) {
	prev := p.next - 1
	if _, ok := n.log.term(prev); !ok && p.lastContact.After(p.sentAt) {
		n.sendSnapshot(id, p)
		return
	}
	var entries []Entry
	if next := n.log.slice(p.next, maxProbeBytes); !p.probed && dataSize(next) <= maxProbeBytes {
		entries = next
	}
	p.probed = true
	n.sendAppendAt(id, prev, entries)
}

// sendEntries sends a member the next entries, or the snapshot if the log no longer holds
// the entry before them.
func (n *Node) sendEntries(id string, p *progress) {
	prev := p.next - 1
	if _, ok := n.log.term(prev); !ok {
		n.sendSnapshot(id, p)
		return
	}
	if p.window.empty() {
		p.sentAt = n.now
	}
	entries := n.log.slice(p.next, maxMessageBytes)
	n.sendAppendAt(id, prev, entries)
	p.window.add(entries)
	p.next = entries[len(entries)-1].Index + 1
}

// sendAppendAt sends an Append whose entries follow the entry at prev. If the log no longer
// holds that entry, it sends an empty one at index 0, which every replica accepts.
func (n *Node) sendAppendAt(id string, prev uint64, entries []Entry) {
	m := Message{Type: Append, To: id, Round: n.heartbeatRound}
	if term, ok := n.log.term(prev); ok {
		m.Index, m.LogTerm, m.Entries, m.Commit = prev, term, entries, n.commit
	}
	n.send(m)
}

// sendSnapshot sends the last snapshot.
func (n *Node) sendSnapshot(id string, p *progress) {
	n.enterState(p, installing)
	s := n.snapshot
	p.snapshot, p.snapshotBytes, p.sentAt = s.Index, len(s.Data), n.now
	n.send(Message{Type: InstallSnapshot, To: id, Snapshot: &s, Round: n.heartbeatRound})
}

// stepAppend handles an Append from the leader.
func (n *Node) stepAppend(m Message) {
	n.acceptLeader(m.From)
	if m.Index < n.commit {
		// Committed entries are the same in the leader's log: contradicts has checked
		// those in the message.
		n.acknowledge(m, n.commit)
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(n.log.last(), m.Index-1)
		n.send(Message{Type: AppendReply, To: m.From, Reject: true, Index: hint, Round: m.Round})
		return
	}
	n.acknowledge(m, n.mergeEntries(m.Index, m.Entries))
	n.commit = max(n.commit, min(m.Commit, n.matched))
}

// acknowledge replies to the leader that the log matches its own up to index, or to a later
// one that was found to match before: that reply may have been lost.
func (n *Node) acknowledge(m Message, index uint64) {
	if n.matchedTerm != n.hardState.Term {
		n.matched, n.matchedTerm = 0, n.hardState.Term
	}
	n.matched = max(n.matched, index)
	n.send(Message{Type: AppendReply, To: m.From, Index: n.matched, Round: m.Round})
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
		n.acknowledge(m, n.commit)
		return
	}
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		n.commit = s.Index
		n.acknowledge(m, s.Index)
		return
	}
	n.log.reset(s.Index, s.Term)
	n.snapshot = *s
	n.receivedSnapshot = s
	n.commit, n.applied = s.Index, s.Index
	n.stable, n.handedOut = s.Index, s.Index
	n.rebuildMemberships()
	n.acknowledge(m, s.Index)
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
		n.stepRejection(m, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.sentAt = n.now
		p.window.acknowledge(m.Index)
		n.advanceGoal(p)
		n.advanceCommit()
	}
	if n.role != Leader {
		return
	}
	if n.endsState(m, p) {
		p.state, p.next = replicating, p.match+1
	}
	p.next = max(p.next, p.match+1)
	n.replicate(m.From, p)
}

// endsState reports whether a reply shows that the member has all that a probe asked for,
// or the snapshot.
func (n *Node) endsState(m Message, p *progress) bool {
	switch p.state {
	case probing:
		return m.Round >= p.stateRound && m.Index+1 >= p.next
	case installing:
		return m.Index >= p.snapshot
	}
	return false
}

// stepRejection handles the rejection of an Append: the member lacks the entry before those
// in it.
func (n *Node) stepRejection(m Message, p *progress) {
	if m.Round < p.stateRound || p.state == installing {
		return
	}
	rejected := p.next
	n.probeFrom(p, max(p.match+1, min(p.next-1, m.Index+1)))
	// A member that rejects the same probe again is asked once a heartbeat.
	p.probed = p.next == rejected
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
