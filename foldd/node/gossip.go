package node

import (
	"time"

	"fuchsiafold.example/fold/member"
)

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

// seedChangesKept is how long seedChanges are kept. An update takes up to two calls of 1 s, after
// another exchange of that length.
const seedChangesKept = 5 * time.Second

// seedChanges are the servers whose changes this VM has learned from seeds since its start, and has
// not passed on. A seed of another failure domain may have chosen this VM to pass a change on, and
// its update must then be passed on though it is known here.
type seedChanges struct {
	ids map[string]struct{}
	// until is when they are forgotten.
	until time.Time
}

// addSeedChange records that a change of a server came from a seed and isn't passed on.
func (n *Node) addSeedChange(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seedChanges.ids == nil {
		n.seedChanges.ids = map[string]struct{}{}
	}
	n.seedChanges.ids[id] = struct{}{}
	n.seedChanges.until = time.Now().Add(seedChangesKept)
}

// takeSeedChange reports whether an update by the VM from is about one of seedChanges and has to
// be passed on, and forgets that change. Of VMs of the local failure domain, each update goes to
// all others anyway.
func (n *Node) takeSeedChange(u member.BackendUpdate, from string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seedChanges.ids == nil {
		return false
	}
	if time.Now().After(n.seedChanges.until) {
		n.seedChanges.ids = nil
		return false
	}
	if p, ok := n.group.Peer(from); u.Brief || !ok || p.Domain == n.group.Self.Domain {
		return false
	}
	_, found := n.seedChanges.ids[u.ID]
	delete(n.seedChanges.ids, u.ID)
	return found
}
