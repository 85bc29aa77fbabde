package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiafold.example/fold/spec"
)

// LeaseBuckets is the number of buckets into which backend servers are divided by
// the hash of their IDs. Two VMs that know different servers of one bucket can
// still renew the leases of all other buckets by a digest.
const LeaseBuckets = 16

// Leases is a digest of the leases that one VM knows: those of all live backend
// servers except the ones of kind spec.KindEngine, whose updates carry loads as
// well. It takes two bytes a server on the wire, where an update takes about fifty.
type Leases [LeaseBuckets]LeaseBucket

// LeaseBucket holds the leases of one bucket.
type LeaseBucket struct {
	// Servers is a hash of the IDs, the epochs and the leaving marks of the
	// bucket's servers.
	Servers uint32
	// Leases holds the lease of each of them, in the order of their IDs.
	Leases []Lease
}

// Lease is the lease of one server.
type Lease struct {
	// Seq is the lowest byte of the sequence number of the server's last
	// announcement, and Age the time since then.
	Seq uint8
	Age time.Duration
}

// maxSeqLead is the largest number of announcements by which one VM can be ahead of
// another for a lease to be renewed. A larger difference of the lowest bytes means
// that it is behind.
const maxSeqLead = 127

// EqualBuckets reports for each bucket whether two VMs know the same servers.
type EqualBuckets [LeaseBuckets]bool

// Covers reports whether an update says no more than the digests of two VMs with
// these equal buckets: that a server, not of kind spec.KindEngine, has announced
// itself again.
func (e *EqualBuckets) Covers(u *BackendUpdate) bool {
	return u.Brief && u.Kind != spec.KindEngine && e[leaseBucket(u.ID)]
}

// leaseBucket returns the bucket of a backend server.
func leaseBucket(id string) uint64 { return xxhash.Sum64String(id) % LeaseBuckets }

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

// hashServers returns the hash of LeaseBucket.Servers.
func (t *Table) hashServers(ids []string) uint32 {
	var data []byte
	for _, id := range ids {
		r := t.records[id]
		data = append(data, id...)
		data = append(data, 0)
		data = binary.BigEndian.AppendUint64(data, r.Epoch)
		if r.Leaving {
			data = append(data, 1)
		}
	}
	return uint32(xxhash.Sum64(data))
}

// Leases returns a digest of the table's leases.
func (t *Table) Leases(now time.Time) Leases {
	var out Leases
	for i := range t.leaseIndex() {
		b := &t.leases[i]
		out[i].Servers = b.hash
		for _, id := range b.ids {
			r := t.records[id]
			out[i].Leases = append(out[i].Leases, Lease{Seq: uint8(r.Seq), Age: now.Sub(r.lastReport)})
		}
	}
	return out
}

// RenewLeases renews the leases of the buckets of which another VM with the digest
// l knows the same servers, as far as it knows later announcements. It reports
// which buckets these are.
func (t *Table) RenewLeases(now time.Time, l *Leases) EqualBuckets {
	var equal EqualBuckets
	t.version++
	for i := range t.leaseIndex() {
		b := &t.leases[i]
		if b.hash != l[i].Servers || len(b.ids) != len(l[i].Leases) {
			continue
		}
		equal[i] = true
		for j, id := range b.ids {
			t.renew(now, t.records[id], l[i].Leases[j])
		}
	}
	return equal
}

// renew renews the lease of a server if l is of a later announcement than what is
// known. The age alone would not do: it is too low by the time that the message
// took, so that two VMs could renew the lease of a dead server for each other.
func (t *Table) renew(now time.Time, r *record, l Lease) {
	lead := l.Seq - uint8(r.Seq)
	if lead == 0 || lead > maxSeqLead || l.Age >= t.lease() {
		return
	}
	r.Seq += uint64(lead)
	r.lastReport = now.Add(-l.Age)
	r.version = t.version
}
