package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
)

// PlacementRequest is what one VM says to the VM that places a service's requests.
type PlacementRequest struct {
	From    string
	Service string
	// Loads is what the VM has under way at each engine.
	Loads map[string]place.Load
	// LengthSamples is what it has seen of its runs' lengths since it last told.
	LengthSamples []place.LengthSample
	// Request is set if a place is asked for.
	Request *place.Request
}

// PlacementResponse names the server that a request goes to, none if it is empty, and
// the wait before a copy begins.
type PlacementResponse struct {
	Backend   string
	CopyDelay time.Duration
	// Full says that no server has room: the request is not counted. Back is when
	// there will probably be some.
	Full       bool
	RetryAfter time.Duration
}

const (
	// askTimeout bounds the wait for another VM to place a request.
	askTimeout = 100 * time.Millisecond
	// distrustTime is how long a VM that did not answer is not asked, twice as long
	// after each further time in a row; the next one in line places meanwhile.
	distrustTime = 3 * time.Second
	// tellInterval is how often a VM tells what it has under way, if that has
	// changed; retellInterval is how often it tells it all the same, well within
	// the time that the other VM believes it.
	tellInterval   = 250 * time.Millisecond
	retellInterval = time.Second
)

// Place chooses a backend server of a service for a forwarded request and
// counts the request there; the caller ends it with Placed. It returns false
// if none is left. Requests for engines are placed by one VM for all, if it
// answers; others, and those it leaves alone, by what this VM knows.
func (n *Node) Place(ctx context.Context, service string, w place.Request) (place.Choice, bool) {
	if c, ok := n.placeElsewhere(ctx, service, w); ok {
		return c, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	w.Random = n.random.Float64()
	c, ok := n.placer.Pick(time.Now(), n.candidates(service), w)
	if ok && !c.Full {
		n.placer.Begin(c.Server.ID, w)
	}
	return c, ok
}

// placeElsewhere has the request placed by the VM that places for all.
func (n *Node) placeElsewhere(ctx context.Context, service string, w place.Request) (place.Choice, bool) {
	n.mu.Lock()
	to, ok := n.placeSteward(time.Now(), service)
	if !ok {
		n.mu.Unlock()
		return place.Choice{}, false
	}
	if w.Domain == "" {
		w.Domain = n.Settings.Domain
	}
	ask := n.account(service)
	ask.Request = &w
	n.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := n.RequestPlacement(limited, to, ask)
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		// Nobody waits for the request any more; that tells nothing of the other VM.
		return place.Choice{}, false
	}
	if err != nil {
		n.distrusted.fail(time.Now(), to.ID)
		if limited.Err() != nil && to.Domain != n.Settings.Domain {
			// Silence may be that of the whole failure domain.
			n.silent.fail(time.Now(), to.Domain)
		}
		n.Count("place.stewardsLost", 1)
		n.Log.WithError(err).WithField("steward", to.ID).Warn("requests are placed here")
		return place.Choice{}, false
	}
	delete(n.distrusted, to.ID)
	delete(n.silent, to.Domain)
	c, ok := n.granted(service, answer, w)
	c.ChosenBy = to.ID
	return c, ok
}

// granted counts a request at the server that another VM chose, unless this VM
// knows better of it. The caller holds the lock.
func (n *Node) granted(service string, a PlacementResponse, w place.Request) (place.Choice, bool) {
	list := n.candidates(service)
	i := slices.IndexFunc(list, func(b member.Backend) bool { return b.ID == a.Backend })
	if i < 0 || list[i].Leaving || n.placer.BackedOff(time.Now(), a.Backend) {
		return place.Choice{}, false
	}
	if !a.Full {
		n.placer.Begin(a.Backend, w)
	}
	return place.Choice{Server: list[i], CopyDelay: a.CopyDelay, Full: a.Full, RetryAfter: a.RetryAfter}, true
}

// avoidance keeps questions for places from VMs, or failure domains, that did not
// answer lately.
type avoidance map[string]silence

// silence counts the questions in a row without an answer.
type silence struct {
	failures int
	until    time.Time
}

func (a avoidance) fail(now time.Time, key string) {
	s := a[key]
	s.until = now.Add(distrustTime << min(s.failures, 2))
	s.failures++
	a[key] = s
}

func (a avoidance) holds(now time.Time, key string) bool { return now.Before(a[key].until) }

// placeSteward returns the VM that places a service's requests for all, and
// false if this VM does. The caller holds the lock.
func (n *Node) placeSteward(now time.Time, service string) (member.Peer, bool) {
	x := n.Index()
	if x == nil || n.RequestPlacement == nil {
		return member.Peer{}, false
	}
	if s, ok := x.Service(service); !ok || s.Engine == nil {
		return member.Peer{}, false
	}
	p := n.group.PlacementVM(now, service, n.Draining(), func(p member.Peer) bool {
		return n.distrusted.holds(now, p.ID) || n.silent.holds(now, p.Domain)
	})
	if p.ID == n.Settings.ID {
		return member.Peer{}, false
	}
	return p, true
}

// HandlePlacement answers a VM that asks for a place.
func (n *Node) HandlePlacement(a PlacementRequest) PlacementResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.placer.UpdatePeerLoad(now, a.From, a.Loads)
	for _, g := range a.LengthSamples {
		n.placer.Learn(g)
	}
	if a.Request == nil {
		return PlacementResponse{}
	}
	w := *a.Request
	w.Random = n.random.Float64()
	c, ok := n.placer.Pick(now, n.candidates(a.Service), w)
	if !ok {
		return PlacementResponse{}
	}
	if !c.Full {
		n.placer.Reserve(now, a.From, c.Server.ID, w)
	}
	return PlacementResponse{Backend: c.Server.ID, CopyDelay: c.CopyDelay, Full: c.Full, RetryAfter: c.RetryAfter}
}

// told is what a VM last told another one of its load, and when.
type told struct {
	loads map[string]place.Load
	at    time.Time
}

// account returns what this VM tells of a service's load. What was seen of runs'
// lengths is told once, and lost with the message. The caller holds the lock.
func (n *Node) account(service string) PlacementRequest {
	a := PlacementRequest{From: n.Settings.ID, Service: service, Loads: n.placer.LocalLoad(n.table.OfService(service)), LengthSamples: n.growth[service]}
	delete(n.growth, service)
	return a
}

// maxGrowth bounds what is kept of runs' lengths for the VM that places.
const maxGrowth = 512

// RecordLength takes what was seen of the length of a run of a service.
func (n *Node) RecordLength(service string, g place.LengthSample) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.Learn(g)
	if _, ok := n.placeSteward(time.Now(), service); !ok {
		return
	}
	if len(n.growth[service]) >= maxGrowth {
		n.Count("place.growthDropped", 1)
		return
	}
	n.growth[service] = append(n.growth[service], g)
}

// RemainingTokens returns how many tokens a run will generate yet at most, with a
// chance.
func (n *Node) RemainingTokens(r place.Run, chance float64) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placer.Remaining(r, chance)
}

// NextRunID returns a number that tells a run of this VM apart from others.
func (n *Node) NextRunID() uint64 { return n.lastRun.Add(1) }

// tellLoads tells the VM that places for all what this VM has under way, while
// it has anything.
func (n *Node) tellLoads(now time.Time) {
	n.mu.Lock()
	n.telling = false
	var asks []func()
	busy := false
	for service := range n.repeats {
		loads := n.placer.LocalLoad(n.table.OfService(service))
		to, ok := n.placeSteward(now, service)
		last := n.told[service]
		if len(loads) == 0 && len(last.loads) == 0 {
			continue
		}
		busy = true
		if !ok || (maps.EqualFunc(loads, last.loads, place.Load.SameRequests) && now.Sub(last.at) < retellInterval) {
			continue
		}
		n.told[service] = told{loads: loads, at: now}
		ask := n.account(service)
		asks = append(asks, func() { n.tellLoad(to, ask) })
	}
	if busy {
		n.armTelling(now)
	}
	n.mu.Unlock()
	for _, f := range asks {
		go f()
	}
}

func (n *Node) tellLoad(to member.Peer, ask PlacementRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if _, err := n.RequestPlacement(ctx, to, ask); err != nil {
		// The next change, or the next request, tells again.
		n.Count("place.tellsFailed", 1)
	}
}

// armTelling makes the next tellLoads due. The caller holds the lock.
func (n *Node) armTelling(now time.Time) {
	if n.telling {
		return
	}
	n.telling = true
	n.Clock.At(now.Add(tellInterval), n.tellLoads)
}

// startTime is how long after its start a VM may lack news that others have.
const startTime = 5 * time.Second

// AwaitingBackends reports whether a service has no backend server here only because
// this VM has just started.
func (n *Node) AwaitingBackends(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Starting() && len(n.table.OfService(service)) == 0
}

// Starting reports whether the process has just started.
func (n *Node) Starting() bool { return time.Since(n.started) < startTime }

// candidates returns the backend servers of a service, with the memory that the
// configuration states for its engines. The caller holds the lock.
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

// Prefilled says that the first token of a request has come.
func (n *Node) Prefilled(id string, w place.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.Prefilled(id, w)
}

// EndPlacement ends what Place began, with the same want; its prompt is zero once
// Prefilled was called.
func (n *Node) EndPlacement(id string, w place.Request, o place.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.placer.End(now, id, w, o)
	if b, ok := n.table.Get(id); ok {
		n.placer.RecordDomainResult(now, b.Domain, o)
	}
}

// BackOff keeps forwarded requests away from a backend server for a while.
func (n *Node) BackOff(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.BackOff(time.Now(), id)
}

// CountForward counts a request of a service for the retry budget.
func (n *Node) CountForward(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.window(service).Deposit(now)
	n.armTelling(now)
}

// TakeForwardRetry takes a repeat from the budget that all VMs share.
func (n *Node) TakeForwardRetry(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return n.repeatBudget(now, service).Withdraw(now)
}

// repeatBudget returns the window of a service with this VM's part of the
// reserve. The caller holds the lock.
func (n *Node) repeatBudget(now time.Time, service string) *retry.WindowBudget {
	w := n.window(service)
	w.Reserve = n.Settings.Retry.Reserve / float64(2*n.sharers(now))
	return w
}

func (n *Node) window(service string) *retry.WindowBudget {
	w := n.repeats[service]
	if w == nil {
		w = &retry.WindowBudget{Share: n.Settings.Retry.Share, Length: time.Duration(n.Settings.Retry.Window)}
		n.repeats[service] = w
	}
	return w
}

// minSharers is the number of VMs that share the reserve at least: one that
// has just started has not heard of the others yet.
const minSharers = 8

// sharers returns the number of VMs that serve callers. The caller holds the
// lock.
func (n *Node) sharers(now time.Time) int {
	count := 1
	for _, p := range n.group.Live(now) {
		if p.ServesCallers {
			count++
		}
	}
	return max(count, minSharers)
}

// Loads returns what this VM has under way at each backend server of a service.
func (n *Node) Loads(service string) map[string]place.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placer.LocalLoad(n.table.OfService(service))
}
