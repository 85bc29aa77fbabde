// Package member keeps what a VM knows of the backend servers and of the
// other VMs: who is there, under which lease, and what has to be passed on.
package member

import (
	"net/netip"
	"slices"
	"time"
)

// DefaultLease is how long a backend server counts as present after it was
// last heard.
const DefaultLease = 5 * time.Second

// tombstoneLeases is how many leases a departed backend server's last
// sequence number is remembered, so that a delayed message cannot revive it.
const tombstoneLeases = 20

// Load is a backend server's own account of its work at one moment.
type Load struct {
	Running     int
	Waiting     int
	MemoryUsed  int
	Preemptions int
	StepTime    time.Duration
	// Lag is how old the account was when the server gave it.
	Lag time.Duration
}

// Backend is one announced backend server.
type Backend struct {
	ID                 string
	Addr               netip.AddrPort
	Kind               string
	Service            string
	Model              string
	Adapters           []string
	Version            string
	Domain             string
	MemoryTokens       int
	ChecksFencingToken bool
	// Slots is the number of requests that the server works on at once; zero
	// is unknown.
	Slots int
	// Epoch grows with each start of the backend server, Seq with each of its
	// announcements; together they order what is known of it.
	Epoch   uint64
	Seq     uint64
	Leaving bool
	Load    Load
}

// Supersedes reports whether b is later news than o of the same server. That a
// server leaves is news whatever its sequence number: the word may come from
// another VM that counted on by itself.
func (b Backend) Supersedes(o Backend) bool {
	if b.Epoch != o.Epoch {
		return b.Epoch > o.Epoch
	}
	return b.Seq > o.Seq || (b.Leaving && !o.Leaving)
}

// BackendUpdate is a backend server as passed between VMs.
type BackendUpdate struct {
	Backend
	// Age is the time since the backend server itself was heard.
	Age time.Duration
	// Direct says that the teller heard the backend server itself.
	Direct bool
	// Brief says that only ID, Epoch, Seq, Leaving and Load are set: the
	// receiver knows the rest.
	Brief bool
}

type record struct {
	Backend
	heard time.Time
	// first is when this start of the server was first heard, at most heard.
	first time.Time
	// version is the table's change counter at the record's last change.
	version uint64
	// identity is the version at which anything but the lease and the load last
	// changed, at most version.
	identity uint64
	gone     bool
	// from is the VM that the record came from, empty for the server itself.
	from string
}

// Table is what one VM knows of the backend servers. The zero value is empty
// and ready to use.
type Table struct {
	// Lease takes DefaultLease when zero.
	Lease   time.Duration
	records map[string]*record
	// version counts changes; every record's version is at most this.
	version uint64
}

// Change says what a call did to the table.
type Change int

// The changes.
const (
	// Stale: older news than what is known.
	Stale Change = iota
	// Refreshed: the lease and the load are newer, nothing else.
	Refreshed
	// Changed: the backend server is new, has restarted or leaves.
	Changed
	// Unknown: brief news of a backend server that is not known here.
	Unknown
)

func (t *Table) lease() time.Duration {
	if t.Lease == 0 {
		return DefaultLease
	}
	return t.Lease
}

// Merge takes news of a backend server that came from the named VM, or from
// the server itself if the name is empty.
func (t *Table) Merge(now time.Time, h BackendUpdate, from string) Change {
	if h.Age >= t.lease() {
		return Stale
	}
	r := t.records[h.ID]
	if r != nil && !h.Supersedes(r.Backend) {
		return Stale
	}
	if h.Brief && (r == nil || r.Epoch != h.Epoch) {
		return Unknown
	}
	if h.Brief {
		h.Backend = r.renewed(h.Backend)
	}
	if t.addressTaken(h.Backend) {
		return Stale
	}
	change := Changed
	if r != nil && r.Epoch == h.Epoch {
		h.Leaving = h.Leaving || r.Leaving
		h.Seq = max(h.Seq, r.Seq)
		if !r.gone && h.Leaving == r.Leaving && h.Addr == r.Addr && h.Model == r.Model {
			change = Refreshed
		}
	}
	if t.records == nil {
		t.records = map[string]*record{}
	}
	t.version++
	if change == Changed {
		t.vacate(h.Backend)
	}
	identity := t.version
	if change == Refreshed {
		identity = r.identity
	}
	first := now.Add(-h.Age)
	if r != nil && r.Epoch == h.Epoch {
		first = r.first
	}
	t.records[h.ID] = &record{Backend: h.Backend, heard: now.Add(-h.Age), first: first, version: t.version, identity: identity, from: from}
	return change
}

// addressTaken reports whether a backend server that started later is present
// at the address of b: then b's word was held up until after its end.
func (t *Table) addressTaken(b Backend) bool {
	known := t.records[b.ID]
	for _, r := range t.records {
		if r.ID == b.ID || r.Addr != b.Addr || r.gone {
			continue
		}
		// Servers may not tell when they started: then the one that was heard
		// first came first.
		later := r.Epoch == b.Epoch && known != nil && known.Epoch == b.Epoch && r.first.After(known.first)
		if r.Epoch > b.Epoch || later {
			return true
		}
	}
	return false
}

// vacate marks the backend servers gone that had the address of b before.
func (t *Table) vacate(b Backend) {
	for _, r := range t.records {
		if r.ID != b.ID && r.Addr == b.Addr && !r.gone {
			r.gone = true
			r.version = t.version
		}
	}
}

// MarkLeaving marks a present backend server as leaving, by its own word or that of
// its platform. It reports whether that is news. An epoch of zero means
// whatever start is known.
func (t *Table) MarkLeaving(now time.Time, id string, epoch uint64) (Backend, bool) {
	r := t.records[id]
	if r == nil || r.gone || r.Leaving || (epoch != 0 && epoch != r.Epoch) {
		return Backend{}, false
	}
	t.version++
	r.Leaving = true
	r.version, r.identity = t.version, t.version
	r.from = ""
	return r.Backend, true
}

// renewed returns the record's backend server with the lease and load of brief
// news.
func (r *record) renewed(brief Backend) Backend {
	b := r.Backend
	b.Seq, b.Leaving, b.Load = brief.Seq, brief.Leaving, brief.Load
	return b
}

// Expire marks backend servers whose lease has run out as gone and returns
// their IDs in order.
func (t *Table) Expire(now time.Time) []string {
	var out []string
	for id, r := range t.records {
		age := now.Sub(r.heard)
		if !r.gone && age >= t.lease() {
			r.gone = true
			out = append(out, id)
		}
		if r.gone && age >= tombstoneLeases*t.lease() {
			delete(t.records, id)
		}
	}
	slices.Sort(out)
	return out
}

// Get returns a present backend server.
func (t *Table) Get(id string) (Backend, bool) {
	r := t.records[id]
	if r == nil || r.gone {
		return Backend{}, false
	}
	return r.Backend, true
}

// Age returns the time since a present backend server itself was heard.
func (t *Table) Age(now time.Time, id string) (time.Duration, bool) {
	r := t.records[id]
	if r == nil || r.gone {
		return 0, false
	}
	return now.Sub(r.heard), true
}

// Live returns all present backend servers, ordered by ID.
func (t *Table) Live() []Backend {
	var out []Backend
	for _, r := range t.records {
		if !r.gone {
			out = append(out, r.Backend)
		}
	}
	slices.SortFunc(out, func(a, b Backend) int { return compare(a.ID, b.ID) })
	return out
}

// OfService returns the present backend servers of a service, ordered by ID.
func (t *Table) OfService(service string) []Backend {
	var out []Backend
	for _, r := range t.records {
		if !r.gone && r.Service == service {
			out = append(out, r.Backend)
		}
	}
	slices.SortFunc(out, func(a, b Backend) int { return compare(a.ID, b.ID) })
	return out
}

// Since returns what changed after the given version and did not come from the
// VM that it is for, whose name may be unknown and empty, and the version that the answer covers. News of which the receiver
// has the rest is marked brief.
func (t *Table) Since(now time.Time, version uint64, to string) ([]BackendUpdate, uint64) {
	var out []BackendUpdate
	for _, r := range t.records {
		if r.version > version && !r.gone && (to == "" || r.from != to) {
			out = append(out, BackendUpdate{Backend: r.Backend, Age: now.Sub(r.heard), Direct: r.from == "", Brief: r.identity <= version})
		}
	}
	slices.SortFunc(out, func(a, b BackendUpdate) int { return compare(a.ID, b.ID) })
	return out, t.version
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
