package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/sched"
)

// maxLoggedDomains bounds the names of failure domains in a log line.
const maxLoggedDomains = 16

// ApplyEvacuations puts a set of evacuated failure domains in force unless the one in force
// has the same or a later version, and gossips the change. from is the VM that sent the set,
// empty for the control group. It reports whether the set is in force by this call.
func (n *Node) ApplyEvacuations(s evac.Set, from string) bool {
	n.mu.Lock()
	if s.Version <= n.evacuations.Version {
		n.mu.Unlock()
		return false
	}
	now := time.Now()
	n.evacuations = s
	n.group.SetEvacuationsVersion(now, s.Version)
	n.placer.ForgetPlacements(s.Has)
	n.eachScheduler(func(x *sched.Scheduler) { x.SetEvacuations(now, s) })
	servers, requests := n.evacuatedWork()
	n.poll(now)
	to := n.group.UrgentTargets(now, from, n.random)
	n.mu.Unlock()
	n.Count("evacuations.changes", 1)
	n.Gauge("evacuations.version", int64(s.Version))
	n.Gauge("evacuations.domains", int64(len(s.Domains)))
	var names []string
	for _, d := range s.Domains[:min(len(s.Domains), maxLoggedDomains)] {
		names = append(names, d.Name)
	}
	n.Log.WithFields(logrus.Fields{
		"version": s.Version, "domains": names, "count": len(s.Domains), "servers": servers, "requests": requests, "from": from,
	}).Info("set of evacuated failure domains in force")
	n.Gossip(to)
	return true
}

// evacuatedWork returns the number of evacuated servers, and of this VM's requests in
// progress there. The caller holds the lock.
func (n *Node) evacuatedWork() (servers, requests int) {
	var list []member.Backend
	for _, b := range n.table.Live() {
		if n.evacuations.Has(b.Domain) {
			list = append(list, b)
			requests += n.calls[b.ID]
		}
	}
	for _, l := range n.placer.LocalLoad(time.Now(), list) {
		requests += l.Requests
	}
	return len(list), requests
}

// Evacuations returns the set of evacuated failure domains in force.
func (n *Node) Evacuations() evac.Set {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.evacuations
}

// Evacuated reports whether a failure domain is evacuated.
func (n *Node) Evacuated(domain string) bool { return n.Evacuations().Has(domain) }

// begins reports whether a request with the purpose brings work to a server. The others read
// on from a run in progress there, take it away or end it.
func (p Purpose) begins() bool { return p == FirstSend || p == Retry || p == Resume }

// evacuated reports whether a request must not be sent to a server because the server is
// evacuated. The caller holds the lock.
func (n *Node) evacuated(b member.Backend, p Purpose) bool {
	if !p.begins() || len(n.evacuations.Domains) == 0 {
		return false
	}
	if b.Domain == "" {
		// The caller may have kept no more than the address.
		known := false
		if b, known = n.table.Get(b.ID); !known {
			// The server was removed meanwhile, and its domain is not known any more.
			return true
		}
	}
	return n.evacuations.Has(b.Domain)
}

// CheckSend returns a *limit.DeniedError if a request with the purpose must not be sent to a
// server because the server is evacuated. It needs no permit.
func (n *Node) CheckSend(b member.Backend, p Purpose) error {
	n.mu.Lock()
	barred := n.evacuated(b, p)
	n.mu.Unlock()
	if !barred {
		return nil
	}
	n.Count("evacuations.sendsStopped", 1)
	return &limit.DeniedError{Server: serverOf(b), Cause: limit.Evacuated}
}

// usableServers returns the live servers of a service that are not evacuated, and stay in
// any case. The caller holds the lock.
func (n *Node) usableServers(service, stay string) []member.Backend {
	list := n.table.OfService(service)
	if len(n.evacuations.Domains) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(b member.Backend) bool { return b.ID != stay && n.evacuations.Has(b.Domain) })
}

// mayPlaceIn reports whether a failure domain may have a server for requests of a service:
// it is not evacuated, or there are servers that name no domain. The caller holds the lock.
func (n *Node) mayPlaceIn(service, domain string) bool {
	return !n.evacuations.Has(domain) || slices.ContainsFunc(n.table.OfService(service), func(b member.Backend) bool { return b.Domain == "" })
}

// stayAt returns the ID of the server at which a run may stay, empty if there is none.
func stayAt(r *place.Request) string {
	if r.Copy != nil && r.Copy.MayStay {
		return r.Copy.Source
	}
	return ""
}

// excludeEvacuated excludes the evacuated servers, other than one at which a run may stay.
// The request then also names them to placement VMs that don't know of the evacuation.
func (n *Node) excludeEvacuated(service string, r *place.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.evacuations.Domains) == 0 {
		return
	}
	var ids []string
	for _, b := range n.table.OfService(service) {
		if n.evacuations.Has(b.Domain) && !r.Stays(b.ID) {
			ids = append(ids, b.ID)
		}
	}
	r.Exclude = slices.Concat(r.Exclude, ids)
}

// avoidEvacuated names the evacuated engines of a request's model to its scheduler, which
// may be a VM that doesn't know of the evacuation. The caller holds the lock.
func (n *Node) avoidEvacuated(r *sched.Request) {
	if len(n.evacuations.Domains) == 0 {
		return
	}
	r.Avoid = slices.Clone(r.Avoid)
	for _, b := range n.table.Live() {
		if b.Model == r.Model && n.evacuations.Has(b.Domain) && !slices.Contains(r.Avoid, b.ID) {
			r.Avoid = append(r.Avoid, b.ID)
		}
	}
}

// followsEvacuations reports whether a request may be passed on to a VM: the VM has confirmed
// the evacuations in force here. VMs of earlier versions never do. The caller holds the lock.
func (n *Node) followsEvacuations(p member.Peer) bool {
	return len(n.evacuations.Domains) == 0 || p.EvacuationsVersion >= n.evacuations.Version
}

// HoldSends makes requests to backend servers wait for ReleaseSends. It must be called before
// the first request.
func (n *Node) HoldSends() { n.sendsHeld = make(chan struct{}) }

// ReleaseSends ends the wait of HoldSends, if there is one.
func (n *Node) ReleaseSends() {
	if n.sendsHeld != nil {
		n.releasedSends.Do(func() { close(n.sendsHeld) })
	}
}

// awaitSends is AwaitSends for a request with the purpose.
func (n *Node) awaitSends(ctx context.Context, p Purpose) error {
	if !p.begins() {
		return nil
	}
	return n.AwaitSends(ctx)
}

// AwaitSends waits until requests may be sent to backend servers: a VM that has just started
// may not know of an evacuation. AcquirePermit waits, too, but that counts as time of the
// server.
func (n *Node) AwaitSends(ctx context.Context) error {
	if n.sendsHeld == nil {
		return nil
	}
	select {
	case <-n.sendsHeld:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
