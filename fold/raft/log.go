package raft

// raftLog holds the entries after the last snapshot. The zero value is an empty
// log without a snapshot.
type raftLog struct {
	// snapshotIndex and snapshotTerm identify the last entry that the snapshot
	// covers.
	snapshotIndex uint64
	snapshotTerm  uint64
	// entries holds the entries from snapshotIndex+1 on, without gaps.
	entries []Entry
}

// last returns the index of the last entry.
func (l *raftLog) last() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, or false if the log neither
// holds it nor has it as the last entry of the snapshot.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotTerm, true
	case index < l.snapshotIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

// slice returns the entries from lo on, as many of them as fit into one message with
// maxBytes of data; a larger one is returned alone. It returns nil if it does not hold the
// entry at lo.
func (l *raftLog) slice(lo uint64, maxBytes int) []Entry {
	if lo > l.last() || lo <= l.snapshotIndex {
		return nil
	}
	available := l.entries[lo-l.snapshotIndex-1:]
	size := 0
	for i, e := range available {
		size += len(e.Data)
		if i > 0 && (i >= maxMessageEntries || size > maxBytes) {
			return available[:i:i]
		}
	}
	return available[:len(available):len(available)]
}

// after returns the entries after index, which is at least snapshotIndex.
func (l *raftLog) after(index uint64) []Entry {
	return l.entries[min(index, l.last())-l.snapshotIndex:]
}

// truncate removes the entry at index and all after it.
func (l *raftLog) truncate(index uint64) {
	n := index - l.snapshotIndex - 1
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to index inclusive, which a new snapshot
// covers. It does nothing if the log does not hold that entry.
func (l *raftLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.snapshotIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshotTerm = index, t
}

// reset empties the log and makes it start after the snapshot that ends with
// the given entry.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{snapshotIndex: index, snapshotTerm: term}
}

// coveredBy reports whether a log that ends with the given entry is at least as
// up to date as this one.
func (l *raftLog) coveredBy(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
