package node

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
)

const (
	// minPeerBackoff and maxPeerBackoff bound the back-off from a VM that did not take a
	// request of a service which this VM can't send itself.
	minPeerBackoff = time.Second
	maxPeerBackoff = 8 * time.Second
)

// passes holds the requests that this VM passes to other VMs, because it can't reach the
// servers for them.
type passes struct {
	// underWay counts those that a VM serves, by its ID. VMs without one have no entry.
	underWay map[string]int
	// backoffs holds the VMs that are not asked for a service for now, by peerKey.
	backoffs map[peerKey]*retry.Pause
}

// peerKey names a VM and a service.
type peerKey struct{ service, vm string }

// CutOff reports whether the last connections of this VM to half of the servers of a service
// or more, without those that are evacuated, could not be opened.
func (n *Node) CutOff(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	usable, failing := 0, 0
	for _, b := range n.usableServers(service, "") {
		switch {
		case b.Leaving:
		case n.reach.Failing(b.ID):
			failing++
		default:
			usable++
		}
	}
	return failing > 0 && failing >= usable
}

// excludeUnreachable excludes the servers that this VM can't reach, other than one at which
// a run may stay. It returns false if no server is left because of that.
func (n *Node) excludeUnreachable(service string, r *place.Request) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	for _, b := range n.table.OfService(service) {
		if n.reach.Unreachable(b.ID) && !r.Stays(b.ID) {
			ids = append(ids, b.ID)
		}
	}
	if ids == nil {
		return true
	}
	r.Exclude = slices.Concat(r.Exclude, ids)
	return n.hasOtherServer(service, r.Exclude)
}

// PickPeer chooses a VM to pass a request of a service to, other than those in exclude, and
// counts the request there until EndPass: the one that serves the fewest requests of this VM,
// of equals one in this VM's failure domain. It returns false if there is none.
func (n *Node) PickPeer(service string, exclude []string) (member.Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var best []member.Peer
	for _, p := range n.group.Live(now) {
		usable := p.ServesCallers && !p.Draining && p.Region == n.Settings.Region
		if !usable || !n.followsEvacuations(p) || slices.Contains(exclude, p.ID) || n.passes.backoffs[peerKey{service, p.ID}].Active(now) {
			continue
		}
		switch order := n.comparePeers(p, best); {
		case order < 0:
			best = []member.Peer{p}
		case order == 0:
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return member.Peer{}, false
	}
	p := best[n.random.IntN(len(best))]
	if n.passes.underWay == nil {
		n.passes.underWay = map[string]int{}
	}
	n.passes.underWay[p.ID]++
	return p, true
}

// comparePeers returns a negative number if p is preferred to the VMs in best, which are
// equal, or best is empty. The caller holds the lock.
func (n *Node) comparePeers(p member.Peer, best []member.Peer) int {
	if len(best) == 0 {
		return -1
	}
	if d := n.passes.underWay[p.ID] - n.passes.underWay[best[0].ID]; d != 0 {
		return d
	}
	local := n.Settings.Domain
	switch {
	case p.Domain == local && best[0].Domain != local:
		return -1
	case p.Domain != local && best[0].Domain == local:
		return 1
	}
	return 0
}

// EndPass ends the count of a request at a VM. failed is set if the VM did not take it.
func (n *Node) EndPass(service, vm string, failed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.passes.underWay[vm]--; n.passes.underWay[vm] <= 0 {
		delete(n.passes.underWay, vm)
	}
	key := peerKey{service, vm}
	if !failed {
		delete(n.passes.backoffs, key)
		return
	}
	if n.passes.backoffs == nil {
		n.passes.backoffs = map[peerKey]*retry.Pause{}
	}
	if n.passes.backoffs[key] == nil {
		n.passes.backoffs[key] = &retry.Pause{}
	}
	n.passes.backoffs[key].Fail(time.Now(), minPeerBackoff, maxPeerBackoff)
}
