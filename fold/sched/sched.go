// Package sched decides when each request is sent, to which backend server
// and with which priority, or that it is refused. It is one state machine
// without input or output: events and times go in, dispatches and refusals
// come out of Poll.
package sched

import (
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/usage"
)

// Target is what a request's class is promised. Zero fields promise nothing.
type Target struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	Completion time.Duration
}

// Request is one request for a generation.
type Request struct {
	ID        uint64
	Workspace string
	Class     string
	Model     string
	Target    Target
	// PromptTokens is the size of the prompt in tokens.
	PromptTokens int
	// Prefix names the beginning that the prompt shares with others.
	Prefix       string
	PrefixTokens int
	// MaxTokens is the caller's own limit; zero means none.
	MaxTokens int
	Arrived   time.Time
	// Policy names the policy that decides on this request.
	Policy string
	// Avoid lists backend servers that failed this request.
	Avoid []string
	// Admitted is set for a request that was accepted before, such as a
	// restarted or a durable one: it is never refused.
	Admitted bool
}

// Dispatch says that a request goes to a backend server now.
type Dispatch struct {
	Request  *Request
	Backend  string
	Priority int
}

// Reason says why a request is refused.
type Reason int

// The reasons.
const (
	// ReasonNoBackend: no backend server for the model is present.
	ReasonNoBackend Reason = iota
	// ReasonOverload: the request can't be served within its target.
	ReasonOverload
	// ReasonQueueFull: too many requests wait.
	ReasonQueueFull
	// ReasonTooLarge: the prompt fits no present backend server.
	ReasonTooLarge
)

var reasonNames = [...]string{"noBackend", "overload", "queueFull", "tooLarge"}

func (r Reason) String() string { return reasonNames[r] }

// Refusal says that a request is not run, why, and when to come back.
type Refusal struct {
	Request    *Request
	Reason     Reason
	RetryAfter time.Duration
}

// Result says how a dispatched request ended at its backend server.
type Result int

// The results.
const (
	// Completed: the generation ended by itself.
	Completed Result = iota
	// Cancelled: the caller left.
	Cancelled
	// Failed: the backend server failed the request.
	Failed
	// Rejected: the backend server had no room for it.
	Rejected
)

// MaxQueued bounds the requests that wait in one Sched.
const MaxQueued = 20_000

// item is a request with what the scheduler knows of it.
type item struct {
	*Request
	// key orders the queue; the earliest goes first.
	key time.Time
	// engine is nil exactly while the request waits.
	engine *engine
	// generated counts the tokens seen so far.
	generated  int
	priority   int
	dispatched time.Time
	lastToken  time.Time
	// usage is the forecast of the request's memory, nil for policies that
	// make none.
	usage *usage.Forecast
	// work is the expected size of the request in tokens.
	work float64
}

// Options describes a Sched. The zero value is a scheduler that has all its
// backend servers to itself.
type Options struct {
	// Domain is the own failure domain, whose backend servers go first.
	Domain string
	// Share is the part of each backend server that the scheduler may use;
	// zero means all of it.
	Share float64
	// SampleSize is the number of backend servers that are looked at, drawn at
	// random; zero looks at all.
	SampleSize int
	// Random draws them. It is set if Choices is.
	Random *rand.Rand
}

// Scheduler is the scheduler of one VM. Make it with New. It is not safe for
// concurrent use.
type Scheduler struct {
	opts Options
	// lengths is what is learned of the lengths of answers.
	lengths learn.Lengths
	// fair holds the fairness between workspaces for each model, starts the
	// rate of dispatches.
	fair     map[string]*fairness
	starts   map[string]*rate
	policies map[string]*Policy
	engines  map[string]*engine
	// byModel lists the engines of each model, ordered by ID.
	byModel map[string][]*engine
	// waiting holds the queue of each model, ordered by key.
	waiting map[string][]*item
	items   map[uint64]*item
	queued  int
	// dirty lists models whose queues may move.
	dirty    map[string]bool
	retried  time.Time
	refusals []Refusal
}

// New returns a scheduler without backend servers.
func New(o Options) *Scheduler {
	if o.Share == 0 {
		o.Share = 1
	}
	return &Scheduler{
		opts:     o,
		fair:     map[string]*fairness{},
		starts:   map[string]*rate{},
		policies: Policies(),
		engines:  map[string]*engine{},
		byModel:  map[string][]*engine{},
		waiting:  map[string][]*item{},
		items:    map[uint64]*item{},
		dirty:    map[string]bool{},
	}
}

// UpdateBackend takes a new or changed backend server.
func (s *Scheduler) UpdateBackend(now time.Time, b member.Backend) {
	e := s.engines[b.ID]
	if e != nil && (e.info.Epoch != b.Epoch || e.info.Model != b.Model) {
		s.RemoveBackend(now, b.ID)
		e = nil
	}
	if e == nil {
		e = newEngine(now, b)
		s.engines[b.ID] = e
		s.index(e)
	}
	e.info = b
	s.dirty[b.Model] = true
}

func (s *Scheduler) index(e *engine) {
	list := append(s.byModel[e.info.Model], e)
	slices.SortFunc(list, func(a, b *engine) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	s.byModel[e.info.Model] = list
}

// RemoveBackend drops a backend server. Its requests stay the caller's to finish.
func (s *Scheduler) RemoveBackend(now time.Time, id string) {
	e := s.engines[id]
	if e == nil {
		return
	}
	delete(s.engines, id)
	m := e.info.Model
	s.byModel[m] = slices.DeleteFunc(s.byModel[m], func(x *engine) bool { return x == e })
	s.dirty[m] = true
}

// UpdateLoad takes a backend server's account of its work, which describes it as
// it was lag ago.
func (s *Scheduler) UpdateLoad(now time.Time, id string, l member.Load, lag time.Duration) {
	e := s.engines[id]
	if e == nil {
		return
	}
	e.report(now, l, lag)
	s.dirty[e.info.Model] = true
}

// Submit queues a request.
func (s *Scheduler) Submit(now time.Time, r *Request) {
	it := &item{Request: r}
	if s.queued >= MaxQueued && !r.Admitted {
		s.refuse(it, ReasonQueueFull, s.comeBack(now, it))
		return
	}
	if reason, ok := s.hopeless(r); ok {
		s.refuse(it, reason, time.Second)
		return
	}
	p := s.policy(r)
	it.key = p.Key(s, now, it)
	if after, refused := p.Refuse(s, now, it); refused && !r.Admitted {
		s.refuse(it, ReasonOverload, after)
		return
	}
	s.enqueue(it)
}

func (s *Scheduler) hopeless(r *Request) (Reason, bool) {
	list := s.byModel[r.Model]
	if len(list) == 0 {
		return ReasonNoBackend, true
	}
	for _, e := range list {
		if r.PromptTokens < e.info.MemoryTokens {
			return 0, false
		}
	}
	return ReasonTooLarge, true
}

func (s *Scheduler) policy(r *Request) *Policy {
	if p := s.policies[r.Policy]; p != nil {
		return p
	}
	return s.policies[DefaultPolicy]
}

func (s *Scheduler) refuse(it *item, reason Reason, after time.Duration) {
	s.refusals = append(s.refusals, Refusal{Request: it.Request, Reason: reason, RetryAfter: after})
}

func (s *Scheduler) enqueue(it *item) {
	q := s.waiting[it.Model]
	i, _ := slices.BinarySearchFunc(q, it, compareItems)
	s.waiting[it.Model] = slices.Insert(q, i, it)
	s.items[it.ID] = it
	s.queued++
	s.dirty[it.Model] = true
}

func compareItems(a, b *item) int {
	if c := a.key.Compare(b.key); c != 0 {
		return c
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

func (s *Scheduler) dequeue(it *item) {
	q := s.waiting[it.Model]
	i := slices.Index(q, it)
	s.waiting[it.Model] = slices.Delete(q, i, i+1)
	s.queued--
}

// Cancel drops a request that waits. A dispatched one is ended by Finish.
func (s *Scheduler) Cancel(now time.Time, id uint64) {
	it := s.items[id]
	if it == nil || it.engine != nil {
		return
	}
	s.dequeue(it)
	delete(s.items, id)
}

// Progress says that a dispatched request has generated so many tokens.
func (s *Scheduler) Progress(now time.Time, id uint64, generated int) {
	it := s.items[id]
	if it == nil || it.engine == nil || generated <= it.generated {
		return
	}
	s.lengths.Progress(it.group(), it.generated, generated)
	s.fairness(it.Model).served.add(now, float64(generated-it.generated))
	if it.generated == 0 {
		it.engine.firstToken(it)
	}
	it.engine.progress(now, it, generated)
}

func (s *Scheduler) fairness(model string) *fairness {
	f := s.fair[model]
	if f == nil {
		f = &fairness{}
		s.fair[model] = f
	}
	return f
}

func (s *Scheduler) startRate(model string) *rate {
	r := s.starts[model]
	if r == nil {
		r = &rate{}
		s.starts[model] = r
	}
	return r
}

// UpdatePrefixCache takes a backend server's word that a prefix entered or left its
// cache.
func (s *Scheduler) UpdatePrefixCache(now time.Time, id, prefix string, stored bool) {
	e := s.engines[id]
	if e == nil {
		return
	}
	if stored {
		e.prefixes.assume(now, prefix)
		return
	}
	e.prefixes.evicted(prefix)
}

// Finish ends a dispatched request.
func (s *Scheduler) Finish(now time.Time, id uint64, r Result) {
	it := s.items[id]
	if it == nil || it.engine == nil {
		return
	}
	delete(s.items, id)
	if r == Completed {
		s.lengths.End(it.group(), it.generated)
	}
	it.engine.finish(now, it, r)
	s.dirty[it.Model] = true
}

// Queued returns the number of requests that wait, by class.
func (s *Scheduler) Queued() map[string]int {
	out := map[string]int{}
	for _, it := range s.items {
		if it.engine == nil {
			out[it.Class]++
		}
	}
	return out
}

// Running returns the number of requests at backend servers, by class.
func (s *Scheduler) Running() map[string]int {
	out := map[string]int{}
	for _, it := range s.items {
		if it.engine != nil {
			out[it.Class]++
		}
	}
	return out
}

// TakeOver takes over a request that another scheduler has dispatched.
func (s *Scheduler) TakeOver(now time.Time, r *Request, backend string, generated int) {
	e := s.engines[backend]
	if e == nil || s.items[r.ID] != nil {
		return
	}
	it := &item{Request: r}
	s.items[r.ID] = it
	e.start(now, it)
	if generated > 0 {
		e.firstToken(it)
		e.progress(now, it, generated)
	}
}
