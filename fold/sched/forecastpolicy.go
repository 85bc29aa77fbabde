package sched

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/spec"
)

// Parameters of the forecast policy.
const (
	// marginStdDevs is the number of standard deviations of forecast memory
	// use that is kept free.
	marginStdDevs = 2.3
	// memoryShare is the share of an engine's memory that a forecast may fill.
	// Requests that are not urgent leave up to maxReserve of the memory free
	// for urgent ones. The reserve grows with the urgent share of the requested
	// work and is full when that reaches fullReserveShare.
	memoryShare      = 0.97
	maxReserve       = 0.27
	fullReserveShare = 0.4
	// gapShare is the share of a token gap that a decode step may take. The
	// rest is for the prefill of prompts between two steps.
	gapShare = 0.95
	// minBatch is the batch size that every engine may have regardless of
	// token-gap targets.
	minBatch = 4
	// prefixDiscount is the amount by which a cached prefix lowers the cost of
	// an engine, as a share of its memory. prefillCost is the cost, in the same
	// unit, of each prompt token that waits for prefill there.
	prefixDiscount = 0.10
	prefillCost    = 0.10 / 1000
	// urgentTarget is the largest first-token target of an urgent request.
	urgentTarget = 2 * time.Second
	// defaultStartTarget is the start target of requests that have neither a
	// first-token nor a completion target.
	defaultStartTarget = time.Hour
)

// ForecastPolicy returns the policy that places requests by the forecast memory
// use of each engine. It avoids engines whose memory is likely to overflow
// before their answers end, keeps decode steps within the tightest token-gap
// target on the engine, and orders the queue by deadline, adjusted for fair
// shares between workspaces.
func ForecastPolicy() *Policy {
	return &Policy{
		Name:     spec.PolicyForecast,
		Key:      deadlineKey,
		Refuse:   refuseExpectedLate,
		Late:     refuseLate,
		Place:    placeByForecast,
		Priority: priorityForTarget,
	}
}

// startTarget returns the time after arrival within which the request should
// start.
func (it *item) startTarget() time.Duration {
	t := it.Target
	switch {
	case t.FirstToken > 0:
		return t.FirstToken
	case t.Completion > 0:
		return t.Completion
	}
	return defaultStartTarget
}

func (it *item) urgent() bool {
	return it.Target.FirstToken > 0 && it.Target.FirstToken <= urgentTarget
}

// deadlineKey orders the queue by deadline. The deadline of a workspace that
// requests more than its fair share is delayed.
func deadlineKey(s *Scheduler, now time.Time, it *item) time.Time {
	survival := s.lengths.Survival(it.group())
	it.work = survival.Mean(1)
	f := s.fairness(it.Model)
	delay := f.charge(now, it.Workspace, it.work)
	f.requested.add(now, it.work)
	if it.urgent() {
		f.urgent.add(now, it.work)
	}
	return it.Arrived.Add(it.startTarget()).Add(delay)
}

// requestsAhead returns the number of waiting requests that precede it in the
// queue.
func (s *Scheduler) requestsAhead(it *item) int {
	i, _ := slices.BinarySearchFunc(s.waiting[it.Model], it, compareItems)
	return i
}

// refuseExpectedLate refuses a request whose expected wait exceeds its start
// target.
func refuseExpectedLate(s *Scheduler, now time.Time, it *item) (time.Duration, bool) {
	if it.startTarget() == defaultStartTarget || s.expectedWait(now, it) <= it.startTarget() {
		return 0, false
	}
	return s.estimateRetryAfter(now, it), true
}

// refuseLate refuses a request whose first-token target has already passed.
func refuseLate(s *Scheduler, now time.Time, it *item) (time.Duration, bool) {
	if it.Target.FirstToken == 0 || now.Sub(it.Arrived) < it.Target.FirstToken {
		return 0, false
	}
	return s.estimateRetryAfter(now, it), true
}

// Priorities at engines; a lower number goes first. A class with a first-token
// target precedes one without.
const (
	priorityUrgent     = 0
	priorityStream     = 1
	priorityBackground = 2
)

func priorityForTarget(s *Scheduler, now time.Time, it *item) int {
	switch {
	case it.urgent():
		return priorityUrgent
	case it.Target.FirstToken > 0 || it.Target.TokenGap > 0:
		return priorityStream
	}
	return priorityBackground
}

func placeByForecast(s *Scheduler, now time.Time, it *item) *engine {
	s.estimateUsage(it)
	if e := s.cheapest(now, it, true); e != nil {
		return e
	}
	if !s.maySpill(now, it) {
		return nil
	}
	return s.cheapest(now, it, false)
}

// maySpill reports whether a request may go to another failure domain. It may
// if the local domain has no usable engine, or if the request is urgent and has
// waited for half its start target.
func (s *Scheduler) maySpill(now time.Time, it *item) bool {
	if s.opts.Domain == "" {
		return false
	}
	if it.urgent() && now.Sub(it.Arrived) > it.startTarget()/2 {
		return true
	}
	for _, e := range s.byModel[it.Model] {
		if s.inLocalDomain(e) && e.usable(it) {
			return false
		}
	}
	return true
}

func (s *Scheduler) inLocalDomain(e *engine) bool {
	return s.opts.Domain == "" || e.info.Domain == s.opts.Domain
}

// cheapest returns the engine at which the request has the lowest cost, or nil
// if none can take it now. It considers either the engines of the local failure
// domain or those of all other domains.
func (s *Scheduler) cheapest(now time.Time, it *item, local bool) *engine {
	var best *engine
	var lowestCost float64
	for _, e := range s.sample(s.byModel[it.Model]) {
		if s.inLocalDomain(e) != local {
			continue
		}
		cost, ok := s.cost(now, it, e)
		if ok && (best == nil || cost < lowestCost) {
			best, lowestCost = e, cost
		}
	}
	return best
}

// sample returns the engines to compare: all of them, or SampleSize distinct
// ones at random.
func (s *Scheduler) sample(list []*engine) []*engine {
	if s.opts.SampleSize == 0 || len(list) <= s.opts.SampleSize {
		return list
	}
	out := make([]*engine, 0, s.opts.SampleSize)
	for len(out) < s.opts.SampleSize {
		e := list[s.opts.Random.IntN(len(list))]
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// cost returns the cost of placing the request at an engine: the forecast peak
// share of its memory, raised by waiting prompts and lowered by a cached
// prefix. It returns false if the request must not go there now.
func (s *Scheduler) cost(now time.Time, it *item, e *engine) (float64, bool) {
	if !e.usable(it) || !e.accepts(now, len(e.localRequests)) {
		return 0, false
	}
	e.refreshForecast(s, now)
	batch := len(e.localRequests) + e.otherLoad.Running
	if !s.meetsTokenGap(it, e, batch) {
		return 0, false
	}
	share := memoryShare
	if !it.urgent() || !s.inLocalDomain(e) {
		share -= s.fairness(it.Model).reserve(now)
	}
	memory := float64(e.info.MemoryTokens) * share * s.opts.Share
	peak := e.Peak(it.usage, memory, marginStdDevs)
	// An idle engine accepts a request whose forecast exceeds its memory;
	// otherwise the request would wait forever.
	if peak > 1 && batch > 0 {
		return 0, false
	}
	cost := peak + float64(e.prefillTokens)*prefillCost
	if e.prefixCache.cached(now, it.Prefix) {
		cost -= prefixDiscount
	}
	return cost, true
}

// meetsTokenGap reports whether a decode step stays within the tightest
// token-gap target after one more request joins the batch.
func (s *Scheduler) meetsTokenGap(it *item, e *engine, batch int) bool {
	tightestGap := tighterGap(e.tightestGap, it.Target.TokenGap)
	if tightestGap == 0 || batch < minBatch {
		return true
	}
	memory := e.localTokens + e.otherLoad.MemoryUsed + it.PromptTokens
	stepTime := e.stepTime.Predict(int(float64(batch+1)/s.opts.Share), int(float64(memory)/s.opts.Share))
	return float64(stepTime) <= gapShare*float64(tightestGap)
}
