package sched

import (
	"time"

	"fuchsiafold.example/fold/spec"
)

// DefaultPolicy names the policy for requests that name no known policy.
const DefaultPolicy = spec.PolicyForecast

// Policy defines how requests are ordered, refused, placed and prioritized. All
// fields are set.
type Policy struct {
	Name string
	// Key returns the sort key of the request in the queue; the earliest goes
	// first.
	Key func(s *Scheduler, now time.Time, it *item) time.Time
	// Refuse reports whether a new request can't be served in time, and after
	// what time to retry.
	Refuse func(s *Scheduler, now time.Time, it *item) (time.Duration, bool)
	// Late reports whether a waiting request can no longer be served in time,
	// and after what time to retry.
	Late func(s *Scheduler, now time.Time, it *item) (time.Duration, bool)
	// Place returns the backend server to dispatch to now, or nil if the
	// request has to wait.
	Place func(s *Scheduler, now time.Time, it *item) *engine
	// Priority returns the priority at the engine; a lower number goes first.
	Priority func(s *Scheduler, now time.Time, it *item) int
}

// Policies returns all policies, by name.
func Policies() map[string]*Policy {
	out := map[string]*Policy{}
	for _, p := range []*Policy{NaivePolicy(), PrefixPolicy(), ForecastPolicy()} {
		out[p.Name] = p
	}
	return out
}

// NaivePolicy returns the baseline policy: it dispatches in order of arrival,
// without waiting, to the backend server with the fewest local requests in
// flight.
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

// PrefixPolicy returns the policy that prefers a backend server that has the
// request's prefix cached, unless that server has more than prefixSlack local
// requests more than the least busy one.
func PrefixPolicy() *Policy {
	p := NaivePolicy()
	p.Name = spec.PolicyPrefix
	p.Place = preferCachedPrefix
	return p
}

func arrivalKey(s *Scheduler, now time.Time, it *item) time.Time { return it.Arrived }

func refuseNever(s *Scheduler, now time.Time, it *item) (time.Duration, bool) { return 0, false }

func samePriority(s *Scheduler, now time.Time, it *item) int { return 0 }

func leastInFlight(s *Scheduler, now time.Time, it *item) *engine {
	var best *engine
	for _, e := range s.candidates(it) {
		if best == nil || len(e.localRequests) < len(best.localRequests) {
			best = e
		}
	}
	return best
}

// prefixSlack is the number of requests by which a backend server with the
// prefix may be busier than the least busy one.
const prefixSlack = 4

func preferCachedPrefix(s *Scheduler, now time.Time, it *item) *engine {
	leastBusy := leastInFlight(s, now, it)
	var best *engine
	for _, e := range s.candidates(it) {
		if !e.prefixCache.cached(now, it.Prefix) || len(e.localRequests) > len(leastBusy.localRequests)+prefixSlack {
			continue
		}
		if best == nil || len(e.localRequests) < len(best.localRequests) {
			best = e
		}
	}
	if best == nil {
		return leastBusy
	}
	return best
}

// candidates returns the backend servers that can take the request: those of
// the local failure domain, or those of all other domains if it has none.
func (s *Scheduler) candidates(it *item) []*engine {
	var local, remote []*engine
	for _, e := range s.byModel[it.Model] {
		if !e.usable(it) {
			continue
		}
		if s.inLocalDomain(e) {
			local = append(local, e)
			continue
		}
		remote = append(remote, e)
	}
	if len(local) == 0 {
		return remote
	}
	return local
}

// minRetryAfter and maxRetryAfter bound the retry time of refused requests.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// estimateRetryAfter returns the time after which to retry when the queue is
// too long: the expected wait, within bounds.
func (s *Scheduler) estimateRetryAfter(now time.Time, it *item) time.Duration {
	return min(max(s.expectedWait(now, it), minRetryAfter), maxRetryAfter)
}

// expectedWait returns how long it will take to dispatch the requests ahead of
// this one, at the recent dispatch rate of the model. It returns 0 if the rate
// is not known.
func (s *Scheduler) expectedWait(now time.Time, it *item) time.Duration {
	requestsAhead := s.requestsAhead(it)
	if requestsAhead == 0 {
		return 0
	}
	perSecond := s.dispatchesPerSecond(now, it.Model)
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(requestsAhead) / perSecond * float64(time.Second))
}
