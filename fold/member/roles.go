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
	live := g.liveAt(now).peers
	eligible := func(r *peerRecord) bool {
		return r.Region == g.Self.Region && r.ServesCallers && !r.Draining && !backedOff(r.Peer)
	}
	selfEligible := g.Self.ServesCallers && !draining
	first := uint64(math.MaxUint64)
	if selfEligible {
		first = g.Self.Epoch
	}
	for _, r := range live {
		if r.Epoch < first && eligible(r) {
			first = r.Epoch
		}
	}
	best, highest := g.Self, uint64(0)
	if selfEligible && g.Self.Epoch-first <= uint64(startWindow) {
		highest = placementHash(service, g.Self.ID)
	}
	for _, r := range live {
		if r.Epoch < first || r.Epoch-first > uint64(startWindow) || !eligible(r) {
			continue
		}
		if h := placementHash(service, r.ID); h > highest {
			best, highest = r.Peer, h
		}
	}
	return best
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
