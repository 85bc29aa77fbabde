package replay

import (
	"fmt"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/model"
)

// engine is one stand-in engine in virtual time.
type engine struct {
	number int
	epoch  uint64
	up     bool
	model  *model.Engine
	calls  map[string]*call
	// stepping is set while a step is on the queue.
	stepping bool
	frozen   time.Time
	leaving  bool
}

func (e *engine) id() string { return fmt.Sprintf("e%d", e.number) }

func (r *run) info(e *engine) member.Backend {
	return member.Backend{
		ID: e.id(), Kind: spec.KindEngine, Model: r.Mix.Model, Epoch: e.epoch, Leaving: e.leaving,
		MemoryTokens: e.model.Params().MemoryTokens,
	}
}

func (r *run) addEngine(number int) {
	e := &engine{number: number}
	r.engines = append(r.engines, e)
	r.boot(e)
	// Reports of different engines do not come at once.
	r.after(time.Duration(number)*r.Interval/time.Duration(r.Mix.Engines), func() { r.report(e) })
}

func (r *run) boot(e *engine) {
	e.epoch++
	e.up = true
	e.leaving = false
	e.model = model.New(r.Params)
	e.calls = map[string]*call{}
	r.tellAll(e)
}

func (r *run) tellAll(e *engine) {
	info := r.info(e)
	for _, s := range r.scheds() {
		s.UpdateBackend(r.now, info)
	}
}

func (r *run) engineByID(id string) *engine {
	for _, e := range r.engines {
		if e.id() == id {
			return e
		}
	}
	return nil
}

// wake starts the engine's steps if none is under way.
func (r *run) wake(e *engine) {
	if e.stepping || !e.up {
		return
	}
	e.stepping = true
	r.step(e)
}

func (r *run) step(e *engine) {
	if r.now.Before(e.frozen) {
		r.after(e.frozen.Sub(r.now), func() { r.step(e) })
		return
	}
	m := e.model
	d, tokens := m.Step()
	if d == 0 {
		e.stepping = false
		return
	}
	r.after(d, func() {
		if e.model != m || !e.up {
			return
		}
		for _, t := range tokens {
			c := e.calls[t.ID]
			if c == nil {
				continue
			}
			if t.Last {
				delete(e.calls, t.ID)
			}
			r.token(c, t)
		}
		r.step(e)
	})
}

// report sends the engine's load to the schedulers, late.
func (r *run) report(e *engine) {
	r.after(r.Interval, func() { r.report(e) })
	if !e.up || r.now.Before(e.frozen) {
		return
	}
	l := e.model.Load()
	load := member.Load{Running: l.Running, Waiting: l.Waiting, MemoryUsed: l.MemoryUsed, Preemptions: l.Preemptions, StepTime: l.Step}
	epoch := e.epoch
	cached := e.model.CacheEvents()
	r.after(r.Lag+hop, func() {
		if e.epoch != epoch {
			return
		}
		for _, s := range r.scheds() {
			s.UpdateLoad(r.now, e.id(), load, r.Lag)
			for i, c := range cached {
				// Cache events have gaps: each fourth one is lost.
				if i%4 != 3 {
					s.UpdatePrefixCache(r.now, e.id(), c.Prefix, c.Stored)
				}
			}
			r.poll(s)
		}
	})
}

func (r *run) fault(f record.Fault) {
	last := time.Duration(f.DurationMS * float64(time.Millisecond))
	if f.Kind == record.FaultCoordinator {
		r.loseSteward()
		return
	}
	e := r.engines[f.Engine%len(r.engines)]
	switch f.Kind {
	case record.FaultDie:
		r.die(e, last)
	case record.FaultReclaim:
		e.leaving = true
		e.model.Drain()
		r.tellAll(e)
		r.after(last, func() { r.die(e, last) })
	case record.FaultFreeze:
		r.freeze(e, last)
	}
}

// die ends an engine; another one takes its place after a while.
func (r *run) die(e *engine, replaced time.Duration) {
	if !e.up {
		return
	}
	r.result.Preemptions += e.model.Load().Preemptions
	e.up = false
	e.stepping = false
	r.dropCalls(e)
	epoch := e.epoch
	r.after(leaseEnd, func() {
		if e.epoch == epoch {
			for _, s := range r.scheds() {
				s.RemoveBackend(r.now, e.id())
			}
		}
	})
	r.after(max(replaced, leaseEnd+time.Second), func() { r.boot(e) })
}

func (r *run) dropCalls(e *engine) {
	for _, c := range r.sortedCalls(e) {
		r.lost(c, sched.Failed, e.id())
	}
	e.calls = map[string]*call{}
}

// sortedCalls returns the engine's calls in order, so that a run is the same
// each time.
func (r *run) sortedCalls(e *engine) []*call {
	var out []*call
	for id := uint64(1); id <= r.nextID; id++ {
		if c := r.calls[id]; c != nil && c.engine == e {
			out = append(out, c)
		}
	}
	return out
}

// freeze stops an engine. If it lasts, its calls are given up.
func (r *run) freeze(e *engine, last time.Duration) {
	e.frozen = r.now.Add(last)
	if last <= lossNoticed {
		return
	}
	m := e.model
	r.after(lossNoticed, func() {
		if e.model != m {
			return
		}
		for _, c := range r.sortedCalls(e) {
			m.Cancel(c.name())
			r.lost(c, sched.Failed, e.id())
		}
		e.calls = map[string]*call{}
	})
}

// loseSteward ends the VM that schedules for all. Until another one has taken
// over, each entry schedules by itself.
func (r *run) loseSteward() {
	if r.steward == nil {
		return
	}
	r.steward = nil
	for _, e := range r.entries {
		e.own = r.newSched(sched.Options{SampleSize: 2, Random: e.random})
	}
	r.handOver()
	r.after(takeover, func() {
		r.steward = r.newSched(sched.Options{})
		r.handOver()
	})
}

// handOver tells the schedulers now in charge of all calls.
func (r *run) handOver() {
	for id := uint64(1); id <= r.nextID; id++ {
		c := r.calls[id]
		if c == nil {
			continue
		}
		if c.engine == nil {
			r.submit(c)
			continue
		}
		c.sched, c.way = r.schedOf(c.entry)
		c.sched.TakeOver(r.now, c.request, c.engine.id(), c.generated)
	}
}
