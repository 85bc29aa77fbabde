package ticket

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/sched"
)

// Timing of a Client.
const (
	// progressInterval is the time between two progress reports to a scheduler.
	// They also serve as heartbeats of the entry VM.
	progressInterval = 500 * time.Millisecond
	// reassignInterval is the time between two checks for changed schedulers.
	reassignInterval = 100 * time.Millisecond
	// schedulerBackoff is how long a scheduler is not used after it could not
	// be reached.
	schedulerBackoff = 2 * time.Second
)

// request is one request of the entry VM.
type request struct {
	*sched.Request
	// scheduler is the process to which the request was submitted; zero means
	// the local scheduler.
	scheduler SchedulerID
	// backend is empty exactly while the request waits.
	backend   string
	generated int
	// reported is the value of generated that was last sent to the scheduler.
	reported int
}

// Client is the entry VM's side: it submits each request to the scheduler of
// its model. Create it with NewClient. It is not safe for concurrent use.
type Client struct {
	// Self is the ID of the entry VM and Epoch the start of its process.
	Self  string
	Epoch uint64
	// Local schedules the requests of models that have no scheduler or whose
	// scheduler is backed off. Backend server updates are passed to it
	// directly, not through the Client.
	Local *sched.Scheduler
	// SchedulerFor returns the process that schedules a model, or zero if there
	// is none.
	SchedulerFor func(model string) SchedulerID

	requests map[uint64]*request
	batches  map[SchedulerID]*Batch
	// backoffUntil holds the time until which a scheduler is not used.
	backoffUntil map[SchedulerID]time.Time
	// pendingResets holds the schedulers to which a batch was lost. The next
	// batch for each has Reset set.
	pendingResets map[SchedulerID]bool
	lastProgress  time.Time
	lastReassign  time.Time
}

// NewClient returns a client without requests.
func NewClient(self string, epoch uint64, local *sched.Scheduler, schedulerFor func(model string) SchedulerID) *Client {
	return &Client{
		Self: self, Epoch: epoch, Local: local, SchedulerFor: schedulerFor,
		requests: map[uint64]*request{}, batches: map[SchedulerID]*Batch{}, backoffUntil: map[SchedulerID]time.Time{}, pendingResets: map[SchedulerID]bool{},
	}
}

// Submit submits a request to the scheduler of its model.
func (c *Client) Submit(now time.Time, r *sched.Request) {
	q := &request{Request: r, scheduler: c.chooseScheduler(now, r.Model)}
	c.requests[r.ID] = q
	c.submit(now, q)
}

func (c *Client) submit(now time.Time, q *request) {
	if q.scheduler == (SchedulerID{}) {
		c.Local.Submit(now, q.Request)
		return
	}
	b := c.batch(q.scheduler)
	b.Submits = append(b.Submits, q.Request)
}

// chooseScheduler returns the scheduler of a model, or zero if there is none or
// it is backed off.
func (c *Client) chooseScheduler(now time.Time, model string) SchedulerID {
	s := c.SchedulerFor(model)
	if now.Before(c.backoffUntil[s]) {
		return SchedulerID{}
	}
	return s
}

func (c *Client) batch(scheduler SchedulerID) *Batch {
	b := c.batches[scheduler]
	if b == nil {
		b = &Batch{From: c.Self, Epoch: c.Epoch, Reset: c.pendingResets[scheduler]}
		delete(c.pendingResets, scheduler)
		c.batches[scheduler] = b
	}
	return b
}

// Cancel removes a request, whether it waits or has been dispatched.
func (c *Client) Cancel(now time.Time, id uint64) {
	q := c.requests[id]
	if q == nil {
		return
	}
	delete(c.requests, id)
	if q.scheduler == (SchedulerID{}) {
		c.Local.Cancel(now, id)
		c.Local.Finish(now, id, sched.Cancelled)
		return
	}
	b := c.batch(q.scheduler)
	if i := slices.Index(b.Submits, q.Request); i >= 0 {
		b.Submits = slices.Delete(b.Submits, i, i+1)
		return
	}
	b.Cancels = append(b.Cancels, id)
}

// Progress records the total number of tokens that a dispatched request has
// generated.
func (c *Client) Progress(now time.Time, id uint64, generated int) {
	q := c.requests[id]
	if q == nil {
		return
	}
	q.generated = generated
	if q.scheduler == (SchedulerID{}) {
		c.Local.Progress(now, id, generated)
	}
}

// Finish ends a dispatched request with its result.
func (c *Client) Finish(now time.Time, id uint64, r sched.Result) {
	q := c.requests[id]
	if q == nil {
		return
	}
	delete(c.requests, id)
	if q.scheduler == (SchedulerID{}) {
		c.Local.Finish(now, id, r)
		return
	}
	b := c.batch(q.scheduler)
	b.Finishes = append(b.Finishes, Finish{ID: id, Generated: q.generated, Result: r})
}

// Poll returns the decisions of the local scheduler. It also moves requests
// whose scheduler has changed.
func (c *Client) Poll(now time.Time) []Decision {
	if now.Sub(c.lastReassign) >= reassignInterval {
		c.reassign(now)
	}
	dispatches, refusals := c.Local.Poll(now)
	var out []Decision
	for _, p := range dispatches {
		out = append(out, Decision{ID: p.Request.ID, Backend: p.Backend, Priority: p.Priority})
	}
	for _, r := range refusals {
		out = append(out, Decision{ID: r.Request.ID, Refused: true, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	return c.recordDecisions(out)
}

// ApplyDecisions applies the decisions of a scheduler and returns those that
// are still valid: the request is still assigned to this scheduler and waits.
func (c *Client) ApplyDecisions(now time.Time, scheduler SchedulerID, list []Decision) []Decision {
	var current []Decision
	for _, x := range list {
		q := c.requests[x.ID]
		switch {
		case q != nil && q.scheduler == scheduler && q.backend == "":
			current = append(current, x)
		case q == nil && !x.Refused:
			// The request no longer exists here. Cancel it, so that the
			// scheduler stops counting it.
			b := c.batch(scheduler)
			b.Cancels = append(b.Cancels, x.ID)
		}
	}
	return c.recordDecisions(current)
}

func (c *Client) recordDecisions(list []Decision) []Decision {
	for _, x := range list {
		if x.Refused {
			delete(c.requests, x.ID)
			continue
		}
		if q := c.requests[x.ID]; q != nil {
			q.backend = x.Backend
		}
	}
	return list
}

// SchedulerLost records that a scheduler could not be reached. It is backed
// off, and its requests move to a new scheduler of their model or, while there
// is none, to the local one.
func (c *Client) SchedulerLost(now time.Time, scheduler SchedulerID) {
	c.backoffUntil[scheduler] = now.Add(schedulerBackoff)
	c.pendingResets[scheduler] = true
	delete(c.batches, scheduler)
	c.reassign(now)
}

// reassign moves the requests whose scheduler has changed.
func (c *Client) reassign(now time.Time) {
	c.lastReassign = now
	current := map[string]SchedulerID{}
	for _, id := range c.sortedIDs() {
		q := c.requests[id]
		s, ok := current[q.Model]
		if !ok {
			s = c.chooseScheduler(now, q.Model)
			current[q.Model] = s
		}
		if q.scheduler != s {
			c.move(now, q, s)
		}
	}
}

func (c *Client) sortedIDs() []uint64 {
	ids := make([]uint64, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// move moves a request from its scheduler to another one.
func (c *Client) move(now time.Time, q *request, to SchedulerID) {
	c.withdraw(now, q)
	q.scheduler = to
	q.reported = q.generated
	if q.backend == "" {
		// The request has been accepted before, so another scheduler must not
		// refuse it.
		r := *q.Request
		r.Admitted = true
		q.Request = &r
		c.submit(now, q)
		return
	}
	if to == (SchedulerID{}) {
		c.Local.TakeOver(now, q.Request, q.backend, q.generated)
		return
	}
	b := c.batch(to)
	b.Takeovers = append(b.Takeovers, Takeover{Request: q.Request, Backend: q.backend, Generated: q.generated})
}

// withdraw ends a request at its scheduler. It does nothing for a scheduler that
// is backed off, because the next batch for it has Reset set.
func (c *Client) withdraw(now time.Time, q *request) {
	if q.scheduler == (SchedulerID{}) {
		c.Local.Cancel(now, q.ID)
		c.Local.Finish(now, q.ID, sched.Cancelled)
		return
	}
	if now.Before(c.backoffUntil[q.scheduler]) {
		return
	}
	b := c.batch(q.scheduler)
	b.Cancels = append(b.Cancels, q.ID)
}

// Outgoing returns the batches to send now, by scheduler. A batch may be empty;
// it then serves as a heartbeat.
func (c *Client) Outgoing(now time.Time) map[SchedulerID]*Batch {
	if now.Sub(c.lastProgress) >= progressInterval {
		c.lastProgress = now
		c.addProgress()
	}
	out := c.batches
	c.batches = map[SchedulerID]*Batch{}
	return out
}

func (c *Client) addProgress() {
	for _, id := range c.sortedIDs() {
		q := c.requests[id]
		if q.scheduler == (SchedulerID{}) {
			continue
		}
		b := c.batch(q.scheduler)
		if q.generated == q.reported {
			continue
		}
		q.reported = q.generated
		b.Progress = append(b.Progress, Progress{ID: id, Generated: q.generated})
	}
}

// Busy reports whether any request waits or runs, or any batch is to be sent.
func (c *Client) Busy() bool { return len(c.requests) > 0 || len(c.batches) > 0 }

// Counts returns the number of requests that wait and that run, by class.
func (c *Client) Counts() (queued, running map[string]int) {
	queued, running = map[string]int{}, map[string]int{}
	for _, q := range c.requests {
		if q.backend == "" {
			queued[q.Class]++
			continue
		}
		running[q.Class]++
	}
	return queued, running
}
