package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// liveIndex holds the VMs that were live at one moment.
type liveIndex struct {
	// peers holds the live VMs other than this one, in the order of their IDs.
	peers []*peerRecord
	// buckets holds them and this VM, which has the record self, by lease bucket, in the
	// same order.
	buckets [LeaseBuckets]peerBucket
	self    *peerRecord
	// until is when the lease of one of them ends unless it is renewed. Before then the
	// index holds.
	until time.Time
}

// peerBucket holds the VMs of a bucket. members is as in LeaseBucket.
type peerBucket struct {
	peers   []*peerRecord
	members uint32
}

// liveAt returns the index of the live VMs.
func (g *Group) liveAt(now time.Time) *liveIndex {
	if g.live == nil || !now.Before(g.live.until) {
		g.live = g.newLiveIndex(now)
	}
	return g.live
}

func (g *Group) newLiveIndex(now time.Time) *liveIndex {
	x := &liveIndex{until: now.Add(PeerLease), self: &peerRecord{Peer: g.Self}}
	for id, r := range g.peers {
		silence := now.Sub(r.lastReport)
		if silence >= peerRetention {
			delete(g.peers, id)
		}
		r.indexed = silence < PeerLease
		if !r.indexed {
			continue
		}
		x.peers = append(x.peers, r)
		if end := r.lastReport.Add(PeerLease); end.Before(x.until) {
			x.until = end
		}
	}
	byID := func(a, b *peerRecord) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(x.peers, byID)
	at, _ := slices.BinarySearchFunc(x.peers, x.self, byID)
	for _, r := range slices.Insert(slices.Clone(x.peers), at, x.self) {
		b := &x.buckets[leaseBucket(r.ID)]
		b.peers = append(b.peers, r)
	}
	for i := range x.buckets {
		b := &x.buckets[i]
		b.members = hashPeers(b.peers)
	}
	return x
}

// hashPeers returns the hash of LeaseBucket.Members.
func hashPeers(peers []*peerRecord) uint32 {
	var data []byte
	for _, r := range peers {
		data = appendMember(data, r.ID, r.Epoch, r.Draining)
		// Without an order, the hash is that of earlier versions.
		if r.EvacuationsVersion > 0 {
			data = binary.AppendUvarint(data, r.EvacuationsVersion)
		}
	}
	return hashMembers(data)
}

// Leases returns a digest of the leases of the live VMs, this one included.
func (g *Group) Leases(now time.Time) Leases {
	var out Leases
	x := g.liveAt(now)
	x.self.Seq, x.self.lastReport = g.Self.Seq, g.beatAt
	for i := range x.buckets {
		b := &x.buckets[i]
		out[i].Members = b.members
		for _, r := range b.peers {
			out[i].Leases = append(out[i].Leases, Lease{Seq: uint8(r.Seq), Age: now.Sub(r.lastReport)})
		}
	}
	return out
}

// RenewLeases renews the leases of the buckets of which another VM with the digest l knows
// the same VMs, as far as it knows later heartbeats. It reports which buckets these are.
func (g *Group) RenewLeases(now time.Time, l *Leases) EqualBuckets {
	var equal EqualBuckets
	x := g.liveAt(now)
	for i := range x.buckets {
		b := &x.buckets[i]
		if b.members != l[i].Members || len(b.peers) != len(l[i].Leases) {
			continue
		}
		equal[i] = true
		for j, r := range b.peers {
			if r != x.self {
				r.renew(now, l[i].Leases[j])
			}
		}
	}
	return equal
}

// renew renews the lease of a VM if l is of a later heartbeat than what is known.
func (r *peerRecord) renew(now time.Time, l Lease) {
	lead := l.lead(r.Seq, PeerLease)
	if lead == 0 {
		return
	}
	r.Seq += lead
	if at := now.Add(-l.Age); at.After(r.lastReport) {
		r.lastReport = at
	}
}

// Updates returns relayed reports about the live VMs of the buckets that are not equal:
// those that another VM, of which this VM has got a digest, may not know.
func (g *Group) Updates(now time.Time, equal EqualBuckets) []PeerUpdate {
	var out []PeerUpdate
	x := g.liveAt(now)
	for i := range x.buckets {
		if equal[i] {
			continue
		}
		for _, r := range x.buckets[i].peers {
			if r != x.self {
				out = append(out, PeerUpdate{Peer: r.Peer, Age: now.Sub(r.lastReport)})
			}
		}
	}
	return out
}
