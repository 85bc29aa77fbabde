package member

import (
	"cmp"
	"slices"
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
