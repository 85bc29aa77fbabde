package node

import "time"

// gossipInterval is the least time between two rounds of gossip of what backend servers announce.
// All that changes in between goes together: when all servers of a deployment start, hundreds of
// them announce themselves each second, and each round takes an exchange with each VM of the
// failure domain. An update passes two VMs at most and is delayed by twice that, of the 2 s that
// it may take.
const gossipInterval = 50 * time.Millisecond

// gossipRound is the last round of gossip of updates from one side: from servers themselves, or
// from VMs of other failure domains.
type gossipRound struct {
	// at is when it began or, if it is pending on the clock, when it will begin.
	at      time.Time
	pending bool
}

// gossipChange gossips what is known of backend servers, after the update by the VM from, empty
// for an update by the server itself: at once, or after gossipInterval since the last round.
func (n *Node) gossipChange(from string) {
	if n.nextGossip(time.Now(), from) {
		n.Gossip(n.urgentTargets(from))
	}
}

// nextGossip reports whether a round of gossip begins now. Otherwise one is pending.
func (n *Node) nextGossip(now time.Time, from string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.group.Peer(from); ok && p.Domain == n.group.Self.Domain {
		// The sender passes it on by itself: there is no target.
		return false
	}
	round := &n.gossipRounds[0]
	if from != "" {
		round = &n.gossipRounds[1]
	}
	if round.pending {
		return false
	}
	next := round.at.Add(gossipInterval)
	if !next.After(now) {
		round.at = now
		return true
	}
	round.at, round.pending = next, true
	n.Clock.At(next, func(time.Time) {
		n.mu.Lock()
		round.pending = false
		n.mu.Unlock()
		n.Gossip(n.urgentTargets(from))
	})
	return false
}
