package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
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
	// baseBackoff is the back-off from a VM after a failed placement request. It
	// doubles with each further failure in a row, up to four times the base. The
	// next VM in hash order places requests meanwhile.
	baseBackoff = 3 * time.Second
	// reportInterval is the time between load reports while the load changes.
	reportInterval = 250 * time.Millisecond
	// maxReportInterval is the time after which an unchanged load is reported
	// again, well before the last report expires at the placement VM.
	maxReportInterval = time.Second
)

// Place chooses a backend server of a service for a forwarded request. Unless
// the choice is Full or Unreachable or leaves a run where it is, it counts the request there, and
// the caller must call EndPlacement when the request ends. It returns false if no
// server is left.
//
// Requests for engines are placed by the placement VM of the service. Other
// requests, and those for which the placement VM fails to name a usable server,
// are placed locally.
func (n *Node) Place(ctx context.Context, service string, r place.Request) (place.Choice, bool) {
	if c, ok := n.placeRemotely(ctx, service, r); ok {
		return c, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	r.Random = n.random.Float64()
	c, ok := n.placer.Pick(now, n.candidates(service), r)
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
		n.backedOffVMs.recordFailure(time.Now(), to.ID)
		if callCtx.Err() != nil && to.Domain != n.Settings.Domain {
			// After a timeout, the whole failure domain may be unreachable.
			n.backedOffDomains.recordFailure(time.Now(), to.Domain)
		}
		n.Count("place.stewardsLost", 1)
		n.Log.WithError(err).WithField("steward", to.ID).Warn("placement request failed; placing locally")
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

// backoffs holds the back-off from each VM, or failure domain, whose last
// placement request failed.
type backoffs map[string]backoff

// backoff is the state of one back-off: the number of failures in a row, and
// when the back-off ends.
type backoff struct {
	failures int
	until    time.Time
}

// recordFailure begins a back-off, twice as long as the one before it, up to four
// times baseBackoff.
func (b backoffs) recordFailure(now time.Time, key string) {
	e := b[key]
	e.until = now.Add(baseBackoff << min(e.failures, 2))
	e.failures++
	b[key] = e
}

// active reports whether a back-off is in force at now.
func (b backoffs) active(now time.Time, key string) bool { return now.Before(b[key].until) }

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
		return n.backedOffVMs.active(now, p.ID) || n.backedOffDomains.active(now, p.Domain)
	})
	if p.ID == n.Settings.ID {
		return member.Peer{}, false
	}
	return p, true
}

// HandlePlacement applies the load report of another VM and, if it requests a
// placement, chooses a server and reserves room there.
func (n *Node) HandlePlacement(req PlacementRequest) PlacementResponse {
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

// sentReport is the last load report sent for a service and when it was sent.
type sentReport struct {
	loads map[string]place.Load
	at    time.Time
}

// newLoadReport returns a load report on a service. It removes the pending length
// samples, which are sent once and lost if the message is lost. The caller holds
// the lock.
func (n *Node) newLoadReport(service string) PlacementRequest {
	req := PlacementRequest{From: n.Settings.ID, Service: service, Loads: n.placer.LocalLoad(n.table.OfService(service)), LengthSamples: n.lengthSamples[service]}
	delete(n.lengthSamples, service)
	return req
}

// maxLengthSamples bounds the length samples of a service that are pending for
// the placement VM.
const maxLengthSamples = 512

// RecordLength records a length sample of a run of a service and queues it for
// the placement VM, if that is another VM.
func (n *Node) RecordLength(service string, sample place.LengthSample) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.Learn(sample)
	if _, ok := n.placementVM(time.Now(), service); !ok {
		return
	}
	if len(n.lengthSamples[service]) >= maxLengthSamples {
		n.Count("place.growthDropped", 1)
		return
	}
	n.lengthSamples[service] = append(n.lengthSamples[service], sample)
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

// reportLoads sends load reports to the placement VMs of all services whose load
// has changed or is due to be reported again. It reschedules itself while this VM
// has requests in progress or its last report showed some.
func (n *Node) reportLoads(now time.Time) {
	n.mu.Lock()
	n.reportScheduled = false
	var sends []func()
	busy := false
	for service := range n.forwardBudgets {
		loads := n.placer.LocalLoad(n.table.OfService(service))
		n.placer.ObserveLocal(now, loads)
		to, ok := n.placementVM(now, service)
		last := n.sentReports[service]
		if len(loads) == 0 && len(last.loads) == 0 {
			continue
		}
		busy = true
		if !ok || (maps.EqualFunc(loads, last.loads, place.Load.SameRequests) && now.Sub(last.at) < maxReportInterval) {
			continue
		}
		n.sentReports[service] = sentReport{loads: loads, at: now}
		req := n.newLoadReport(service)
		sends = append(sends, func() { n.sendLoadReport(to, req) })
	}
	if busy {
		n.scheduleReport(now)
	}
	n.mu.Unlock()
	for _, f := range sends {
		go f()
	}
}

// sendLoadReport sends a load report to a placement VM. It is called without the
// lock.
func (n *Node) sendLoadReport(to member.Peer, req PlacementRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	if _, err := n.RequestPlacement(ctx, to, req); err != nil {
		// No retry: the next report or placement request carries the load.
		n.Count("place.tellsFailed", 1)
	}
}

// scheduleReport schedules the next call of reportLoads, if none is pending. The
// caller holds the lock.
func (n *Node) scheduleReport(now time.Time) {
	if n.reportScheduled {
		return
	}
	n.reportScheduled = true
	n.Clock.At(now.Add(reportInterval), n.reportLoads)
}

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

// CountForward counts the first attempt of a forwarded request for the retry
// budget of its service.
func (n *Node) CountForward(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.forwardWindow(service).Deposit(now)
	n.scheduleReport(now)
}

// TakeForwardRetry takes a retry from this VM's part of the service's retry
// budget, which all VMs share. It returns false if the part is used up.
func (n *Node) TakeForwardRetry(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return n.forwardBudget(now, service).Withdraw(now)
}

// forwardBudget returns the retry budget of a service, with the reserve set to
// this VM's part: half of an equal share, so that the VMs together keep to the
// reserve in every window without exchanging messages. The caller holds the lock.
func (n *Node) forwardBudget(now time.Time, service string) *retry.WindowBudget {
	w := n.forwardWindow(service)
	w.Reserve = n.Settings.Retry.Reserve / float64(2*n.sharers(now))
	return w
}

// forwardWindow returns the retry budget of a service, which it creates if needed.
// The caller holds the lock.
func (n *Node) forwardWindow(service string) *retry.WindowBudget {
	w := n.forwardBudgets[service]
	if w == nil {
		w = &retry.WindowBudget{Share: n.Settings.Retry.Share, Length: time.Duration(n.Settings.Retry.Window)}
		n.forwardBudgets[service] = w
	}
	return w
}

// minSharers is the lowest number of VMs that the reserve is divided among: a VM
// that has just started does not know the others yet.
const minSharers = 8

// sharers returns the number of VMs that share the reserve: this one and the live
// ones that serve callers, but at least minSharers. The caller holds the lock.
func (n *Node) sharers(now time.Time) int {
	count := 1
	for _, p := range n.group.Live(now) {
		if p.ServesCallers {
			count++
		}
	}
	return max(count, minSharers)
}

// Loads returns this VM's load at each backend server of a service.
func (n *Node) Loads(service string) map[string]place.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placer.LocalLoad(n.table.OfService(service))
}
