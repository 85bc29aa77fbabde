// Package replay runs a trace in virtual time against the scheduler and simulated
// engines. It is deterministic: the same scenario always has the same result.
package replay

import (
	"math/rand/v2"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/timer"
	"fuchsiafold.example/foldfake/mix"
	"fuchsiafold.example/foldfake/model"
)

// Mode says how several entry VMs share the engines.
type Mode string

const (
	// ModeSingleScheduler schedules all requests at one VM. The other entry VMs
	// send their requests to it.
	ModeSingleScheduler Mode = "scheduler"
	// ModeTwoChoices schedules at each entry VM, by the load reports, which arrive
	// late, and the VM's local requests. For each request it considers two random
	// engines.
	ModeTwoChoices Mode = "choices"
	// ModeBestOfAll is like ModeTwoChoices, but considers all engines.
	ModeBestOfAll Mode = "best"
	// ModeSplit schedules at each entry VM, which may use an equal share of each
	// engine.
	ModeSplit Mode = "split"
)

// Scenario is the input of one replay.
type Scenario struct {
	Mix    mix.Mix
	Params model.Params
	Trace  []record.Line
	Policy string
	// SecondPolicy, if set, is the policy for every second request. Policy is the
	// one for the others.
	SecondPolicy string
	Mode         Mode
	// Interval is the time between an engine's load reports, 500 ms if zero. Lag
	// is the age of a load report.
	Interval time.Duration
	Lag      time.Duration
	// Seed seeds the choice of the entry VM for each request, and of the engines
	// that a scheduler considers in ModeTwoChoices.
	Seed uint64
}

// Constants of the simulated system.
const (
	// hopLatency is the one-way latency between two VMs, or between a VM and an
	// engine.
	hopLatency = 500 * time.Microsecond
	// tickInterval is the time between two regular polls of the schedulers.
	tickInterval    = 20 * time.Millisecond
	defaultInterval = 500 * time.Millisecond
	// lossTimeout is the time until the calls at a frozen engine fail.
	lossTimeout = 5 * time.Second
	// backendLease is the time until the schedulers remove a stopped engine.
	backendLease = member.DefaultLease
	// takeoverDelay is the time until another VM takes over as the shared
	// scheduler.
	takeoverDelay = 3 * time.Second
	// finishTimeout is the time that requests have to end after the last line of
	// the trace.
	finishTimeout = 30 * time.Minute
	// maxAttempts is the maximum number of attempts of one call.
	maxAttempts = 4
)

// replayer is the state of a replay in progress.
type replayer struct {
	Scenario
	now     time.Time
	start   time.Time
	timers  timer.Service
	random  *rand.Rand
	engines []*engine
	entries []*entry
	// shared is the scheduler for all entry VMs in ModeSingleScheduler. It is nil
	// in the other modes and after a fault until another VM takes over.
	shared *sched.Scheduler
	// calls holds the calls that have not ended, by ID.
	calls map[uint64]*call
	// nextID is the ID of the last call created.
	nextID uint64
	// unfinished counts the trace's requests that have not ended, including those
	// that have not arrived.
	unfinished int
	result     *Result
	// deadline is the time at which the replay stops even if requests are
	// unfinished.
	deadline time.Time
}

// entry is one entry VM. Its local scheduler serves it while there is no shared
// scheduler.
type entry struct {
	number int
	local  *sched.Scheduler
	random *rand.Rand
}

// Run replays a scenario and returns what was measured.
func Run(s Scenario) *Result {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	r := &replayer{
		Scenario: s,
		start:    time.Unix(0, 0),
		now:      time.Unix(0, 0),
		random:   rand.New(rand.NewPCG(s.Seed, 11)),
		calls:    map[uint64]*call{},
		result:   newResult(s),
	}
	for i := range s.Mix.Engines {
		r.addEngine(i)
	}
	for i := range s.Mix.Entries {
		r.entries = append(r.entries, r.newEntry(i))
	}
	if s.Mode == ModeSingleScheduler {
		r.shared = r.newScheduler(sched.Options{})
	}
	r.scheduleTrace()
	r.after(tickInterval, r.tick)
	for !r.isOver() {
		r.now, _ = r.timers.Next()
		r.timers.Advance(r.now)
	}
	r.addFinalCounts()
	return r.result
}

// isOver reports whether all requests have ended and the trace's last line has
// passed, or whether the deadline has passed.
func (r *replayer) isOver() bool {
	arrived := r.now.After(r.deadline.Add(-finishTimeout))
	return r.unfinished == 0 && arrived || r.now.After(r.deadline)
}

func (r *replayer) newEntry(i int) *entry {
	e := &entry{number: i, random: rand.New(rand.NewPCG(r.Seed, uint64(100+i)))}
	e.local = r.newScheduler(r.entryOptions(e))
	return e
}

// entryOptions returns the options of an entry VM's local scheduler. In
// ModeSingleScheduler that scheduler is never used: stopSharedScheduler replaces it
// by one with the same options.
func (r *replayer) entryOptions(e *entry) sched.Options {
	switch r.Mode {
	case ModeSplit:
		return sched.Options{Share: 1 / float64(r.Mix.Entries)}
	case ModeBestOfAll:
		return sched.Options{}
	}
	return sched.Options{SampleSize: 2, Random: e.random}
}

// newScheduler returns a scheduler to which the engines that are up have been
// added.
func (r *replayer) newScheduler(o sched.Options) *sched.Scheduler {
	s := sched.New(o)
	for _, e := range r.engines {
		if e.up {
			s.UpdateBackend(r.now, r.backendInfo(e))
		}
	}
	return s
}

// after schedules a call of f in d of virtual time.
func (r *replayer) after(d time.Duration, f func()) {
	r.timers.At(r.now.Add(d), func(time.Time) { f() })
}

// scheduleTrace schedules the trace's arrivals and faults, and sets the deadline.
func (r *replayer) scheduleTrace() {
	var lastAt time.Duration
	for _, l := range r.Trace {
		at := time.Duration(l.AtMS * float64(time.Millisecond))
		lastAt = max(lastAt, at)
		if l.Arrival != nil {
			a := *l.Arrival
			r.after(at, func() { r.startCall(a) })
			r.unfinished++
			continue
		}
		f := *l.Fault
		r.after(at, func() { r.injectFault(f) })
	}
	r.deadline = r.start.Add(lastAt + finishTimeout)
	r.result.LastArrival = lastAt
}

// schedulers returns the schedulers in use: the shared one, or the entry VMs'
// local ones if there is none.
func (r *replayer) schedulers() []*sched.Scheduler {
	if r.shared != nil {
		return []*sched.Scheduler{r.shared}
	}
	var out []*sched.Scheduler
	for _, e := range r.entries {
		out = append(out, e.local)
	}
	return out
}

// tick polls the schedulers at regular intervals.
func (r *replayer) tick() {
	for _, s := range r.schedulers() {
		r.poll(s)
	}
	r.after(tickInterval, r.tick)
}

// schedulerFor returns the scheduler for an entry VM's requests and the one-way
// latency to it. The shared scheduler runs on entry VM 0.
func (r *replayer) schedulerFor(e *entry) (*sched.Scheduler, time.Duration) {
	if r.shared == nil {
		return e.local, 0
	}
	if e.number == 0 {
		return r.shared, 0
	}
	return r.shared, hopLatency
}

// poll asks a scheduler for its decisions and carries them out.
func (r *replayer) poll(s *sched.Scheduler) {
	dispatches, refusals := s.Poll(r.now)
	for _, d := range dispatches {
		c := r.calls[d.Request.ID]
		latency := c.schedulerLatency + hopLatency
		r.after(latency, func() { r.startAttempt(c, d) })
	}
	for _, f := range refusals {
		c := r.calls[f.Request.ID]
		delete(r.calls, f.Request.ID)
		r.unfinished--
		r.result.recordRefusal(c, r.now, f)
	}
}

func targetOf(c spec.Class) sched.Target {
	return sched.Target{
		FirstToken: time.Duration(c.Target.FirstToken),
		TokenGap:   time.Duration(c.Target.TokenGap),
		Completion: time.Duration(c.Target.Completion),
	}
}
