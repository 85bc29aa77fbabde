package node

import (
	"net/netip"
	"slices"
	"time"

	"fuchsiafold.example/fold/member"
)

// Exchange is one side's part of an exchange with another VM.
type Exchange struct {
	Self    member.Peer
	Updates []member.BackendUpdate
	Known   []member.PeerUpdate
	// Version is the version of the own table that News brings the other to.
	Version uint64
	// PeerVersion is the version of the other's table that is taken in here, for its
	// epoch HaveEpoch.
	PeerVersion uint64
	PeerEpoch   uint64
}

// self returns this VM as others see it. The caller holds the lock.
func (n *Node) self() member.Peer {
	p := n.group.Self
	p.Draining = n.Draining()
	if x := n.Index(); x != nil {
		p.Revision = x.Revision()
	}
	return p
}

// Self returns this VM as others see it.
func (n *Node) Self() member.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self()
}

// SetPeerAddr states the address on which other VMs reach this one.
func (n *Node) SetPeerAddr(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.Self.Addr = a
}

// Seeds returns the addresses of the settings at which other VMs are looked
// for.
func (n *Node) Seeds() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.group.Seeds)
}

// ExchangeTargets returns the addresses to exchange with now.
func (n *Node) ExchangeTargets() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group.ExchangeTargets(time.Now(), n.random)
}

// urgentTargets returns the VMs to tell at once of news that came from the
// named VM, or arose here if the name is empty.
func (n *Node) urgentTargets(from string) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group.UrgentTargets(time.Now(), from, n.random)
}

// PeersByDomain returns the live VMs of the own failure domain, and those of
// each other one.
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

// Peers returns the live VMs.
func (n *Node) Peers() []member.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group.Live(time.Now())
}

// OutgoingExchange returns what to tell the VM at an address.
func (n *Node) OutgoingExchange(addr netip.AddrPort) Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, acked, have, epoch := n.group.ExchangeState(addr)
	x := n.exchange(id, acked)
	x.PeerVersion, x.PeerEpoch = have, epoch
	return x
}

// ExchangeReply returns what to tell a VM that has a version of the own table
// of an epoch.
func (n *Node) ExchangeReply(from member.Peer, have, epoch uint64) Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	if epoch != n.group.Self.Epoch {
		have = 0
	}
	return n.exchange(from.ID, have)
}

func (n *Node) exchange(id string, since uint64) Exchange {
	now := time.Now()
	x := Exchange{Self: n.self(), Known: n.group.SamplePeers(now, n.random)}
	x.Updates, x.Version = n.table.Since(now, since, id)
	p, ok := n.group.Peer(id)
	switch {
	case ok && p.Region != n.group.Self.Region:
		// Requests do not spill between regions.
		x.Updates = nil
	case ok && p.Domain != n.group.Self.Domain:
		x.Updates = member.Summary(x.Updates, n.group.Self.Domain)
	}
	return x
}

// RecordExchange records an exchange that went through.
func (n *Node) RecordExchange(id string, acked, have uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.RecordExchange(id, acked, have)
}

// ReceivePeer takes a VM's own word.
func (n *Node) ReceivePeer(p member.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.ReceiveDirect(time.Now(), p)
}

// ReceiveRelayedPeer takes what one VM says of another.
func (n *Node) ReceiveRelayedPeer(h member.PeerUpdate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.ReceiveRelayed(time.Now(), h)
}
