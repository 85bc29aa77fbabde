package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

type backend = member.Backend

// response is the complete response of a backend server.
type response struct {
	status int
	header http.Header
	body   []byte
}

// attempt is the result of sending a request to one backend server once.
type attempt struct {
	retry.Attempt
	// status is that of a complete response. response is nil if that response can't be passed
	// on to the caller; err says why there is none.
	status   int
	response *response
	err      error
}

// failure returns why the attempt got no response.
func (a *attempt) failure() string {
	if a.err == nil {
		return "no other backend server takes the request"
	}
	return a.err.Error()
}

// servePlain forwards a request whose response is read completely before any of
// it is sent to the caller, so that a truncated response never looks complete.
func (x *Relay) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	if !q.forward.Idempotent() {
		// A request that may run only once is not cancelled when its caller
		// disconnects.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
		defer cancel()
	}
	ctx, stop := x.Node.UntilEnd(ctx)
	defer stop()
	defer func() { x.Node.Answers.Release(q.reserved) }()
	a, f := q.sendWithRetries(ctx)
	if f != nil && q.mayPassOn(f) {
		a, f = q.passOnPlain(ctx, f)
	}
	switch {
	case q.caller.Disconnected() || errors.Is(context.Cause(ctx), serve.ErrCallerDisconnected):
		q.log(0, retry.Unknown, "the caller has gone")
		q.caller.Abort()
	case f != nil:
		x.writeFault(w, q, f)
	default:
		q.log(a.status, retry.Done, "")
		q.namePeerBackend(a.header)
		x.Node.Observe("forward.micros."+q.forward.Kind, sinceArrival(q))
		a.write(w)
	}
}

const (
	// maxUnsent bounds the number of servers that are tried for a request and can't
	// be reached.
	maxUnsent = 4
	// maxDenials bounds the number of servers for which a request gets no permit.
	maxDenials = 8
)

// sendWithRetries sends the request to backend servers until one attempt is not
// retried, and returns the response or the error for the caller.
func (q *request) sendWithRetries(ctx context.Context) (*response, *fault.Fault) {
	var tried []string
	var last attempt
	for unsent := 0; unsent < maxUnsent && q.denials < maxDenials; {
		if f := q.checkQuarantine(); f != nil {
			if q.sent == 0 {
				return nil, f
			}
			break
		}
		choice, ok := q.relay.Node.Place(ctx, q.service.Name, place.Request{Exclude: tried})
		if !ok || choice.Full {
			break
		}
		if choice.Rejects() {
			if q.sent == 0 {
				return nil, rejectionFault(choice)
			}
			break
		}
		a := q.send(ctx, choice.Server)
		if q.denied(a.err) {
			continue
		}
		tried = append(tried, choice.Server.ID)
		if !a.Sent {
			unsent++
			if ctx.Err() != nil {
				return nil, q.timeoutFault(ctx)
			}
			continue
		}
		q.sent++
		q.retryGranted = false
		q.mayHaveRun = q.mayHaveRun || !a.Refused
		if a.response == nil {
			a.response = last.response
		}
		last = a
		switch {
		case ctx.Err() != nil && a.response == nil:
			return nil, q.timeoutFault(ctx)
		case !q.shouldRetry(a):
			return q.finalResult(last)
		}
		q.retryGranted = true
		q.relay.Node.Count("forward.repeats", 1)
	}
	if q.sent == 0 && q.denials >= maxDenials {
		return nil, fault.FromRateLimit(rejectedRetryAfter)
	}
	return q.finalResult(last)
}

// supportedStatus reports whether the HTTP server can send a status. nbhttp
// sends a status without a standard text as a success.
func supportedStatus(status int) bool { return http.StatusText(status) != "" }

// shouldRetry reports whether the request is sent to another server after an
// attempt: another server may succeed, and the forward and the retry budget
// allow it. If it returns true, a retry is taken from the budget.
func (q *request) shouldRetry(a attempt) bool {
	idempotent := q.forward.Idempotent()
	retryable := a.Refused || idempotent && (!a.ResponseComplete || failedStatus(a.status))
	return retryable && q.sent < max(q.forward.Attempts, 1) && q.relay.Node.TakeForwardRetry(q.service.Name)
}

// finalResult returns the result for the caller after the last attempt: a
// server's response if there is one, and otherwise an error that states whether
// the request may have run.
func (q *request) finalResult(last attempt) (*response, *fault.Fault) {
	switch {
	case last.response != nil && !supportedStatus(last.response.status):
		return nil, failedFault(errUnsupportedStatus)
	case last.response != nil:
		return last.response, nil
	case q.mayHaveRun:
		return nil, failedFault(errors.New(last.failure()))
	case last.Refused:
		return nil, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "the backend server refused the request").WithRetryAfter(rejectedRetryAfter)
	}
	return nil, fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "no backend server of "+q.service.Name+" takes the request").WithRetryAfter(notReadyRetryAfter)
}

// send sends the request to one backend server and reads its response.
func (q *request) send(ctx context.Context, b backend) attempt {
	q.backend = b.ID
	var a attempt
	res, err := q.exchange(ctx, b, q.sendPurpose(), nil)
	if err != nil {
		return q.recordFailure(ctx, b, a, err)
	}
	defer res.Body.Close()
	a.Sent = true
	q.recordFraming(res)
	reply := q.relay.Codec.ParseReply(res.Status, res.Header)
	if reply.NotRun || reply.WrongInstance {
		a.Refused = true
		q.relay.recordRejection(b, place.Request{}, reply)
		if !reply.WrongInstance {
			q.relay.Node.EngineAnswered(b)
		}
		a.err = errRejected
		return a
	}
	body, reserved, err := q.relay.Node.Answers.Read(res.Body, res.Length, q.relay.Node.Settings.Limits.MaxAnswer)
	q.reserved += reserved
	if err == nil {
		err = q.checkServerThere(ctx, b, res)
	}
	if err != nil {
		a.ResponseStarted = true
		return q.recordFailure(ctx, b, a, err)
	}
	q.relay.Node.EndPlacement(b.ID, place.Request{}, place.Answered)
	a.ResponseComplete, a.status = true, res.Status
	q.recordPlainSurvival(b)
	if a.err = q.checkStatus(b, res.Status); a.err == nil {
		a.response = &response{status: res.Status, header: res.Header, body: body}
	}
	return a
}

// recordFailure ends, counts and logs an attempt that got no complete response,
// and returns it with err.
func (q *request) recordFailure(ctx context.Context, b backend, a attempt, err error) attempt {
	var pe *pool.Error
	if errors.As(err, &pe) {
		a.Sent = a.Sent || pe.Sent
		a.ResponseStarted = a.ResponseStarted || pe.ResponseStarted
	}
	a.err = err
	result := place.Failed
	var denied *limit.DeniedError
	switch {
	case errors.As(err, &denied):
		q.relay.Node.EndPlacement(b.ID, place.Request{}, place.Cancelled)
		return a
	case ctx.Err() != nil:
		result = place.Cancelled
	case !a.Sent:
		result = place.Unreachable
		q.relay.connectFailed(b, err)
	}
	q.relay.Node.EndPlacement(b.ID, place.Request{}, result)
	q.relay.Node.Count("forward.failures", 1)
	q.relay.logAttempt(q, b, err)
	q.recordPlainLoss(ctx, b, a)
	return a
}

// recordRejection ends the placement of a request that a server did not begin.
func (x *Relay) recordRejection(b backend, req place.Request, r Reply) {
	x.Node.EndPlacement(b.ID, req, place.Rejected)
	x.Node.Count("forward.refused", 1)
	if r.WrongInstance {
		// Another server uses the address now.
		x.Node.BackOff(b.ID)
		x.Pool.CloseIdle(b.Addr)
	}
}

// write sends the response to the caller.
func (a *response) write(w http.ResponseWriter) {
	copyHeader(w, a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	// The HTTP server detects a caller that has disconnected.
	_, _ = w.Write(a.body)
}
