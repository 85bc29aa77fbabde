package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

type backend = member.Backend

// answer is a backend server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt is how one send of a request ended.
type attempt struct {
	retry.Attempt
	answer *answer
	err    error
}

// servePlain forwards a request whose answer is taken in whole before the
// caller gets any of it: what breaks off never looks complete.
func (x *Relay) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	if !q.forward.Idempotent() {
		// A caller that leaves does not stop a request that may run only once.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), q.until)
		defer cancel()
	}
	a, f := q.attempts(ctx)
	switch {
	case q.caller.Disconnected() || errors.Is(context.Cause(ctx), serve.ErrCallerDisconnected):
		q.log(0, retry.Unknown, "the caller has gone")
		q.caller.Abort()
	case f != nil:
		x.refuse(w, q, f)
	default:
		q.log(a.status, retry.Done, "")
		x.Node.Observe("forward.micros."+q.forward.Kind, sinceArrival(q))
		a.write(w)
	}
}

// maxUnsent bounds the servers that a request is offered without reaching them.
const maxUnsent = 4

// attempts sends the request until there is an answer to pass on.
func (q *request) attempts(ctx context.Context) (*answer, *fault.Fault) {
	var avoid []string
	var last attempt
	for unsent := 0; unsent < maxUnsent; {
		choice, ok := q.relay.Node.Place(ctx, q.service.Name, place.Request{Exclude: avoid})
		if !ok || choice.Full {
			break
		}
		avoid = append(avoid, choice.Server.ID)
		a := q.attempt(ctx, choice.Server)
		if !a.Sent {
			unsent++
			if ctx.Err() != nil {
				return nil, q.expired()
			}
			continue
		}
		q.sent++
		q.ran = q.ran || !a.Refused
		if a.answer == nil {
			a.answer = last.answer
		}
		last = a
		switch {
		case ctx.Err() != nil && a.answer == nil:
			return nil, q.expired()
		case !q.again(a):
			return q.conclude(last)
		}
		q.relay.Node.Count("forward.repeats", 1)
	}
	return q.conclude(last)
}

// sayable reports whether the server under us can answer with a status: one
// that has no name it would turn into a success.
func sayable(status int) bool { return http.StatusText(status) != "" }

// again reports whether the request goes to another server: its forward and
// the budget allow it, and another one may do better.
func (q *request) again(a attempt) bool {
	safe := q.forward.Idempotent()
	better := a.Refused || safe && (!a.ResponseComplete || a.answer.status >= http.StatusInternalServerError)
	return better && q.sent < max(q.forward.Attempts, 1) && q.relay.Node.TakeForwardRetry(q.service.Name)
}

// conclude returns what to tell the caller after the last attempt: a server's
// answer if there is one, and else the truth about whether the request ran.
func (q *request) conclude(last attempt) (*answer, *fault.Fault) {
	switch {
	case last.answer != nil && !sayable(last.answer.status):
		return nil, &fault.Fault{Status: http.StatusBadGateway, Code: fault.BackendFailed, Message: errStatus.Error(), Outcome: retry.Unknown}
	case last.answer != nil:
		return last.answer, nil
	case q.ran:
		return nil, &fault.Fault{Status: http.StatusBadGateway, Code: fault.BackendFailed, Message: last.err.Error(), Outcome: retry.Unknown}
	case last.Refused:
		return nil, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "the backend server refused the request").WithRetryAfter(turnaway)
	}
	return nil, fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "no backend server of "+q.service.Name+" takes the request").WithRetryAfter(notReady)
}

// attempt sends the request to one backend server and takes its answer in.
func (q *request) attempt(ctx context.Context, b backend) attempt {
	q.backend = b.ID
	var a attempt
	res, err := q.relay.Pool.Do(ctx, q.onward(b, nil))
	if err != nil {
		return q.failed(ctx, b, a, err)
	}
	defer res.Body.Close()
	a.Sent = true
	reply := q.relay.Codec.ParseReply(res.Status, res.Header)
	if reply.NotRun || reply.WrongInstance {
		a.Refused = true
		q.relay.turnedAway(b, place.Request{}, reply)
		a.err = errRefused
		return a
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(q.relay.Node.Settings.Limits.MaxAnswer)+1))
	if err != nil {
		a.ResponseStarted = true
		return q.failed(ctx, b, a, err)
	}
	if len(body) > q.relay.Node.Settings.Limits.MaxAnswer {
		a.ResponseStarted = true
		return q.failed(ctx, b, a, errAnswerTooLarge)
	}
	q.relay.Node.EndPlacement(b.ID, place.Request{}, place.Answered)
	a.ResponseComplete = true
	a.answer = &answer{status: res.Status, header: res.Header, body: body}
	return a
}

// failed ends an attempt without a whole answer.
func (q *request) failed(ctx context.Context, b backend, a attempt, err error) attempt {
	var pe *pool.Error
	if errors.As(err, &pe) {
		a.Sent = a.Sent || pe.Sent
		a.ResponseStarted = a.ResponseStarted || pe.ResponseStarted
	}
	a.err = err
	outcome := place.Failed
	switch {
	case ctx.Err() != nil:
		outcome = place.Cancelled
	case !a.Sent:
		outcome = place.Unreachable
	}
	q.relay.Node.EndPlacement(b.ID, place.Request{}, outcome)
	q.relay.Node.Count("forward.failures", 1)
	q.relay.logAttempt(q, b, err)
	return a
}

// turnedAway counts the end of a request that a server did not begin.
func (x *Relay) turnedAway(b backend, w place.Request, r Reply) {
	x.Node.EndPlacement(b.ID, w, place.Rejected)
	x.Node.Count("forward.refused", 1)
	if r.WrongInstance {
		// Another server has the address by now.
		x.Node.BackOff(b.ID)
		x.Pool.CloseIdle(b.Addr)
	}
}

// write sends a whole answer.
func (a *answer) write(w http.ResponseWriter) {
	copyHeader(w, a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	// A caller that is gone is noticed by the server.
	_, _ = w.Write(a.body)
}
