package entry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/trial"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/trace"
)

// orphanWindow is how long an engine keeps a generation whose entry VM went
// away without a word, so that the caller can resume it at another one.
const orphanWindow = 15 * time.Second

// silenceLimit bounds the silence of an engine that still answers probes.
const silenceLimit = 2 * time.Minute

// errLeft marks a request whose caller is gone; it is not written to anybody.
var errLeft = &fault.Fault{Status: http.StatusRequestTimeout, Code: "callerLeft", Message: "the caller has left"}

// generation is one answer on its way to a caller.
type generation struct {
	entry   *Handler
	asker   asker
	class   spec.Class
	request completionRequest
	sched   sched.Request
	stream  deliv.Stream
	out     answer
	// sealed is the handle of the generation in progress.
	sealed string
	// attempts counts the generations begun for this answer.
	attempts int
	begun    time.Time
	last     time.Time
	// ended is the length of an answer that ended by itself.
	ended int
	// measured is what the request's policy is compared by.
	measured trial.Sample
}

func (e *Handler) newGeneration(w http.ResponseWriter, a asker, class spec.Class, streamed bool) *generation {
	g := &generation{entry: e, asker: a, class: class, begun: time.Now()}
	g.stream.HoldUntilComplete = class.HoldUntilComplete() || !streamed
	g.out = answer{w: w, caller: a.caller, streamed: streamed}
	return g
}

// run serves the answer from its first generation to its end.
func (g *generation) run(ctx context.Context) *fault.Fault {
	defer g.measure()
	for {
		v, fail := g.await(ctx)
		if fail != nil && g.out.taken && fail != errLeft {
			// An engine had begun an earlier attempt.
			fail.Outcome = retry.Interrupted
		}
		if fail != nil {
			return fail
		}
		step, fail := g.attempt(ctx, v.Backend, v.Addr, v.Priority)
		if fail != nil {
			return fail
		}
		if step.Action == deliv.Finish {
			return g.finish(step.Outcome)
		}
		if fail := g.pause(ctx, v.Backend); fail != nil {
			return fail
		}
	}
}

// pause waits before the answer is begun again elsewhere.
func (g *generation) pause(ctx context.Context, failed string) *fault.Fault {
	g.attempts++
	wait, ok := g.entry.Node.TakeRetry(g.attempts)
	if !ok {
		return notRunOrLost(g)
	}
	g.entry.Node.Count("restarts", 1)
	g.sched.Avoid = append(g.sched.Avoid, failed)
	g.sched.Admitted = true
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return errLeft
	}
}

// notRunOrLost is the end of an answer whose attempts are used up before the
// caller got a token. Only when no attempt was taken by an engine is it
// proved that nothing ran.
func notRunOrLost(g *generation) *fault.Fault {
	f := &fault.Fault{
		Status:     http.StatusBadGateway,
		Code:       fault.BackendFailed,
		Message:    "engines failed the request before its first token was delivered",
		Outcome:    retry.Interrupted,
		RetryAfter: time.Second,
	}
	if !g.out.taken {
		f.Outcome = retry.NotRun
		f.Status = http.StatusServiceUnavailable
	}
	return f
}

// attempt runs one generation at one engine. It returns Restart or Finish.
func (g *generation) attempt(ctx context.Context, backend string, addr netip.AddrPort, priority int) (deliv.Step, *fault.Fault) {
	ctx, span := trace.Start(ctx, "engine", attribute.String("backend", backend))
	defer span.End()
	n := g.entry.Node
	id := newGenerationID()
	g.stream.Begin(id)
	g.seal(backend, addr, id)
	s, sent, err := g.entry.Engines.Start(ctx, addr, g.engineRequest(id, priority))
	if err != nil {
		return g.failedStart(ctx, addr, id, sent, err)
	}
	g.out.taken = true
	step, fail := g.read(ctx, s, addr, id)
	switch {
	case fail != nil:
		n.Finish(g.sched.ID, sched.Cancelled)
	case step.Outcome == retry.Done:
		n.Finish(g.sched.ID, sched.Completed)
	default:
		n.Finish(g.sched.ID, sched.Failed)
	}
	return step, fail
}

func (g *generation) seal(backend string, addr netip.AddrPort, id string) {
	g.sealed = g.entry.key().Sign(handle.Handle{
		Backend:    backend,
		Addr:       addr,
		Generation: id,
		Workspace:  g.asker.workspace,
		Class:      g.class.Name,
		Expires:    time.Now().Add(time.Duration(g.entry.Node.Settings.Limits.HandleTTL)),
	})
}

// failedStart handles a generation that gave no stream.
func (g *generation) failedStart(ctx context.Context, addr netip.AddrPort, id string, sent bool, err error) (deliv.Step, *fault.Fault) {
	n := g.entry.Node
	if ctx.Err() != nil {
		n.Finish(g.sched.ID, sched.Cancelled)
		if sent {
			g.cancel(addr, id)
		}
		return deliv.Step{}, errLeft
	}
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		n.Finish(g.sched.ID, sched.Rejected)
		n.Count("engine.refused", 1)
		if refused.InvalidRequest {
			return deliv.Step{}, fault.NotRun(http.StatusBadRequest, fault.BadRequest, "the engine refused the request: "+refused.Reason)
		}
		return g.stream.GenerationLost(id), nil
	}
	n.Finish(g.sched.ID, sched.Failed)
	n.Count("engine.failedStarts", 1)
	if sent {
		g.out.taken = true
		g.cancel(addr, id)
	}
	return g.stream.GenerationLost(id), nil
}

// read delivers a generation until it ends, resuming it over new connections
// as often as the delivery allows.
func (g *generation) read(ctx context.Context, s *engine.Stream, addr netip.AddrPort, id string) (deliv.Step, *fault.Fault) {
	heard := time.Now()
	for {
		var step deliv.Step
		err := s.Events(func(ev engine.Event) bool {
			heard = time.Now()
			step = g.take(id, ev)
			g.deliver(step.Tokens)
			return step.Action == deliv.Continue && !g.asker.caller.Disconnected()
		})
		if step.Action == deliv.Finish {
			return step, nil
		}
		if ctx.Err() != nil || g.asker.caller.Disconnected() {
			g.left(addr, id)
			return deliv.Step{}, errLeft
		}
		if step.Action == deliv.Continue {
			step = g.broken(id, err, heard)
		}
		if s, step = g.reattach(ctx, addr, id, step); s == nil {
			return step, nil
		}
	}
}

func (g *generation) take(id string, ev engine.Event) deliv.Step {
	if ev.Ended {
		g.measured.Preemptions += ev.Preemptions
		return g.stream.End(id, ev.Total)
	}
	g.entry.Node.Progress(g.sched.ID, ev.Token.Offset)
	return g.stream.Token(id, ev.Token)
}

// broken decides what follows the end of a connection. A silent engine is
// probed by attaching again, which costs it nothing while it is alive.
func (g *generation) broken(id string, err error, heard time.Time) deliv.Step {
	if errors.Is(err, engine.ErrStalled) {
		g.entry.Node.Count("engine.stalls", 1)
		if time.Since(heard) < silenceLimit {
			return deliv.Step{Action: deliv.Resume, ResumeAfter: g.stream.ReceivedOffset()}
		}
		return g.stream.GenerationLost(id)
	}
	g.entry.Node.Count("engine.linksLost", 1)
	return g.stream.ConnectionLost(id)
}

// reattach opens a new connection to the generation while step asks for one.
// It returns nil with the step that ends the attempt.
func (g *generation) reattach(ctx context.Context, addr netip.AddrPort, id string, step deliv.Step) (*engine.Stream, deliv.Step) {
	for tries := 1; step.Action == deliv.Resume; tries++ {
		s, err := g.entry.Engines.Attach(ctx, addr, id, step.ResumeAfter)
		if err == nil {
			g.entry.Node.Count("engine.resumes", 1)
			return s, step
		}
		if ctx.Err() != nil {
			// The caller has left; read sees it on the next turn.
			return nil, deliv.Step{Action: deliv.Finish, Outcome: retry.Interrupted}
		}
		if errors.Is(err, engine.ErrNotFound) {
			return nil, g.stream.GenerationLost(id)
		}
		step = g.stream.ConnectionLost(id)
		if step.Action == deliv.Resume {
			sleep(ctx, retry.Backoff(tries, 0.5))
		}
	}
	if step.Action == deliv.Restart {
		g.cancel(addr, id)
	}
	return nil, step
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// left gives up a generation whose caller has gone: its memory is freed at
// once, unless its class lets the caller come back. When it is this VM that
// goes, its callers can resume at another one.
func (g *generation) left(addr netip.AddrPort, id string) {
	if g.entry.Node.Abandoned() {
		return
	}
	g.entry.Node.Count("callersLeft", 1)
	if g.class.ResumeWindow == 0 {
		g.cancel(addr, id)
	}
}

// cancelTries bounds the orders to drop one generation; after them its
// engine drops it at the end of the resume window.
const cancelTries = 3

// cancel drops a generation at its engine without waiting.
func (g *generation) cancel(addr netip.AddrPort, id string) {
	e := g.entry
	go func() {
		for try := range cancelTries {
			if err := e.Engines.Cancel(context.Background(), addr, id); err == nil {
				e.Node.Count("engine.cancels", 1)
				return
			}
			time.Sleep(retry.Backoff(try+1, 0.5))
		}
		e.Node.Count("engine.cancelsFailed", 1)
	}()
}

func (g *generation) deliver(tokens []deliv.Token) {
	if len(tokens) == 0 {
		return
	}
	now := time.Now()
	target := g.class.Target
	if g.last.IsZero() {
		g.measured.FirstToken = now.Sub(g.begun)
		g.entry.Node.Observe("firstToken."+g.class.Name, g.measured.FirstToken)
		g.stall(g.measured.FirstToken, time.Duration(target.FirstToken))
	} else {
		gap := now.Sub(g.last)
		g.entry.Node.Observe("tokenGap."+g.class.Name, gap)
		g.entry.Node.ObserveTokenGap(g.sched.Policy, gap)
		g.stall(gap, time.Duration(target.TokenGap))
	}
	g.last = now
	g.entry.Node.Count("tokens", int64(len(tokens)))
	g.out.tokens(g.sealed, tokens)
}

// stall counts the time that a caller waited beyond a target.
func (g *generation) stall(wait, target time.Duration) {
	if target > 0 && wait > target {
		g.measured.Stall += wait - target
	}
}

// measure counts the request for its policy, and records its arrival. Refused
// requests count too: without a wait beyond their targets.
func (g *generation) measure() {
	n := g.entry.Node
	n.ObserveRequest(g.sched.Policy, g.measured)
	n.RecordArrival(g.begun, record.Arrival{
		Workspace:       g.sched.Workspace,
		Class:           g.sched.Class,
		Model:           g.sched.Model,
		PromptTokens:    g.sched.PromptTokens,
		Prefix:          g.sched.Prefix,
		PrefixTokens:    g.sched.PrefixTokens,
		GeneratedTokens: g.ended,
	})
}

// finish ends the answer.
func (g *generation) finish(o retry.Outcome) *fault.Fault {
	if g.asker.caller.Disconnected() {
		return errLeft
	}
	if o == retry.Done {
		g.ended = g.stream.Position().Offset
		g.out.end(g.sealed, g.stream.Position(), g.request.Model)
		return nil
	}
	g.entry.Node.Count("interrupted", 1)
	return g.out.interrupt(g.stream.Position())
}
