package node

import (
	"context"
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
	// Full reports that no server has room; the request is not counted then. Crowded is as
	// in place.Choice.
	Full    bool
	Crowded bool
	// RetryAfter is the time until there will probably be room, set with Full.
	RetryAfter time.Duration
}

// Place chooses a backend server of a service for a forwarded request. Unless the
// choice is Full or Unreachable, or leaves a run where it is, it counts the request
// there, and the caller must call EndPlacement when the request ends. It returns
// false if no server is left.
//
// Requests for engines are placed by placement VMs. Other requests, and those for which
// no placement VM names a usable server, are placed locally.
func (n *Node) Place(ctx context.Context, service string, r place.Request) (place.Choice, bool) {
	if !n.excludeUnreachable(service, &r) {
		return place.Choice{}, false
	}
	n.excludeEvacuated(service, &r)
	excluded := r.Exclude
	withheld := n.excludeWithheld(service, &r, true)
	if c, ok := n.placeByDomain(ctx, service, r); ok {
		return c, true
	}
	if ctx.Err() != nil {
		return place.Choice{}, false
	}
	r.Scope = ""
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	c, ok := n.pickLocally(now, service, r)
	if !ok && n.hasOtherServer(service, excluded) {
		return n.limitedChoice(now, service, withheld), true
	}
	if !ok {
		return c, false
	}
	n.beginPlacement(now, c, r)
	return c, true
}

// pickLocally chooses a server by the loads that this VM knows. The caller holds the lock.
func (n *Node) pickLocally(now time.Time, service string, r place.Request) (place.Choice, bool) {
	r.Random = n.random.Float64()
	c, ok := n.placer.Pick(now, n.candidates(service, stayAt(&r)), r)
	if !ok {
		return c, false
	}
	if !c.Full {
		c.RetryAfter, c.Unreachable = n.placer.DomainUnreachable(now, c.Server.Domain)
	}
	if r.ID != 0 {
		n.logPlacement(n.Settings.ID, service, r, c)
	}
	return c, true
}

// beginPlacement counts a request at the chosen server, unless it is not sent there. The
// caller holds the lock.
func (n *Node) beginPlacement(now time.Time, c place.Choice, r place.Request) {
	if !c.Full && !c.Unreachable && !r.Stays(c.Server.ID) {
		n.placer.Begin(now, c.Server.ID, r)
	}
}

// logPlacement logs the choice of a server for a run of the VM from, with the
// load that it was based on. Plain calls are not logged here: their server is in
// the line at their end.
func (n *Node) logPlacement(from, service string, r place.Request, c place.Choice) {
	fields := logrus.Fields{
		"vm": from, "run": r.ID, "service": service, "backend": c.Server.ID, "domain": c.Server.Domain, "preferred": r.Domain,
		"full": c.Full, "crowded": c.Crowded, "requests": c.Load.Requests, "prefillTokens": c.Load.PrefillTokens,
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
	n.addGapRisk(fields, c.Gaps)
	n.Log.WithFields(fields).Info("server chosen")
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
	n.noteOtherPlacementVM(now, req.Service, r.Scope, req.From)
	c, ok := n.placer.Pick(now, n.candidates(req.Service, stayAt(&r)), r)
	if !ok {
		return PlacementResponse{}
	}
	if !c.Full && !r.Stays(c.Server.ID) {
		n.placer.Reserve(now, req.From, c.Server.ID, r)
	}
	n.logPlacement(req.From, req.Service, r, c)
	return PlacementResponse{Backend: c.Server.ID, CopyDelay: c.CopyDelay, Full: c.Full, Crowded: c.Crowded, RetryAfter: c.RetryAfter}
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

// candidates returns the backend servers of a service, without those that are evacuated
// unless a run may stay there. For engines, it sets the memory and, where
// a server reports none, the slots from the configuration. The caller holds the lock.
func (n *Node) candidates(service, stay string) []member.Backend {
	list := n.usableServers(service, stay)
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
