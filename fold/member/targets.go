package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// FollowUpDelay is how long an urgent exchange with a VM may take until another VM of its
// failure domain gets the update too.
const FollowUpDelay = 150 * time.Millisecond

// maxSubstitutes bounds the VMs that get an update in place of one that doesn't respond.
const maxSubstitutes = 8

// IsRelay reports whether this VM sends its failure domain's summary to the other
// failure domains. It does unless a live VM of its domain that is not draining and
// with which exchanges don't fail has a lower ID.
func (g *Group) IsRelay(now time.Time) bool {
	for _, p := range g.liveAt(now).peers {
		if p.Domain == g.Self.Domain && p.ID < g.Self.ID && !p.Draining && !p.failed {
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
		out = append(out, g.onePerDomain(sameRegion, r)...)
		if others := g.onePerDomain(otherRegions, r); len(others) > 0 {
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
		out = append(out, g.onePerDomain(group, r)...)
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

// Substitutes returns the addresses of VMs that can take an update in place of the VM at
// addr, which doesn't respond, in the order in which to try them: other live VMs of its
// failure domain. There are none for a VM of the local domain, whose VMs all get an update.
func (g *Group) Substitutes(now time.Time, addr netip.AddrPort, r *rand.Rand) []netip.AddrPort {
	live := g.Live(now)
	at := slices.IndexFunc(live, func(p Peer) bool { return p.Addr == addr })
	if at < 0 || live[at].Domain == g.Self.Domain {
		return nil
	}
	var out []netip.AddrPort
	for _, p := range g.inOrderOfContact(live, r) {
		if p.Domain == live[at].Domain && p.Addr != addr && len(out) < maxSubstitutes {
			out = append(out, p.Addr)
		}
	}
	return out
}

// Outside returns the address of a VM of another failure domain of the region, and false if
// there is none. A VM asks it for news when VMs of its own domain don't respond, one of which
// may be to pass news on.
func (g *Group) Outside(now time.Time, r *rand.Rand) (netip.AddrPort, bool) {
	for _, p := range g.inOrderOfContact(g.Live(now), r) {
		if p.Domain != g.Self.Domain && p.Region == g.Self.Region {
			return p.Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// inOrderOfContact returns VMs in a random order, those last with which exchanges fail.
func (g *Group) inOrderOfContact(list []Peer, r *rand.Rand) []Peer {
	out := slices.Clone(list)
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Peer) int { return failedRank(g.peers[a.ID]) - failedRank(g.peers[b.ID]) })
	return out
}

func failedRank(r *peerRecord) int {
	if r.failed {
		return 1
	}
	return 0
}

// onePerDomain returns the address of one random VM of each failure domain, if there is
// one of those with which exchanges don't fail.
func (g *Group) onePerDomain(byDomain map[string][]Peer, r *rand.Rand) []netip.AddrPort {
	var out []netip.AddrPort
	for _, domain := range sortedDomains(byDomain) {
		out = append(out, g.inOrderOfContact(byDomain[domain], r)[0].Addr)
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
