package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
)

const (
	// placementTimeout bounds a placement request or a load report to another VM, and
	// movePlacementTimeout a placement request for a run that goes on meanwhile.
	placementTimeout     = 100 * time.Millisecond
	movePlacementTimeout = 300 * time.Millisecond
	// minPlacementBackoff and maxPlacementBackoff bound the back-off from a VM, or from a
	// failure domain, after failed placement requests. Another VM places requests
	// meanwhile.
	minPlacementBackoff = 3 * time.Second
	maxPlacementBackoff = 12 * time.Second
	// maxPlacementVMs is the number of VMs that are asked, one after the other, until one
	// answers. After that the request is placed locally, without the reservations of the
	// other VMs.
	maxPlacementVMs = 2
	// maxVMsPerPlacementVM is the number of VMs that serve callers up to which one VM
	// places all requests of a service. With more, each failure domain has a placement VM
	// for its engines.
	maxVMsPerPlacementVM = 100
	// maxSpillDomains is the number of other failure domains that are asked for a request
	// if its own is crowded, and maxFullDomains that if none has room.
	maxSpillDomains = 2
	maxFullDomains  = 6
	// crowdedPeriod is how long a failure domain that was crowded is asked for requests of
	// others only if there is no other.
	crowdedPeriod = 500 * time.Millisecond
	// otherPlacementLogInterval is the time between two log lines about requests that
	// another VM should have placed.
	otherPlacementLogInterval = time.Second
)

// placeByDomain has a request placed by the placement VM of its failure domain and, if
// that domain is crowded, by those of others. It returns false if the request must be
// placed locally.
func (n *Node) placeByDomain(ctx context.Context, service string, r place.Request) (place.Choice, bool) {
	if r.Domain == "" {
		r.Domain = n.Settings.Domain
	}
	scopes := n.placementScopes(service, r)
	var best place.Choice
	found := false
	for i, scope := range scopes {
		if found && !best.Rejects() && (!best.Crowded || i > maxSpillDomains) {
			break
		}
		r.Scope = scope
		c, ok := n.placeIn(ctx, service, r)
		if ctx.Err() != nil {
			return place.Choice{}, false
		}
		if !ok {
			continue
		}
		n.noteCrowded(scope, c)
		if !found || preferred(c, best) {
			best, found = c, true
		}
	}
	if !found {
		return place.Choice{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beginPlacement(time.Now(), best, r)
	return best, true
}

// preferred reports whether a is better than b, which was found earlier and in a domain
// that is nearer.
func preferred(a, b place.Choice) bool {
	if a.Rejects() != b.Rejects() {
		return !a.Rejects()
	}
	return !a.Crowded && b.Crowded
}

// placementScopes returns the failure domains whose placement VMs are asked for a request,
// one after the other: its own first. It returns one empty domain, the whole region, if
// one VM places all requests of the service, and none if they are placed locally.
func (n *Node) placementScopes(service string, r place.Request) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.hasPlacementVM(service) {
		return nil
	}
	if !n.placesByDomain(now) {
		return []string{""}
	}
	var scopes []string
	if n.domainReachable(now, r.Domain) && n.mayPlaceIn(service, r.Domain) {
		scopes = append(scopes, r.Domain)
	}
	others, crowded := n.otherDomains(now, service, r)
	others = append(others, crowded...)
	return append(scopes, others[:min(len(others), maxFullDomains)]...)
}

// domainReachable reports whether the placement VMs of a failure domain may be asked: those
// of this VM's own always are. The caller holds the lock.
func (n *Node) domainReachable(now time.Time, domain string) bool {
	return domain == n.Settings.Domain || !n.backedOffDomains.Active(now, domain)
}

// hasPlacementVM reports whether placement VMs place the requests of a service: those for
// engines are.
func (n *Node) hasPlacementVM(service string) bool {
	x := n.Index()
	if x == nil || n.RequestPlacement == nil {
		return false
	}
	s, ok := x.Service(service)
	return ok && s.Engine != nil
}

// placesByDomain reports whether each failure domain has a placement VM of its own. The
// caller holds the lock.
func (n *Node) placesByDomain(now time.Time) bool {
	live, _ := n.group.CallerVMs(now, 0)
	return live > maxVMsPerPlacementVM
}

// otherDomains returns the failure domains, other than that of the request, that have
// servers for it, in random order: those that were not crowded lately, and those that were.
// A run that may stay where it is is moved to its own domain only. The caller holds the
// lock.
func (n *Node) otherDomains(now time.Time, service string, r place.Request) (free, crowded []string) {
	if r.Copy != nil && r.Copy.MayStay {
		return nil, nil
	}
	seen := map[string]bool{r.Domain: true, "": true}
	for _, b := range n.usableServers(service, "") {
		if seen[b.Domain] || b.Leaving || slices.Contains(r.Exclude, b.ID) || !n.domainReachable(now, b.Domain) {
			continue
		}
		seen[b.Domain] = true
		if now.Before(n.crowdedUntil[b.Domain]) {
			crowded = append(crowded, b.Domain)
			continue
		}
		free = append(free, b.Domain)
	}
	n.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	n.random.Shuffle(len(crowded), func(i, j int) { crowded[i], crowded[j] = crowded[j], crowded[i] })
	return free, crowded
}

// noteCrowded remembers whether a failure domain is crowded.
func (n *Node) noteCrowded(domain string, c place.Choice) {
	if domain == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.Crowded || c.Rejects() {
		n.crowdedUntil[domain] = time.Now().Add(crowdedPeriod)
		n.Count("place.crowdedDomains", 1)
		return
	}
	delete(n.crowdedUntil, domain)
}

// placeIn has a request placed within its scope, by the placement VM of the scope or by
// this VM if it is that. It returns false if no VM names a usable server.
func (n *Node) placeIn(ctx context.Context, service string, r place.Request) (place.Choice, bool) {
	for range maxPlacementVMs {
		to, req := n.newPlacementRequest(service, r)
		if r.Scope != "" && to.Domain != r.Scope {
			// The failure domain has no VM that can be asked.
			break
		}
		if to.ID == n.Settings.ID {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.pickLocally(time.Now(), service, r)
		}
		c, usable, err := n.askPlacement(ctx, service, to, req)
		if err == nil || ctx.Err() != nil {
			return c, usable
		}
	}
	n.Count("place.local", 1)
	return place.Choice{}, false
}

// newPlacementRequest returns the placement VM of a request's scope, and what to send it if
// that is another VM.
func (n *Node) newPlacementRequest(service string, r place.Request) (member.Peer, PlacementRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.placementVM(time.Now(), service, r.Scope)
	if to.ID == n.Settings.ID {
		return to, PlacementRequest{}
	}
	req := n.newLoadReport(service, r.Scope)
	req.Request = &r
	return to, req
}

// askPlacement asks a placement VM to place a request. It returns false if the VM names no
// usable server, and an error if it doesn't answer.
func (n *Node) askPlacement(ctx context.Context, service string, to member.Peer, req PlacementRequest) (place.Choice, bool, error) {
	timeout := placementTimeout
	if req.Request.Copy != nil {
		timeout = movePlacementTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	res, err := n.RequestPlacement(callCtx, to, req)
	n.Observe("place.requestMicros", time.Since(began))
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		// The caller has disconnected, which says nothing about the placement VM.
		return place.Choice{}, false, nil
	}
	if err != nil {
		n.losePlacementVM(to, callCtx.Err() != nil, err)
		return place.Choice{}, false, err
	}
	delete(n.backedOffVMs, to.ID)
	delete(n.backedOffDomains, to.Domain)
	c, ok := n.applyPlacement(service, stayAt(req.Request), res)
	c.ChosenBy = to.ID
	// The delay counts from the choice, which was made somewhere within the call.
	c.CopyDelay = max(c.CopyDelay-time.Since(began)/2, 0)
	return c, ok, nil
}

// losePlacementVM starts the back-off from a placement VM that did not answer. The caller
// holds the lock.
func (n *Node) losePlacementVM(to member.Peer, timedOut bool, err error) {
	now := time.Now()
	n.backedOffVMs.Fail(now, to.ID, minPlacementBackoff, maxPlacementBackoff)
	if timedOut && to.Domain != n.Settings.Domain {
		// After a timeout, the whole failure domain may be unreachable.
		n.backedOffDomains.Fail(now, to.Domain, minPlacementBackoff, maxPlacementBackoff)
	}
	n.Count("place.placementVMsLost", 1)
	n.Log.WithError(err).WithField("placementVM", to.ID).Warn("placement request failed")
}

// applyPlacement returns the choice of a placement VM. It returns false if the server is
// unknown, leaving, evacuated, backed off or unreachable at this VM. stay is the server at which
// the run may stay, empty if there is none. The caller holds the lock.
func (n *Node) applyPlacement(service, stay string, res PlacementResponse) (place.Choice, bool) {
	list := n.candidates(service, stay)
	i := slices.IndexFunc(list, func(b member.Backend) bool { return b.ID == res.Backend })
	now := time.Now()
	if i < 0 || list[i].Leaving || n.placer.BackedOff(now, res.Backend) {
		return place.Choice{}, false
	}
	if _, unreachable := n.placer.DomainUnreachable(now, list[i].Domain); unreachable {
		return place.Choice{}, false
	}
	return place.Choice{Server: list[i], CopyDelay: res.CopyDelay, Full: res.Full, Crowded: res.Crowded, RetryAfter: res.RetryAfter}, true
}

// placementVM returns the VM that places requests for a service's engines in a failure
// domain, or in the whole region if domain is empty. The caller holds the lock.
func (n *Node) placementVM(now time.Time, service, domain string) member.Peer {
	return n.group.PlacementVM(now, service, domain, n.Draining(), func(p member.Peer) bool {
		return n.backedOffVMs.Active(now, p.ID) || n.backedOffDomains.Active(now, p.Domain)
	})
}

// homePlacementVM returns the VM that places this VM's requests for a service. It returns
// false if this VM places them itself. The caller holds the lock.
func (n *Node) homePlacementVM(now time.Time, service string) (member.Peer, bool) {
	if !n.hasPlacementVM(service) {
		return member.Peer{}, false
	}
	domain := ""
	if n.placesByDomain(now) {
		domain = n.Settings.Domain
	}
	p := n.placementVM(now, service, domain)
	return p, p.ID != n.Settings.ID
}

// noteOtherPlacementVM counts and logs that this VM places a request although, as far as it
// knows, another VM places those of the scope: the VM that asks is cut off from that one, or
// the two disagree on which VMs are live. The caller holds the lock.
func (n *Node) noteOtherPlacementVM(now time.Time, service, scope, from string) {
	to := n.placementVM(now, service, scope)
	if to.ID == n.Settings.ID {
		return
	}
	n.Count("place.otherPlacementVM", 1)
	if now.Sub(n.otherPlacementLogged) < otherPlacementLogInterval {
		return
	}
	n.otherPlacementLogged = now
	n.Log.WithFields(logrus.Fields{"vm": from, "service": service, "scope": scope, "placementVM": to.ID}).Warn("asked to place a request that another VM places")
}
