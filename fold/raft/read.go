package raft

// ReadIndex starts a linearizable read. Ready returns the ID in Reads with the
// index that must be applied before the read is answered, or in FailedReads.
func (n *Node) ReadIndex(id uint64) {
	if n.role != Leader {
		n.failedReads = append(n.failedReads, id)
		return
	}
	n.reads = append(n.reads, pendingRead{id: id, index: n.commit, round: n.heartbeatRound + 1})
	n.heartbeat()
}

// confirmReads moves the reads whose heartbeat round a quorum has acknowledged
// to readyReads. The quorum proves that no other replica was the leader when
// the read was requested.
func (n *Node) confirmReads() {
	// Until an entry of this term is committed, the commit index may lag behind
	// that of the previous leader.
	if t, ok := n.log.term(n.commit); !ok || t != n.hardState.Term {
		return
	}
	unconfirmed := n.reads[:0]
	for _, r := range n.reads {
		if !n.quorumAcked(r.round) {
			unconfirmed = append(unconfirmed, r)
			continue
		}
		n.readyReads = append(n.readyReads, Read{ID: r.id, Index: max(r.index, n.commit)})
	}
	n.reads = unconfirmed
}

// quorumAcked reports whether a quorum has acknowledged a heartbeat round.
func (n *Node) quorumAcked(round uint64) bool {
	count := 0
	m := n.Membership()
	for _, v := range m.Members {
		if v.Voter && (v.ID == n.opts.ID || n.progress[v.ID].ackedRound >= round) {
			count++
		}
	}
	return count >= m.Quorum()
}
