package ticket

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/sched"
)

// Timing of a Desk.
const (
	// progressInterval is the time between two words on how far requests are;
	// they also tell the steward that the entry VM is there.
	progressInterval = 500 * time.Millisecond
	// rehomeInterval is the time between two looks for changed stewards.
	rehomeInterval = 100 * time.Millisecond
	// distrust is how long a steward that failed is not asked again.
	distrust = 2 * time.Second
)

// request is one request of the entry VM.
type request struct {
	*sched.Request
	// steward is what it was handed to, none for the own scheduler.
	steward SchedulerID
	// backend is empty exactly while the request waits.
	backend   string
	generated int
	// told is the progress that the steward knows.
	told int
}

// Client is the entry VM's side. Make it with NewDesk.
type Client struct {
	// Self names the entry VM and Epoch the start of its process.
	Self  string
	Epoch uint64
	// Local decides while there is no steward. Its backend servers are told to
	// it directly.
	Local *sched.Scheduler
	// SchedulerFor returns the process that schedules a model, if there is one.
	SchedulerFor func(model string) SchedulerID

	requests map[uint64]*request
	batches  map[SchedulerID]*Batch
	// distrusted holds until when a steward is not asked.
	distrusted map[SchedulerID]time.Time
	// resets holds the stewards to which a batch was lost and no later one has
	// been made.
	resets     map[SchedulerID]bool
	progressed time.Time
	rehomed    time.Time
}

// NewClient returns a desk without requests.
func NewClient(self string, epoch uint64, own *sched.Scheduler, steward func(model string) SchedulerID) *Client {
	return &Client{
		Self: self, Epoch: epoch, Local: own, SchedulerFor: steward,
		requests: map[uint64]*request{}, batches: map[SchedulerID]*Batch{}, distrusted: map[SchedulerID]time.Time{}, resets: map[SchedulerID]bool{},
	}
}

// Submit hands a request to its scheduler.
func (d *Client) Submit(now time.Time, r *sched.Request) {
	q := &request{Request: r, steward: d.choose(now, r.Model)}
	d.requests[r.ID] = q
	d.submit(now, q)
}

func (d *Client) submit(now time.Time, q *request) {
	if q.steward == (SchedulerID{}) {
		d.Local.Submit(now, q.Request)
		return
	}
	b := d.batch(q.steward)
	b.Submits = append(b.Submits, q.Request)
}

// choose returns the steward of a model, none if it is not to be trusted.
func (d *Client) choose(now time.Time, model string) SchedulerID {
	s := d.SchedulerFor(model)
	if now.Before(d.distrusted[s]) {
		return SchedulerID{}
	}
	return s
}

func (d *Client) batch(steward SchedulerID) *Batch {
	b := d.batches[steward]
	if b == nil {
		b = &Batch{From: d.Self, Epoch: d.Epoch, Reset: d.resets[steward]}
		delete(d.resets, steward)
		d.batches[steward] = b
	}
	return b
}

// Cancel drops a request that waits, or whose decision is no longer wanted.
func (d *Client) Cancel(now time.Time, id uint64) {
	q := d.requests[id]
	if q == nil {
		return
	}
	delete(d.requests, id)
	if q.steward == (SchedulerID{}) {
		d.Local.Cancel(now, id)
		d.Local.Finish(now, id, sched.Cancelled)
		return
	}
	b := d.batch(q.steward)
	if i := slices.Index(b.Submits, q.Request); i >= 0 {
		b.Submits = slices.Delete(b.Submits, i, i+1)
		return
	}
	b.Cancels = append(b.Cancels, id)
}

// Progress says how far a dispatched request has come.
func (d *Client) Progress(now time.Time, id uint64, generated int) {
	q := d.requests[id]
	if q == nil {
		return
	}
	q.generated = generated
	if q.steward == (SchedulerID{}) {
		d.Local.Progress(now, id, generated)
	}
}

// Finish ends a dispatched request.
func (d *Client) Finish(now time.Time, id uint64, r sched.Result) {
	q := d.requests[id]
	if q == nil {
		return
	}
	delete(d.requests, id)
	if q.steward == (SchedulerID{}) {
		d.Local.Finish(now, id, r)
		return
	}
	b := d.batch(q.steward)
	b.Finishes = append(b.Finishes, Finish{ID: id, Generated: q.generated, Result: r})
}

// Poll returns what the own scheduler decides. It also moves requests whose
// steward has changed.
func (d *Client) Poll(now time.Time) []Decision {
	if now.Sub(d.rehomed) >= rehomeInterval {
		d.rehome(now)
	}
	dispatches, refusals := d.Local.Poll(now)
	var out []Decision
	for _, p := range dispatches {
		out = append(out, Decision{ID: p.Request.ID, Backend: p.Backend, Priority: p.Priority})
	}
	for _, r := range refusals {
		out = append(out, Decision{ID: r.Request.ID, Refused: true, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	return d.accept(out)
}

// ApplyDecisions takes a steward's decisions and returns those that still count.
func (d *Client) ApplyDecisions(now time.Time, steward SchedulerID, list []Decision) []Decision {
	var mine []Decision
	for _, x := range list {
		q := d.requests[x.ID]
		switch {
		case q != nil && q.steward == steward && q.backend == "":
			mine = append(mine, x)
		case q == nil && !x.Refused:
			// The request is gone; the steward must not count it on.
			b := d.batch(steward)
			b.Cancels = append(b.Cancels, x.ID)
		}
	}
	return d.accept(mine)
}

func (d *Client) accept(list []Decision) []Decision {
	for _, x := range list {
		if x.Refused {
			delete(d.requests, x.ID)
			continue
		}
		if q := d.requests[x.ID]; q != nil {
			q.backend = x.Backend
		}
	}
	return list
}

// SchedulerLost says that a steward can't be reached: its requests go to the own
// scheduler for a while.
func (d *Client) SchedulerLost(now time.Time, steward SchedulerID) {
	d.distrusted[steward] = now.Add(distrust)
	d.resets[steward] = true
	delete(d.batches, steward)
	d.rehome(now)
}

// rehome moves the requests whose steward is not the present one.
func (d *Client) rehome(now time.Time) {
	d.rehomed = now
	present := map[string]SchedulerID{}
	for _, id := range d.sortedIDs() {
		q := d.requests[id]
		s, ok := present[q.Model]
		if !ok {
			s = d.choose(now, q.Model)
			present[q.Model] = s
		}
		if q.steward != s {
			d.move(now, q, s)
		}
	}
}

func (d *Client) sortedIDs() []uint64 {
	ids := make([]uint64, 0, len(d.requests))
	for id := range d.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// move hands a request from one scheduler to another.
func (d *Client) move(now time.Time, q *request, to SchedulerID) {
	d.leave(now, q)
	q.steward = to
	q.told = q.generated
	if q.backend == "" {
		// It was accepted once and is not refused by another scheduler.
		r := *q.Request
		r.Admitted = true
		q.Request = &r
		d.submit(now, q)
		return
	}
	if to == (SchedulerID{}) {
		d.Local.TakeOver(now, q.Request, q.backend, q.generated)
		return
	}
	b := d.batch(to)
	b.Takeovers = append(b.Takeovers, Takeover{Request: q.Request, Backend: q.backend, Generated: q.generated})
}

func (d *Client) leave(now time.Time, q *request) {
	if q.steward == (SchedulerID{}) {
		d.Local.Cancel(now, q.ID)
		d.Local.Finish(now, q.ID, sched.Cancelled)
		return
	}
	if now.Before(d.distrusted[q.steward]) {
		return
	}
	b := d.batch(q.steward)
	b.Cancels = append(b.Cancels, q.ID)
}

// Outgoing returns what is to be told to each steward now. A batch may be
// empty.
func (d *Client) Outgoing(now time.Time) map[SchedulerID]*Batch {
	if now.Sub(d.progressed) >= progressInterval {
		d.progressed = now
		d.addProgress()
	}
	out := d.batches
	d.batches = map[SchedulerID]*Batch{}
	return out
}

func (d *Client) addProgress() {
	for _, id := range d.sortedIDs() {
		q := d.requests[id]
		if q.steward == (SchedulerID{}) {
			continue
		}
		b := d.batch(q.steward)
		if q.generated == q.told {
			continue
		}
		q.told = q.generated
		b.Progress = append(b.Progress, Progress{ID: id, Generated: q.generated})
	}
}

// Busy reports whether any request waits or runs.
func (d *Client) Busy() bool { return len(d.requests) > 0 || len(d.batches) > 0 }

// Counts returns the number of requests that wait and that run, by class.
func (d *Client) Counts() (queued, running map[string]int) {
	queued, running = map[string]int{}, map[string]int{}
	for _, q := range d.requests {
		if q.backend == "" {
			queued[q.Class]++
			continue
		}
		running[q.Class]++
	}
	return queued, running
}
