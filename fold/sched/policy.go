package sched

import (
	"time"

	"fuchsiafold.example/fold/spec"
)

// DefaultPolicy decides on requests that name no known policy.
const DefaultPolicy = spec.PolicyForecast

// Policy is one way of deciding. All fields are set.
type Policy struct {
	Name string
	// Key returns the request's place in the queue: the earliest goes first.
	Key func(s *Scheduler, now time.Time, it *item) time.Time
	// Refuse reports whether a new request can't be served in time, and when
	// to come back.
	Refuse func(s *Scheduler, now time.Time, it *item) (time.Duration, bool)
	// Late reports whether a waiting request can no longer be served in time,
	// and when to come back.
	Late func(s *Scheduler, now time.Time, it *item) (time.Duration, bool)
	// Place returns the backend server to use now, or nil to wait.
	Place func(s *Scheduler, now time.Time, it *item) *engine
	// Priority returns the priority at the engine; a lower number goes first.
	Priority func(s *Scheduler, now time.Time, it *item) int
}

// Policies returns every policy by its name.
func Policies() map[string]*Policy {
	out := map[string]*Policy{}
	for _, p := range []*Policy{NaivePolicy(), PrefixPolicy(), ForecastPolicy()} {
		out[p.Name] = p
	}
	return out
}

// NaivePolicy returns the baseline: first come first served, at once, to the
// backend server with the fewest requests in flight.
func NaivePolicy() *Policy {
	return &Policy{
		Name:     spec.PolicyNaive,
		Key:      arrivalKey,
		Refuse:   refuseNever,
		Late:     refuseNever,
		Place:    leastInFlight,
		Priority: samePriority,
	}
}

// PrefixPolicy returns the policy that sends a request to a backend server that has
// its prefix cached, unless that one is much busier than another.
func PrefixPolicy() *Policy {
	p := NaivePolicy()
	p.Name = spec.PolicyPrefix
	p.Place = cachedPrefix
	return p
}

func arrivalKey(s *Scheduler, now time.Time, it *item) time.Time { return it.Arrived }

func refuseNever(s *Scheduler, now time.Time, it *item) (time.Duration, bool) { return 0, false }

func samePriority(s *Scheduler, now time.Time, it *item) int { return 0 }

func leastInFlight(s *Scheduler, now time.Time, it *item) *engine {
	var best *engine
	for _, e := range s.candidates(it) {
		if best == nil || len(e.own) < len(best.own) {
			best = e
		}
	}
	return best
}

// prefixSlack is the number of requests by which a backend server with the
// prefix may be busier than the least busy one.
const prefixSlack = 4

func cachedPrefix(s *Scheduler, now time.Time, it *item) *engine {
	least := leastInFlight(s, now, it)
	var best *engine
	for _, e := range s.candidates(it) {
		if !e.prefixes.cached(now, it.Prefix) || len(e.own) > len(least.own)+prefixSlack {
			continue
		}
		if best == nil || len(e.own) < len(best.own) {
			best = e
		}
	}
	if best == nil {
		return least
	}
	return best
}

// candidates returns the backend servers that may take the request: those of
// the own failure domain, or all others if it has none.
func (s *Scheduler) candidates(it *item) []*engine {
	var near, far []*engine
	for _, e := range s.byModel[it.Model] {
		if !e.usable(it) {
			continue
		}
		if s.isNear(e) {
			near = append(near, e)
			continue
		}
		far = append(far, e)
	}
	if len(near) == 0 {
		return far
	}
	return near
}

// minComeBack and maxComeBack bound the time to come back.
const (
	minComeBack = time.Second
	maxComeBack = 2 * time.Minute
)

// comeBack returns when to come back to a queue that is too long.
func (s *Scheduler) comeBack(now time.Time, it *item) time.Duration {
	return min(max(s.expectedWait(now, it), minComeBack), maxComeBack)
}

// expectedWait returns how long the requests ahead of this one will take to be
// dispatched, at the rate of late.
func (s *Scheduler) expectedWait(now time.Time, it *item) time.Duration {
	ahead := s.ahead(it)
	if ahead == 0 {
		return 0
	}
	perSecond := s.startRate(it.Model).perSecond(now)
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}
