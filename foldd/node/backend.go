package node

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
)

// namesService reports whether the configuration in force names a service. Without a
// configuration, every service counts as named.
func (n *Node) namesService(service string) bool {
	x := n.Index()
	if x == nil {
		return true
	}
	_, ok := x.Service(service)
	return ok
}

// ReceiveAnnouncement applies a report that a backend server sent about itself. The result
// is member.Foreign if it is rejected.
func (n *Node) ReceiveAnnouncement(b member.Backend) member.Change {
	change := n.merge(member.BackendUpdate{Backend: b}, "")
	switch change {
	case member.Changed:
		if b.Leaving {
			// Requests to a server that leaves fail: nobody waits for the next round.
			n.Gossip(n.urgentTargets(""))
			break
		}
		n.gossipChange("")
	case member.Foreign:
		n.Count("announcements.foreign", 1)
		n.Log.WithFields(logrus.Fields{"backend": b.ID, "service": b.Service}).Warn("too many servers of services that the configuration doesn't name; rejecting the announcement")
	}
	return change
}

// UpdatePrefixCache records that a prefix entered or left the cache of a backend
// server. The update is not gossiped: a backend server reports to one VM after
// another, and the scheduler tolerates missing updates.
func (n *Node) UpdatePrefixCache(id, prefix string, stored bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.eachScheduler(func(s *sched.Scheduler) { s.UpdatePrefixCache(now, id, prefix, stored) })
}

// ReceiveRelayedBackends applies the updates about backend servers that a message of the VM
// from relays. What has changed by them is gossiped together.
func (n *Node) ReceiveRelayedBackends(updates []member.BackendUpdate, from string) {
	changed := false
	for _, u := range updates {
		changed = n.merge(u, from) == member.Changed || changed
		changed = n.takeSeedChange(u, from) || changed
	}
	if changed {
		n.gossipChange(from)
	}
}

// ReceiveFromSeed is like ReceiveRelayedBackends, for what a seed sends to a VM that starts. It
// gossips nothing.
func (n *Node) ReceiveFromSeed(updates []member.BackendUpdate, from string) {
	for _, u := range updates {
		if n.merge(u, from) == member.Changed {
			n.addSeedChange(u.ID)
		}
	}
}

// merge applies an update about a backend server. from is the VM that relayed
// it, empty for a direct report. If the result is member.Changed, the caller gossips it.
func (n *Node) merge(u member.BackendUpdate, from string) member.Change {
	n.mu.Lock()
	now := time.Now()
	change := n.table.Merge(now, u, from)
	if current, ok := n.table.Get(u.ID); ok && n.keepLeaving(now, current) {
		change = member.Changed
	}
	b, present := n.table.Get(u.ID)
	if u.Leaving && from == "" && change == member.Changed {
		n.leaving.add(u.Backend, n.table.Version())
	}
	if (change == member.Refreshed || change == member.Changed) && present && b.Kind == spec.KindEngine {
		n.eachScheduler(func(s *sched.Scheduler) {
			if change == member.Changed {
				s.UpdateBackend(now, b)
			}
			s.UpdateLoad(now, b.ID, b.Load, u.Age+b.Load.Lag)
		})
		n.poll(now)
	}
	if change == member.Unknown {
		n.group.RequestFullExchange(from)
	}
	n.mu.Unlock()
	if change == member.Changed {
		n.notifyChange(b, from)
	}
	return change
}

// MarkBackendLeaving marks a backend server as leaving (shutting down). An epoch
// of zero matches any known start of the server. It reports whether the state
// changed.
func (n *Node) MarkBackendLeaving(id string, epoch uint64) bool {
	n.mu.Lock()
	now := time.Now()
	b, isNew := n.table.MarkLeaving(now, id, epoch)
	if isNew {
		n.leaving.add(b, n.table.Version())
	}
	if isNew && b.Kind == spec.KindEngine {
		n.eachScheduler(func(s *sched.Scheduler) { s.UpdateBackend(now, b) })
		n.poll(now)
	}
	n.mu.Unlock()
	if isNew {
		n.notifyChange(b, "")
		n.Gossip(n.urgentTargets(""))
	}
	return isNew
}

// notifyChange logs that a backend server is new, has restarted or is leaving, and
// calls BackendChanged. from is the VM that relayed the update, empty for a local one.
// The caller must not hold the lock.
//
// A VM that learns of the change from another one logs it only if it has requests under
// way there: the VMs that learned of it first have logged it.
func (n *Node) notifyChange(b member.Backend, from string) {
	n.Count("backends.changes", 1)
	log := n.Log.WithFields(logrus.Fields{"backend": b.ID, "addr": b.Addr, "service": b.Service, "domain": b.Domain, "leaving": b.Leaving, "epoch": b.Epoch, "seq": b.Seq, "from": from})
	n.mu.Lock()
	used := n.hasRequestsAt(b.ID)
	rate, cold := n.table.Cold(time.Now(), b.ID, b.Epoch)
	n.mu.Unlock()
	if rate > 0 {
		n.Count("backends.cold", 1)
		log = log.WithFields(logrus.Fields{"coldMs": cold.Milliseconds(), "startRate": rate})
	}
	if from == "" || used {
		log.Info("backend server changed")
	} else {
		log.Debug("backend server changed")
	}
	n.BackendChanged(b)
}

// hasRequestsAt reports whether this VM has requests under way at a backend server. The
// caller holds the lock.
func (n *Node) hasRequestsAt(id string) bool {
	return n.calls[id] > 0 || n.placer.InUse(id)
}

// controlUnreachable reports whether this VM learns of backend servers only from
// control VMs and none of them has reported within half a lease. Nothing expires
// meanwhile, since the last known set is the best available. The caller holds
// the lock.
func (n *Node) controlUnreachable(now time.Time) bool {
	if n.receivesAnnouncements() || n.Settings.Control != nil || len(n.Settings.ControlVMs) == 0 {
		return false
	}
	return !slices.ContainsFunc(n.group.LiveWithin(now, n.table.Lease/2), func(p member.Peer) bool { return p.HasControlReplica })
}

// ControlLost reports whether this VM, without a control replica, has received no report of
// a control VM for controlTimeout.
func (n *Node) ControlLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlLost
}

// watchControl logs when all control VMs become unreachable and when one is
// reachable again. The caller holds the lock.
func (n *Node) watchControl(now time.Time) {
	if len(n.controlSeeds) == 0 || n.Settings.Control != nil {
		return
	}
	var live []string
	for _, p := range n.group.LiveWithin(now, controlTimeout) {
		if p.HasControlReplica {
			live = append(live, p.ID)
		}
	}
	lost := len(live) == 0 && !n.Starting()
	n.controlReached = n.controlReached || len(live) > 0
	n.controlNeverReached = lost && !n.controlReached
	if lost == n.controlLost {
		return
	}
	n.controlLost = lost
	log := n.Log.WithFields(logrus.Fields{"seeds": n.controlSeeds, "silenceMs": controlTimeout.Milliseconds(), "heard": live})
	if lost {
		n.Count("control.silences", 1)
		log.Warn("control VMs unreachable; keeping the last known configuration and backend servers")
		return
	}
	log.Info("control VM reachable again")
}

// expire removes backend servers whose lease has expired.
func (n *Node) expire(now time.Time) {
	n.mu.Lock()
	n.watchControl(now)
	if n.controlUnreachable(now) {
		n.mu.Unlock()
		return
	}
	expired := n.table.Expire(now)
	used := map[string]bool{}
	for _, id := range expired {
		used[id] = n.hasRequestsAt(id)
		n.placer.Forget(id)
		n.limits.Forget(id)
		n.reach.Forget(id)
		n.eachScheduler(func(s *sched.Scheduler) { s.RemoveBackend(now, id) })
	}
	n.leaving.retain(func(id string) bool { _, ok := n.table.Get(id); return ok })
	n.poll(now)
	n.mu.Unlock()
	for _, id := range expired {
		n.Count("backends.expired", 1)
		log := n.Log.WithField("backend", id)
		if used[id] || n.receivesAnnouncements() {
			log.Warn("backend server lease expired; server removed")
			continue
		}
		log.Debug("backend server lease expired; server removed")
	}
}

// receivesAnnouncements reports whether backend servers report to this VM themselves.
func (n *Node) receivesAnnouncements() bool { return n.Settings.Listen.Backends.IsValid() }

// Backend returns the live backend server with an ID. It returns false if there
// is none.
func (n *Node) Backend(id string) (member.Backend, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Get(id)
}

// Backends returns all live backend servers.
func (n *Node) Backends() []member.Backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live()
}

// AcquireBackend chooses a backend server of a plain service, passing over those
// in exclude, those that are evacuated and those that take no further request for now
// because of a rate limit or a cooldown, and counts a call in flight to it; the caller must call
// ReleaseBackend when the call ends. It prefers servers in the local failure
// domain, then those with the fewest calls in flight. It returns false if no
// server is left.
func (n *Node) AcquireBackend(service string, exclude []string) (member.Backend, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	exclude = slices.Concat(exclude, n.withheldServers(time.Now(), service, "", true).ids)
	var best member.Backend
	found := false
	for _, b := range n.table.Live() {
		if b.Kind != spec.KindPlain || b.Service != service || b.Leaving || n.evacuations.Has(b.Domain) || slices.Contains(exclude, b.ID) {
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

// better reports whether a is preferred to b. The caller holds the lock.
func (n *Node) better(a, b member.Backend) bool {
	local := n.Settings.Domain
	if (a.Domain == local) != (b.Domain == local) {
		return a.Domain == local
	}
	return n.calls[a.ID] < n.calls[b.ID]
}

// ReleaseBackend ends a call counted by AcquireBackend.
func (n *Node) ReleaseBackend(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[id]--
	if n.calls[id] == 0 {
		delete(n.calls, id)
	}
}
