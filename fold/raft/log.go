package raft

// raftLog is the entries after the last snapshot. The zero value is an empty
// log without a snapshot.
type raftLog struct {
	// base and baseTerm name the last entry that the snapshot covers.
	base     uint64
	baseTerm uint64
	// entries holds base+1 and on, without gaps.
	entries []Entry
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, or false if it is not there.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns entries from lo up to hi inclusive, bounded by the limits of
// one message.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	hi = min(hi, l.last())
	if lo > hi || lo <= l.base {
		return nil
	}
	all := l.entries[lo-l.base-1 : hi-l.base]
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && (i >= maxEntries || size > maxBytes) {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// truncate drops the entries from index on.
func (l *raftLog) truncate(index uint64) {
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to index inclusive.
func (l *raftLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, t
}

// reset makes the log empty after a snapshot.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{base: index, baseTerm: term}
}

// covers reports whether a log that ends with the given entry is at least as
// complete as this one.
func (l *raftLog) coveredBy(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
