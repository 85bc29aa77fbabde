package sched

import (
	"math"
	"time"
)

// Parameters of fairness between workspaces.
const (
	// rateWindow is the time constant of the exponential decay with which rates
	// are averaged.
	rateWindow = 10 * time.Second
	// activeWindow is how long a workspace counts as active after its last
	// request.
	activeWindow = 10 * time.Second
)

// fairness shares the engines of one model between workspaces. Each workspace
// has a virtual clock that advances with the work it requests, at its fair
// share of the rate at which work is served. A workspace within its share keeps
// its deadlines. The deadlines of a workspace beyond its share are delayed by
// the time that its clock is ahead of real time.
type fairness struct {
	clocks map[string]*virtualClock
	served rate
	// requested is the rate of work of all requests, urgent that of urgent
	// requests.
	requested rate
	urgent    rate
	// lastPrune is when inactive workspaces were last removed from clocks.
	lastPrune time.Time
}

type virtualClock struct {
	// finish is the time by which all work requested so far would be served at
	// the fair share. It is at most maxFairnessDelay ahead of the last request.
	finish      time.Time
	lastRequest time.Time
}

// charge adds a request's work to the clock of its workspace. It returns the
// delay for the deadline of this request: how far the clock was ahead of now
// before the request. It returns 0 while no work has been served.
func (f *fairness) charge(now time.Time, workspace string, work float64) time.Duration {
	if f.clocks == nil {
		f.clocks = map[string]*virtualClock{}
	}
	f.prune(now)
	c := f.clocks[workspace]
	if c == nil {
		c = &virtualClock{finish: now}
		f.clocks[workspace] = c
	}
	c.lastRequest = now
	if c.finish.Before(now) {
		c.finish = now
	}
	delay := c.finish.Sub(now)
	perSecond := f.served.perSecond(now)
	if perSecond <= 0 {
		return 0
	}
	share := perSecond / float64(len(f.clocks))
	c.finish = c.finish.Add(time.Duration(work / share * float64(time.Second)))
	if limit := now.Add(maxFairnessDelay); c.finish.After(limit) {
		c.finish = limit
	}
	return delay
}

// reserve returns the share of an engine's memory that non-urgent requests
// leave free for urgent ones.
func (f *fairness) reserve(now time.Time) float64 {
	requested := f.requested.perSecond(now)
	if requested <= 0 {
		return 0
	}
	return maxReserve * min(1, f.urgent.perSecond(now)/requested/fullReserveShare)
}

// maxFairnessDelay bounds how far the clock of a workspace can be ahead of now.
const maxFairnessDelay = time.Minute

func (f *fairness) prune(now time.Time) {
	if now.Sub(f.lastPrune) < time.Second {
		return
	}
	f.lastPrune = now
	for w, c := range f.clocks {
		if now.Sub(c.lastRequest) > activeWindow && c.finish.Before(now) {
			delete(f.clocks, w)
		}
	}
}

// rate measures an amount per second as an exponentially decaying average. The
// zero value is ready to use.
type rate struct {
	sum   float64
	since time.Time
	last  time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

func (r *rate) decay(now time.Time) {
	if r.since.IsZero() {
		r.since, r.last = now, now
	}
	if d := now.Sub(r.last); d > 0 {
		r.sum *= decayFactor(d)
		r.last = now
	}
}

// perSecond returns the rate. It corrects for the bias at the start, when the
// measurement covers less than the averaging window.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	weight := 1 - decayFactor(now.Sub(r.since))
	if weight <= 0 {
		return 0
	}
	return r.sum / (rateWindow.Seconds() * weight)
}

func decayFactor(d time.Duration) float64 {
	return math.Exp(-float64(d) / float64(rateWindow))
}
