package raft

// campaign asks for votes: as PreCandidate without a new term, then as
// Candidate.
func (n *Node) campaign(role Role) {
	if !n.Membership().Voter(n.opts.ID) {
		// A learner only learns that it hears no leader.
		n.leader = ""
		return
	}
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{n.opts.ID: true}
	request := Message{Type: PreVote, Term: n.hard.Term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if role == Candidate {
		n.hard = HardState{Term: n.hard.Term + 1, Vote: n.opts.ID}
		request.Type, request.Term = Vote, n.hard.Term
		n.resetElection()
	}
	for _, m := range n.Membership().Members {
		if m.Voter && m.ID != n.opts.ID {
			request.To = m.ID
			n.send(request)
		}
	}
	n.countVotes()
}

// stepVote answers a candidate.
func (n *Node) stepVote(m Message) {
	// A replica that hears its leader does not help to replace it: one that
	// was cut off can't disturb the others when it comes back.
	fresh := n.leader != "" && n.now.Sub(n.heardLeader) < n.opts.ElectionTimeout
	if n.role == Leader || fresh {
		n.refuseVote(m)
		return
	}
	if m.Type == Vote && m.Term > n.hard.Term {
		n.follow(m.Term, "")
	}
	grant := m.Term >= n.hard.Term && n.log.coveredBy(m.Index, m.LogTerm)
	if m.Type == PreVote {
		if !grant || m.Term <= n.hard.Term {
			n.refuseVote(m)
			return
		}
		n.send(Message{Type: PreVoteReply, To: m.From, Term: m.Term})
		return
	}
	grant = grant && (n.hard.Vote == "" || n.hard.Vote == m.From)
	if grant {
		n.hard.Vote = m.From
		n.resetElection()
	}
	n.send(Message{Type: VoteReply, To: m.From, Reject: !grant})
}

// refuseVote says no, in the replica's own term: the one that was asked for
// would make a candidate that can't win count up its term, and refuse one that
// could.
func (n *Node) refuseVote(m Message) {
	reply := VoteReply
	if m.Type == PreVote {
		reply = PreVoteReply
	}
	n.send(Message{Type: reply, To: m.From, Reject: true})
}

func (n *Node) stepPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hard.Term {
			n.follow(m.Term, "")
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

func (n *Node) stepVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

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
	n.lead()
}

// lead makes the node the leader of its term.
func (n *Node) lead() {
	n.role = Leader
	n.leader = n.opts.ID
	n.votes = nil
	n.progress = map[string]*progress{}
	n.syncProgress()
	n.append(Entry{Kind: KindNoop})
	n.heartbeat()
}

// syncProgress keeps a progress for each member and none for others.
func (n *Node) syncProgress() {
	m := n.Membership()
	for _, v := range m.Members {
		if n.progress[v.ID] == nil {
			n.progress[v.ID] = &progress{next: n.log.last() + 1, heard: n.now}
		}
	}
	for id := range n.progress {
		if _, ok := m.Get(id); !ok {
			delete(n.progress, id)
		}
	}
}
