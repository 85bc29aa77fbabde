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

// engine is one simulated engine in virtual time.
type engine struct {
	number int
	// epoch increases at each start of the engine.
	epoch uint64
	up    bool
	sim   *model.Engine
	// calls holds the calls at the engine by attempt ID.
	calls map[string]*call
	// stepping is set while a step of the engine is scheduled.
	stepping    bool
	frozenUntil time.Time
	leaving     bool
}

func (e *engine) id() string { return fmt.Sprintf("e%d", e.number) }

// backendInfo returns what the engine announces about itself.
func (r *replayer) backendInfo(e *engine) member.Backend {
	return member.Backend{
		ID: e.id(), Kind: spec.KindEngine, Model: r.Mix.Model, Epoch: e.epoch, Leaving: e.leaving,
		MemoryTokens: e.sim.Params().MemoryTokens,
	}
}

func (r *replayer) addEngine(number int) {
	e := &engine{number: number}
	r.engines = append(r.engines, e)
	r.startEngine(e)
	// The load reports of different engines are spread over the interval.
	r.after(time.Duration(number)*r.Interval/time.Duration(r.Mix.Engines), func() { r.reportLoad(e) })
}

// startEngine starts an engine, or restarts it with an empty memory.
func (r *replayer) startEngine(e *engine) {
	e.epoch++
	e.up = true
	e.leaving = false
	e.sim = model.New(r.Params)
	e.calls = map[string]*call{}
	r.announce(e)
}

// announce sends the engine's announcement to all schedulers, without latency.
func (r *replayer) announce(e *engine) {
	info := r.backendInfo(e)
	for _, s := range r.schedulers() {
		s.UpdateBackend(r.now, info)
	}
}

func (r *replayer) engineByID(id string) *engine {
	for _, e := range r.engines {
		if e.id() == id {
			return e
		}
	}
	return nil
}

// wakeEngine starts the engine's steps if the engine is up and no step is
// scheduled.
func (r *replayer) wakeEngine(e *engine) {
	if e.stepping || !e.up {
		return
	}
	e.stepping = true
	r.stepEngine(e)
}

// stepEngine runs one step, delivers its tokens when the step ends, and continues
// until the engine is idle. While the engine is frozen it waits.
func (r *replayer) stepEngine(e *engine) {
	if r.now.Before(e.frozenUntil) {
		r.after(e.frozenUntil.Sub(r.now), func() { r.stepEngine(e) })
		return
	}
	sim := e.sim
	d, tokens := sim.Step()
	if d == 0 {
		e.stepping = false
		return
	}
	r.after(d, func() {
		if e.sim != sim || !e.up {
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
			r.deliverToken(c, t)
		}
		r.stepEngine(e)
	})
}

// reportLoad sends the engine's load and cache events to the schedulers, which
// receive them Lag and one hop later. It schedules the next report. An engine
// that is down or frozen sends nothing.
func (r *replayer) reportLoad(e *engine) {
	r.after(r.Interval, func() { r.reportLoad(e) })
	if !e.up || r.now.Before(e.frozenUntil) {
		return
	}
	l := e.sim.Load()
	load := member.Load{Running: l.Running, Waiting: l.Waiting, MemoryUsed: l.MemoryUsed, Preemptions: l.Preemptions, StepTime: l.Step}
	epoch := e.epoch
	cacheEvents := e.sim.CacheEvents()
	r.after(r.Lag+hopLatency, func() {
		if e.epoch != epoch {
			return
		}
		for _, s := range r.schedulers() {
			s.UpdateLoad(r.now, e.id(), load, r.Lag)
			for i, c := range cacheEvents {
				// Cache events are lossy: every fourth one is dropped.
				if i%4 != 3 {
					s.UpdatePrefixCache(r.now, e.id(), c.Prefix, c.Stored)
				}
			}
			r.poll(s)
		}
	})
}

// injectFault applies a fault of the trace. An engine that is reclaimed is leaving
// for the fault's duration, and is then stopped for the same duration.
func (r *replayer) injectFault(f record.Fault) {
	duration := time.Duration(f.DurationMS * float64(time.Millisecond))
	if f.Kind == record.FaultCoordinator {
		r.stopSharedScheduler()
		return
	}
	e := r.engines[f.Engine%len(r.engines)]
	switch f.Kind {
	case record.FaultDie:
		r.stopEngine(e, duration)
	case record.FaultReclaim:
		e.leaving = true
		e.sim.Drain()
		r.announce(e)
		r.after(duration, func() { r.stopEngine(e, duration) })
	case record.FaultFreeze:
		r.freezeEngine(e, duration)
	}
}

// stopEngine stops an engine at once and fails its calls. The schedulers remove it
// when its lease expires. It starts again after downtime, or one second after its
// lease expires if that is later.
func (r *replayer) stopEngine(e *engine, downtime time.Duration) {
	if !e.up {
		return
	}
	r.result.Preemptions += e.sim.Load().Preemptions
	e.up = false
	e.stepping = false
	r.failCalls(e)
	epoch := e.epoch
	r.after(backendLease, func() {
		if e.epoch == epoch {
			for _, s := range r.schedulers() {
				s.RemoveBackend(r.now, e.id())
			}
		}
	})
	r.after(max(downtime, backendLease+time.Second), func() { r.startEngine(e) })
}

// failCalls fails the current attempts of all calls at an engine.
func (r *replayer) failCalls(e *engine) {
	for _, c := range r.sortedCalls(e) {
		r.failAttempt(c, sched.Failed, e.id())
	}
	e.calls = map[string]*call{}
}

// sortedCalls returns the engine's calls sorted by ID, so that a replay is
// deterministic.
func (r *replayer) sortedCalls(e *engine) []*call {
	var out []*call
	for id := uint64(1); id <= r.nextID; id++ {
		if c := r.calls[id]; c != nil && c.engine == e {
			out = append(out, c)
		}
	}
	return out
}

// freezeEngine stops the engine's steps and load reports for the duration. If that
// is longer than lossTimeout, the engine's calls fail after lossTimeout.
func (r *replayer) freezeEngine(e *engine, duration time.Duration) {
	e.frozenUntil = r.now.Add(duration)
	if duration <= lossTimeout {
		return
	}
	sim := e.sim
	r.after(lossTimeout, func() {
		if e.sim != sim {
			return
		}
		for _, c := range r.sortedCalls(e) {
			sim.Cancel(c.attemptID())
			r.failAttempt(c, sched.Failed, e.id())
		}
		e.calls = map[string]*call{}
	})
}

// stopSharedScheduler stops the VM that schedules for all entry VMs, if there is
// one. Each entry VM uses its local scheduler until another VM takes over after
// takeoverDelay.
func (r *replayer) stopSharedScheduler() {
	if r.shared == nil {
		return
	}
	r.shared = nil
	for _, e := range r.entries {
		e.local = r.newScheduler(sched.Options{SampleSize: 2, Random: e.random})
	}
	r.takeOverCalls()
	r.after(takeoverDelay, func() {
		r.shared = r.newScheduler(sched.Options{})
		r.takeOverCalls()
	})
}

// takeOverCalls passes every call to the scheduler that is now responsible for it.
// Calls that have no engine are submitted again.
func (r *replayer) takeOverCalls() {
	for id := uint64(1); id <= r.nextID; id++ {
		c := r.calls[id]
		if c == nil {
			continue
		}
		if c.engine == nil {
			r.submit(c)
			continue
		}
		c.scheduler, c.schedulerLatency = r.schedulerFor(c.entry)
		c.scheduler.TakeOver(r.now, c.request, c.engine.id(), c.generated)
	}
}
