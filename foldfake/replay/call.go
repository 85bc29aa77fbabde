package replay

import (
	"fmt"
	"time"

	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/model"
)

// call is one request on its way.
type call struct {
	id      uint64
	arrival record.Arrival
	class   spec.Class
	arrived time.Time
	entry   *entry
	// sched decided on the call, way is the latency to it.
	sched *sched.Scheduler
	way   time.Duration
	// arm is 1 for a call of the second policy.
	arm      int
	request  *sched.Request
	engine   *engine
	attempts int
	// generated counts the tokens of the present generation, delivered those
	// that the caller has.
	generated int
	delivered int
	first     time.Time
	last      time.Time
	ended     bool
}

func (c *call) name() string { return fmt.Sprintf("%d-%d", c.id, c.attempts) }

func (r *run) arrive(a record.Arrival) {
	r.nextID++
	c := &call{
		id:      r.nextID,
		arrival: a,
		class:   r.Mix.Class(a.Class),
		arrived: r.now,
		entry:   r.entries[r.random.IntN(len(r.entries))],
	}
	policy := r.Policy
	if r.SecondPolicy != "" && c.id%2 == 0 {
		policy, c.arm = r.SecondPolicy, 1
	}
	c.request = &sched.Request{
		ID:           c.id,
		Workspace:    a.Workspace,
		Class:        a.Class,
		Model:        a.Model,
		Target:       targetOf(c.class),
		PromptTokens: a.PromptTokens,
		Prefix:       a.Prefix,
		PrefixTokens: a.PrefixTokens,
		Arrived:      r.now,
		Policy:       policy,
	}
	r.result.arrived(c)
	r.submit(c)
}

func (r *run) submit(c *call) {
	r.calls[c.id] = c
	c.sched, c.way = r.schedOf(c.entry)
	s := c.sched
	r.after(c.way, func() {
		if c.sched != s {
			return
		}
		s.Submit(r.now, c.request)
		r.poll(s)
	})
}

// send hands a dispatched call to its engine.
func (r *run) send(c *call, d sched.Dispatch) {
	e := r.engineByID(d.Backend)
	c.attempts++
	c.generated = 0
	if e == nil || !e.up {
		r.lost(c, sched.Failed, d.Backend)
		return
	}
	c.engine = e
	err := e.model.Submit(model.Request{
		ID: c.name(), PromptTokens: c.arrival.PromptTokens, Length: c.arrival.GeneratedTokens, Priority: d.Priority,
		Prefix: c.arrival.Prefix, PrefixTokens: c.arrival.PrefixTokens,
	})
	if err != nil {
		c.engine = nil
		r.lost(c, sched.Rejected, d.Backend)
		return
	}
	e.calls[c.name()] = c
	r.wake(e)
}

// lost ends an attempt that gave no whole answer.
func (r *run) lost(c *call, result sched.Result, backend string) {
	c.engine = nil
	c.sched.Finish(r.now, c.id, result)
	if c.delivered > 0 && !c.class.HoldUntilComplete() {
		r.end(c)
		r.result.interrupted(c)
		return
	}
	if c.attempts >= maxAttempts {
		r.end(c)
		r.result.failed(c)
		return
	}
	r.result.restarted(c)
	again := *c.request
	again.Avoid = append(append([]string(nil), again.Avoid...), backend)
	again.Admitted = true
	c.request = &again
	r.submit(c)
}

func (r *run) end(c *call) {
	c.ended = true
	delete(r.calls, c.id)
	r.open--
}

// token takes one token of a call's generation.
func (r *run) token(c *call, t model.Token) {
	c.generated = t.Offset
	c.sched.Progress(r.now, c.id, t.Offset)
	r.result.token(c, r.now)
	c.last = r.now
	if c.first.IsZero() {
		c.first = r.now
	}
	c.delivered = t.Offset
	if !t.Last {
		return
	}
	c.sched.Finish(r.now, c.id, sched.Completed)
	r.end(c)
	r.result.completed(c, r.now)
	r.poll(c.sched)
}
