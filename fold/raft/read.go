package raft

// ReadIndex asks for a linearizable read. Its ID comes back in Ready.Reads
// with the index that has to be applied first, or in Ready.Failed.
func (n *Node) ReadIndex(id uint64) {
	if n.role != Leader {
		n.failed = append(n.failed, id)
		return
	}
	n.reads = append(n.reads, pendingRead{id: id, index: n.commit, round: n.round + 1})
	n.heartbeat()
}

// answerReads gives out the reads whose round a quorum has answered: nobody
// else can have led when they were asked.
func (n *Node) answerReads() {
	// Before an entry of this term is committed, the commit index may be old.
	if t, ok := n.log.term(n.commit); !ok || t != n.hard.Term {
		return
	}
	keep := n.reads[:0]
	for _, r := range n.reads {
		if !n.answered(r.round) {
			keep = append(keep, r)
			continue
		}
		n.readyReads = append(n.readyReads, Read{ID: r.id, Index: max(r.index, n.commit)})
	}
	n.reads = keep
}

func (n *Node) answered(round uint64) bool {
	count := 0
	m := n.Membership()
	for _, v := range m.Members {
		if v.Voter && (v.ID == n.opts.ID || n.progress[v.ID].round >= round) {
			count++
		}
	}
	return count >= m.Quorum()
}
