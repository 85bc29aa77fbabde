package member

import (
	"net/netip"
	"slices"
	"time"
)

// Applied says which other VMs have applied a version of the local table.
type Applied struct {
	// Everywhere is set if all VMs have it to which an urgent update goes, apart from those with
	// which exchanges fail: the loss of this VM then doesn't keep the update from any VM. Of
	// another failure domain that is one VM, which passes the update on, or each of them if no
	// VM passes updates on.
	Everywhere bool
	// Somewhere is set if at least one VM has it, or exchanges with all VMs fail.
	Somewhere bool
}

// Applied returns how far a version of the local table has got in the region.
func (g *Group) Applied(now time.Time, version uint64) Applied {
	live := g.Live(now)
	direct := len(live) <= g.MaxDirectPeers
	a, reachable := Applied{Everywhere: true}, false
	// lacking holds the other failure domains with a VM that lacks the version, and having those
	// with one that has it.
	lacking, having := map[string]bool{}, map[string]bool{}
	for _, p := range live {
		if p.Region != g.Self.Region {
			continue
		}
		r := g.peers[p.ID]
		reachable = reachable || !r.failed
		switch {
		case r.acked >= version:
			a.Somewhere, having[p.Domain] = true, true
		case r.failed:
		case direct || p.Domain == g.Self.Domain:
			a.Everywhere = false
		default:
			lacking[p.Domain] = true
		}
	}
	for domain := range lacking {
		a.Everywhere = a.Everywhere && having[domain]
	}
	a.Somewhere = a.Somewhere || !reachable
	return a
}

// MetNobody reports whether no other VM is live here, though there are seeds to ask for some.
func (g *Group) MetNobody(now time.Time) bool {
	other := func(a netip.AddrPort) bool { return a != g.Self.Addr }
	return len(g.Live(now)) == 0 && slices.ContainsFunc(g.Seeds, other)
}
