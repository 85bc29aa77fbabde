package member

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of the exchange between VMs.
const (
	// ExchangeInterval is the time between two exchanges that a VM begins.
	ExchangeInterval = time.Second
	// PeerLease is how long a VM counts as live after it was last heard.
	PeerLease = 10 * time.Second
	// Fanout is the number of VMs of the own failure domain in an exchange.
	Fanout = 2
	// SummaryPerModel is the number of backend servers of a model that one
	// failure domain makes known to another.
	SummaryPerModel = 4
	// maxKnown bounds the other VMs named in one message.
	maxKnown = 8
)

// Peer is one VM of the system.
type Peer struct {
	ID     string
	Addr   netip.AddrPort
	Domain string
	Region string
	// Epoch grows with each start of the VM's process.
	Epoch    uint64
	Revision uint64
	Draining bool
	// HasControlReplica says that the VM runs a control replica, Callers that it takes
	// callers' requests.
	HasControlReplica bool
	ServesCallers     bool
}

type peerRecord struct {
	Peer
	heard time.Time
	// acked is the version of the own table that the VM has taken in.
	acked uint64
	// have is the version of the VM's table that was taken in here.
	have uint64
}

// Group is what one VM knows of the others. Self is set before use; the rest
// is ready as it is.
type Group struct {
	Self Peer
	// Seeds are addresses to try while no VM behind them has been heard.
	Seeds []netip.AddrPort
	// MaxDirectPeers is the number of other VMs up to which this VM tells urgent news to
	// each by itself.
	MaxDirectPeers int
	peers          map[string]*peerRecord
}

// ReceiveDirect takes a VM's own word. Only news of the same or a later epoch counts.
func (g *Group) ReceiveDirect(now time.Time, p Peer) {
	if p.ID == "" || p.ID == g.Self.ID {
		return
	}
	r := g.peers[p.ID]
	if r != nil && p.Epoch < r.Epoch {
		return
	}
	if g.peers == nil {
		g.peers = map[string]*peerRecord{}
	}
	if r == nil || p.Epoch > r.Epoch {
		r = &peerRecord{}
		g.peers[p.ID] = r
	}
	r.Peer = p
	r.heard = now
}

// PeerUpdate is a VM as one VM names it to another.
type PeerUpdate struct {
	Peer
	// Age is the time since the VM itself was heard.
	Age time.Duration
}

// ReceiveRelayed takes what one VM says of another.
func (g *Group) ReceiveRelayed(now time.Time, h PeerUpdate) {
	r := g.peers[h.ID]
	if h.Age >= PeerLease || (r != nil && (h.Epoch < r.Epoch || !r.heard.Before(now.Add(-h.Age)))) {
		return
	}
	g.ReceiveDirect(now.Add(-h.Age), h.Peer)
}

// Live returns the VMs heard within the lease, ordered by ID.
func (g *Group) Live(now time.Time) []Peer { return g.LiveWithin(now, PeerLease) }

// LiveWithin returns the VMs heard within a time, ordered by ID.
func (g *Group) LiveWithin(now time.Time, within time.Duration) []Peer {
	var out []Peer
	for _, r := range g.peers {
		if now.Sub(r.heard) < within {
			out = append(out, r.Peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SamplePeers returns some VMs to name to another one.
func (g *Group) SamplePeers(now time.Time, r *rand.Rand) []PeerUpdate {
	live := g.Live(now)
	r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var out []PeerUpdate
	for _, p := range live[:min(len(live), maxKnown)] {
		out = append(out, PeerUpdate{Peer: p, Age: now.Sub(g.peers[p.ID].heard)})
	}
	return out
}

// IsRelay reports whether this VM carries its failure domain's summary to the
// others: the live VM with the lowest ID does.
func (g *Group) IsRelay(now time.Time) bool {
	for _, p := range g.Live(now) {
		if p.Domain == g.Self.Domain && p.ID < g.Self.ID && !p.Draining {
			return false
		}
	}
	return true
}

// ExchangeTargets returns the addresses to exchange with now: some VMs of the own
// failure domain; if this VM is the relay, one of each other domain of the
// region and one of another region; and a seed that has not been heard.
func (g *Group) ExchangeTargets(now time.Time, r *rand.Rand) []netip.AddrPort {
	near, far, remote := g.split(now)
	r.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	var out []netip.AddrPort
	for _, p := range near[:min(len(near), Fanout)] {
		out = append(out, p.Addr)
	}
	if g.IsRelay(now) {
		out = append(out, oneOfEach(far, r)...)
		if others := oneOfEach(remote, r); len(others) > 0 {
			out = append(out, others[r.IntN(len(others))])
		}
	}
	return append(out, g.unheard(now, r)...)
}

// UrgentTargets returns the addresses to tell at once of news that came from the
// named VM. News that arose here goes to the whole failure domain and to one
// VM of each other one, in whatever region; news from another domain goes to
// the own one; news from the own domain has been told to all by its source.
//
// A group of up to Direct VMs needs no help: news that arose here goes to
// each, so that no silent VM in between holds it up.
func (g *Group) UrgentTargets(now time.Time, from string, r *rand.Rand) []netip.AddrPort {
	if live := g.Live(now); len(live) <= g.MaxDirectPeers {
		return g.direct(live, from)
	}
	near, far, remote := g.split(now)
	if p := g.peers[from]; p != nil && p.Domain == g.Self.Domain {
		return nil
	}
	var out []netip.AddrPort
	for _, p := range near {
		out = append(out, p.Addr)
	}
	if from != "" {
		return out
	}
	for _, group := range []map[string][]Peer{far, remote} {
		out = append(out, oneOfEach(group, r)...)
	}
	return out
}

// direct returns all live VMs for news that arose here, and none for news that
// its source has told all of them.
func (g *Group) direct(live []Peer, from string) []netip.AddrPort {
	if from != "" {
		return nil
	}
	var out []netip.AddrPort
	for _, p := range live {
		out = append(out, p.Addr)
	}
	return out
}

// oneOfEach returns the address of one VM of each failure domain.
func oneOfEach(byDomain map[string][]Peer, r *rand.Rand) []netip.AddrPort {
	var out []netip.AddrPort
	for _, domain := range sortedDomains(byDomain) {
		list := byDomain[domain]
		out = append(out, list[r.IntN(len(list))].Addr)
	}
	return out
}

// split parts the live VMs into those of the own failure domain, those of
// other domains of the region, and those of other regions.
func (g *Group) split(now time.Time) (near []Peer, far, remote map[string][]Peer) {
	far, remote = map[string][]Peer{}, map[string][]Peer{}
	for _, p := range g.Live(now) {
		switch {
		case p.Domain == g.Self.Domain:
			near = append(near, p)
		case p.Region == g.Self.Region:
			far[p.Domain] = append(far[p.Domain], p)
		default:
			remote[p.Domain] = append(remote[p.Domain], p)
		}
	}
	return near, far, remote
}

func sortedDomains(m map[string][]Peer) []string {
	out := make([]string, 0, len(m))
	for d := range m {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// unheard returns one seed behind which no live VM is known.
func (g *Group) unheard(now time.Time, r *rand.Rand) []netip.AddrPort {
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

// ExchangeState returns the version of the own table that the VM at an address has.
func (g *Group) ExchangeState(addr netip.AddrPort) (id string, acked, have, epoch uint64) {
	for _, r := range g.peers {
		if r.Addr == addr {
			return r.ID, r.acked, r.have, r.Epoch
		}
	}
	return "", 0, 0, 0
}

// RecordExchange records the versions that both sides have after an exchange.
func (g *Group) RecordExchange(id string, acked, have uint64) {
	if r := g.peers[id]; r != nil {
		r.acked = max(r.acked, acked)
		r.have = max(r.have, have)
	}
}

// RequestFullExchange makes the next exchange with a VM bring all that it has.
func (g *Group) RequestFullExchange(id string) {
	if r := g.peers[id]; r != nil {
		r.have = 0
	}
}

// Peer returns what is known of a VM.
func (g *Group) Peer(id string) (Peer, bool) {
	r := g.peers[id]
	if r == nil {
		return Peer{}, false
	}
	return r.Peer, true
}

// Scheduler returns the VM of the own failure domain that schedules a model: the
// one with the highest hash of both names, so that a VM that comes or goes
// moves only its own models. A VM that drains does not schedule. It returns
// false if none does.
func (g *Group) Scheduler(now time.Time, model string) (Peer, bool) {
	var best Peer
	most := uint64(0)
	consider := func(p Peer) {
		if h := xxhash.Sum64String(model + "\x00" + p.ID); best.ID == "" || h > most {
			best, most = p, h
		}
	}
	if !g.Self.Draining {
		consider(g.Self)
	}
	for _, r := range g.peers {
		if r.Domain == g.Self.Domain && !r.Draining && now.Sub(r.heard) < PeerLease {
			consider(r.Peer)
		}
	}
	return best, best.ID != ""
}

// Summary cuts news down to what another failure domain is told: the least
// loaded backend servers of each model of the own domain, those leaving, and
// whatever was heard here directly, since nobody else may have heard it.
func Summary(news []BackendUpdate, domain string) []BackendUpdate {
	byLoad := slices.Clone(news)
	slices.SortStableFunc(byLoad, func(a, b BackendUpdate) int {
		return cmp.Compare(a.Load.Running+a.Load.Waiting, b.Load.Running+b.Load.Waiting)
	})
	count := map[string]int{}
	var out []BackendUpdate
	for _, h := range byLoad {
		if h.Direct {
			out = append(out, h)
			continue
		}
		group := h.Service + "/" + h.Model
		if h.Domain != domain || (!h.Leaving && count[group] >= SummaryPerModel) {
			continue
		}
		if !h.Leaving {
			count[group]++
		}
		// What the receiver was told before depended on the loads then.
		h.Brief = false
		out = append(out, h)
	}
	return out
}

// PlacementVM returns the VM of the region that places a service's requests for all:
// of those that serve callers, are live, do not drain and are not distrusted, the
// one with the highest hash of both names. News of a VM may be seconds old among
// many: were only those heard lately considered, each VM would name another one.
// draining says that this VM itself drains; it is returned if no other is left.
func (g *Group) PlacementVM(now time.Time, service string, draining bool, distrusted func(p Peer) bool) Peer {
	best := g.Self
	most := uint64(0)
	consider := func(p Peer) {
		if h := xxhash.Sum64String(service + "\x00" + p.ID); h > most {
			best, most = p, h
		}
	}
	if g.Self.ServesCallers && !draining {
		consider(g.Self)
	}
	for _, p := range g.Live(now) {
		if p.Region == g.Self.Region && p.ServesCallers && !p.Draining && !distrusted(p) {
			consider(p)
		}
	}
	return best
}
