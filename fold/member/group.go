package member

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// startWindow is the time within which VMs count as started together. It
	// exceeds the difference between their clocks.
	startWindow = 10 * time.Second
	// maxSampledPeers is the largest number of other VMs in one message.
	maxSampledPeers = 8
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
	// Revision is the revision of the VM's configuration.
	Revision uint64
	Draining bool
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
	// acked is the version of the local table that the VM has applied.
	acked uint64
	// have is the version of the VM's table that was applied locally.
	have uint64
	// equal holds the buckets of which the VM knew the same backend servers, by
	// its last digest.
	equal EqualBuckets
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
}

// ReceiveDirect applies a direct report, which a VM sent about itself. It ignores
// reports of an earlier epoch, until the later one has been silent for PeerLease: the
// VM's clock may have been set back between two starts.
func (g *Group) ReceiveDirect(now time.Time, p Peer) {
	if p.ID == "" || p.ID == g.Self.ID {
		return
	}
	r := g.peers[p.ID]
	if r != nil && p.Epoch < r.Epoch && now.Sub(r.lastReport) < PeerLease {
		return
	}
	if g.peers == nil {
		g.peers = map[string]*peerRecord{}
	}
	if r == nil || p.Epoch != r.Epoch {
		r = &peerRecord{}
		g.peers[p.ID] = r
	}
	r.Peer = p
	r.lastReport = now
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
	r := g.peers[u.ID]
	if u.Age >= PeerLease || r != nil && !r.lastReport.Before(now.Add(-u.Age)) {
		return
	}
	g.ReceiveDirect(now.Add(-u.Age), u.Peer)
}

// Live returns the VMs whose last report is younger than PeerLease, ordered by ID.
func (g *Group) Live(now time.Time) []Peer { return g.LiveWithin(now, PeerLease) }

// LiveWithin returns the VMs whose last report is younger than maxAge, ordered by
// ID.
func (g *Group) LiveWithin(now time.Time, maxAge time.Duration) []Peer {
	var out []Peer
	for _, r := range g.peers {
		if now.Sub(r.lastReport) < maxAge {
			out = append(out, r.Peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SamplePeers returns a random sample of the live VMs to send to another VM.
func (g *Group) SamplePeers(now time.Time, r *rand.Rand) []PeerUpdate {
	live := g.Live(now)
	r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var out []PeerUpdate
	for _, p := range live[:min(len(live), maxSampledPeers)] {
		out = append(out, PeerUpdate{Peer: p, Age: now.Sub(g.peers[p.ID].lastReport)})
	}
	return out
}

// IsRelay reports whether this VM sends its failure domain's summary to the other
// failure domains. It does unless a live VM of its domain that is not draining has
// a lower ID.
func (g *Group) IsRelay(now time.Time) bool {
	for _, p := range g.Live(now) {
		if p.Domain == g.Self.Domain && p.ID < g.Self.ID && !p.Draining {
			return false
		}
	}
	return true
}

// ExchangeTargets returns the addresses to exchange with in one round: up to
// Fanout VMs of the same failure domain; if this VM is the relay, one VM of each
// other domain of the region and one VM of another region; and one seed at which
// no live VM is known.
func (g *Group) ExchangeTargets(now time.Time, r *rand.Rand) []netip.AddrPort {
	sameDomain, sameRegion, otherRegions := g.splitByLocality(now)
	r.Shuffle(len(sameDomain), func(i, j int) { sameDomain[i], sameDomain[j] = sameDomain[j], sameDomain[i] })
	var out []netip.AddrPort
	for _, p := range sameDomain[:min(len(sameDomain), Fanout)] {
		out = append(out, p.Addr)
	}
	if g.IsRelay(now) {
		out = append(out, onePerDomain(sameRegion, r)...)
		if others := onePerDomain(otherRegions, r); len(others) > 0 {
			out = append(out, others[r.IntN(len(others))])
		}
	}
	return append(out, g.seedWithoutPeer(now, r)...)
}

// UrgentTargets returns the addresses to which an urgent update is sent at once.
// from is the ID of the VM that sent the update, or empty for a local one. A local
// update is sent to the whole failure domain and to one VM of each other domain in
// any region. An update from another domain is sent to the local domain. An update
// from the local domain is not sent on, as its sender has sent it to the whole
// domain.
//
// With at most MaxDirectPeers live peers no VM relays updates: a local update is
// sent to each peer, so that no unresponsive VM in between delays it.
func (g *Group) UrgentTargets(now time.Time, from string, r *rand.Rand) []netip.AddrPort {
	if live := g.Live(now); len(live) <= g.MaxDirectPeers {
		return g.directTargets(live, from)
	}
	sameDomain, sameRegion, otherRegions := g.splitByLocality(now)
	if p := g.peers[from]; p != nil && p.Domain == g.Self.Domain {
		return nil
	}
	var out []netip.AddrPort
	for _, p := range sameDomain {
		out = append(out, p.Addr)
	}
	if from != "" {
		return out
	}
	for _, group := range []map[string][]Peer{sameRegion, otherRegions} {
		out = append(out, onePerDomain(group, r)...)
	}
	return out
}

// directTargets returns the addresses of all live VMs for a local update, and none
// for an update from another VM, which has sent it to all of them.
func (g *Group) directTargets(live []Peer, from string) []netip.AddrPort {
	if from != "" {
		return nil
	}
	var out []netip.AddrPort
	for _, p := range live {
		out = append(out, p.Addr)
	}
	return out
}

// onePerDomain returns the address of one random VM of each failure domain.
func onePerDomain(byDomain map[string][]Peer, r *rand.Rand) []netip.AddrPort {
	var out []netip.AddrPort
	for _, domain := range sortedDomains(byDomain) {
		list := byDomain[domain]
		out = append(out, list[r.IntN(len(list))].Addr)
	}
	return out
}

// splitByLocality divides the live VMs into those of the same failure domain, those
// of the other domains of the region and those of other regions. The latter two
// are keyed by failure domain.
func (g *Group) splitByLocality(now time.Time) (sameDomain []Peer, sameRegion, otherRegions map[string][]Peer) {
	sameRegion, otherRegions = map[string][]Peer{}, map[string][]Peer{}
	for _, p := range g.Live(now) {
		switch {
		case p.Domain == g.Self.Domain:
			sameDomain = append(sameDomain, p)
		case p.Region == g.Self.Region:
			sameRegion[p.Domain] = append(sameRegion[p.Domain], p)
		default:
			otherRegions[p.Domain] = append(otherRegions[p.Domain], p)
		}
	}
	return sameDomain, sameRegion, otherRegions
}

func sortedDomains(m map[string][]Peer) []string {
	out := make([]string, 0, len(m))
	for d := range m {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// seedWithoutPeer returns one random seed at whose address no live VM is known, or
// nil if there is none.
func (g *Group) seedWithoutPeer(now time.Time, r *rand.Rand) []netip.AddrPort {
	live := map[netip.AddrPort]bool{g.Self.Addr: true}
	for _, p := range g.Live(now) {
		live[p.Addr] = true
	}
	var out []netip.AddrPort
	for _, s := range g.Seeds {
		if !live[s] {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return nil
	}
	i := r.IntN(len(out))
	return out[i : i+1]
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

// EqualBuckets returns the buckets of which a VM knew the same backend servers, by
// its last digest; none if it has sent no digest.
func (g *Group) EqualBuckets(id string) EqualBuckets {
	if r := g.peers[id]; r != nil {
		return r.equal
	}
	return EqualBuckets{}
}

// SetEqualBuckets records the buckets of which a VM knows the same backend servers.
func (g *Group) SetEqualBuckets(id string, equal EqualBuckets) {
	if r := g.peers[id]; r != nil {
		r.equal = equal
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

// Scheduler returns the VM of the local failure domain that schedules a model. It
// is the live VM with the highest hash of the model and the VM's ID, so that a VM
// that joins or leaves moves only its own models. A draining VM does not schedule.
// Scheduler returns false if no VM is eligible.
func (g *Group) Scheduler(now time.Time, model string) (Peer, bool) {
	var best Peer
	highest := uint64(0)
	consider := func(p Peer) {
		if h := xxhash.Sum64String(model + "\x00" + p.ID); best.ID == "" || h > highest {
			best, highest = p, h
		}
	}
	if !g.Self.Draining {
		consider(g.Self)
	}
	for _, r := range g.peers {
		if r.Domain == g.Self.Domain && !r.Draining && now.Sub(r.lastReport) < PeerLease {
			consider(r.Peer)
		}
	}
	return best, best.ID != ""
}

// Summary selects the updates to send to another failure domain: the
// SummaryPerModel least loaded backend servers of each model in the local domain,
// the leaving servers of the local domain, and all direct updates, since no other
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
		if u.Domain != domain || (!u.Leaving && count[group] >= SummaryPerModel) {
			continue
		}
		if !u.Leaving {
			count[group]++
		}
		// Earlier summaries were selected by the loads at that time, so the
		// receiver may not have the full record.
		u.Brief = false
		out = append(out, u)
	}
	return out
}

// PlacementVM returns the VM that chooses the backend servers for a service's
// requests from the whole region. Eligible are the VMs that serve callers, are
// live, are not draining and are not backed off. Of those that started first, it is
// the one with the highest hash of the service and the VM's ID.
//
// A VM that starts later takes no placements over, because it knows neither the
// loads of the other VMs nor the lengths and the pace of runs, and because the VMs
// learn of it one after another and would meanwhile disagree on the placement VM.
// All live VMs count because reports may be seconds old in a large group: with a
// limit below PeerLease, VMs would disagree as well. draining means that this VM is
// draining; it is still returned if no other VM is eligible.
func (g *Group) PlacementVM(now time.Time, service string, draining bool, backedOff func(p Peer) bool) Peer {
	var eligible []Peer
	if g.Self.ServesCallers && !draining {
		eligible = append(eligible, g.Self)
	}
	for _, p := range g.Live(now) {
		if p.Region == g.Self.Region && p.ServesCallers && !p.Draining && !backedOff(p) {
			eligible = append(eligible, p)
		}
	}
	if len(eligible) == 0 {
		return g.Self
	}
	first := slices.MinFunc(eligible, func(a, b Peer) int { return cmp.Compare(a.Epoch, b.Epoch) }).Epoch
	eligible = slices.DeleteFunc(eligible, func(p Peer) bool { return p.Epoch-first > uint64(startWindow) })
	return slices.MaxFunc(eligible, func(a, b Peer) int { return cmp.Compare(placementHash(service, a), placementHash(service, b)) })
}

// CallerVMs returns the number of live VMs of the region that serve callers, this one
// included, and the number of those that are not live any more, but were within the given
// time. VMs that were draining are not among the latter.
func (g *Group) CallerVMs(now time.Time, within time.Duration) (live, lost int) {
	live = 1
	for _, r := range g.peers {
		if r.Region != g.Self.Region || !r.ServesCallers {
			continue
		}
		switch silence := now.Sub(r.lastReport); {
		case silence < PeerLease:
			live++
		case silence < within && !r.Draining:
			lost++
		}
	}
	return live, lost
}

// placementHash returns the rank of a VM among those that may place a service's
// requests.
func placementHash(service string, p Peer) uint64 {
	return xxhash.Sum64String(service + "\x00" + p.ID)
}
