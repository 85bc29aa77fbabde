package sched

import (
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/usage"
)

// forecast is the memory forecast of one engine. It is recomputed once it is
// older than forecastTTL or no longer valid.
type forecast struct {
	usage.Forecast
	valid      bool
	computedAt time.Time
}

// forecastTTL is how long a forecast is used before it is recomputed. Requests
// dispatched in the meantime are added to it.
const forecastTTL = 100 * time.Millisecond

// add adds the usage of a newly dispatched request. If that is not known, the
// forecast becomes invalid.
func (f *forecast) add(it *item) {
	if it.usage == nil {
		f.valid = false
		return
	}
	f.Merge(it.usage)
}

// assumedGenerated is the number of tokens that each request of other
// schedulers is assumed to have generated.
const assumedGenerated = 64

// refreshForecast recomputes the forecast and tightestGap if the forecast is
// invalid or expired. The memory used by other schedulers is split evenly
// between their requests.
func (e *engine) refreshForecast(s *Scheduler, now time.Time) {
	f := &e.forecast
	if f.valid && now.Sub(f.computedAt) < forecastTTL {
		return
	}
	f.Forecast = usage.Forecast{}
	e.tightestGap = 0
	for _, it := range e.localRequests {
		e.tightestGap = tighterGap(e.tightestGap, it.Target.TokenGap)
		f.Add(it.PromptTokens+it.generated, it.generated, 0, s.lengths.Survival(it.group()))
	}
	if n := e.otherLoad.Running; n > 0 {
		survival := s.lengths.Survival(learn.Group{Model: e.info.Model})
		perRequest := e.otherLoad.MemoryUsed / n
		for range n {
			f.Add(perRequest, assumedGenerated, 0, survival)
		}
	}
	f.valid = true
	f.computedAt = now
}

// tighterGap returns the smaller of two token-gap targets; zero means no
// target.
func tighterGap(a, b time.Duration) time.Duration {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

func (it *item) group() learn.Group {
	return learn.Group{Workspace: it.Workspace, Class: it.Class, Model: it.Model}
}

// estimateUsage computes the memory forecast of a request that is not
// dispatched yet. It does nothing if the request already has one.
func (s *Scheduler) estimateUsage(it *item) {
	if it.usage != nil {
		return
	}
	it.usage = new(usage.Forecast)
	it.usage.Add(it.PromptTokens, 0, 0, s.lengths.Survival(it.group()))
}
