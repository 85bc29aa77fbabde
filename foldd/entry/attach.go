package entry

import (
	"context"
	"errors"
	"time"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/gate"
	"fuchsiafold.example/foldd/node"
)

// maxEngineSilence is how long an engine that still responds to probes may send no
// event before its generation counts as lost.
const maxEngineSilence = 2 * time.Minute

// handleReadError returns the step that follows a lost or stalled connection. A
// silent engine is probed by attaching again, which costs nothing while the
// engine is alive. Its generation counts as lost after maxEngineSilence.
func (g *generation) handleReadError(id string, err error, lastEvent time.Time) deliv.Step {
	if errors.Is(err, engine.ErrStalled) {
		g.handler.Node.Count("engine.stalls", 1)
		if time.Since(lastEvent) < maxEngineSilence {
			return deliv.Step{Action: deliv.Resume, ResumeAfter: g.stream.ReceivedOffset()}
		}
		g.silent = true
		return g.stream.GenerationLost(id)
	}
	g.handler.Node.Count("engine.linksLost", 1)
	return g.stream.ConnectionLost(id)
}

// reattach attaches to the generation again, with a back-off between attempts,
// while the action of step is Resume. It returns the new stream, or nil with the
// step that ends the attempt.
func (g *generation) reattach(ctx context.Context, b member.Backend, id string, step deliv.Step) (*engine.Stream, deliv.Step) {
	for attempts := 1; step.Action == deliv.Resume; attempts++ {
		s, err := g.attach(ctx, b, id, step.ResumeAfter)
		if err == nil {
			g.handler.Node.Count("engine.resumes", 1)
			return s, step
		}
		if ctx.Err() != nil {
			// The caller has disconnected; finish checks for that.
			return nil, deliv.Step{Action: deliv.Finish, Outcome: retry.Interrupted}
		}
		if errors.Is(err, engine.ErrNotFound) {
			return nil, g.stream.GenerationLost(id)
		}
		step = g.stream.ConnectionLost(id)
		if step.Action == deliv.Resume {
			sleep(ctx, retry.Backoff(attempts, 0.5))
		}
	}
	if step.Action == deliv.Restart {
		g.cancel(b, id)
	}
	return nil, step
}

// attach attaches to a generation. It waits for the permit if the engine has a rate limit,
// for at most minResumeWindow.
func (g *generation) attach(ctx context.Context, b member.Backend, id string, after int) (*engine.Stream, error) {
	deadline := time.Now().Add(minResumeWindow)
	for {
		s, err := g.handler.Engines.Attach(gate.WithBackend(ctx, b, node.Attach), b.Addr, id, after)
		var denied *limit.DeniedError
		if !errors.As(err, &denied) || ctx.Err() != nil || time.Now().After(deadline) {
			return s, err
		}
		sleep(ctx, denied.RetryAfter)
	}
}

// handleDisconnect cancels a generation whose caller has disconnected, which
// frees its memory at once. It keeps the generation if its class has a resume
// window, within which the caller can reconnect. It also keeps it if this VM
// ends without finishing its requests, since callers can resume at another VM.
func (g *generation) handleDisconnect(b member.Backend, id string) {
	if g.handler.Node.Abandoned() {
		return
	}
	g.handler.Node.Count("callersLeft", 1)
	if g.class.ResumeWindow == 0 {
		g.cancel(b, id)
	}
}

// maxCancelAttempts bounds the attempts to cancel one generation. If all fail,
// the engine drops the generation at the end of its resume window.
const maxCancelAttempts = 3

// cancel cancels a generation at its engine in the background.
func (g *generation) cancel(b member.Backend, id string) {
	e := g.handler
	go func() {
		for attempt := range maxCancelAttempts {
			err := e.Engines.Cancel(gate.WithBackend(context.Background(), b, node.CancelRun), b.Addr, id)
			if err == nil {
				e.Node.Count("engine.cancels", 1)
				return
			}
			wait := retry.Backoff(attempt+1, 0.5)
			if denied := (*limit.DeniedError)(nil); errors.As(err, &denied) {
				wait = max(wait, denied.RetryAfter)
			}
			time.Sleep(wait)
		}
		e.Node.Count("engine.cancelsFailed", 1)
	}()
}
