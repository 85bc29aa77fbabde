package member

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// startWindow is the time within which VMs count as started together. It exceeds the
// difference between their clocks.
const startWindow = 10 * time.Second

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

// PlacementVM returns the VM that chooses the backend servers for a service's
// requests: those of a failure domain, or, if domain is empty, those of the whole region.
// Eligible are the VMs of the domain or the region that serve callers, are live, are not
// draining and are not backed off; those of the region if the domain has none. Of those
// that started first, it is the one with the highest hash of the service and the VM's ID.
//
// A VM that starts later takes no placements over, because it knows neither the
// loads of the other VMs nor the lengths and the pace of runs, and because the VMs
// learn of it one after another and would meanwhile disagree on the placement VM.
// All live VMs count because reports may be seconds old in a large group: with a
// limit below PeerLease, VMs would disagree as well. draining means that this VM is
// draining; it is still returned if no other VM is eligible.
func (g *Group) PlacementVM(now time.Time, service, domain string, draining bool, backedOff func(p Peer) bool) Peer {
	e := eligibility{region: g.Self.Region, domain: domain, backedOff: backedOff}
	selfEligible := g.Self.ServesCallers && !draining && (domain == "" || g.Self.Domain == domain)
	if p, ok := g.placementVM(now, service, e, selfEligible); ok || domain == "" {
		return p
	}
	return g.PlacementVM(now, service, "", draining, backedOff)
}

// eligibility says which VMs may place requests.
type eligibility struct {
	// region and domain are where the VM has to be; an empty domain is any.
	region, domain string
	backedOff      func(p Peer) bool
}

func (e *eligibility) has(r *peerRecord) bool {
	return r.Region == e.region && (e.domain == "" || r.Domain == e.domain) && r.ServesCallers && !r.Draining && !e.backedOff(r.Peer)
}

// placementVM returns the VM with the highest hash of those that started first. It returns
// this VM and false if none is eligible.
func (g *Group) placementVM(now time.Time, service string, e eligibility, selfEligible bool) (Peer, bool) {
	live := g.liveAt(now).peers
	first := uint64(math.MaxUint64)
	if selfEligible {
		first = g.Self.Epoch
	}
	for _, r := range live {
		if r.Epoch < first && e.has(r) {
			first = r.Epoch
		}
	}
	best, highest, found := g.Self, uint64(0), false
	if selfEligible && g.Self.Epoch-first <= uint64(startWindow) {
		highest, found = placementHash(service, g.Self.ID), true
	}
	for _, r := range live {
		if r.Epoch < first || r.Epoch-first > uint64(startWindow) || !e.has(r) {
			continue
		}
		if h := placementHash(service, r.ID); !found || h > highest {
			best, highest, found = r.Peer, h, true
		}
	}
	return best, found
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
func placementHash(service, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest do not fail.
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(vm)
	return d.Sum64()
}
