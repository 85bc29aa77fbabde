package sched

import (
	"math"
	"time"

	"fuchsiafold.example/fold/learn"
)

// horizons are the numbers of steps ahead at which the memory in use is
// forecast.
var horizons = [...]int{0, 32, 64, 128, 256, 512, 1024, 2048, 4096}

// usage is a forecast of the memory in use at each horizon: its mean and its
// variance, in tokens.
type usage struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// addItem adds one answer: it holds its memory and one token more a step,
// until it ends.
func (u *usage) addItem(held, generated int, s *learn.Survival) {
	for i, k := range horizons {
		p := s.Beyond(generated, generated+k)
		size := float64(held + k)
		u.mean[i] += p * size
		u.variance[i] += p * (1 - p) * size * size
	}
}

// peak returns the highest share of a memory that two forecasts together
// reach, with a margin of so many standard deviations. Once a share is above
// 1, the rest is not looked at.
func (u *usage) peak(o *usage, memory, margin float64) float64 {
	most := 0.0
	for i := range horizons {
		need := u.mean[i] + o.mean[i] + margin*math.Sqrt(u.variance[i]+o.variance[i])
		most = max(most, need)
		if most > memory {
			break
		}
	}
	return most / memory
}

// forecast keeps an engine's usage. It is made anew once it is old.
type forecast struct {
	usage
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
	for i := range horizons {
		f.mean[i] += it.usage.mean[i]
		f.variance[i] += it.usage.variance[i]
	}
}

// othersAge is the length that others' answers are taken to have reached.
const othersAge = 64

// refresh makes the forecast anew if it is old.
func (e *engine) refresh(s *Sched, now time.Time) {
	f := &e.forecast
	if f.valid && now.Sub(f.made) < forecastLife {
		return
	}
	f.usage = usage{}
	e.gap = 0
	for _, it := range e.own {
		e.gap = tighter(e.gap, it.Target.TokenGap)
		f.addItem(it.Prompt+it.generated, it.generated, s.lengths.Survival(it.group()))
	}
	if n := e.others.Running; n > 0 {
		survival := s.lengths.Survival(learn.Group{Model: e.info.Model})
		each := e.others.MemoryUsed / n
		for range n {
			f.addItem(each, othersAge, survival)
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
func (s *Sched) estimate(it *item) {
	if it.usage != nil {
		return
	}
	it.usage = new(usage)
	it.usage.addItem(it.Prompt, 0, s.lengths.Survival(it.group()))
}
