package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/serve"
)

// awaitConfig returns the configuration in force, or nil if there is none. On a
// VM that has just started, it first waits for one for a part of the caller's
// timeout.
func (x *Relay) awaitConfig(ctx context.Context, q *request) *spec.Index {
	limit := q.arrived.Add(q.params.Timeout / startupWaitDivisor)
	for x.Node.Index() == nil && x.Node.Starting() && time.Now().Before(limit) && ctx.Err() == nil {
		sleep(ctx, startupPoll)
	}
	return x.Node.Index()
}

// awaitBackends waits for a backend server of the service on a VM that has just
// started and knows none, for up to a part of the request's timeout.
func (x *Relay) awaitBackends(ctx context.Context, q *request) {
	limit := q.arrived.Add(q.deadline.Sub(q.arrived) / startupWaitDivisor)
	for x.Node.AwaitingBackends(q.service.Name) && time.Now().Before(limit) && ctx.Err() == nil {
		sleep(ctx, startupPoll)
	}
}

// admit reads a request and checks that it may be forwarded. The returned
// request is never nil, but is incomplete if there is a fault.
func (x *Relay) admit(r *http.Request) (*request, *fault.Fault) {
	q := &request{relay: x, r: r, arrived: time.Now(), params: x.Codec.ParseRequest(r.Header), caller: serve.CallerOf(r)}
	index := x.awaitConfig(r.Context(), q)
	if index == nil {
		return q, fault.NotRun(http.StatusServiceUnavailable, fault.NotConfigured, "no configuration is in force yet").WithRetryAfter(notReadyRetryAfter)
	}
	q.revision = index.Revision()
	var ok bool
	if q.forward, ok = index.Forward(r.Host, r.URL.Path); !ok {
		return q, fault.NotRun(http.StatusNotFound, fault.UnknownRoute, "no forward for "+strconv.Quote(r.Host+r.URL.Path))
	}
	if q.forward.Kind == spec.ForwardStream && !r.ProtoAtLeast(1, 1) {
		return q, fault.NotRun(http.StatusHTTPVersionNotSupported, fault.BadRequest, "a stream needs HTTP/1.1: without chunks its end can't be told from a lost connection")
	}
	if !q.authorize(index) {
		return q, fault.NotRun(http.StatusUnauthorized, fault.Unauthorized, "the workspace key is missing or unknown")
	}
	if q.service, ok = index.Service(q.forward.PickService(x.Node.Random())); !ok {
		return q, fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "the service is not configured").WithRetryAfter(rejectedRetryAfter)
	}
	q.deadline = q.arrived.Add(time.Duration(q.forward.Timeout))
	if q.params.Timeout > 0 {
		q.deadline = q.arrived.Add(min(q.params.Timeout, time.Duration(q.forward.Timeout)))
	}
	if !q.endsBeforeShutdown() {
		return q, fault.NotRun(http.StatusServiceUnavailable, fault.Draining, node.ErrEnding.Error()).WithRetryAfter(otherVMRetryAfter)
	}
	return q, q.readBody(index)
}

// endsBeforeShutdown reports whether the request can be accepted. A VM that is
// shutting down accepts requests only for drainAcceptTime: streams if they will probably
// end before the drain timeout, and requests that run at most once if they surely do.
func (q *request) endsBeforeShutdown() bool {
	since, draining := q.relay.Node.DrainingSince()
	if !draining {
		return true
	}
	sinceDrain := time.Since(since)
	if sinceDrain > drainAcceptTime {
		return false
	}
	end := since.Add(q.relay.Node.Settings.Limits.RequestsEnd())
	switch {
	case q.forward.Kind == spec.ForwardStream:
		return q.expectedDuration() < time.Until(end)
	case !q.forward.Idempotent():
		return q.deadline.Before(end)
	}
	return true
}

// authorize looks up the workspace of the caller's key and reports whether the
// request is allowed. A configuration without workspaces requires no key.
func (q *request) authorize(index *spec.Index) bool {
	if len(index.Document().Workspaces) == 0 {
		return true
	}
	w, known := index.WorkspaceByKey(q.params.Key)
	if known && q.params.Key != "" {
		q.workspace = w
	}
	return q.workspace != nil || q.forward.Public
}

// readBody reads the request body. The limit on its size is the smaller one of
// the settings' and the configuration's.
func (q *request) readBody(index *spec.Index) *fault.Fault {
	limit := q.relay.Node.Settings.Limits.MaxBody
	if configured := index.Document().MaxBody; configured > 0 {
		limit = min(limit, configured)
	}
	var f *fault.Fault
	q.body, f = fault.ReadBody(q.r, limit)
	return f
}

// Assumptions about a stream that has not begun.
const (
	// endProbability is the probability with which it ends within its expected
	// duration.
	endProbability = 0.8
	// firstEventTime is the time to the first event, and eventGap the time between
	// two.
	firstEventTime = 500 * time.Millisecond
	eventGap       = 60 * time.Millisecond
)

// expectedDuration returns how long the request's stream will probably take.
func (q *request) expectedDuration() time.Duration {
	events := q.relay.Node.RemainingTokens(q.newRun(), endProbability) / q.eventTokens()
	return firstEventTime + time.Duration(events)*eventGap
}
