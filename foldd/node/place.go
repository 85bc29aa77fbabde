package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
)

// PlacementRequest is a load report to the placement VM of a service, with a
// request for a placement if Request is set.
type PlacementRequest struct {
	From    string
	Service string
	// Loads is the sender's load at each engine.
	Loads map[string]place.Load
	// LengthSamples holds the length samples of the sender's runs since its last
	// report.
	LengthSamples []place.LengthSample
	// Request is the request to place, nil for a load report alone.
	Request *place.Request
}

// PlacementResponse is the response to a PlacementRequest.
type PlacementResponse struct {
	// Backend is the ID of the chosen server, empty if there is none.
	Backend string
	// CopyDelay is the wait before the copy of the run's memory may begin.
	CopyDelay time.Duration
	// Full reports that no server has room; the request is not counted then.
	Full bool
	// RetryAfter is the time until there will probably be room, set with Full.
	RetryAfter time.Duration
}

const (
	// placementTimeout bounds a placement request or a load report to another VM.
	placementTimeout = 100 * time.Millisecond
	// minPlacementBackoff and maxPlacementBackoff bound the back-off from a VM, or from a
	// failure domain, after failed placement requests. Another VM places requests
	// meanwhile.
	minPlacementBackoff = 3 * time.Second
	maxPlacementBackoff = 12 * time.Second
)

// Place chooses a backend server of a service for a forwarded request. Unless the
// choice is Full or Unreachable, or leaves a run where it is, it counts the request
// there, and the caller must call EndPlacement when the request ends. It returns
// false if no server is left.
//
// Requests for engines are placed by the placement VM of the service. Other
// requests, and those for which the placement VM fails to name a usable server,
// are placed locally.
func (n *Node) Place(ctx context.Context, service string, r place.Request) (place.Choice, bool) {
	excluded := r.Exclude
	withheld := n.excludeWithheld(service, &r, true)
	if c, ok := n.placeRemotely(ctx, service, r); ok {
		return c, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	r.Random = n.random.Float64()
	c, ok := n.placer.Pick(now, n.candidates(service), r)
	if !ok && n.hasOtherServer(service, excluded) {
		return n.limitedChoice(now, service, withheld), true
	}
	if !ok {
		return c, false
	}
	if !c.Full {
		c.RetryAfter, c.Unreachable = n.placer.DomainUnreachable(now, c.Server.Domain)
	}
	if !c.Full && !c.Unreachable && !r.Stays(c.Server.ID) {
		n.placer.Begin(now, c.Server.ID, r)
	}
	if r.ID != 0 {
		n.logPlacement(n.Settings.ID, service, r, c)
	}
	return c, true
}

// excludeWithheld excludes and returns the servers that get no request for now. own is set
// for a request of this VM.
func (n *Node) excludeWithheld(service string, r *place.Request, own bool) withheld {
	stay := ""
	if r.Copy != nil && r.Copy.MayStay {
		stay = r.Copy.Source
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.withheldServers(time.Now(), service, stay, own)
	r.Exclude = slices.Concat(r.Exclude, w.ids)
	return w
}

// logPlacement logs the choice of a server for a run of the VM from, with the
// load that it was based on. Plain calls are not logged here: their server is in
// the line at their end.
func (n *Node) logPlacement(from, service string, r place.Request, c place.Choice) {
	fields := logrus.Fields{
		"vm": from, "run": r.ID, "service": service, "backend": c.Server.ID, "domain": c.Server.Domain, "preferred": r.Domain,
		"full": c.Full, "requests": c.Load.Requests, "prefillTokens": c.Load.PrefillTokens,
		"memoryPercent": int(100 * c.Load.MemoryShare), "loadAgeMs": c.Load.ReportAge.Milliseconds(),
	}
	if r.Copy != nil {
		fields["copyFrom"], fields["copyDelayMs"] = r.Copy.Source, c.CopyDelay.Milliseconds()
	}
	if c.Unreachable {
		fields["unreachable"] = true
	}
	if c.RetryAfter > 0 {
		fields["retryAfterMs"] = c.RetryAfter.Milliseconds()
	}
	n.Log.WithFields(fields).Info("server chosen")
}

// placeRemotely requests a placement from the placement VM of a service. It
// returns false if the request must be placed locally.
func (n *Node) placeRemotely(ctx context.Context, service string, r place.Request) (place.Choice, bool) {
	n.mu.Lock()
	to, ok := n.placementVM(time.Now(), service)
	if !ok {
		n.mu.Unlock()
		return place.Choice{}, false
	}
	if r.Domain == "" {
		r.Domain = n.Settings.Domain
	}
	req := n.newLoadReport(service)
	req.Request = &r
	n.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	res, err := n.RequestPlacement(callCtx, to, req)
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		// The caller has disconnected, which says nothing about the placement VM.
		return place.Choice{}, false
	}
	if err != nil {
		n.backedOffVMs.Fail(time.Now(), to.ID, minPlacementBackoff, maxPlacementBackoff)
		if callCtx.Err() != nil && to.Domain != n.Settings.Domain {
			// After a timeout, the whole failure domain may be unreachable.
			n.backedOffDomains.Fail(time.Now(), to.Domain, minPlacementBackoff, maxPlacementBackoff)
		}
		n.Count("place.placementVMsLost", 1)
		n.Log.WithError(err).WithField("placementVM", to.ID).Warn("placement request failed; placing locally")
		return place.Choice{}, false
	}
	delete(n.backedOffVMs, to.ID)
	delete(n.backedOffDomains, to.Domain)
	c, ok := n.applyPlacement(service, res, r)
	c.ChosenBy = to.ID
	return c, ok
}

// applyPlacement counts a request at the server that the placement VM chose. It
// returns false if the server is unknown, leaving, backed off or unreachable at this VM. The
// caller holds the lock.
func (n *Node) applyPlacement(service string, res PlacementResponse, r place.Request) (place.Choice, bool) {
	list := n.candidates(service)
	i := slices.IndexFunc(list, func(b member.Backend) bool { return b.ID == res.Backend })
	now := time.Now()
	if i < 0 || list[i].Leaving || n.placer.BackedOff(now, res.Backend) {
		return place.Choice{}, false
	}
	if _, unreachable := n.placer.DomainUnreachable(now, list[i].Domain); unreachable {
		return place.Choice{}, false
	}
	if !res.Full && !r.Stays(res.Backend) {
		n.placer.Begin(now, res.Backend, r)
	}
	return place.Choice{Server: list[i], CopyDelay: res.CopyDelay, Full: res.Full, RetryAfter: res.RetryAfter}, true
}

// placementVM returns the placement VM of a service. It returns false if this VM
// places the service's requests itself. The caller holds the lock.
func (n *Node) placementVM(now time.Time, service string) (member.Peer, bool) {
	x := n.Index()
	if x == nil || n.RequestPlacement == nil {
		return member.Peer{}, false
	}
	if s, ok := x.Service(service); !ok || s.Engine == nil {
		return member.Peer{}, false
	}
	p := n.group.PlacementVM(now, service, n.Draining(), func(p member.Peer) bool {
		return n.backedOffVMs.Active(now, p.ID) || n.backedOffDomains.Active(now, p.Domain)
	})
	if p.ID == n.Settings.ID {
		return member.Peer{}, false
	}
	return p, true
}

// HandlePlacement applies the load report of another VM and, if it requests a
// placement, chooses a server and reserves room there.
func (n *Node) HandlePlacement(req PlacementRequest) PlacementResponse {
	if req.Request != nil {
		n.excludeWithheld(req.Service, req.Request, false)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.placer.UpdatePeerLoad(now, req.From, req.Loads)
	for _, sample := range req.LengthSamples {
		n.placer.Learn(sample)
	}
	if req.Request == nil {
		return PlacementResponse{}
	}
	r := *req.Request
	r.Random = n.random.Float64()
	c, ok := n.placer.Pick(now, n.candidates(req.Service), r)
	if !ok {
		return PlacementResponse{}
	}
	if !c.Full && !r.Stays(c.Server.ID) {
		n.placer.Reserve(now, req.From, c.Server.ID, r)
	}
	n.logPlacement(req.From, req.Service, r, c)
	return PlacementResponse{Backend: c.Server.ID, CopyDelay: c.CopyDelay, Full: c.Full, RetryAfter: c.RetryAfter}
}

// RemainingTokens returns an upper bound on the number of tokens that a run has
// yet to generate, which holds with probability chance.
func (n *Node) RemainingTokens(r place.Run, chance float64) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placer.Remaining(r, chance)
}

// MeanRemainingTokens returns the mean number of tokens that a run has yet to
// generate.
func (n *Node) MeanRemainingTokens(r place.Run) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placer.MeanRemaining(r)
}

// NextRunID returns an ID for a run, unique among the runs of this process.
func (n *Node) NextRunID() uint64 { return n.lastRunID.Add(1) }

// startupPeriod is how long after its start a VM may lack updates that other VMs
// have.
const startupPeriod = 5 * time.Second

// AwaitingBackends reports whether this VM knows no backend server of a service
// and is still within startupPeriod, so that updates may be missing.
func (n *Node) AwaitingBackends(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Starting() && len(n.table.OfService(service)) == 0
}

// Starting reports whether the process started less than startupPeriod ago.
func (n *Node) Starting() bool { return time.Since(n.started) < startupPeriod }

// candidates returns the backend servers of a service. For engines, it sets the
// memory and, where a server reports none, the slots from the configuration. The
// caller holds the lock.
func (n *Node) candidates(service string) []member.Backend {
	list := n.table.OfService(service)
	x := n.Index()
	if x == nil {
		return list
	}
	s, ok := x.Service(service)
	if !ok || s.Engine == nil {
		return list
	}
	for i := range list {
		list[i].MemoryTokens = s.Engine.MemoryTokens
		if list[i].Slots == 0 {
			list[i].Slots = s.Engine.Slots
		}
	}
	return list
}

// Prefilled records that the first token of a request placed at the server id
// has arrived.
func (n *Node) Prefilled(id string, r place.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.Prefilled(time.Now(), id, r)
}

// EndPlacement ends a request counted by Place at the server id and records its
// result. r must be the request passed to Place, with PromptTokens set to zero if
// Prefilled was called.
func (n *Node) EndPlacement(id string, r place.Request, result place.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.placer.End(now, id, r, result)
	if b, ok := n.table.Get(id); ok {
		n.placer.RecordDomainResult(now, b.Domain, result)
	}
}

// BackOff starts a back-off from a backend server for forwarded requests.
func (n *Node) BackOff(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.BackOff(time.Now(), id)
}
