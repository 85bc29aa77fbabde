package sched

import (
	"time"

	"fuchsiafold.example/fold/spec"
)

// DefaultPolicy decides on requests that name no known policy.
const DefaultPolicy = spec.PolicyNaive

// Policy is one way of deciding. All fields are set.
type Policy struct {
	Name string
	// Key returns the request's place in the queue: the earliest goes first.
	Key func(s *Sched, now time.Time, it *item) time.Time
	// Refuse reports whether the request can't be served in time, and when to
	// come back.
	Refuse func(s *Sched, now time.Time, it *item) (time.Duration, bool)
	// Place returns the backend server to use now, or nil to wait.
	Place func(s *Sched, now time.Time, it *item) *engine
	// Priority returns the priority at the engine; a lower number goes first.
	Priority func(s *Sched, now time.Time, it *item) int
}

// Policies returns every policy by its name.
func Policies() map[string]*Policy {
	return map[string]*Policy{
		spec.PolicyNaive: Naive(),
	}
}

// Naive returns the baseline: first come first served, at once, to the
// backend server with the fewest requests in flight.
func Naive() *Policy {
	return &Policy{
		Name:     spec.PolicyNaive,
		Key:      arrivalKey,
		Refuse:   refuseNever,
		Place:    leastInFlight,
		Priority: samePriority,
	}
}

func arrivalKey(s *Sched, now time.Time, it *item) time.Time { return it.Arrived }

func refuseNever(s *Sched, now time.Time, it *item) (time.Duration, bool) { return 0, false }

func samePriority(s *Sched, now time.Time, it *item) int { return 0 }

func leastInFlight(s *Sched, now time.Time, it *item) *engine {
	var best *engine
	for _, e := range s.byModel[it.Model] {
		if !e.usable(it) {
			continue
		}
		if best == nil || len(e.own) < len(best.own) {
			best = e
		}
	}
	return best
}

func (p *Policy) comeBack(s *Sched, now time.Time, it *item) time.Duration {
	after, _ := p.Refuse(s, now, it)
	return max(after, time.Second)
}
