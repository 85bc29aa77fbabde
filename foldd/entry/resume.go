package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/trace"
)

// resume continues a generation that any entry VM began, from the token after
// the last event that the caller has.
func (e *Handler) resume(ctx context.Context, w http.ResponseWriter, r *http.Request, a asker) *fault.Fault {
	sealed, position, err := handle.ParseEventID(r.Header.Get(headerLastEvent))
	if err != nil {
		return fault.NotRun(http.StatusBadRequest, fault.BadHandle, err.Error())
	}
	h, err := e.key().Verify(sealed, time.Now())
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
	g.sealed = sealed
	g.out.position = position
	g.out.taken = true
	return g.continueAt(ctx, h)
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

// continueAt reads on at the engine that the handle names. The answer is
// bound to that generation: it can't be run again elsewhere.
func (g *generation) continueAt(ctx context.Context, h handle.Handle) *fault.Fault {
	ctx, span := trace.Start(ctx, "engine", attribute.String("backend", h.Backend))
	defer span.End()
	first := deliv.Step{Action: deliv.Resume, ResumeAfter: g.stream.ReceivedOffset()}
	s, step := g.reattach(ctx, h.Addr, h.Generation, first)
	if s == nil {
		return gone()
	}
	step, fail := g.read(ctx, s, h.Addr, h.Generation)
	if fail != nil {
		return fail
	}
	if step.Action == deliv.Restart {
		return gone()
	}
	return g.finish(step.Outcome)
}

// gone is the answer to a resume whose generation is lost.
func gone() *fault.Fault {
	return &fault.Fault{
		Status:  http.StatusGone,
		Code:    fault.GenerationGone,
		Message: "the generation is no longer at its engine",
		Outcome: retry.Interrupted,
	}
}
