package raft

var progressNames = [...]string{probing: "probing", replicating: "replicating", installing: "installing"}

func (s progressState) String() string { return progressNames[s] }

// Progress is how far the leader has brought another member up to date.
type Progress struct {
	// State is "probing", "replicating" or "installing": the leader looks for the last
	// entry that the member shares with it, sends those that follow, or sends a snapshot.
	State string
	// Confirmed is the index of the last entry that the member is known to have on its
	// disk.
	Confirmed uint64
	// InFlight is the size in bytes of what was sent and is not acknowledged.
	InFlight int
}

// Progress returns the progress of another member, and false on replicas other than the
// leader and for replicas that are not members.
func (n *Node) Progress(id string) (Progress, bool) {
	p := n.progress[id]
	if p == nil || n.role != Leader || id == n.opts.ID {
		return Progress{}, false
	}
	return Progress{State: p.state.String(), Confirmed: p.match, InFlight: p.inFlight()}, true
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
