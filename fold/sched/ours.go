package sched

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/spec"
)

// Constants of the forecast policy.
const (
	// margin is the number of standard deviations kept free in a forecast.
	margin = 2.3
	// memoryShare is the part of an engine's memory that may be filled by
	// forecast. Requests that can wait leave up to maxReserve of it to urgent
	// ones, the whole when these are reserveFrom of the work or more.
	memoryShare = 0.97
	maxReserve  = 0.27
	reserveFrom = 0.4
	// gapShare is the part of a token gap that a decode step may take; the
	// rest is for prompts computed in between.
	gapShare = 0.95
	// minBatch is the batch that every engine may have, whatever the targets.
	minBatch = 4
	// prefixGain is the share of memory that a cached prefix is worth when
	// engines are compared, and prefillCost that of each waiting token of
	// prompts.
	prefixGain  = 0.10
	prefillCost = 0.10 / 1000
	// urgentGoal is the first-token target up to which a request is urgent.
	urgentGoal = 2 * time.Second
	// patientGoal takes the place of a deadline for requests without one.
	patientGoal = time.Hour
)

// ForecastPolicy returns the policy that places by the chance that an engine's
// memory overflows before its answers end, keeps each batch within the
// tightest token gap on it, and orders the queue by slack to target and by
// fair shares.
func ForecastPolicy() *Policy {
	return &Policy{
		Name:     spec.PolicyForecast,
		Key:      deadlineKey,
		Refuse:   refuseHopeless,
		Late:     refuseLate,
		Place:    placeByForecast,
		Priority: prioritySlack,
	}
}

// goal returns the time from arrival within which the request is to start.
func (it *item) goal() time.Duration {
	t := it.Target
	switch {
	case t.FirstToken > 0:
		return t.FirstToken
	case t.Completion > 0:
		return t.Completion
	}
	return patientGoal
}

func (it *item) urgent() bool { return it.Target.FirstToken > 0 && it.Target.FirstToken <= urgentGoal }

// deadlineKey orders by the deadline, which moves back for a workspace that
// asks for more than its share.
func deadlineKey(s *Scheduler, now time.Time, it *item) time.Time {
	survival := s.lengths.Survival(it.group())
	it.work = survival.Mean(1)
	f := s.fairness(it.Model)
	behind := f.charge(now, it.Workspace, it.work)
	f.asked.add(now, it.work)
	if it.urgent() {
		f.urgent.add(now, it.work)
	}
	return it.Arrived.Add(it.goal()).Add(behind)
}

// ahead returns the number of waiting requests that go before this one.
func (s *Scheduler) ahead(it *item) int {
	i, _ := slices.BinarySearchFunc(s.waiting[it.Model], it, compareItems)
	return i
}

// refuseHopeless refuses a request whose wait would be longer than its target.
func refuseHopeless(s *Scheduler, now time.Time, it *item) (time.Duration, bool) {
	if it.goal() == patientGoal || s.expectedWait(now, it) <= it.goal() {
		return 0, false
	}
	return s.comeBack(now, it), true
}

// refuseLate refuses a request whose first token can no longer come in time.
func refuseLate(s *Scheduler, now time.Time, it *item) (time.Duration, bool) {
	if it.Target.FirstToken == 0 || now.Sub(it.Arrived) < it.Target.FirstToken {
		return 0, false
	}
	return s.comeBack(now, it), true
}

// Priorities at engines: a class with a first-token target goes before one
// without.
const (
	priorityUrgent  = 0
	priorityStream  = 1
	priorityPatient = 2
)

func prioritySlack(s *Scheduler, now time.Time, it *item) int {
	switch {
	case it.urgent():
		return priorityUrgent
	case it.Target.FirstToken > 0 || it.Target.TokenGap > 0:
		return priorityStream
	}
	return priorityPatient
}

func placeByForecast(s *Scheduler, now time.Time, it *item) *engine {
	s.estimate(it)
	if e := s.cheapest(now, it, true); e != nil {
		return e
	}
	if !s.maySpill(now, it) {
		return nil
	}
	return s.cheapest(now, it, false)
}

// maySpill reports whether a request may go to another failure domain: when
// the own one has no engine for it, or when it is urgent and has waited for
// half its time.
func (s *Scheduler) maySpill(now time.Time, it *item) bool {
	if s.opts.Domain == "" {
		return false
	}
	if it.urgent() && now.Sub(it.Arrived) > it.goal()/2 {
		return true
	}
	for _, e := range s.byModel[it.Model] {
		if s.isNear(e) && e.usable(it) {
			return false
		}
	}
	return true
}

func (s *Scheduler) isNear(e *engine) bool {
	return s.opts.Domain == "" || e.info.Domain == s.opts.Domain
}

// cheapest returns the engine that a request costs least, of the own failure
// domain or of the others.
func (s *Scheduler) cheapest(now time.Time, it *item, near bool) *engine {
	var best *engine
	var least float64
	for _, e := range s.draw(s.byModel[it.Model]) {
		if s.isNear(e) != near {
			continue
		}
		cost, ok := s.cost(now, it, e)
		if ok && (best == nil || cost < least) {
			best, least = e, cost
		}
	}
	return best
}

// draw returns the engines to look at.
func (s *Scheduler) draw(list []*engine) []*engine {
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

// cost returns what it costs to place the request at an engine, or false if
// it must not go there now.
func (s *Scheduler) cost(now time.Time, it *item, e *engine) (float64, bool) {
	if !e.usable(it) || !e.open(now, len(e.own)) {
		return 0, false
	}
	e.refresh(s, now)
	batch := len(e.own) + e.others.Running
	if !s.gapHolds(it, e, batch) {
		return 0, false
	}
	share := memoryShare
	if !it.urgent() || !s.isNear(e) {
		share -= s.fairness(it.Model).reserve(now)
	}
	memory := float64(e.info.MemoryTokens) * share * s.opts.Share
	peak := e.Peak(it.usage, memory, margin)
	// An idle engine takes what no forecast allows, or it would wait forever.
	if peak > 1 && batch > 0 {
		return 0, false
	}
	cost := peak + float64(e.prefill)*prefillCost
	if e.prefixes.cached(now, it.Prefix) {
		cost -= prefixGain
	}
	return cost, true
}

// gapHolds reports whether a decode step stays within the tightest token gap
// with one more answer in the batch.
func (s *Scheduler) gapHolds(it *item, e *engine, batch int) bool {
	gap := tighter(e.gap, it.Target.TokenGap)
	if gap == 0 || batch < minBatch {
		return true
	}
	memory := e.held + e.others.MemoryUsed + it.PromptTokens
	step := e.step.Predict(int(float64(batch+1)/s.opts.Share), int(float64(memory)/s.opts.Share))
	return float64(step) <= gapShare*float64(gap)
}
