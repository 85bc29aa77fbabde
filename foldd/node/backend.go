package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
)

// ReceiveAnnouncement takes what a backend server says of itself.
func (n *Node) ReceiveAnnouncement(b member.Backend) member.Change {
	return n.merge(member.BackendUpdate{Backend: b}, "")
}

// UpdatePrefixCache takes a backend server's word that a prefix entered or left its cache.
// It counts at this VM only: a backend server tells one VM after the other, and
// the scheduler does with the gaps.
func (n *Node) UpdatePrefixCache(id, prefix string, stored bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.eachSched(func(s *sched.Scheduler) { s.UpdatePrefixCache(now, id, prefix, stored) })
}

// ReceiveRelayedBackend takes what another VM says of a backend server.
func (n *Node) ReceiveRelayedBackend(h member.BackendUpdate, from string) member.Change {
	return n.merge(h, from)
}

// merge takes news of a backend server; from is empty for its own word.
func (n *Node) merge(h member.BackendUpdate, from string) member.Change {
	n.mu.Lock()
	now := time.Now()
	change := n.table.Merge(now, h, from)
	b, present := n.table.Get(h.ID)
	if (change == member.Refreshed || change == member.Changed) && present && b.Kind == spec.KindEngine {
		n.eachSched(func(s *sched.Scheduler) {
			if change == member.Changed {
				s.UpdateBackend(now, b)
			}
			s.UpdateLoad(now, b.ID, b.Load, h.Age+b.Load.Lag)
		})
		n.poll(now)
	}
	if change == member.Unknown {
		n.group.RequestFullExchange(from)
	}
	n.mu.Unlock()
	if change == member.Changed {
		n.changed(b, from)
	}
	return change
}

// MarkBackendLeaving takes the word that a backend server leaves. An epoch of zero
// means whatever start of it is known. It reports whether that is news.
func (n *Node) MarkBackendLeaving(id string, epoch uint64) bool {
	n.mu.Lock()
	now := time.Now()
	b, news := n.table.MarkLeaving(now, id, epoch)
	if news && b.Kind == spec.KindEngine {
		n.eachSched(func(s *sched.Scheduler) { s.UpdateBackend(now, b) })
		n.poll(now)
	}
	n.mu.Unlock()
	if news {
		n.changed(b, "")
	}
	return news
}

// changed tells everyone concerned that a backend server is new, has started
// again or leaves.
func (n *Node) changed(b member.Backend, from string) {
	n.Log.WithFields(logrus.Fields{"backend": b.ID, "addr": b.Addr, "service": b.Service, "domain": b.Domain, "leaving": b.Leaving, "epoch": b.Epoch, "seq": b.Seq, "from": from}).Info("backend server changed")
	n.BackendChanged(b)
	n.Gossip(n.urgentTargets(from))
}

// deaf reports whether this VM knows backend servers only through control VMs
// and has heard none of them lately: then what it knows is the best there is,
// and nothing expires. The caller holds the lock.
func (n *Node) deaf(now time.Time) bool {
	if n.Settings.Listen.Backends.IsValid() || n.Settings.Control != nil || len(n.Settings.ControlVMs) == 0 {
		return false
	}
	return !slices.ContainsFunc(n.group.LiveWithin(now, n.table.Lease/2), func(p member.Peer) bool { return p.HasControlReplica })
}

// watchControl writes a line when the control VMs fall silent, and when one is
// heard again. The caller holds the lock.
func (n *Node) watchControl(now time.Time) {
	if len(n.controls) == 0 || n.Settings.Control != nil {
		return
	}
	var heard []string
	for _, p := range n.group.LiveWithin(now, controlSilence) {
		if p.HasControlReplica {
			heard = append(heard, p.ID)
		}
	}
	silent := len(heard) == 0 && !n.Starting()
	if silent == n.controlSilent {
		return
	}
	n.controlSilent = silent
	log := n.Log.WithFields(logrus.Fields{"seeds": n.controls, "silenceMs": controlSilence.Milliseconds(), "heard": heard})
	if silent {
		n.Count("control.silences", 1)
		log.Warn("control VMs are silent: what is known of configuration and backend servers stays in force")
		return
	}
	log.Info("control VMs are heard again")
}

func (n *Node) expire(now time.Time) {
	n.mu.Lock()
	n.watchControl(now)
	if n.deaf(now) {
		n.mu.Unlock()
		return
	}
	gone := n.table.Expire(now)
	for _, id := range gone {
		n.placer.Forget(id)
		n.eachSched(func(s *sched.Scheduler) { s.RemoveBackend(now, id) })
	}
	n.poll(now)
	n.mu.Unlock()
	for _, id := range gone {
		n.Count("backends.expired", 1)
		n.Log.WithField("backend", id).Warn("backend server's lease ran out")
	}
}

// Backend returns a present backend server.
func (n *Node) Backend(id string) (member.Backend, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Get(id)
}

// Backends returns all present backend servers.
func (n *Node) Backends() []member.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live()
}

// AcquireBackend chooses a backend server of a plain service and counts a call to
// it; the caller ends it with EndCall. Servers of the own failure domain go
// first, then those with the fewest calls in flight.
func (n *Node) AcquireBackend(service string, avoid []string) (member.Backend, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best member.Backend
	found := false
	for _, b := range n.table.Live() {
		if b.Kind != spec.KindPlain || b.Service != service || b.Leaving || slices.Contains(avoid, b.ID) {
			continue
		}
		if !found || n.better(b, best) {
			best, found = b, true
		}
	}
	if found {
		n.calls[best.ID]++
	}
	return best, found
}

func (n *Node) better(a, b member.Backend) bool {
	near := n.Settings.Domain
	if (a.Domain == near) != (b.Domain == near) {
		return a.Domain == near
	}
	return n.calls[a.ID] < n.calls[b.ID]
}

// ReleaseBackend ends what PickCall began.
func (n *Node) ReleaseBackend(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[id]--
	if n.calls[id] == 0 {
		delete(n.calls, id)
	}
}
