package replay

import (
	"fmt"
	"time"

	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/model"
)

// call is one request that has arrived. It may take several attempts, each at one
// engine.
type call struct {
	id        uint64
	arrival   record.Arrival
	class     spec.Class
	arrivedAt time.Time
	entry     *entry
	// scheduler is the scheduler that handles the call. schedulerLatency is the
	// one-way latency between the call's entry VM and the scheduler's VM.
	scheduler        *sched.Scheduler
	schedulerLatency time.Duration
	// arm is the index in Result.Arms: 1 for a call with SecondPolicy, 0 otherwise.
	arm      int
	request  *sched.Request
	engine   *engine
	attempts int
	// generated counts the tokens of the current attempt. delivered is the offset
	// of the last token received from an engine in any attempt. The caller receives
	// each token at once, or all at the end if the class is held until complete.
	generated    int
	delivered    int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	ended        bool
}

// attemptID returns the ID of the current attempt at an engine.
func (c *call) attemptID() string { return fmt.Sprintf("%d-%d", c.id, c.attempts) }

// startCall handles an arrival: it creates the call at a random entry VM and
// submits it.
func (r *replayer) startCall(a record.Arrival) {
	r.nextID++
	c := &call{
		id:        r.nextID,
		arrival:   a,
		class:     r.Mix.Class(a.Class),
		arrivedAt: r.now,
		entry:     r.entries[r.random.IntN(len(r.entries))],
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
	r.result.recordArrival(c)
	r.submit(c)
}

// submit sends a call to the scheduler of its entry VM. The scheduler receives it
// after the latency, unless another scheduler is responsible for the call by then.
func (r *replayer) submit(c *call) {
	r.calls[c.id] = c
	c.scheduler, c.schedulerLatency = r.schedulerFor(c.entry)
	s := c.scheduler
	r.after(c.schedulerLatency, func() {
		if c.scheduler != s {
			return
		}
		s.Submit(r.now, c.request)
		r.poll(s)
	})
}

// startAttempt starts the next attempt of a call at the engine that the scheduler
// chose. The attempt fails if the engine is down or rejects the call.
func (r *replayer) startAttempt(c *call, d sched.Dispatch) {
	e := r.engineByID(d.Backend)
	c.attempts++
	c.generated = 0
	if e == nil || !e.up {
		r.failAttempt(c, sched.Failed, d.Backend)
		return
	}
	c.engine = e
	err := e.sim.Submit(model.Request{
		ID: c.attemptID(), PromptTokens: c.arrival.PromptTokens, Length: c.arrival.GeneratedTokens, Priority: d.Priority,
		Prefix: c.arrival.Prefix, PrefixTokens: c.arrival.PrefixTokens,
	})
	if err != nil {
		c.engine = nil
		r.failAttempt(c, sched.Rejected, d.Backend)
		return
	}
	e.calls[c.attemptID()] = c
	r.wakeEngine(e)
}

// failAttempt ends an attempt without a complete answer. It retries the call,
// unless its caller has received tokens that can't be taken back or the attempts
// are used up.
func (r *replayer) failAttempt(c *call, result sched.Result, backend string) {
	c.engine = nil
	c.scheduler.Finish(r.now, c.id, result)
	if c.delivered > 0 && !c.class.HoldUntilComplete() {
		r.endCall(c)
		r.result.recordInterruption(c)
		return
	}
	if c.attempts >= maxAttempts {
		r.endCall(c)
		r.result.recordFailure(c)
		return
	}
	r.result.recordRestart(c)
	retry := *c.request
	retry.Avoid = append(append([]string(nil), retry.Avoid...), backend)
	retry.Admitted = true
	c.request = &retry
	r.submit(c)
}

// endCall removes a call that has ended.
func (r *replayer) endCall(c *call) {
	c.ended = true
	delete(r.calls, c.id)
	r.unfinished--
}

// deliverToken handles one generated token of a call, and ends the call after its
// last token.
func (r *replayer) deliverToken(c *call, t model.Token) {
	c.generated = t.Offset
	c.scheduler.Progress(r.now, c.id, t.Offset)
	r.result.recordToken(c, r.now)
	c.lastTokenAt = r.now
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = r.now
	}
	c.delivered = t.Offset
	if !t.Last {
		return
	}
	c.scheduler.Finish(r.now, c.id, sched.Completed)
	r.endCall(c)
	r.result.recordCompletion(c, r.now)
	r.poll(c.scheduler)
}
