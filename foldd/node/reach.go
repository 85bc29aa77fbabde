package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
)

// ServerAnswered records that a backend server has responded to this VM or has accepted a
// connection.
func (n *Node) ServerAnswered(b member.Backend) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.reach.Heard(time.Now(), b.ID) {
		return
	}
	n.Count("reach.regained", 1)
	n.logReach(b).Info("backend server can be reached again from this VM")
}

// ConnectFailed records that a connection to a backend server could not be opened. It
// reports whether the server has become unreachable by that. Servers that were silent
// meanwhile are probed: the cause may be this VM's network.
func (n *Node) ConnectFailed(b member.Backend, err error) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	lost := n.reach.Fail(now, b.ID)
	if lost {
		n.Count("reach.lost", 1)
		n.logReach(b).WithError(err).Warn("backend server can't be reached from this VM")
	}
	n.suspectOthers(now)
	n.scheduleProbes(now)
	return lost
}

// maxSuspects bounds the servers that are probed because a connection to another one failed.
// If the cause is this VM's network, these probes fail too and others follow.
const maxSuspects = 16

// suspectOthers has some of the servers probed that were silent lately. The caller holds the
// lock.
func (n *Node) suspectOthers(now time.Time) {
	live := n.table.Live()
	n.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, b := range live[:min(len(live), maxSuspects)] {
		n.reach.Suspect(now, b.ID)
	}
}

// SuspectServer has a backend server probed that has not responded to a request for some
// time, unless it responded to another one lately.
func (n *Node) SuspectServer(b member.Backend) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.reach.Suspect(now, b.ID)
	n.scheduleProbes(now)
}

// Unreachable reports whether this VM can't open connections to the backend server id.
func (n *Node) Unreachable(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reach.Unreachable(id)
}

// logReach returns the fields of a log line about the way to a backend server. The caller
// holds the lock.
func (n *Node) logReach(b member.Backend) *logrus.Entry {
	servers := n.table.OfService(b.Service)
	unreachable := 0
	for _, s := range servers {
		if n.reach.Unreachable(s.ID) {
			unreachable++
		}
	}
	return n.Log.WithFields(logrus.Fields{
		"backend": b.ID, "addr": b.Addr, "service": b.Service, "domain": b.Domain, "servers": len(servers), "unreachable": unreachable,
	})
}

// scheduleProbes schedules the next probe of a server. The caller holds the lock.
func (n *Node) scheduleProbes(now time.Time) {
	next, ok := n.reach.Next(now)
	if !ok || n.ProbeServer == nil || !n.probesAt.IsZero() && !next.Before(n.probesAt) {
		return
	}
	n.probesAt = next
	n.Clock.At(next, n.startProbes)
}

// startProbes starts the probes that are due.
func (n *Node) startProbes(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probesAt = time.Time{}
	for _, id := range n.reach.Due(now) {
		b, ok := n.table.Get(id)
		if !ok || n.evacuations.Has(b.Domain) {
			// Once an order is revoked, the next request finds out.
			n.reach.Forget(id)
			continue
		}
		go n.ProbeServer(b)
	}
	n.scheduleProbes(now)
}
