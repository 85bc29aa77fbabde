// Package replay runs a trace in virtual time against the scheduler core and
// the stand-in engines' model. The same scenario has the same result each
// time.
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

// Mode is the way in which several entry VMs share the engines.
type Mode string

// The modes.
const (
	// ModeSingleScheduler: one VM schedules for all; the others ask it.
	ModeSingleScheduler Mode = "steward"
	// ModeTwoChoices: each VM schedules by late reports and its own requests, and
	// looks at two engines at random.
	ModeTwoChoices Mode = "choices"
	// ModeBestOfAll: like Choices, but each VM looks at all engines.
	ModeBestOfAll Mode = "best"
	// ModeSplit: each VM may use an even part of each engine.
	ModeSplit Mode = "split"
)

// Scenario is one run.
type Scenario struct {
	Mix    mix.Mix
	Params model.Params
	Trace  []record.Line
	Policy string
	// SecondPolicy, if set, is the policy of every second request.
	SecondPolicy string
	Mode         Mode
	// Interval is the time between load reports, Lag their age.
	Interval time.Duration
	Lag      time.Duration
	Seed     uint64
}

// Timing of the emulated system.
const (
	// hop is the one-way latency between VMs and to engines.
	hop             = 500 * time.Microsecond
	tickInterval    = 20 * time.Millisecond
	defaultInterval = 500 * time.Millisecond
	// lossNoticed is the time until a frozen engine counts as lost.
	lossNoticed = 5 * time.Second
	// leaseEnd is the time until a dead engine is forgotten.
	leaseEnd = member.DefaultLease
	// takeover is the time until another VM coordinates.
	takeover = 3 * time.Second
	// drainTime is the time after the last arrival for answers to end.
	drainTime   = 30 * time.Minute
	maxAttempts = 4
)

// run is a scenario in progress.
type run struct {
	Scenario
	now     time.Time
	start   time.Time
	timers  timer.Service
	random  *rand.Rand
	engines []*engine
	entries []*entry
	// steward is the scheduler that all entries ask, nil in other modes and
	// while there is none.
	steward *sched.Scheduler
	calls   map[uint64]*call
	nextID  uint64
	open    int
	result  *Result
	// ends is when the run stops at the latest.
	ends time.Time
}

// entry is one entry VM. Its own scheduler serves it while there is no
// steward.
type entry struct {
	number int
	own    *sched.Scheduler
	random *rand.Rand
}

// Run replays a scenario.
func Run(s Scenario) *Result {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	r := &run{
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
		r.steward = r.newSched(sched.Options{})
	}
	r.load()
	r.after(tickInterval, r.tick)
	for !r.over() {
		r.now, _ = r.timers.Next()
		r.timers.Advance(r.now)
	}
	r.finish()
	return r.result
}

// over reports whether every request has an end, or the run has lasted too
// long.
func (r *run) over() bool {
	arrived := r.now.After(r.ends.Add(-drainTime))
	return r.open == 0 && arrived || r.now.After(r.ends)
}

func (r *run) newEntry(i int) *entry {
	e := &entry{number: i, random: rand.New(rand.NewPCG(r.Seed, uint64(100+i)))}
	e.own = r.newSched(r.entryOptions(e))
	return e
}

func (r *run) entryOptions(e *entry) sched.Options {
	switch r.Mode {
	case ModeSplit:
		return sched.Options{Share: 1 / float64(r.Mix.Entries)}
	case ModeBestOfAll:
		return sched.Options{}
	}
	return sched.Options{SampleSize: 2, Random: e.random}
}

// newSched returns a scheduler that knows the engines that are up.
func (r *run) newSched(o sched.Options) *sched.Scheduler {
	s := sched.New(o)
	for _, e := range r.engines {
		if e.up {
			s.UpdateBackend(r.now, r.info(e))
		}
	}
	return s
}

func (r *run) after(d time.Duration, do func()) {
	r.timers.At(r.now.Add(d), func(time.Time) { do() })
}

// load puts the trace's lines on the queue.
func (r *run) load() {
	var last time.Duration
	for _, l := range r.Trace {
		at := time.Duration(l.AtMS * float64(time.Millisecond))
		last = max(last, at)
		if l.Arrival != nil {
			a := *l.Arrival
			r.after(at, func() { r.arrive(a) })
			r.open++
			continue
		}
		f := *l.Fault
		r.after(at, func() { r.fault(f) })
	}
	r.ends = r.start.Add(last + drainTime)
	r.result.LastArrival = last
}

// scheds returns every scheduler in use.
func (r *run) scheds() []*sched.Scheduler {
	if r.steward != nil {
		return []*sched.Scheduler{r.steward}
	}
	var out []*sched.Scheduler
	for _, e := range r.entries {
		out = append(out, e.own)
	}
	return out
}

func (r *run) tick() {
	for _, s := range r.scheds() {
		r.poll(s)
	}
	r.after(tickInterval, r.tick)
}

// schedOf returns the scheduler that decides for an entry, and the way to it.
func (r *run) schedOf(e *entry) (*sched.Scheduler, time.Duration) {
	if r.steward == nil {
		return e.own, 0
	}
	if e.number == 0 {
		return r.steward, 0
	}
	return r.steward, hop
}

// poll carries out what a scheduler decides.
func (r *run) poll(s *sched.Scheduler) {
	dispatches, refusals := s.Poll(r.now)
	for _, d := range dispatches {
		c := r.calls[d.Request.ID]
		way := c.way + hop
		r.after(way, func() { r.send(c, d) })
	}
	for _, f := range refusals {
		c := r.calls[f.Request.ID]
		delete(r.calls, f.Request.ID)
		r.open--
		r.result.refused(c, r.now, f)
	}
}

func targetOf(c spec.Class) sched.Target {
	return sched.Target{
		FirstToken: time.Duration(c.Target.FirstToken),
		TokenGap:   time.Duration(c.Target.TokenGap),
		Completion: time.Duration(c.Target.Completion),
	}
}
