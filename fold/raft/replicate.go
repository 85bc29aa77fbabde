package raft

import (
	"fmt"
	"slices"
	"time"
)

// append adds an entry to the leader's log and returns its index.
func (n *Node) append(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.hard.Term
	n.log.entries = append(n.log.entries, e)
	if e.Kind == KindMembership {
		n.memberships = append(n.memberships, membershipAt{e.Index, *e.Membership})
		n.syncProgress()
	}
	return e.Index
}

// Propose adds a command to the log and returns its index and term. The
// command is decided only when an entry with both is handed out as committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = n.append(Entry{Kind: KindCommand, Data: data})
	return index, n.hard.Term, nil
}

// Flush sends what Propose added.
func (n *Node) Flush() {
	if n.role != Leader {
		return
	}
	for _, id := range n.others() {
		n.replicate(id, n.progress[id])
	}
}

// replicate sends a replica what it lacks, unless a snapshot is on its way.
func (n *Node) replicate(id string, p *progress) {
	if p.next <= n.log.last() && !n.installing(p) {
		n.sendAppend(id, p)
	}
}

// heartbeat sends an Append to every member.
func (n *Node) heartbeat() {
	n.round++
	n.heartbeatAt = n.now.Add(n.opts.HeartbeatInterval)
	for _, id := range n.others() {
		n.sendAppend(id, n.progress[id])
	}
	n.answerReads()
}

func (n *Node) others() []string {
	var out []string
	for _, m := range n.Membership().Members {
		if m.ID != n.opts.ID {
			out = append(out, m.ID)
		}
	}
	return out
}

func (n *Node) sendAppend(id string, p *progress) {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.slice(p.next, n.log.last())
	n.send(Message{Type: Append, To: id, Index: prev, LogTerm: term, Entries: entries, Commit: n.commit, Round: n.round})
	if len(entries) > 0 {
		// Sent once; a rejection or the next heartbeat's reply puts it right.
		p.next = entries[len(entries)-1].Index + 1
	}
}

// installRetry is the wait, in elections, before a snapshot is sent again.
const installRetry = 4

func (n *Node) sendSnapshot(id string, p *progress) {
	if n.installing(p) {
		// An empty Append that every log takes keeps the replica from an
		// election meanwhile.
		n.send(Message{Type: Append, To: id, Round: n.round})
		return
	}
	p.installing = n.now
	s := n.snapshot
	n.send(Message{Type: InstallSnapshot, To: id, Snapshot: &s, Round: n.round})
}

func (n *Node) installing(p *progress) bool {
	return !p.installing.IsZero() && n.now.Sub(p.installing) < installRetry*n.opts.ElectionTimeout
}

// stepAppend takes entries from the leader.
func (n *Node) stepAppend(m Message) {
	n.heard(m.From)
	if m.Index < n.commit {
		// What is committed here matches the leader's log.
		n.send(Message{Type: AppendReply, To: m.From, Index: n.commit, Round: m.Round})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		hint := min(n.log.last(), m.Index-1)
		n.send(Message{Type: AppendReply, To: m.From, Reject: true, Index: hint, Round: m.Round})
		return
	}
	last := n.take(m.Index, m.Entries)
	n.commit = max(n.commit, min(m.Commit, last))
	n.send(Message{Type: AppendReply, To: m.From, Index: last, Round: m.Round})
}

func (n *Node) heard(leader string) {
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.heardLeader = n.now
	n.resetElection()
}

// take puts entries after prev into the log and returns the last index that
// matches the leader's log.
func (n *Node) take(prev uint64, entries []Entry) uint64 {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.cut(e.Index)
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		n.rebuildMemberships()
		break
	}
	return prev + uint64(len(entries))
}

// cut drops entries that another leader's log replaces.
func (n *Node) cut(index uint64) {
	if index <= n.commit {
		panic(fmt.Sprintf("raft: entry %d is committed and can't be replaced", index))
	}
	n.log.truncate(index)
	n.stable = min(n.stable, index-1)
	n.handed = min(n.handed, index-1)
}

// stepInstall takes a snapshot from the leader.
func (n *Node) stepInstall(m Message) {
	n.heard(m.From)
	s := m.Snapshot
	if s.Index <= n.commit {
		n.send(Message{Type: AppendReply, To: m.From, Index: n.commit, Round: m.Round})
		return
	}
	n.log.reset(s.Index, s.Term)
	n.snapshot = *s
	n.install = s
	n.commit, n.applied = s.Index, s.Index
	n.stable, n.handed = s.Index, s.Index
	n.rebuildMemberships()
	n.send(Message{Type: AppendReply, To: m.From, Index: s.Index, Round: m.Round})
}

// stepAppendReply takes a replica's answer.
func (n *Node) stepAppendReply(m Message) {
	if n.role != Leader {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.heard = n.now
	p.round = max(p.round, m.Round)
	n.answerReads()
	if m.Reject {
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		n.replicate(m.From, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.installing = time.Time{}
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

// advanceCommit commits what a quorum has synced, if it is of this term.
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
	if t, ok := n.log.term(index); !ok || t != n.hard.Term || index <= n.commit {
		return
	}
	n.commit = index
	n.answerReads()
	n.stepDownIfRemoved()
}

// stepDownIfRemoved ends the leadership of a replica once its removal is
// committed.
func (n *Node) stepDownIfRemoved() {
	last := n.memberships[len(n.memberships)-1]
	if _, member := last.membership.Get(n.opts.ID); member || last.index > n.commit {
		return
	}
	n.heartbeat()
	n.follow(n.hard.Term, "")
}
