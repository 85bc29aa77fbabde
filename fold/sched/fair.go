package sched

import (
	"math"
	"time"
)

// Constants of fairness between workspaces.
const (
	// rateWindow is the time over which the rate of served work is measured.
	rateWindow = 10 * time.Second
	// activeWindow is how long a workspace counts as active after a request.
	activeWindow = 10 * time.Second
)

// fairness keeps for each workspace of a model a virtual clock that advances
// with the work it asks for, at its fair share of the rate at which work is
// served. A workspace within its share keeps its deadlines; one beyond it
// falls behind the others, by as much as it is beyond.
type fairness struct {
	clocks map[string]*virtualClock
	served rate
	// asked is the work of all requests, urgent that of urgent ones.
	asked  rate
	urgent rate
	// pruned is when idle workspaces were last dropped.
	pruned time.Time
}

type virtualClock struct {
	// at is the time by which the work asked for so far is served at the fair
	// share.
	at   time.Time
	last time.Time
}

// charge counts a request's work for its workspace and returns how far the
// workspace is beyond its share.
func (f *fairness) charge(now time.Time, workspace string, work float64) time.Duration {
	if f.clocks == nil {
		f.clocks = map[string]*virtualClock{}
	}
	f.prune(now)
	c := f.clocks[workspace]
	if c == nil {
		c = &virtualClock{at: now}
		f.clocks[workspace] = c
	}
	c.last = now
	if c.at.Before(now) {
		c.at = now
	}
	behind := c.at.Sub(now)
	perSecond := f.served.perSecond(now)
	if perSecond <= 0 {
		return 0
	}
	share := perSecond / float64(len(f.clocks))
	c.at = c.at.Add(time.Duration(work / share * float64(time.Second)))
	if limit := now.Add(maxBehind); c.at.After(limit) {
		c.at = limit
	}
	return behind
}

// reserve returns the share of an engine's memory that requests which can wait
// leave free for urgent ones.
func (f *fairness) reserve(now time.Time) float64 {
	asked := f.asked.perSecond(now)
	if asked <= 0 {
		return 0
	}
	return maxReserve * min(1, f.urgent.perSecond(now)/asked/reserveFrom)
}

// maxBehind bounds how far a workspace falls behind.
const maxBehind = time.Minute

func (f *fairness) prune(now time.Time) {
	if now.Sub(f.pruned) < time.Second {
		return
	}
	f.pruned = now
	for w, c := range f.clocks {
		if now.Sub(c.last) > activeWindow && c.at.Before(now) {
			delete(f.clocks, w)
		}
	}
}

// rate measures an amount over time, with old amounts fading.
type rate struct {
	sum   float64
	since time.Time
	last  time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.fade(now)
	r.sum += amount
}

func (r *rate) fade(now time.Time) {
	if r.since.IsZero() {
		r.since, r.last = now, now
	}
	if d := now.Sub(r.last); d > 0 {
		r.sum *= fadeFactor(d)
		r.last = now
	}
}

// perSecond returns the rate, corrected for the time that it has been
// measured for.
func (r *rate) perSecond(now time.Time) float64 {
	r.fade(now)
	seen := 1 - fadeFactor(now.Sub(r.since))
	if seen <= 0 {
		return 0
	}
	return r.sum / (rateWindow.Seconds() * seen)
}

func fadeFactor(d time.Duration) float64 {
	return math.Exp(-float64(d) / float64(rateWindow))
}
