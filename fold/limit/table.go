package limit

import "time"

const (
	// endDelay is the time from the first response that names no limit to the end of the
	// limit. Responses overtake each other, and a faulty one may lack the limit.
	endDelay = 500 * time.Millisecond
	// maxServers bounds the servers of which a limit is remembered.
	maxServers = 4096
)

// Server identifies one start of a backend server.
type Server struct {
	ID    string
	Epoch uint64
}

// Change is what a response or an update changed in a Table.
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

// Table holds the limits that servers have named. The zero value is an empty table. It
// is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
}

// entry is what is known of the limit of one server.
type entry struct {
	epoch uint64
	rate  Rate
	// ended is set if the server names no limit any more.
	ended bool
	// namedAt is when a response to this VM last named a limit, and unnamedAt when
	// the first one after that named none. They are zero if there was none.
	namedAt, unnamedAt time.Time
}

// Observe records what a response of a server says.
func (t *Table) Observe(now time.Time, s Server, st Statement) Change {
	e := t.entries[s.ID]
	if e != nil && e.epoch > s.Epoch || st.Invalid {
		return Unchanged
	}
	if e != nil && e.epoch < s.Epoch {
		delete(t.entries, s.ID)
		e = nil
	}
	if !st.Named {
		if e != nil && !e.ended && e.unnamedAt.IsZero() {
			e.unnamedAt = now
		}
		return Unchanged
	}
	if e == nil {
		e = t.add(s)
	}
	e.namedAt, e.unnamedAt = now, time.Time{}
	return e.set(st.Rate, false)
}

// add adds an entry without a limit for a server. It makes room by dropping any other
// entry if there are too many.
func (t *Table) add(s Server) *entry {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	if len(t.entries) >= maxServers {
		for id := range t.entries {
			delete(t.entries, id)
			break
		}
	}
	e := &entry{epoch: s.Epoch, ended: true}
	t.entries[s.ID] = e
	return e
}

// set sets the limit of an entry.
func (e *entry) set(rate Rate, ended bool) Change {
	before := *e
	e.rate, e.ended = rate, ended
	switch {
	case ended && !before.ended:
		return Ended
	case ended:
		return Unchanged
	case before.ended:
		return Named
	case before.rate != rate:
		return Altered
	}
	return Unchanged
}

// Expire ends the limits that no response has named for endDelay, although there were
// responses. It returns the servers.
func (t *Table) Expire(now time.Time) []Server {
	var ended []Server
	for id, e := range t.entries {
		if e.ended || e.unnamedAt.IsZero() || now.Sub(e.unnamedAt) < endDelay {
			continue
		}
		e.set(0, true)
		ended = append(ended, Server{ID: id, Epoch: e.epoch})
	}
	return ended
}

// Rate returns the limit of a server, and whether it has one.
func (t *Table) Rate(s Server) (Rate, bool) {
	e := t.entries[s.ID]
	if e == nil || e.ended || e.epoch != s.Epoch {
		return 0, false
	}
	return e.rate, true
}

// Forget drops what is known of a server.
func (t *Table) Forget(id string) { delete(t.entries, id) }
