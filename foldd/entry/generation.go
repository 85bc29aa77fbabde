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
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/trial"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/gate"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/trace"
	"fuchsiafold.example/netio/clock"
)

// minResumeWindow is the shortest time that an engine keeps a generation without
// a reader. If the entry VM fails without notice, the caller can resume the
// generation at another VM within this time.
const minResumeWindow = 15 * time.Second

// errCallerDisconnected marks a request whose caller has disconnected. It is not
// sent as a response.
var errCallerDisconnected = &fault.Fault{Status: http.StatusRequestTimeout, Code: "callerLeft", Message: "the caller has left"}

// generation delivers the answer of one request to its caller. Each attempt starts
// a generation, with an ID of its own, at one engine. If that generation fails
// before a token is delivered, the next attempt is made at another engine.
type generation struct {
	handler   *Handler
	requester requester
	class     spec.Class
	request   completionRequest
	sched     sched.Request
	stream    deliv.Stream
	out       answer
	// signedHandle is the signed handle of the generation in progress.
	signedHandle string
	// attempts counts the attempts that failed and led to a restart.
	attempts int
	// denials counts the attempts that got no permit for their engine.
	denials   int
	startedAt time.Time
	// lastDelivery is when tokens were last delivered, or zero before the first.
	lastDelivery time.Time
	// completedTokens is the length of a complete answer in tokens, and zero for
	// any other.
	completedTokens int
	// sample holds the request's part of the measures by which policies are
	// compared.
	sample trial.Sample
	// parts holds the parts of the prompt that other requests may share. It is empty
	// for a generation that is resumed.
	parts []string
	// survived is set once the prompt is known not to crash engines, and silent once
	// an engine has sent nothing for maxEngineSilence.
	survived bool
	silent   bool
}

func (e *Handler) newGeneration(w http.ResponseWriter, a requester, class spec.Class, streamed bool) *generation {
	g := &generation{handler: e, requester: a, class: class, startedAt: time.Now()}
	g.stream.HoldUntilComplete = class.HoldUntilComplete() || !streamed
	g.out = answer{w: w, caller: a.caller, streamed: streamed}
	return g
}

// run requests engines and delivers generations until the answer ends.
func (g *generation) run(ctx context.Context) *fault.Fault {
	defer g.recordRequest()
	if g.handler.Node.AwaitSends(ctx) != nil {
		return errCallerDisconnected
	}
	for {
		fail := g.checkQuarantine()
		var decision node.Decision
		if fail == nil {
			decision, fail = g.awaitDecision(ctx)
		}
		if fail != nil && g.out.mayHaveRun && fail != errCallerDisconnected {
			// An engine may have begun an earlier attempt.
			fail.Outcome = retry.Interrupted
		}
		if fail != nil {
			return fail
		}
		denials := g.denials
		step, fail := g.attempt(ctx, g.backend(decision.Backend, decision.Addr), decision.Priority)
		if fail != nil {
			return fail
		}
		if g.denials > denials {
			// Nothing was sent, so this costs no retry.
			g.avoid(decision.Backend)
			continue
		}
		if step.Action == deliv.Finish {
			return g.finish(step.Outcome)
		}
		if fail := g.prepareRestart(ctx, decision.Backend); fail != nil {
			return fail
		}
	}
}

// prepareRestart takes a retry from the retry budget, excludes failedBackend
// from the next attempt and waits for the back-off. It returns a fault if no
// retry is left or the caller disconnects.
func (g *generation) prepareRestart(ctx context.Context, failedBackend string) *fault.Fault {
	g.attempts++
	wait, ok := g.handler.Node.TakeRetry(g.attempts)
	if !ok {
		return attemptsExhaustedFault(g)
	}
	g.handler.Node.Count("restarts", 1)
	g.avoid(failedBackend)
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return errCallerDisconnected
	}
}

// avoid excludes an engine from the next attempt.
func (g *generation) avoid(backend string) {
	g.sched.Avoid = append(g.sched.Avoid, backend)
	g.sched.Admitted = true
}

// attemptsExhaustedFault returns the fault for an answer whose retries are used
// up before a token was delivered. The request provably did not run only if no
// engine may have begun any attempt.
func attemptsExhaustedFault(g *generation) *fault.Fault {
	f := &fault.Fault{
		Status:     http.StatusBadGateway,
		Code:       fault.BackendFailed,
		Message:    "engines failed the request before its first token was delivered",
		Outcome:    retry.Interrupted,
		RetryAfter: time.Second,
	}
	if !g.out.mayHaveRun {
		f.Outcome = retry.NotRun
		f.Status = http.StatusServiceUnavailable
	}
	return f
}

// attempt runs one generation at one engine and reports its result to the
// scheduler. Unless it returns a fault, the action of the step is Restart or
// Finish.
func (g *generation) attempt(ctx context.Context, b member.Backend, priority int) (deliv.Step, *fault.Fault) {
	ctx, span := trace.Start(ctx, "engine", attribute.String("backend", b.ID))
	defer span.End()
	n := g.handler.Node
	id := newRandomID()
	g.stream.Begin(id)
	g.signHandle(b, id)
	s, sent, err := g.handler.Engines.Start(gate.WithBackend(ctx, b, g.startPurpose()), b.Addr, g.engineRequest(id, priority))
	if err != nil {
		g.recordStartLoss(b.ID, sent && ctx.Err() == nil, err)
		return g.handleStartError(ctx, b, id, sent, err)
	}
	g.out.mayHaveRun = true
	step, fail := g.deliverGeneration(ctx, s, b, id)
	if ctx.Err() == nil {
		g.recordEnd(b.ID, step)
	}
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

func (g *generation) signHandle(b member.Backend, id string) {
	g.signedHandle = g.handler.key().Sign(handle.Handle{
		Backend:    b.ID,
		Addr:       b.Addr,
		Generation: id,
		Workspace:  g.requester.workspace,
		Class:      g.class.Name,
		Expires:    clock.Wall().Add(time.Duration(g.handler.Node.Settings.Limits.HandleTTL)),
	})
}

// handleStartError handles a generation that could not be started. sent reports
// whether the engine may have received the request. If it may, and did not
// reject it, the generation is cancelled there.
func (g *generation) handleStartError(ctx context.Context, b member.Backend, id string, sent bool, err error) (deliv.Step, *fault.Fault) {
	n := g.handler.Node
	if ctx.Err() != nil {
		n.Finish(g.sched.ID, sched.Cancelled)
		if sent {
			g.cancel(b, id)
		}
		return deliv.Step{}, errCallerDisconnected
	}
	var denied *limit.DeniedError
	if errors.As(err, &denied) {
		n.Finish(g.sched.ID, sched.Cancelled)
		g.denials++
		return g.stream.GenerationLost(id), g.deniedFault(b, denied)
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
	g.logFailedStart(b, id, err)
	if sent {
		g.out.mayHaveRun = true
		g.cancel(b, id)
	}
	return g.stream.GenerationLost(id), nil
}

const (
	// maxDenials bounds the engines for which a generation gets no permit.
	maxDenials = 8
	// minRetryAfter is the shortest time after which the caller may then retry.
	minRetryAfter = time.Second
)

// deniedFault returns the fault for a generation that got no permit for an engine with a
// rate limit, or nil if another engine may take it.
func (g *generation) deniedFault(b member.Backend, denied *limit.DeniedError) *fault.Fault {
	if retryAfter, limited := g.handler.Node.RejectLimited(b.Service, g.sched.Avoid); limited {
		return fault.FromRateLimit(retryAfter)
	}
	if g.denials >= maxDenials {
		return fault.FromRateLimit(max(denied.RetryAfter, minRetryAfter))
	}
	return nil
}

// backend returns the engine with the given ID. It is incomplete if this VM does not know
// the engine any more.
func (g *generation) backend(id string, addr netip.AddrPort) member.Backend {
	if b, ok := g.handler.Node.Backend(id); ok && b.Addr == addr {
		return b
	}
	return member.Backend{ID: id, Addr: addr}
}

// startPurpose returns the purpose of the next start of a generation.
func (g *generation) startPurpose() node.Purpose {
	if g.attempts > 0 {
		return node.Retry
	}
	return node.FirstSend
}

// deliverGeneration delivers a generation until it ends. When a connection is
// lost, it resumes the generation over a new one as often as the stream allows.
func (g *generation) deliverGeneration(ctx context.Context, s *engine.Stream, b member.Backend, id string) (deliv.Step, *fault.Fault) {
	lastEvent := time.Now()
	for {
		var step deliv.Step
		err := s.Events(func(ev engine.Event) bool {
			lastEvent = time.Now()
			step = g.handleEvent(id, ev)
			g.deliverTokens(step.Tokens)
			return step.Action == deliv.Continue && !g.requester.caller.Disconnected()
		})
		if step.Action == deliv.Finish {
			return step, nil
		}
		if ctx.Err() != nil || g.requester.caller.Disconnected() {
			g.handleDisconnect(b, id)
			return deliv.Step{}, errCallerDisconnected
		}
		if step.Action == deliv.Continue {
			step = g.handleReadError(id, err, lastEvent)
		}
		if s, step = g.reattach(ctx, b, id, step); s == nil {
			return step, nil
		}
	}
}

func (g *generation) handleEvent(id string, ev engine.Event) deliv.Step {
	g.recordProgress(ev)
	if ev.Ended {
		g.sample.Preemptions += ev.Preemptions
		return g.stream.End(id, ev.Total)
	}
	g.handler.Node.Progress(g.sched.ID, ev.Token.Offset)
	return g.stream.Token(id, ev.Token)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (g *generation) deliverTokens(tokens []deliv.Token) {
	if len(tokens) == 0 {
		return
	}
	now := time.Now()
	target := g.class.Target
	if g.lastDelivery.IsZero() {
		g.sample.FirstToken = now.Sub(g.startedAt)
		g.handler.Node.Observe("firstToken."+g.class.Name, g.sample.FirstToken)
		g.addStall(g.sample.FirstToken, time.Duration(target.FirstToken))
	} else {
		gap := now.Sub(g.lastDelivery)
		g.handler.Node.Observe("tokenGap."+g.class.Name, gap)
		g.handler.Node.ObserveTokenGap(g.sched.Policy, gap)
		g.addStall(gap, time.Duration(target.TokenGap))
	}
	g.lastDelivery = now
	g.handler.Node.Count("tokens", int64(len(tokens)))
	g.out.writeTokens(g.signedHandle, tokens)
}

// addStall adds the time that a caller waited beyond a target to the sample. A
// target of zero means that there is none.
func (g *generation) addStall(wait, target time.Duration) {
	if target > 0 && wait > target {
		g.sample.Stall += wait - target
	}
}

// recordRequest adds the request to the measures of its policy and records
// its arrival. Rejected requests are included, with no wait beyond their targets.
func (g *generation) recordRequest() {
	n := g.handler.Node
	n.ObserveRequest(g.sched.Policy, g.sample)
	n.RecordArrival(g.startedAt, record.Arrival{
		Workspace:       g.sched.Workspace,
		Class:           g.sched.Class,
		Model:           g.sched.Model,
		PromptTokens:    g.sched.PromptTokens,
		Prefix:          g.sched.Prefix,
		PrefixTokens:    g.sched.PrefixTokens,
		GeneratedTokens: g.completedTokens,
	})
}

// finish ends the answer: as complete if the outcome is retry.Done, otherwise as
// interrupted.
func (g *generation) finish(o retry.Outcome) *fault.Fault {
	if g.requester.caller.Disconnected() {
		return errCallerDisconnected
	}
	if o == retry.Done {
		g.completedTokens = g.stream.Position().Offset
		g.out.writeEnd(g.signedHandle, g.stream.Position(), g.request.Model)
		return nil
	}
	g.handler.Node.Count("interrupted", 1)
	return g.out.writeInterrupted(g.stream.Position())
}
