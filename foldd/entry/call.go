package entry

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/gate"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/trace"
	"fuchsiafold.example/netio/bound"
	"fuchsiafold.example/netio/pool"
)

// headerNotRun is the response header with which a plain service states that it
// did not begin a call.
const headerNotRun = "Fold-Not-Run"

// headerFirstSend is the request header with which a caller states that it has
// not sent the idempotency key before.
const headerFirstSend = "Fold-First-Send"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// call is a caller's call of a plain service.
type call struct {
	handler   *Handler
	requester requester
	route     spec.Route
	r         *http.Request
	body      []byte
	// triedBackends lists the IDs of the backend servers of earlier attempts,
	// which later attempts exclude.
	triedBackends []string
	// reserved is the memory in bytes that the bodies of responses have reserved.
	reserved int64
	// crashParts holds the call's fingerprint, by which crashes of servers are counted.
	crashParts []string
}

// serveCall serves a call of the route that matches the request's path, within
// the route's timeout.
func (e *Handler) serveCall(ctx context.Context, w http.ResponseWriter, r *http.Request, a requester) *fault.Fault {
	route, ok := a.index.Route(r.URL.Path)
	if !ok {
		return withoutClaim(r, fault.NotRun(http.StatusNotFound, fault.UnknownRoute, "no route for "+strconv.Quote(r.URL.Path)))
	}
	if !slices.Contains(route.Methods, r.Method) {
		return withoutClaim(r, fault.NotRun(http.StatusMethodNotAllowed, fault.UnknownRoute, "the route takes no "+r.Method))
	}
	body, fail := e.readBody(r)
	if fail != nil {
		return withoutClaim(r, fail)
	}
	e.Node.Count("calls."+route.Service, 1)
	c := &call{handler: e, requester: a, route: route, r: r, body: body}
	c.crashParts = []string{poison.Fingerprint(a.workspace, r.Method, r.URL.RequestURI(), string(body))}
	defer func() { e.Node.Answers.Release(c.reserved) }()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(route.Timeout))
	defer cancel()
	ctx, stop := e.Node.UntilEnd(ctx)
	defer stop()
	if route.Idempotent {
		return c.runIdempotent(ctx, w)
	}
	return c.runAtMostOnce(ctx, w)
}

// runIdempotent sends the call to one backend server after another until one
// answers. It stops when ctx is done, when the failure is not retryable or when
// the retry budget is used up.
func (c *call) runIdempotent(ctx context.Context, w http.ResponseWriter) *fault.Fault {
	n := c.handler.Node
	n.CountFirstAttempt()
	// mayHaveRun is the fault of the last attempt that may have run.
	var mayHaveRun *fault.Fault
	for attempts := 1; ; attempts++ {
		answer, attempt, fail := c.attempt(ctx)
		if fail == nil {
			answer.write(w)
			return nil
		}
		if fail.Outcome != retry.NotRun {
			mayHaveRun = fail
		}
		final := cmp.Or(mayHaveRun, fail)
		if ctx.Err() != nil || !attempt.Retryable(true) || fail.Code == fault.RateLimited || fail.Code == fault.Quarantined {
			return final
		}
		wait, ok := n.TakeRetry(attempts)
		if !ok {
			return final
		}
		n.Count("calls.retries", 1)
		sleep(ctx, wait)
	}
}

// runAtMostOnce runs the call at most once per workspace and idempotency key.
func (c *call) runAtMostOnce(ctx context.Context, w http.ResponseWriter) *fault.Fault {
	key := c.r.Header.Get(headerIdempotency)
	if key == "" || len(key) > maxKeyBytes || !utf8.ValidString(key) {
		return fault.NotRun(http.StatusBadRequest, fault.IdempotencyKeyNeeded, fmt.Sprintf("this call may run only once: send an %s of 1 to %d bytes of UTF-8", headerIdempotency, maxKeyBytes))
	}
	if c.handler.Claims == nil {
		return noQuorumFault("this deployment has no control VM")
	}
	claim := Claim{Workspace: c.requester.workspace, Key: key, Digest: c.digest(), Nonce: newRandomID(), Timeout: time.Duration(c.route.Timeout)}
	state, recorded, err := c.handler.Claims.Claim(ctx, claim)
	if err != nil {
		return c.claimFault(err)
	}
	switch state {
	case ClaimGranted:
		return c.runClaimed(ctx, w, claim)
	case ClaimDone:
		c.handler.Node.Count("calls.replayed", 1)
		w.Header().Set("Fold-Replayed", "true")
		recorded.write(w)
		return nil
	case ClaimPending:
		return &fault.Fault{Status: http.StatusConflict, Code: fault.InProgress, Message: "a call with this key is in progress", Outcome: retry.Unknown, RetryAfter: time.Second}
	case ClaimMismatch:
		return fault.NotRun(http.StatusUnprocessableEntity, fault.IdempotencyKeyMismatch, "the key was used for another request")
	}
	return unknownOutcomeFault("a call with this key was sent and its answer was lost")
}

// claimFault returns the fault for a call whose claim was not decided by a
// quorum. The call was not sent. Without a quorum nothing proves that an earlier
// call with the key did not run, so the outcome is unknown unless the caller
// states that this is the first send.
func (c *call) claimFault(err error) *fault.Fault {
	return withoutClaim(c.r, noQuorumFault(err.Error()))
}

// withoutClaim returns the fault for a request that was rejected before its
// idempotency key was looked up. Unless the caller states that this is the first
// send, an earlier one may have run, so the outcome is unknown.
func withoutClaim(r *http.Request, f *fault.Fault) *fault.Fault {
	if r.Header.Get(headerIdempotency) == "" || r.Header.Get(headerFirstSend) == "true" {
		return f
	}
	unproved := *f
	unproved.Outcome = retry.Unknown
	return &unproved
}

func noQuorumFault(message string) *fault.Fault {
	return fault.NotRun(http.StatusServiceUnavailable, fault.NoQuorum, message).WithRetryAfter(2 * time.Second)
}

func unknownOutcomeFault(message string) *fault.Fault {
	return &fault.Fault{Status: http.StatusGatewayTimeout, Code: fault.UnknownOutcome, Message: message, Outcome: retry.Unknown}
}

// runClaimed sends a call whose claim was granted, and settles the claim.
func (c *call) runClaimed(ctx context.Context, w http.ResponseWriter, claim Claim) *fault.Fault {
	// A call that may run only once continues after its caller disconnects.
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, attempt, fail := c.attempt(ctx)
	settlement := SettleUnknown
	switch {
	case fail == nil:
		settlement = SettleAnswered
	case attempt.Outcome() == retry.NotRun:
		settlement = SettleReleased
	}
	select {
	case <-c.settle(ctx, claim, settlement, answer):
	case <-ctx.Done():
		// Settling goes on; the caller gets what is known.
	}
	if fail != nil {
		return fail
	}
	answer.write(w)
	return nil
}

// settle settles a claim in the background, for at most settleTimeout. The returned
// channel is closed when it has ended.
func (c *call) settle(ctx context.Context, claim Claim, s Settlement, answer RecordedAnswer) <-chan struct{} {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	ended := make(chan struct{})
	go func() {
		defer cancel()
		defer close(ended)
		if err := c.handler.Claims.Settle(ctx, claim, s, answer); err != nil {
			c.handler.Node.Count("claims.unsettled", 1)
			c.handler.Node.Log.WithError(err).WithField("key", claim.Key).Warn("claim not settled; resends of the key get an unknown outcome")
		}
	}()
	return ended
}

// digest returns a hash of the method, URI and body. It identifies the request
// that an idempotency key was used for.
func (c *call) digest() []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n", c.r.Method, c.r.URL.RequestURI())
	h.Write(c.body)
	return h.Sum(nil)
}

// attempt sends the call to one backend server and adds the server to triedBackends.
// Servers that take no request for now because of their rate limit are passed over.
func (c *call) attempt(ctx context.Context) (RecordedAnswer, retry.Attempt, *fault.Fault) {
	n := c.handler.Node
	if q, ok := n.Quarantine(c.route.Service, c.crashParts); ok {
		return RecordedAnswer{}, retry.Attempt{}, fault.FromQuarantine(q)
	}
	if n.AwaitSends(ctx) != nil {
		return RecordedAnswer{}, retry.Attempt{}, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "the call ended before this VM, which has just started, sent it").WithRetryAfter(time.Second)
	}
	for {
		b, ok := n.AcquireBackend(c.route.Service, c.triedBackends)
		if !ok {
			return RecordedAnswer{}, retry.Attempt{}, c.noBackendFault()
		}
		answer, a, fail, err := c.sendTo(ctx, b)
		n.ReleaseBackend(b.ID)
		c.recordCrash(ctx, b, a, err)
		var denied *limit.DeniedError
		if !errors.As(err, &denied) {
			if err != nil && ctx.Err() == nil {
				c.logFailedAttempt(b, err)
			}
			c.triedBackends = append(c.triedBackends, b.ID)
			return answer, a, fail
		}
	}
}

// noBackendFault returns the fault for a call that no backend server takes.
func (c *call) noBackendFault() *fault.Fault {
	if retryAfter, limited := c.handler.Node.RejectLimited(c.route.Service, c.triedBackends); limited {
		return fault.FromRateLimit(retryAfter)
	}
	return fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "no backend server of "+c.route.Service+" is present").WithRetryAfter(time.Second)
}

// recordCrash records what an attempt says of the server and of the call: whether one may
// have crashed under the other.
func (c *call) recordCrash(ctx context.Context, b member.Backend, a retry.Attempt, err error) {
	n := c.handler.Node
	switch {
	case a.ResponseComplete:
		n.EngineAnswered(b)
		n.PromptSurvived(c.crashParts)
	case a.Refused:
		n.EngineAnswered(b)
	case a.Sent && ctx.Err() == nil && pool.ClosedByPeer(err):
		n.PromptLost(c.crashParts, b, true)
	}
}

// sendTo sends the call to a backend server. err is the reason of the fault if there was
// no complete response.
func (c *call) sendTo(ctx context.Context, b member.Backend) (answer RecordedAnswer, a retry.Attempt, fail *fault.Fault, err error) {
	ctx, span := trace.Start(ctx, "call", attribute.String("backend", b.ID))
	defer span.End()
	purpose := node.FirstSend
	if len(c.triedBackends) > 0 {
		purpose = node.Retry
	}
	req, err := c.newBackendRequest(gate.WithBackend(ctx, b, purpose), "http://"+b.Addr.String())
	if err != nil {
		return answer, a, fault.NotRun(http.StatusBadRequest, fault.BadRequest, err.Error()), err
	}
	a.Sent = true
	res, err := c.handler.Transport.RoundTrip(req)
	if err != nil {
		a.Sent = pool.WasSent(err)
		return answer, a, callFault(a, err), err
	}
	defer res.Body.Close()
	if res.Header.Get(headerNotRun) != "" {
		a.Refused = true
		return answer, a, callFault(a, errors.New("the backend server refused the call")), nil
	}
	return c.readAnswer(res, a)
}

const (
	// maxIdlePerBackend is the largest number of idle connections to one backend server.
	maxIdlePerBackend = 32
	// idleTimeout is how long a connection to a backend server stays idle.
	idleTimeout = 90 * time.Second
)

// NewPool returns a pool of connections for plain calls, each of which is opened within connect.
func NewPool(connect time.Duration) *pool.Pool {
	return &pool.Pool{DialTimeout: connect, IdleTimeout: idleTimeout, MaxIdle: maxIdlePerBackend}
}

func (c *call) newBackendRequest(ctx context.Context, base string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.r.Method, base+c.r.URL.RequestURI(), bytes.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	// A call that runs at most once is not lost to the close of a connection that was idle.
	req.Close = !c.route.Idempotent
	for _, k := range []string{"Content-Type", "Accept", headerIdempotency} {
		if v := c.r.Header.Get(k); v != "" {
			req.Header.Set(k, v)
		}
	}
	req.Header.Set("Fold-Workspace", c.requester.workspace)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func (c *call) readAnswer(res *http.Response, a retry.Attempt) (RecordedAnswer, retry.Attempt, *fault.Fault, error) {
	body, reserved, err := c.handler.Node.Answers.Read(res.Body, res.ContentLength, c.handler.Node.Settings.Limits.MaxAnswer)
	c.reserved += reserved
	switch {
	case errors.Is(err, bound.ErrTooLarge), errors.Is(err, bound.ErrNoMemory):
		a.ResponseStarted = true
		f := unknownOutcomeFault(err.Error())
		f.Code = fault.AnswerTooLarge
		f.Status = http.StatusBadGateway
		return RecordedAnswer{}, a, f, err
	case err != nil:
		a.ResponseStarted = true
		return RecordedAnswer{}, a, callFault(a, err), err
	}
	a.ResponseComplete = true
	return RecordedAnswer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, a, nil, nil
}

func callFault(a retry.Attempt, err error) *fault.Fault {
	f := &fault.Fault{Status: http.StatusBadGateway, Code: fault.BackendFailed, Message: err.Error(), Outcome: a.Outcome()}
	switch f.Outcome {
	case retry.NotRun:
		f.Status = http.StatusServiceUnavailable
		f.RetryAfter = time.Second
	case retry.Unknown:
		f.Status = http.StatusGatewayTimeout
		f.Code = fault.UnknownOutcome
	}
	return f
}

// write sends a recorded answer as a complete response.
func (r RecordedAnswer) write(w http.ResponseWriter) {
	h := w.Header()
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	h.Set("Fold-Outcome", retry.Done.String())
	w.WriteHeader(r.Status)
	w.Write(r.Body)
}
