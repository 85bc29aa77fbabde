// Package sched schedules requests: it decides when each request is sent, to
// which backend server and with which priority, or that it is refused. All
// backend servers of this package are engines, that is, they generate tokens. A
// scheduler refuses a request; a backend server rejects one that was sent to it.
//
// A Scheduler is a deterministic state machine that does no I/O and reads no
// clock: events and their times are passed to its methods, and Poll returns
// dispatches and refusals.
package sched

import (
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/usage"
)

// Target holds the latency targets of a request's class. A zero field means no
// target.
type Target struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	Completion time.Duration
}

// Request is a request for one generation.
type Request struct {
	ID        uint64
	Workspace string
	Class     string
	Model     string
	Target    Target
	// PromptTokens is the size of the prompt in tokens.
	PromptTokens int
	// Prefix identifies the beginning of the prompt that other prompts share;
	// empty means none. PrefixTokens is its size in tokens.
	Prefix       string
	PrefixTokens int
	// MaxTokens is the caller's limit on generated tokens; zero means none.
	MaxTokens int
	Arrived   time.Time
	// Policy names the policy that applies to this request.
	Policy string
	// Avoid lists the IDs of backend servers that failed this request. They get
	// it again only if no other server is usable for it.
	Avoid []string
	// Admitted is set for a request that was accepted before, such as a
	// restarted or a durable one. It is never refused for overload or a full
	// queue, only if no backend server can take it.
	Admitted bool
}

// Dispatch is the decision to send a request to a backend server now.
type Dispatch struct {
	Request  *Request
	Backend  string
	Priority int
}

// Reason is the reason for which a request is refused.
type Reason int

const (
	// ReasonNoBackend means that no backend server for the model is live, or that all are
	// leaving or evacuated.
	ReasonNoBackend Reason = iota
	// ReasonOverload means that the request can't be served within its target.
	ReasonOverload
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull
	// ReasonTooLarge means that the prompt fits no live backend server.
	ReasonTooLarge
)

var reasonNames = [...]string{"noBackend", "overload", "queueFull", "tooLarge"}

func (r Reason) String() string { return reasonNames[r] }

// Refusal is the decision not to run a request. RetryAfter is the time after
// which the caller may retry.
type Refusal struct {
	Request    *Request
	Reason     Reason
	RetryAfter time.Duration
}

// Result is how a dispatched request ended at its backend server.
type Result int

const (
	// Completed means that the generation ended normally.
	Completed Result = iota
	// Cancelled means that the caller disconnected, or that the request moved
	// to another scheduler.
	Cancelled
	// Failed means that the backend server failed the request.
	Failed
	// Rejected means that the backend server had no capacity for the request.
	Rejected
)

// MaxQueued is the number of waiting requests at which a Scheduler refuses new
// ones. Admitted requests are queued even then.
const MaxQueued = 20_000

// item is a request with the scheduler's state for it.
type item struct {
	*Request
	// key is the position in the queue; the earliest goes first.
	key time.Time
	// engine is the backend server of a dispatched request. It is nil exactly
	// while the request waits.
	engine *engine
	// generated is the number of tokens generated so far.
	generated    int
	priority     int
	dispatchedAt time.Time
	lastTokenAt  time.Time
	// usage is the forecast of the request's memory. It is nil for policies
	// that don't use one.
	usage *usage.Forecast
	// work is the expected length of the answer in tokens.
	work float64
}

// Options configures a Scheduler. The zero value is for a scheduler that shares
// its backend servers with no other.
type Options struct {
	// Domain is the local failure domain, whose backend servers are preferred.
	// If it is empty, all servers count as local.
	Domain string
	// Share is the share of each backend server's capacity that the scheduler
	// may use; zero means all of it.
	Share float64
	// SampleSize is the number of backend servers, chosen at random, that are
	// compared for a placement; zero means all of them.
	SampleSize int
	// Random chooses the sample. It must be set if SampleSize is.
	Random *rand.Rand
}

// Scheduler schedules the requests of one VM, or of all entry VMs that share
// it. Create it with New. It is not safe for concurrent use.
type Scheduler struct {
	opts Options
	// lengths learns the distribution of answer lengths.
	lengths learn.Lengths
	// fairnessByModel holds the fairness between workspaces by model, dispatchRates the
	// rate of dispatches by model and failure domain.
	fairnessByModel map[string]*fairness
	dispatchRates   map[dispatchKey]*rate
	policies        map[string]*Policy
	engines         map[string]*engine
	// byModel lists the engines of each model, ordered by ID.
	byModel map[string][]*engine
	// waiting holds the queue of each model, ordered by key and ID.
	waiting map[string][]*item
	items   map[uint64]*item
	queued  int
	// dirty holds the models whose queues have to be examined at the next Poll.
	dirty map[string]bool
	// lastQueueCheck is when all waiting queues were last marked dirty.
	lastQueueCheck time.Time
	refusals       []Refusal
	// evacuations is the set of evacuated failure domains.
	evacuations evac.Set
}

// New returns a scheduler without backend servers.
func New(o Options) *Scheduler {
	if o.Share == 0 {
		o.Share = 1
	}
	return &Scheduler{
		opts:            o,
		fairnessByModel: map[string]*fairness{},
		dispatchRates:   map[dispatchKey]*rate{},
		policies:        Policies(),
		engines:         map[string]*engine{},
		byModel:         map[string][]*engine{},
		waiting:         map[string][]*item{},
		items:           map[uint64]*item{},
		dirty:           map[string]bool{},
	}
}

// UpdateBackend adds or updates a backend server. A server with a changed epoch
// or model replaces the earlier one.
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
	e.evacuated = s.evacuations.Has(b.Domain)
	s.dirty[b.Model] = true
}

// index adds an engine to byModel.
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

// RemoveBackend removes a backend server. The caller must still call Finish for
// the requests dispatched to it.
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

// UpdateLoad applies a load report of a backend server, which describes the
// server as it was lag before now.
func (s *Scheduler) UpdateLoad(now time.Time, id string, l member.Load, lag time.Duration) {
	e := s.engines[id]
	if e == nil {
		return
	}
	e.applyLoadReport(now, l, lag)
	s.dirty[e.info.Model] = true
}

// Submit queues a request, or refuses it with the next Poll. It is refused if
// no live backend server can take it, or, unless it is admitted, if the
// queue is full or its policy expects it to be late.
func (s *Scheduler) Submit(now time.Time, r *Request) {
	it := &item{Request: r}
	if s.queued >= MaxQueued && !r.Admitted {
		s.refuse(it, ReasonQueueFull, s.estimateRetryAfter(now, it))
		return
	}
	if reason, ok := s.unservable(r); ok {
		s.refuse(it, reason, time.Second)
		return
	}
	p := s.policy(r)
	it.key = p.Key(s, now, it)
	if retryAfter, refused := p.Refuse(s, now, it); refused && !r.Admitted {
		s.refuse(it, ReasonOverload, retryAfter)
		return
	}
	s.enqueue(it)
}

// unservable reports whether no live backend server that isn't leaving can take the
// request, and the reason.
func (s *Scheduler) unservable(r *Request) (Reason, bool) {
	reason := ReasonNoBackend
	for _, e := range s.byModel[r.Model] {
		if e.info.Leaving || e.evacuated {
			continue
		}
		if r.PromptTokens < e.info.MemoryTokens {
			return 0, false
		}
		reason = ReasonTooLarge
	}
	return reason, true
}

func (s *Scheduler) policy(r *Request) *Policy {
	if p := s.policies[r.Policy]; p != nil {
		return p
	}
	return s.policies[DefaultPolicy]
}

func (s *Scheduler) refuse(it *item, reason Reason, retryAfter time.Duration) {
	s.refusals = append(s.refusals, Refusal{Request: it.Request, Reason: reason, RetryAfter: retryAfter})
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

// Cancel removes a waiting request. A dispatched request is ended by Finish.
func (s *Scheduler) Cancel(now time.Time, id uint64) {
	it := s.items[id]
	if it == nil || it.engine != nil {
		return
	}
	s.dequeue(it)
	delete(s.items, id)
}

// Progress records the total number of tokens that a dispatched request has
// generated.
func (s *Scheduler) Progress(now time.Time, id uint64, generated int) {
	it := s.items[id]
	if it == nil || it.engine == nil || generated <= it.generated {
		return
	}
	s.lengths.Progress(it.group(), it.generated, generated)
	s.fairness(it.Model).served.add(now, float64(generated-it.generated))
	if it.generated == 0 {
		it.engine.recordFirstToken(it)
	}
	it.engine.recordProgress(now, it, generated)
}

func (s *Scheduler) fairness(model string) *fairness {
	f := s.fairnessByModel[model]
	if f == nil {
		f = &fairness{}
		s.fairnessByModel[model] = f
	}
	return f
}

// dispatchKey names a model and the failure domain of engines.
type dispatchKey struct{ model, domain string }

// recordDispatch counts a dispatch for the rate of its model and failure domain.
func (s *Scheduler) recordDispatch(now time.Time, key dispatchKey) {
	r := s.dispatchRates[key]
	if r == nil {
		r = &rate{}
		s.dispatchRates[key] = r
	}
	r.add(now, 1)
}

// dispatchesPerSecond returns the recent rate of dispatches of a model, without those to
// failure domains that are evacuated now.
func (s *Scheduler) dispatchesPerSecond(now time.Time, model string) float64 {
	sum := 0.0
	for key, r := range s.dispatchRates {
		if key.model == model && !s.evacuations.Has(key.domain) {
			sum += r.perSecond(now)
		}
	}
	return sum
}

// UpdatePrefixCache applies a backend server's report that a prefix was stored
// in or evicted from its cache.
func (s *Scheduler) UpdatePrefixCache(now time.Time, id, prefix string, stored bool) {
	e := s.engines[id]
	if e == nil {
		return
	}
	if stored {
		e.prefixCache.markCached(now, prefix)
		return
	}
	e.prefixCache.markEvicted(prefix)
}

// Finish ends a dispatched request with its result.
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

// Queued returns the number of waiting requests, by class.
func (s *Scheduler) Queued() map[string]int {
	out := map[string]int{}
	for _, it := range s.items {
		if it.engine == nil {
			out[it.Class]++
		}
	}
	return out
}

// Running returns the number of dispatched requests, by class.
func (s *Scheduler) Running() map[string]int {
	out := map[string]int{}
	for _, it := range s.items {
		if it.engine != nil {
			out[it.Class]++
		}
	}
	return out
}

// TakeOver adds a request that another scheduler has dispatched to a backend
// server and that has generated so many tokens. It does nothing if the server
// is unknown or the scheduler already has a request with the same ID.
func (s *Scheduler) TakeOver(now time.Time, r *Request, backend string, generated int) {
	e := s.engines[backend]
	if e == nil || s.items[r.ID] != nil {
		return
	}
	it := &item{Request: r}
	s.items[r.ID] = it
	e.start(now, it)
	if generated > 0 {
		e.recordFirstToken(it)
		e.recordProgress(now, it, generated)
	}
}
