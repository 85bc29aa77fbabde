package raft

// campaign requests votes from all other voters. A Candidate starts a new term
// first; a PreCandidate does not.
func (n *Node) campaign(role Role) {
	if !n.Membership().Voter(n.opts.ID) {
		// A learner does not stand for election. It only records that it has
		// no leader.
		n.leader = ""
		return
	}
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{n.opts.ID: true}
	request := Message{Type: PreVote, Term: n.hardState.Term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if role == Candidate {
		n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.opts.ID}
		request.Type, request.Term = Vote, n.hardState.Term
		n.resetElectionTimer()
	}
	n.report(Event{Kind: Campaigned, OtherTerm: request.Term, Index: request.Index})
	for _, m := range n.Membership().Members {
		if m.Voter && m.ID != n.opts.ID {
			request.To = m.ID
			n.send(request)
		}
	}
	n.countVotes()
}

// stepVote handles a PreVote or Vote request and sends the reply.
func (n *Node) stepVote(m Message) {
	// A replica in contact with its leader rejects all candidates. Otherwise a
	// replica that returns from a partition could depose a working leader.
	leaderActive := n.leader != "" && n.now.Sub(n.lastLeaderContact) < n.opts.ElectionTimeout
	if n.role == Leader || leaderActive {
		n.rejectVote(m, ActiveLeader)
		return
	}
	if m.Type == Vote && m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	if refusal := n.refusal(m); refusal != NotRefused {
		n.rejectVote(m, refusal)
		return
	}
	if m.Type == PreVote {
		n.yieldTo(m)
		n.send(Message{Type: PreVoteReply, To: m.From, Term: m.Term})
		return
	}
	n.hardState.Vote = m.From
	n.resetElectionTimer()
	n.send(Message{Type: VoteReply, To: m.From})
}

// yieldTo ends the node's own pre-vote if a voter that it can vote for goes before it.
// Two candidates of one term vote for themselves, and with two live voters neither wins.
func (n *Node) yieldTo(m Message) {
	if n.role != PreCandidate || !n.Membership().Voter(m.From) || !n.precededBy(m) {
		return
	}
	n.role = Follower
	n.votes = nil
	n.report(Event{Kind: Yielded, Peer: m.From, OtherTerm: m.Term, Index: m.Index})
}

// precededBy reports whether a candidate that the node can vote for goes before the node: by
// term, then by log, then by ID. Of two candidates, one at most goes before the other.
func (n *Node) precededBy(m Message) bool {
	if m.Term != n.hardState.Term+1 || m.LogTerm != n.log.lastTerm() || m.Index != n.log.last() {
		return true
	}
	return m.From > n.opts.ID
}

// refusal returns why the node does not give a candidate its vote or pre-vote.
func (n *Node) refusal(m Message) Refusal {
	switch {
	case m.Term < n.hardState.Term || (m.Type == PreVote && m.Term == n.hardState.Term):
		return EarlierTerm
	case !n.log.coveredBy(m.Index, m.LogTerm):
		return OutdatedLog
	case m.Type == Vote && n.hardState.Vote != "" && n.hardState.Vote != m.From:
		return VotedForOther
	}
	return NotRefused
}

// rejectVote sends a rejection that carries the replica's own term. With the
// requested term instead, a candidate that can't win would raise its term and
// then reject a candidate that can win.
func (n *Node) rejectVote(m Message, reason Refusal) {
	reply := VoteReply
	if m.Type == PreVote {
		reply = PreVoteReply
	}
	n.report(Event{Kind: VoteRefused, Peer: m.From, Refusal: reason, OtherTerm: m.Term, Index: m.Index})
	n.send(Message{Type: reply, To: m.From, Reject: true})
}

// stepPreVoteReply counts a pre-vote, or adopts the higher term of a rejection.
func (n *Node) stepPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

// stepVoteReply counts a vote of the current term.
func (n *Node) stepVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

// countVotes moves on to the next role once a quorum has voted for the node.
func (n *Node) countVotes() {
	count := 0
	m := n.Membership()
	for id := range n.votes {
		if m.Voter(id) {
			count++
		}
	}
	if count < m.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.becomeLeader()
}

// becomeLeader makes the node the leader of its term.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.opts.ID
	n.votes = nil
	n.progress = map[string]*progress{}
	n.updateProgress()
	n.append(Entry{Kind: KindNoop})
	n.heartbeat()
}

// updateProgress adds a progress for each new member and deletes those of
// replicas that are no longer members.
func (n *Node) updateProgress() {
	m := n.Membership()
	for _, v := range m.Members {
		if n.progress[v.ID] == nil {
			n.progress[v.ID] = &progress{next: n.log.last() + 1, lastContact: n.now}
		}
	}
	for id := range n.progress {
		if _, ok := m.Get(id); !ok {
			delete(n.progress, id)
		}
	}
}
