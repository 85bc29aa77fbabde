package node

import (
	"net/netip"
	"slices"
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/poison"
)

// Exchange is what one VM sends to another in an exchange, a call and its response
// by which two VMs gossip. Each sends the changes that the other one lacks.
type Exchange struct {
	Self    member.Peer
	Updates []member.BackendUpdate
	// VMs is the digest of the live VMs, nil in an exchange for an urgent update.
	VMs *member.Leases
	// Known holds relayed reports about other VMs that the receiver may not know.
	Known []member.PeerUpdate
	// Leases is the digest of the local table.
	Leases member.Leases
	// Prompts holds what this VM knows of prompts that crash engines and the peer may not.
	Prompts poison.Update
	// Limits holds the rate limits of backend servers that this VM knows.
	Limits []limit.Entry
	// Evacuations is the set of evacuated failure domains that this VM knows.
	Evacuations evac.Set
	// Version is the version of the local table of backend servers that the peer
	// has once it has applied Updates.
	Version uint64
	// PeerVersion is the version of the peer's table that has been applied here.
	// It belongs to the peer's epoch PeerEpoch.
	PeerVersion uint64
	PeerEpoch   uint64
	// Withheld is set if there are updates for the VM that are not in Updates.
	Withheld bool
}

// maxFirstUpdates is the number of updates that a VM sends to another one without its digest. A
// whole table of 1,000 servers takes 119 kB, and nearly always the other VM knows them.
const maxFirstUpdates = 32

// self returns the description of this VM that is sent to other VMs. The caller
// holds the lock.
func (n *Node) self() member.Peer {
	now := time.Now()
	n.group.SetDraining(now, n.Draining())
	n.group.Beat(now)
	p := n.group.Self
	if x := n.Index(); x != nil {
		p.Revision = x.Revision()
	}
	return p
}

// Self returns the description of this VM that is sent to other VMs.
func (n *Node) Self() member.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self()
}

// SetPeerAddr sets the address at which other VMs reach this one.
func (n *Node) SetPeerAddr(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.Self.Addr = a
}

// Seeds returns the configured addresses for discovering other VMs.
func (n *Node) Seeds() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.group.Seeds)
}

// ExchangeTargets returns the addresses for the next periodic exchanges.
func (n *Node) ExchangeTargets() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group.ExchangeTargets(time.Now(), n.random)
}

// urgentTargets returns the addresses of the VMs to which an update is gossiped
// at once. from is the VM that the update came from, empty for a local one.
func (n *Node) urgentTargets(from string) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group.UrgentTargets(time.Now(), from, n.random)
}

// RecordExchangeFailure records that an exchange with the VM at addr failed.
func (n *Node) RecordExchangeFailure(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.RecordFailure(addr)
	n.leaving.notify()
}

// SubstitutesFor returns the addresses of VMs that can take an update in place of the VM at
// addr, in the order in which to try them.
func (n *Node) SubstitutesFor(addr netip.AddrPort) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group.Substitutes(time.Now(), addr, n.random)
}

// OutsideTarget returns the address of a VM of another failure domain to ask for news after
// an exchange with the VM at addr has failed. It returns false if that VM is not of the local
// domain, or no VM of another one is live.
func (n *Node) OutsideTarget(addr netip.AddrPort) (netip.AddrPort, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.group.InDomain(addr) {
		return netip.AddrPort{}, false
	}
	return n.group.Outside(now, n.random)
}

// PeersByDomain returns the other live VMs of the local failure domain, and the
// live VMs of each other failure domain.
func (n *Node) PeersByDomain() (near []member.Peer, far map[string][]member.Peer) {
	far = map[string][]member.Peer{}
	for _, p := range n.Peers() {
		if p.Domain == n.Settings.Domain {
			near = append(near, p)
			continue
		}
		far[p.Domain] = append(far[p.Domain], p)
	}
	return near, far
}

// Peers returns the live VMs other than this one.
func (n *Node) Peers() []member.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group.Live(time.Now())
}

// OutgoingExchange returns what to send in an exchange to the VM at an address. urgent
// leaves out the digest of the live VMs.
//
// To a VM that has not applied any version of the local table, it sends no more than
// maxFirstUpdates updates. If there are more, none is sent, and Withheld is set unless all is: the
// VM's digest shows which of them it lacks.
func (n *Node) OutgoingExchange(addr netip.AddrPort, urgent, all bool) Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, acked, have, epoch := n.group.ExchangeState(addr)
	x := n.exchange(id, acked, n.group.KnownBuckets(id))
	x.PeerVersion, x.PeerEpoch = have, epoch
	if !all && acked == 0 && len(x.Updates) > maxFirstUpdates {
		x.Updates, x.Version, x.Withheld = nil, 0, true
	}
	if !urgent {
		vms := n.group.Leases(time.Now())
		x.VMs = &vms
	}
	return x
}

// ExchangeReply returns the reply to a VM that has applied version have of the
// local table. If epoch is not that of this process, have does not count and the
// reply covers the whole table. vms is the VM's digest of the live VMs, nil if it has
// sent none.
func (n *Node) ExchangeReply(from member.Peer, have, epoch uint64, vms *member.Leases) Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	if epoch != n.group.Self.Epoch {
		have = 0
	}
	x := n.exchange(from.ID, have, n.group.KnownBuckets(from.ID))
	if vms != nil {
		now := time.Now()
		x.Known = n.group.Updates(now, n.group.RenewLeases(now, vms))
		own := n.group.Leases(now)
		x.VMs = &own
	}
	return x
}

// ReceiveVMs applies another VM's digest of the live VMs, and returns reports about those
// that the VM may not know.
func (n *Node) ReceiveVMs(vms *member.Leases) []member.PeerUpdate {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return n.group.Updates(now, n.group.RenewLeases(now, vms))
}

// exchange returns what to send to the VM id, with the updates after version
// since. Refreshes in the equal buckets are left to the digest. The caller holds
// the lock.
func (n *Node) exchange(id string, since uint64, known member.KnownBuckets) Exchange {
	now := time.Now()
	x := Exchange{Self: n.self(), Leases: n.table.Leases(now), Limits: n.limits.Share(now), Evacuations: n.evacuations}
	x.Prompts = n.promptUpdateFor(now, id)
	p, ok := n.group.Peer(id)
	if ok && p.Domain != n.group.Self.Domain {
		// Of what a VM of another domain knows, only refreshes are left out: Summary would
		// choose others in place of it.
		known.Version = 0
	}
	x.Updates, x.Version = n.table.SinceExcept(now, since, id, known)
	switch {
	case ok && p.Region != n.group.Self.Region:
		// Requests do not spill over to other regions, so backend updates are
		// not sent there.
		x.Updates, x.Leases = nil, member.Leases{}
	case ok && p.Domain != n.group.Self.Domain:
		x.Updates = member.Summary(x.Updates, n.group.Self.Domain)
	}
	return x
}

// RecordExchange records a successful exchange with the VM id: it has applied sent, and
// version have of its table has been applied here.
func (n *Node) RecordExchange(id string, sent *Exchange, have uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.group.Peer(id); ok && sent.PeerEpoch != 0 && p.Epoch != sent.PeerEpoch {
		// The VM has restarted: what its earlier process had applied was not sent.
		n.group.RecordExchange(id, 0, have)
		return
	}
	n.group.RecordExchange(id, sent.Version, have)
	n.leaving.notify()
	n.recordPromptUpdate(id, sent.Prompts.Changes)
}

// ReceiveLeases applies the digest of the leases that a VM knows.
func (n *Node) ReceiveLeases(from string, l *member.Leases) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.SetKnownBuckets(from, n.table.RenewLeases(time.Now(), l))
}

// ReceivePeer applies a direct report that a VM sent about itself.
func (n *Node) ReceivePeer(p member.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.ReceiveDirect(time.Now(), p)
}

// ReceiveRelayedPeer applies a report about a VM that another VM relayed.
func (n *Node) ReceiveRelayedPeer(u member.PeerUpdate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.ReceiveRelayed(time.Now(), u)
}
