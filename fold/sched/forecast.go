package sched

import (
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/usage"
)

// forecast keeps an engine's usage. It is made anew once it is old.
type forecast struct {
	usage.Forecast
	valid bool
	made  time.Time
}

// forecastLife is how long a forecast is used; meanwhile dispatched requests
// are added to it.
const forecastLife = 100 * time.Millisecond

// add counts a request that has just been placed.
func (f *forecast) add(it *item) {
	if it.usage == nil {
		f.valid = false
		return
	}
	f.Merge(it.usage)
}

// othersAge is the length that others' answers are taken to have reached.
const othersAge = 64

// refresh makes the forecast anew if it is old.
func (e *engine) refresh(s *Scheduler, now time.Time) {
	f := &e.forecast
	if f.valid && now.Sub(f.made) < forecastLife {
		return
	}
	f.Forecast = usage.Forecast{}
	e.gap = 0
	for _, it := range e.own {
		e.gap = tighter(e.gap, it.Target.TokenGap)
		f.Add(it.PromptTokens+it.generated, it.generated, 0, s.lengths.Survival(it.group()))
	}
	if n := e.others.Running; n > 0 {
		survival := s.lengths.Survival(learn.Group{Model: e.info.Model})
		each := e.others.MemoryUsed / n
		for range n {
			f.Add(each, othersAge, 0, survival)
		}
	}
	f.valid = true
	f.made = now
}

// tighter returns the smaller of two targets, of which zero means none.
func tighter(a, b time.Duration) time.Duration {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

func (it *item) group() learn.Group {
	return learn.Group{Workspace: it.Workspace, Class: it.Class, Model: it.Model}
}

// estimate makes the forecast of a request that is not placed yet.
func (s *Scheduler) estimate(it *item) {
	if it.usage != nil {
		return
	}
	it.usage = new(usage.Forecast)
	it.usage.Add(it.PromptTokens, 0, 0, s.lengths.Survival(it.group()))
}
