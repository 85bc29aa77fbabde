package entry

import (
	"context"
	"errors"
	"net/http"

	"go.opentelemetry.io/otel/attribute"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/trace"
	"fuchsiafold.example/netio/clock"
)

// serveResume continues a generation that was started through any entry VM, from
// the token after the last event that the caller received.
func (e *Handler) serveResume(ctx context.Context, w http.ResponseWriter, r *http.Request, a requester) *fault.Fault {
	signedHandle, position, err := handle.ParseEventID(r.Header.Get(headerLastEvent))
	if err != nil {
		return fault.NotRun(http.StatusBadRequest, fault.BadHandle, err.Error())
	}
	h, err := e.key().Verify(signedHandle, clock.Wall())
	if fail := handleFault(err); fail != nil {
		return fail
	}
	if h.Workspace != a.workspace {
		return fault.NotRun(http.StatusForbidden, fault.BadHandle, "the handle belongs to another workspace")
	}
	class, ok := a.index.Class(h.Class)
	if !ok {
		return fault.NotRun(http.StatusGone, fault.UnknownClass, "the handle's class is no longer configured")
	}
	e.Node.Count("resumes", 1)
	g := e.newGeneration(w, a, class, true)
	g.stream.HoldUntilComplete = false
	g.stream.Attach(h.Generation, position)
	g.signedHandle = signedHandle
	g.out.position = position
	g.out.mayHaveRun = true
	return g.resumeFrom(ctx, h)
}

func handleFault(err error) *fault.Fault {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, handle.ErrExpired):
		return fault.NotRun(http.StatusGone, fault.ExpiredHandle, err.Error())
	}
	return fault.NotRun(http.StatusBadRequest, fault.BadHandle, err.Error())
}

// resumeFrom attaches to the generation at the engine that the handle names and
// delivers the rest of it. The answer is bound to that generation, so it cannot
// run again at another engine.
func (g *generation) resumeFrom(ctx context.Context, h handle.Handle) *fault.Fault {
	ctx, span := trace.Start(ctx, "engine", attribute.String("backend", h.Backend))
	defer span.End()
	firstStep := deliv.Step{Action: deliv.Resume, ResumeAfter: g.stream.ReceivedOffset()}
	b := g.backend(h.Backend, h.Addr)
	s, step := g.reattach(ctx, b, h.Generation, firstStep)
	if s == nil {
		return generationGoneFault()
	}
	step, fail := g.deliverGeneration(ctx, s, b, h.Generation)
	if fail != nil {
		return fail
	}
	if step.Action == deliv.Restart {
		return generationGoneFault()
	}
	return g.finish(step.Outcome)
}

// generationGoneFault returns the fault for a resume whose generation is lost.
func generationGoneFault() *fault.Fault {
	return &fault.Fault{
		Status:  http.StatusGone,
		Code:    fault.GenerationGone,
		Message: "the generation is no longer at its engine",
		Outcome: retry.Interrupted,
	}
}
