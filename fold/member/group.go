package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Parameters of the gossip exchanges between VMs.
const (
	// ExchangeInterval is the time between two rounds of exchanges that a VM
	// starts.
	ExchangeInterval = time.Second
	// PeerLease is how long a VM counts as live after its last direct report.
	PeerLease = 10 * time.Second
	// Fanout is the number of VMs of the same failure domain that a VM contacts in
	// one round.
	Fanout = 2
	// SummaryPerModel is the largest number of backend servers per model that are
	// not leaving in a summary for another failure domain. Direct updates are
	// not counted.
	SummaryPerModel = 4
	// peerRetention is how long the last report of a VM that is not live is kept. Until
	// then, late reports of it are told from new ones.
	peerRetention = 10 * time.Minute
)

// Peer is one VM of the system.
type Peer struct {
	ID     string
	Addr   netip.AddrPort
	Domain string
	Region string
	// Epoch is when the VM's process started, by its own clock, in nanoseconds
	// since the Unix epoch. It grows with each start.
	Epoch uint64
	// Seq grows with each heartbeat of the VM within an epoch. A relayed report counts
	// only if its Seq is higher than the last one.
	Seq uint64
	// Revision is the revision of the VM's configuration.
	Revision uint64
	// EvacuationsVersion is the version of the set of evacuated failure domains in force at
	// the VM. It never decreases within an epoch.
	EvacuationsVersion uint64
	Draining           bool
	// HasControlReplica means that the VM runs a control replica, ServesCallers
	// that it accepts callers' requests.
	HasControlReplica bool
	ServesCallers     bool
}

type peerRecord struct {
	Peer
	// lastReport is the time of the VM's last direct report, whether it arrived
	// here or at the VM that relayed it.
	lastReport time.Time
	// indexed is set if the VM was live when the index of live VMs was last computed.
	indexed bool
	// acked is the version of the local table that the VM has applied.
	acked uint64
	// have is the version of the VM's table that was applied locally.
	have uint64
	// failed is set if an exchange with the VM failed since its last report.
	failed bool
	// known holds the buckets of which the VM knew the same backend servers, by
	// its last digest.
	known KnownBuckets
}

// Group holds the other VMs that one VM knows. Self must be set before use; the
// zero values of the other fields are ready to use.
type Group struct {
	Self Peer
	// Seeds are addresses to contact while no live VM is known there.
	Seeds []netip.AddrPort
	// MaxDirectPeers is the largest number of live peers at which this VM sends
	// urgent updates to each peer itself instead of relying on relays.
	MaxDirectPeers int
	peers          map[string]*peerRecord
	// beatAt is the time of this VM's last heartbeat.
	beatAt time.Time
	// live is nil if the set of live VMs, or what a digest covers of them, may have
	// changed since it was computed.
	live *liveIndex
}

// SetDraining records whether this VM is draining.
func (g *Group) SetDraining(now time.Time, draining bool) {
	if draining == g.Self.Draining {
		return
	}
	g.Self.Draining = draining
	g.live = nil
	g.beat(now)
}

// SetEvacuationsVersion records the version of the set of evacuated failure domains in force
// at this VM.
func (g *Group) SetEvacuationsVersion(now time.Time, version uint64) {
	if version == g.Self.EvacuationsVersion {
		return
	}
	g.Self.EvacuationsVersion = version
	g.live = nil
	g.beat(now)
}

// Beat begins the next heartbeat of this VM if the last one was ExchangeInterval ago.
func (g *Group) Beat(now time.Time) {
	if g.beatAt.IsZero() || now.Sub(g.beatAt) >= ExchangeInterval {
		g.beat(now)
	}
}

func (g *Group) beat(now time.Time) {
	g.Self.Seq++
	g.beatAt = now
}

// ReceiveDirect applies a direct report, which a VM sent about itself. It ignores
// reports of an earlier epoch, until the later one has been silent for PeerLease: the
// VM's clock may have been set back between two starts.
func (g *Group) ReceiveDirect(now time.Time, p Peer) {
	if p.ID == "" || p.ID == g.Self.ID {
		return
	}
	r := g.peers[p.ID]
	if r != nil && (p.Epoch < r.Epoch && now.Sub(r.lastReport) < PeerLease || p.Epoch == r.Epoch && p.Seq < r.Seq) {
		return
	}
	if g.peers == nil {
		g.peers = map[string]*peerRecord{}
	}
	if r == nil || p.Epoch != r.Epoch {
		r = &peerRecord{}
		g.peers[p.ID] = r
	}
	// VMs of earlier versions relay reports without the field.
	p.EvacuationsVersion = max(p.EvacuationsVersion, r.EvacuationsVersion)
	if !r.indexed || !r.sameMember(p) {
		g.live = nil
	}
	r.failed = r.failed && p.Seq == r.Seq
	r.Peer = p
	if now.After(r.lastReport) {
		r.lastReport = now
	}
}

// sameMember reports whether p says nothing else of the VM than r, apart from its
// heartbeat and the revision of its configuration.
func (r *peerRecord) sameMember(p Peer) bool {
	p.Seq, p.Revision = r.Seq, r.Revision
	return p == r.Peer
}

// PeerUpdate is a relayed report: what one VM sends about another.
type PeerUpdate struct {
	Peer
	// Age is the time since the last direct report of the VM.
	Age time.Duration
}

// ReceiveRelayed applies a relayed report. It ignores reports that are older than
// PeerLease or not newer than what is known.
func (g *Group) ReceiveRelayed(now time.Time, u PeerUpdate) {
	if u.Age >= PeerLease {
		return
	}
	if g.knowsLater(now, u) {
		g.raiseEvacuationsVersion(u.Peer)
		return
	}
	g.ReceiveDirect(now.Add(-u.Age), u.Peer)
}

// raiseEvacuationsVersion takes over a higher version from a report that is not newer: one
// with the same heartbeat may have come without the field by a VM of an earlier version.
func (g *Group) raiseEvacuationsVersion(p Peer) {
	r := g.peers[p.ID]
	if r == nil || p.Epoch != r.Epoch || p.EvacuationsVersion <= r.EvacuationsVersion {
		return
	}
	r.EvacuationsVersion = p.EvacuationsVersion
	g.live = nil
}

// knowsLater reports whether a relayed report is not newer than what is known: by its
// heartbeat, or by its age if it is of another start of the VM.
func (g *Group) knowsLater(now time.Time, u PeerUpdate) bool {
	r := g.peers[u.ID]
	switch {
	case r == nil:
		return false
	case r.Epoch == u.Epoch:
		return u.Seq <= r.Seq
	}
	return !r.lastReport.Before(now.Add(-u.Age))
}

// Live returns the VMs whose last report is younger than PeerLease, ordered by ID.
func (g *Group) Live(now time.Time) []Peer {
	live := g.liveAt(now).peers
	out := make([]Peer, len(live))
	for i, r := range live {
		out[i] = r.Peer
	}
	return out
}

// LiveWithin returns the VMs whose last report is younger than maxAge, which is at most
// PeerLease, ordered by ID.
func (g *Group) LiveWithin(now time.Time, maxAge time.Duration) []Peer {
	var out []Peer
	for _, r := range g.liveAt(now).peers {
		if now.Sub(r.lastReport) < maxAge {
			out = append(out, r.Peer)
		}
	}
	return out
}

// ExchangeState returns the state of the exchange with the VM at addr: its ID, the
// version of the local table that it has applied, the version of its table that
// was applied locally, and its epoch. For an unknown address it returns zero
// values.
func (g *Group) ExchangeState(addr netip.AddrPort) (id string, acked, have, epoch uint64) {
	for _, r := range g.peers {
		if r.Addr == addr {
			return r.ID, r.acked, r.have, r.Epoch
		}
	}
	return "", 0, 0, 0
}

// RecordExchange records the table versions that both sides have applied after an
// exchange. Recorded versions never decrease.
func (g *Group) RecordExchange(id string, acked, have uint64) {
	if r := g.peers[id]; r != nil {
		r.acked = max(r.acked, acked)
		r.have = max(r.have, have)
	}
}

// InDomain reports whether the VM at addr is of the local failure domain.
func (g *Group) InDomain(addr netip.AddrPort) bool {
	for _, r := range g.peers {
		if r.Addr == addr {
			return r.Domain == g.Self.Domain
		}
	}
	return false
}

// RecordFailure records that an exchange with the VM at addr failed. Until it is heard of
// again, it relays no updates. It still counts as live until its lease ends.
func (g *Group) RecordFailure(addr netip.AddrPort) {
	for _, r := range g.peers {
		if r.Addr == addr {
			r.failed = true
		}
	}
}

// KnownBuckets returns the buckets of which a VM knew the same backend servers, by
// its last digest; none if it has sent no digest.
func (g *Group) KnownBuckets(id string) KnownBuckets {
	if r := g.peers[id]; r != nil {
		return r.known
	}
	return KnownBuckets{}
}

// SetKnownBuckets records the buckets of which a VM knows the same backend servers.
func (g *Group) SetKnownBuckets(id string, known KnownBuckets) {
	if r := g.peers[id]; r != nil {
		r.known = known
	}
}

// RequestFullExchange makes the next exchange with a VM request its whole table.
func (g *Group) RequestFullExchange(id string) {
	if r := g.peers[id]; r != nil {
		r.have = 0
	}
}

// Peer returns the last report about a VM, whether or not the VM is live.
func (g *Group) Peer(id string) (Peer, bool) {
	r := g.peers[id]
	if r == nil {
		return Peer{}, false
	}
	return r.Peer, true
}

// Summary selects the updates to send to another failure domain: the
// SummaryPerModel least loaded backend servers of each model in the local domain,
// the leaving and the cold servers of the local domain, and all direct updates, since no other
// VM may have received them.
func Summary(updates []BackendUpdate, domain string) []BackendUpdate {
	byLoad := slices.Clone(updates)
	slices.SortStableFunc(byLoad, func(a, b BackendUpdate) int {
		return cmp.Compare(a.Load.Running+a.Load.Waiting, b.Load.Running+b.Load.Waiting)
	})
	count := map[string]int{}
	var out []BackendUpdate
	for _, u := range byLoad {
		if u.Direct {
			out = append(out, u)
			continue
		}
		group := u.Service + "/" + u.Model
		always := u.Leaving || u.ColdFor > u.Age
		if u.Domain != domain || (!always && count[group] >= SummaryPerModel) {
			continue
		}
		if !always {
			count[group]++
		}
		// Earlier summaries were selected by the loads at that time, so the
		// receiver may not have the full record.
		u.Brief = false
		out = append(out, u)
	}
	return out
}
