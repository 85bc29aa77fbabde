package raft

// Confirmed returns the index of the last entry that a member is known to have on its disk.
// It is that of the leader's own log for the leader, and false on replicas other than the
// leader and for replicas that are not members.
func (n *Node) Confirmed(id string) (uint64, bool) {
	p := n.progress[id]
	switch {
	case p == nil || n.role != Leader:
		return 0, false
	case id == n.opts.ID:
		return n.log.last(), true
	}
	return p.match, true
}

// BytesAfter returns the size in bytes of the data after the entry at index: of the entries
// of the log, and of the snapshot if the log doesn't hold them all.
func (n *Node) BytesAfter(index uint64) int {
	size := 0
	if index < n.log.snapshotIndex {
		size, index = len(n.snapshot.Data), n.log.snapshotIndex
	}
	for i := index + 1; i <= n.log.last(); i++ {
		size += len(n.log.entries[i-n.log.snapshotIndex-1].Data)
	}
	return size
}

// Live reports whether a member has replied within an election timeout. It is true for the
// leader itself, and false on replicas other than the leader.
func (n *Node) Live(id string) bool {
	p := n.progress[id]
	return p != nil && n.role == Leader && n.SinceLastContact(id) < n.opts.ElectionTimeout
}
