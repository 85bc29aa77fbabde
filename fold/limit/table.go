package limit

import (
	"math"
	"time"
)

const (
	// endDelay is the time between two responses in a row without a limit that show that
	// it has ended. Responses overtake each other, and a faulty one may lack the limit.
	endDelay = 500 * time.Millisecond
	// shareTime is how long a change is sent to other VMs. It is several times the time in
	// which an exchange reaches all of them.
	shareTime = 10 * time.Second
	// endedRetention is how long the end of a limit is remembered, so that a VM that has
	// missed it can't bring the limit back.
	endedRetention = 10 * time.Minute
	// maxServers bounds the servers of which a limit is remembered, and maxShared those
	// that are sent to another VM at once.
	maxServers = 4096
	maxShared  = 256
	// maxName bounds the length of a server's ID in bytes, and maxVersion a version.
	maxName    = 256
	maxVersion = 1 << 48
)

// Server identifies one start of a backend server.
type Server struct {
	ID    string
	Epoch uint64
}

// Change is what a response or an entry of another VM changed in a Table.
type Change int

// The changes.
const (
	Unchanged Change = iota
	// Named: a server that had no limit named one.
	Named
	// Altered: a server named another limit than before.
	Altered
	// Ended: a server names no limit any more.
	Ended
)

// String returns the change's name in logs and metrics.
func (c Change) String() string {
	return [...]string{"unchanged", "named", "altered", "ended"}[c]
}

// Entry is what a VM knows of the limit of a server.
type Entry struct {
	Server
	// Version increases with each change of the limit. Of two entries of a server, the
	// one with the higher version holds.
	Version uint64
	// Rate is the limit. Doubted is set if the last response named none. Ended is set if
	// the server names no limit any more; Rate doesn't count then.
	Rate    Rate
	Doubted bool
	Ended   bool
}

// record is an entry with what this VM has seen itself.
type record struct {
	Entry
	// namedAt is when a response to this VM last named a limit, zero if none has.
	namedAt time.Time
	// changedAt is when the entry last changed here.
	changedAt time.Time
}

// Table holds the limits that servers have named. The zero value is an empty table. It
// is not safe for concurrent use.
type Table struct {
	records map[string]*record
	// dropped is as Dropped returns it.
	dropped int
}

// Observe records what a response of a server says.
func (t *Table) Observe(now time.Time, s Server, st Statement) Change {
	r := t.records[s.ID]
	if st.Invalid || r != nil && r.Epoch > s.Epoch {
		return Unchanged
	}
	if !st.Named {
		return r.observeNone(now, s)
	}
	r = t.recordOf(now, s)
	r.namedAt = now
	return r.update(now, Entry{Server: s, Rate: st.Rate})
}

// observeNone records a response of a server that names no limit. r may be nil.
func (r *record) observeNone(now time.Time, s Server) Change {
	switch {
	case r == nil || r.Epoch != s.Epoch || r.Ended:
		return Unchanged
	case !r.Doubted:
		return r.update(now, Entry{Server: s, Rate: r.Rate, Doubted: true})
	case now.Sub(r.changedAt) < endDelay:
		return Unchanged
	}
	return r.update(now, Entry{Server: s, Ended: true})
}

// update sets the entry to e, with the next version, if it differs.
func (r *record) update(now time.Time, e Entry) Change {
	e.Version = r.Version
	change := r.changeTo(e)
	if r.Entry != e {
		e.Version++
		r.Entry, r.changedAt = e, now
	}
	return change
}

// changeTo returns the change of the limit from that of the record to that of e.
func (r *record) changeTo(e Entry) Change {
	switch {
	case e.Ended && !r.Ended:
		return Ended
	case e.Ended:
		return Unchanged
	case r.Ended:
		return Named
	case r.Rate != e.Rate:
		return Altered
	}
	return Unchanged
}

// recordOf returns the record of a server, which it creates if there is none of this
// start.
func (t *Table) recordOf(now time.Time, s Server) *record {
	if r := t.records[s.ID]; r != nil && r.Epoch == s.Epoch {
		return r
	}
	if t.records == nil {
		t.records = map[string]*record{}
	}
	delete(t.records, s.ID)
	if len(t.records) >= maxServers {
		t.dropOldest()
	}
	r := &record{Entry: Entry{Server: s, Ended: true}, changedAt: now}
	t.records[s.ID] = r
	return r
}

// dropOldest drops a record: of those whose limit has ended, or of all if there are none, the one
// that has been unchanged for the longest time.
func (t *Table) dropOldest() {
	var oldest *record
	for _, r := range t.records {
		if oldest == nil || r.Ended && !oldest.Ended || r.Ended == oldest.Ended && r.changedAt.Before(oldest.changedAt) {
			oldest = r
		}
	}
	if oldest == nil {
		return
	}
	if !oldest.Ended {
		t.dropped++
	}
	delete(t.records, oldest.ID)
}

// Dropped returns the number of limits in force that were dropped so far because servers named
// too many.
func (t *Table) Dropped() int { return t.dropped }

// Expire forgets limits that ended long ago.
func (t *Table) Expire(now time.Time) {
	for id, r := range t.records {
		if r.Ended && now.Sub(r.changedAt) >= endedRetention {
			delete(t.records, id)
		}
	}
}

// Rate returns the limit of a server, and whether it has one.
func (t *Table) Rate(s Server) (Rate, bool) {
	r := t.records[s.ID]
	if r == nil || r.Ended || r.Epoch != s.Epoch {
		return 0, false
	}
	return r.Rate, true
}

// Entry returns what is known of the limit of a server, with version zero if nothing is.
func (t *Table) Entry(s Server) Entry {
	if r := t.records[s.ID]; r != nil && r.Epoch == s.Epoch {
		return r.Entry
	}
	return Entry{Server: s, Ended: true}
}

// Forget drops what is known of a server.
func (t *Table) Forget(id string) { delete(t.records, id) }

// Empty reports whether no server has a limit and none had one lately.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Share returns the entries for another VM, at most maxShared: recent changes, and then limits in
// force in a random order, so that each is sent after some exchanges.
func (t *Table) Share(now time.Time) []Entry {
	var recent, inForce []Entry
	for _, r := range t.records {
		switch {
		case now.Sub(r.changedAt) < shareTime:
			recent = append(recent, r.Entry)
		case !r.Ended:
			inForce = append(inForce, r.Entry)
		}
	}
	out := append(recent, inForce...)
	return out[:min(len(out), maxShared)]
}

// Merge applies an entry of another VM. It ignores one that can't be valid.
func (t *Table) Merge(now time.Time, e Entry) Change {
	if !e.valid() {
		return Unchanged
	}
	r := t.records[e.ID]
	if r != nil && (r.Epoch > e.Epoch || r.Epoch == e.Epoch && !e.holdsAgainst(r.Entry)) {
		return Unchanged
	}
	r = t.recordOf(now, e.Server)
	if (e.Doubted || e.Ended) && !r.Doubted && !r.Ended && now.Sub(r.namedAt) < endDelay {
		// The server has named the limit to this VM just now. With a higher version,
		// the others learn of that.
		r.Version, r.changedAt = e.Version+1, now
		return Unchanged
	}
	change := r.changeTo(e)
	if r.Entry != e {
		r.Entry, r.changedAt = e, now
	}
	return change
}

// holdsAgainst reports whether e replaces another entry for the same start of a server.
// Of two changes that VMs have seen at the same time, the lower limit holds.
func (e Entry) holdsAgainst(o Entry) bool {
	if e.Version != o.Version {
		return e.Version > o.Version
	}
	if e.Ended != o.Ended {
		return o.Ended
	}
	if e.Doubted != o.Doubted {
		return o.Doubted
	}
	return e.Rate < o.Rate
}

func (e Entry) valid() bool {
	rate := float64(e.Rate)
	return e.ID != "" && len(e.ID) <= maxName && e.Version > 0 && e.Version <= maxVersion && rate >= 0 && !math.IsInf(rate, 0)
}
