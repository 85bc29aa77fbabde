package member

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/spec"
)

// Covers reports whether an update says no more than the digests of two VMs with
// these equal buckets: that a server, not of kind spec.KindEngine, has announced
// itself again.
func (e *EqualBuckets) Covers(u *BackendUpdate) bool {
	return u.Brief && u.Kind != spec.KindEngine && e[leaseBucket(u.ID)]
}

// KnownBuckets are the buckets of which another VM knew the same servers as the local table had
// at Version.
type KnownBuckets struct {
	Equal   EqualBuckets
	Version uint64
}

// covers reports whether the VM needs no update about a server, whose record was last changed,
// other than by a refresh, at version changed. What has changed since Version it may not know.
func (k *KnownBuckets) covers(u *BackendUpdate, changed uint64) bool {
	if changed > k.Version {
		return k.Equal.Covers(u)
	}
	brief := BackendUpdate{Backend: Backend{ID: u.ID, Kind: u.Kind}, Brief: true}
	return k.Equal.Covers(&brief)
}

// leaseIndex holds the servers of each bucket of a table.
type leaseIndex [LeaseBuckets]struct {
	// ids are in ascending order.
	ids  []string
	hash uint32
}

// leaseIndex returns the index of the table's servers. It is computed anew after a
// change of the table other than a refresh.
func (t *Table) leaseIndex() *leaseIndex {
	if t.leases != nil {
		return t.leases
	}
	t.leases = &leaseIndex{}
	for id, r := range t.records {
		if !r.removed && r.Kind != spec.KindEngine {
			b := &t.leases[leaseBucket(id)]
			b.ids = append(b.ids, id)
		}
	}
	for i := range t.leases {
		b := &t.leases[i]
		slices.Sort(b.ids)
		b.hash = t.hashServers(b.ids)
	}
	return t.leases
}

// hashServers returns the hash of LeaseBucket.Members.
func (t *Table) hashServers(ids []string) uint32 {
	var data []byte
	for _, id := range ids {
		r := t.records[id]
		data = appendMember(data, id, r.Epoch, r.Leaving)
	}
	return hashMembers(data)
}

// Leases returns a digest of the table's leases.
func (t *Table) Leases(now time.Time) Leases {
	var out Leases
	for i := range t.leaseIndex() {
		b := &t.leases[i]
		out[i].Members = b.hash
		for _, id := range b.ids {
			r := t.records[id]
			out[i].Leases = append(out[i].Leases, Lease{Seq: uint8(r.Seq), Age: now.Sub(r.lastReport)})
		}
	}
	return out
}

// RenewLeases renews the leases of the buckets of which another VM with the digest
// l knows the same servers, as far as it knows later announcements. It returns
// which buckets these are.
func (t *Table) RenewLeases(now time.Time, l *Leases) KnownBuckets {
	var equal EqualBuckets
	t.version++
	for i := range t.leaseIndex() {
		b := &t.leases[i]
		if b.hash != l[i].Members || len(b.ids) != len(l[i].Leases) {
			continue
		}
		equal[i] = true
		for j, id := range b.ids {
			t.renew(now, t.records[id], l[i].Leases[j])
		}
	}
	return KnownBuckets{Equal: equal, Version: t.version}
}

// renew renews the lease of a server if l is of a later announcement than what is
// known.
func (t *Table) renew(now time.Time, r *record, l Lease) {
	lead := l.lead(r.Seq, t.lease())
	if lead == 0 {
		return
	}
	r.Seq += lead
	stated := r.statedColdUntil()
	r.lastReport = now.Add(-l.Age)
	r.keepStatement(stated)
	r.version = t.version
}
