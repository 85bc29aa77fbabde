// Package member tracks the backend servers and the other VMs that a VM knows:
// which of them are live, when their leases expire and which updates have to be
// sent to other VMs.
package member

import (
	"net/netip"
	"slices"
	"time"

	"fuchsiafold.example/fold/spec"
)

// DefaultLease is how long a backend server counts as live after its last
// announcement.
const DefaultLease = 5 * time.Second

// tombstoneLeases is the number of leases for which a removed backend server's
// record is kept as a tombstone. Its sequence number prevents a delayed message
// from making the server live again.
const tombstoneLeases = 20

// Load is a backend server's report of its load at one moment.
type Load struct {
	// Running and Waiting are the numbers of requests that the server processes
	// and that wait in its queue.
	Running int
	Waiting int
	// MemoryUsed is in tokens.
	MemoryUsed int
	// Preemptions is the number of times that the server removed a generation
	// from its batch.
	Preemptions int
	// StepTime is the duration of the last decode step.
	StepTime time.Duration
	// Lag is the age of the report when the server sent it.
	Lag time.Duration
}

// Backend is a backend server as described by its announcement.
type Backend struct {
	ID   string
	Addr netip.AddrPort
	// Kind is spec.KindEngine or spec.KindPlain.
	Kind    string
	Service string
	// Model is the model of an engine.
	Model    string
	Adapters []string
	Version  string
	// Domain is the server's failure domain.
	Domain string
	// MemoryTokens is the size of an engine's memory in tokens.
	MemoryTokens int
	// ChecksFencingToken means that the server rejects a command whose fencing
	// token is lower than one that it has seen.
	ChecksFencingToken bool
	// Slots is the number of requests that the server processes at once; zero
	// means unknown.
	Slots int
	// Epoch grows with each start of the backend server, Seq with each of its
	// announcements. Together they order the updates about the server.
	Epoch uint64
	Seq   uint64
	// Leaving means that the server is shutting down and must get no new
	// requests.
	Leaving bool
	// ColdFor is the time for which the server stays cold, as of its last announcement.
	// Zero means that it has not stated any, or that the time has passed.
	ColdFor time.Duration
	Load    Load
}

// Supersedes reports whether b is newer than o, where both describe the same
// server. Within an epoch, a leaving server supersedes one that is not leaving
// whatever their sequence numbers: the mark may come from another VM, whose
// sequence number is not in step with the server's announcements.
func (b Backend) Supersedes(o Backend) bool {
	if b.Epoch != o.Epoch {
		return b.Epoch > o.Epoch
	}
	return b.Seq > o.Seq || (b.Leaving && !o.Leaving)
}

// BackendUpdate is a backend server's state as sent between VMs.
type BackendUpdate struct {
	Backend
	// Age is the time since the backend server's last announcement.
	Age time.Duration
	// Direct means that the sending VM has the update from the backend server
	// itself and not from another VM.
	Direct bool
	// Brief means that only ID, Epoch, Seq, Leaving, ColdFor and Load are set. The
	// receiver has the other fields from an earlier update.
	Brief bool
}

type record struct {
	Backend
	lastReport time.Time
	// coldSeq is the sequence number of the last report that stated for how long the server is
	// cold. Digests and what VMs know by them raise Seq without the statement.
	coldSeq uint64
	// firstReport is the time of the first report of this epoch. It is not after
	// lastReport.
	firstReport time.Time
	// startColdUntil is when the server stops being cold after its start, by the
	// configuration. It is zero if the server was known to have started before, and once
	// the server itself has stated for how long it is cold.
	startColdUntil time.Time
	// version is the table's change counter at the record's last change.
	version uint64
	// identityVersion is the version of the last update that was Changed rather
	// than Refreshed, or of the leaving mark. It is at most version.
	identityVersion uint64
	// detailVersion is the version of the last change of a known server that digests don't
	// show: of its address, its model, or how long it is cold.
	detailVersion uint64
	removed       bool
	// from is the ID of the VM that sent the record. It is empty if the record
	// came from the server itself, or if this VM marked the server as leaving.
	from string
}

// Table holds the backend servers that one VM knows. The zero value is empty and
// ready to use.
type Table struct {
	// Lease is how long a backend server counts as live after its last
	// announcement. Zero means DefaultLease.
	Lease time.Duration
	// NamesService reports whether the configuration names a service. Of servers of other
	// services the table holds at most maxForeign records, as any writer may announce
	// them. It is nil while there is no configuration, and must not change a record.
	NamesService func(service string) bool
	// ColdStart returns what the configuration says of cold servers of a service, nil if
	// their requests are not limited. It may be nil.
	ColdStart func(service string) *spec.ColdStart
	// Starting is set while this VM may learn of a server long after the server's start.
	Starting func() bool
	records  map[string]*record
	// atAddr holds the IDs of the records with an address. Records never share an address
	// for long, so that a list has one entry nearly always.
	atAddr map[netip.AddrPort][]string
	// coldUntil is not before the time at which the last server stops being cold.
	coldUntil time.Time
	// version counts the changes of the table. The version of every record is at
	// most this.
	version uint64
	// leases is nil if the table has changed, other than by a refresh, since it
	// was computed.
	leases *leaseIndex
}

// Change is the effect of an update on the table.
type Change int

// Effects of an update.
const (
	// Stale means that the update was ignored: it is not newer than the record,
	// or its lease has expired.
	Stale Change = iota
	// Refreshed means that the backend server is live with the same epoch,
	// address, model and leaving mark as before. Normally only its lease and its
	// load have changed.
	Refreshed
	// Changed means that the backend server is new, has restarted, is leaving, is
	// live again after its removal, has another address or model, or is cold for longer
	// than was known.
	Changed
	// Unknown means that the update was brief and the table has no full record of
	// this start of the backend server.
	Unknown
	// Foreign means that the update was ignored: the configuration doesn't name the
	// server's service, and the table holds maxForeign such records.
	Foreign
)

// maxForeign is the number of records that the table holds of servers whose service the
// configuration doesn't name. A configuration may name it soon after.
const maxForeign = 256

func (t *Table) lease() time.Duration {
	if t.Lease == 0 {
		return DefaultLease
	}
	return t.Lease
}

// Merge applies an update about a backend server. from is the ID of the VM that
// sent it, or empty if it came from the server itself.
func (t *Table) Merge(now time.Time, u BackendUpdate, from string) Change {
	if u.Age >= t.lease() {
		return Stale
	}
	r := t.records[u.ID]
	coldSeq := uint64(0)
	if u.ColdFor > 0 {
		coldSeq = u.Seq
	}
	switch {
	case r == nil || u.Supersedes(r.Backend):
	case r.lacksStatement(now, u):
		u = r.withStatement(now, u)
	default:
		return Stale
	}
	if u.Brief && (r == nil || r.Epoch != u.Epoch) {
		return Unknown
	}
	if u.Brief {
		u.Backend = r.withBriefUpdate(u.Backend)
	}
	if r == nil && t.foreignFull(u.Service) {
		return Foreign
	}
	if t.addressTaken(u.Backend) {
		return Stale
	}
	change := Changed
	if r != nil && r.Epoch == u.Epoch {
		u.Leaving = u.Leaving || r.Leaving
		u.Seq = max(u.Seq, r.Seq)
		if !r.removed && u.Leaving == r.Leaving && u.Addr == r.Addr && u.Model == r.Model {
			change = Refreshed
		}
	}
	next := &record{Backend: u.Backend, lastReport: now.Add(-u.Age), firstReport: now.Add(-u.Age), from: from}
	if r != nil && r.Epoch == u.Epoch {
		next.firstReport = r.firstReport
	}
	t.setCold(next, r)
	if change == Refreshed && t.colder(now, r, next) {
		change = Changed
	}
	if t.records == nil {
		t.records, t.atAddr = map[string]*record{}, map[netip.AddrPort][]string{}
	}
	if r != nil && r.Addr != u.Addr {
		t.dropAddr(r)
	}
	if r == nil || r.Addr != u.Addr {
		t.atAddr[u.Addr] = append(t.atAddr[u.Addr], u.ID)
	}
	t.version++
	if change == Changed {
		t.removeAtAddress(u.Backend)
		t.leases = nil
	}
	identityVersion := t.version
	if change == Refreshed {
		identityVersion = r.identityVersion
	}
	next.version, next.identityVersion = t.version, identityVersion
	next.coldSeq = coldSeq
	if r != nil && r.Epoch == u.Epoch {
		next.coldSeq = max(coldSeq, r.coldSeq)
		next.detailVersion = r.detailVersion
		if change == Changed {
			next.detailVersion = t.version
		}
	}
	t.records[u.ID] = next
	t.noteCold(next)
	return change
}

// lacksStatement reports whether an update that is not newer than the record states that the
// server is cold for longer: a digest, which doesn't tell, or a VM that knew it from one has told of
// the announcement before.
func (r *record) lacksStatement(now time.Time, u BackendUpdate) bool {
	return !r.removed && u.Epoch == r.Epoch && u.ColdFor > 0 && u.Seq > r.coldSeq && now.Add(u.ColdFor-u.Age).After(r.coldUntil())
}

// withStatement returns what is known of the server with the update's statement for how long it is
// cold.
func (r *record) withStatement(now time.Time, u BackendUpdate) BackendUpdate {
	out := BackendUpdate{Backend: r.Backend, Age: now.Sub(r.lastReport)}
	out.ColdFor = max(u.ColdFor-u.Age+out.Age, 0)
	return out
}

// foreignFull reports whether the configuration doesn't name a service and the table holds
// maxForeign records of such services.
func (t *Table) foreignFull(service string) bool {
	if t.NamesService == nil || t.NamesService(service) {
		return false
	}
	n := 0
	for _, r := range t.records {
		if !t.NamesService(r.Service) {
			n++
		}
	}
	return n >= maxForeign
}

// addressTaken reports whether a live backend server that started after b has the
// address of b. The update about b was then delayed until after b's end.
func (t *Table) addressTaken(b Backend) bool {
	known := t.records[b.ID]
	for _, id := range t.atAddr[b.Addr] {
		r := t.records[id]
		if id == b.ID || r.removed {
			continue
		}
		// Servers may not report when they started, and their epochs are then
		// equal. In that case the one that was reported first started first.
		later := r.Epoch == b.Epoch && known != nil && known.Epoch == b.Epoch && r.firstReport.After(known.firstReport)
		if r.Epoch > b.Epoch || later {
			return true
		}
	}
	return false
}

// removeAtAddress marks the other live backend servers at the address of b as
// removed.
func (t *Table) removeAtAddress(b Backend) {
	for _, id := range t.atAddr[b.Addr] {
		if r := t.records[id]; id != b.ID && !r.removed {
			r.removed = true
			r.version = t.version
		}
	}
}

// dropAddr removes a record from atAddr.
func (t *Table) dropAddr(r *record) {
	ids := slices.DeleteFunc(t.atAddr[r.Addr], func(id string) bool { return id == r.ID })
	if len(ids) == 0 {
		delete(t.atAddr, r.Addr)
		return
	}
	t.atAddr[r.Addr] = ids
}

// MarkLeaving marks a live backend server as leaving (shutting down), as requested
// by the server or its platform. It returns the server and reports whether the
// mark is new. An epoch of zero matches any epoch.
func (t *Table) MarkLeaving(now time.Time, id string, epoch uint64) (Backend, bool) {
	r := t.records[id]
	if r == nil || r.removed || r.Leaving || (epoch != 0 && epoch != r.Epoch) {
		return Backend{}, false
	}
	t.version++
	t.leases = nil
	r.Leaving = true
	r.version, r.identityVersion = t.version, t.version
	r.from = ""
	return r.Backend, true
}

// Repeat makes what is known of a live backend server a new update by the server itself. Other
// VMs then get it as a whole, also if it came from another VM first.
func (t *Table) Repeat(id string) {
	r := t.records[id]
	if r == nil || r.removed {
		return
	}
	t.version++
	r.version, r.identityVersion = t.version, t.version
	r.from = ""
}

// withBriefUpdate returns the record's backend server with the fields that a
// brief update sets.
func (r *record) withBriefUpdate(brief Backend) Backend {
	b := r.Backend
	b.Seq, b.Leaving, b.Load, b.ColdFor = brief.Seq, brief.Leaving, brief.Load, brief.ColdFor
	return b
}

// Expire marks backend servers with an expired lease as removed and returns their
// IDs in ascending order. It also deletes tombstones that are old enough.
func (t *Table) Expire(now time.Time) []string {
	var out []string
	for id, r := range t.records {
		age := now.Sub(r.lastReport)
		if !r.removed && age >= t.lease() {
			r.removed = true
			t.leases = nil
			out = append(out, id)
		}
		if r.removed && age >= tombstoneLeases*t.lease() {
			t.dropAddr(r)
			delete(t.records, id)
		}
	}
	slices.Sort(out)
	return out
}

// Version returns the number of changes of the table so far. An exchange covers all of them up to
// the one that it names.
func (t *Table) Version() uint64 { return t.version }

// Get returns a live backend server by its ID.
func (t *Table) Get(id string) (Backend, bool) {
	r := t.records[id]
	if r == nil || r.removed {
		return Backend{}, false
	}
	return r.Backend, true
}

// Age returns the time since the last announcement of a live backend server.
func (t *Table) Age(now time.Time, id string) (time.Duration, bool) {
	r := t.records[id]
	if r == nil || r.removed {
		return 0, false
	}
	return now.Sub(r.lastReport), true
}

// Live returns all live backend servers, ordered by ID.
func (t *Table) Live() []Backend {
	var out []Backend
	for _, r := range t.records {
		if !r.removed {
			out = append(out, r.Backend)
		}
	}
	slices.SortFunc(out, func(a, b Backend) int { return compare(a.ID, b.ID) })
	return out
}

// OfService returns the live backend servers of a service, ordered by ID.
func (t *Table) OfService(service string) []Backend {
	var out []Backend
	for _, r := range t.records {
		if !r.removed && r.Service == service {
			out = append(out, r.Backend)
		}
	}
	slices.SortFunc(out, func(a, b Backend) int { return compare(a.ID, b.ID) })
	return out
}

// Since returns updates about the live backend servers whose records changed after
// the given version, ordered by ID, and the current version of the table. to is the
// ID of the VM that will receive the updates, or empty if it is unknown. Records
// that came from that VM are left out. An update is brief if its record was only
// refreshed after the given version.
func (t *Table) Since(now time.Time, version uint64, to string) ([]BackendUpdate, uint64) {
	return t.SinceExcept(now, version, to, KnownBuckets{})
}

// SinceExcept is like Since, but leaves out what a VM with the digest known needs no update for:
// that a server has announced itself again, and servers that the VM was shown to know. What digests
// don't show of a server is never left out.
func (t *Table) SinceExcept(now time.Time, version uint64, to string, known KnownBuckets) ([]BackendUpdate, uint64) {
	var out []BackendUpdate
	for _, r := range t.records {
		if r.version <= version || r.removed || to != "" && r.from == to {
			continue
		}
		u := BackendUpdate{Backend: r.Backend, Age: now.Sub(r.lastReport), Direct: r.from == "", Brief: r.identityVersion <= version}
		// Digests don't tell for how long servers are cold.
		hidden := !u.Brief && (r.detailVersion > version || u.ColdFor > u.Age)
		if hidden || !known.covers(&u, r.identityVersion) {
			out = append(out, u)
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
