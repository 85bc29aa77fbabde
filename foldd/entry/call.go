package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/trace"
)

// headerNotRun is the response header by which a plain service says that it
// did not begin a call.
const headerNotRun = "Fold-Not-Run"

// headerFirstSend is the request header by which a caller says that it never
// sent the idempotency key before.
const headerFirstSend = "Fold-First-Send"

const maxKey = 255

// call is one call of a plain service.
type call struct {
	entry *Handler
	asker asker
	route spec.Route
	r     *http.Request
	body  []byte
	// avoid lists the backend servers that failed the call.
	avoid []string
}

// call serves a call by its route.
func (e *Handler) call(ctx context.Context, w http.ResponseWriter, r *http.Request, a asker) *fault.Fault {
	route, ok := a.index.Route(r.URL.Path)
	if !ok {
		return fault.NotRun(http.StatusNotFound, fault.UnknownRoute, "no route for "+strconv.Quote(r.URL.Path))
	}
	if !slices.Contains(route.Methods, r.Method) {
		return fault.NotRun(http.StatusMethodNotAllowed, fault.UnknownRoute, "the route takes no "+r.Method)
	}
	body, fail := e.readBody(r)
	if fail != nil {
		return fail
	}
	e.Node.Count("calls."+route.Service, 1)
	c := &call{entry: e, asker: a, route: route, r: r, body: body}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(route.Timeout))
	defer cancel()
	if route.Idempotent {
		return c.idempotent(ctx, w)
	}
	return c.once(ctx, w)
}

// idempotent sends the call until a backend server answers, within budget.
func (c *call) idempotent(ctx context.Context, w http.ResponseWriter) *fault.Fault {
	n := c.entry.Node
	n.CountFirstAttempt()
	for attempts := 1; ; attempts++ {
		answer, attempt, fail := c.attempt(ctx)
		if fail == nil {
			answer.write(w)
			return nil
		}
		if ctx.Err() != nil || !attempt.Retryable(true) {
			return fail
		}
		wait, ok := n.TakeRetry(attempts)
		if !ok {
			return fail
		}
		n.Count("calls.retries", 1)
		sleep(ctx, wait)
	}
}

// once runs the call at most once for its workspace and key.
func (c *call) once(ctx context.Context, w http.ResponseWriter) *fault.Fault {
	key := c.r.Header.Get(headerIdempotency)
	if key == "" || len(key) > maxKey {
		return fault.NotRun(http.StatusBadRequest, fault.IdempotencyKeyNeeded, fmt.Sprintf("this call may run only once: send an %s of 1 to %d bytes", headerIdempotency, maxKey))
	}
	if c.entry.Claims == nil {
		return noQuorum("this deployment has no control VM")
	}
	claim := Claim{Workspace: c.asker.workspace, Key: key, Digest: c.digest(), Nonce: newGenerationID(), Timeout: time.Duration(c.route.Timeout)}
	state, recorded, err := c.entry.Claims.Claim(ctx, claim)
	if err != nil {
		return c.unclaimed(err)
	}
	switch state {
	case ClaimGranted:
		return c.granted(ctx, w, claim)
	case ClaimDone:
		c.entry.Node.Count("calls.replayed", 1)
		w.Header().Set("Fold-Replayed", "true")
		recorded.write(w)
		return nil
	case ClaimPending:
		return &fault.Fault{Status: http.StatusConflict, Code: fault.InProgress, Message: "a call with this key is in progress", Outcome: retry.Unknown, RetryAfter: time.Second}
	case ClaimMismatch:
		return fault.NotRun(http.StatusUnprocessableEntity, fault.IdempotencyKeyMismatch, "the key was used for another request")
	}
	return unknownOutcome("a call with this key was sent and its answer was lost")
}

// unclaimed makes the fault for a call whose claim no quorum decided. This
// send has not run, but without a quorum nothing proves that no earlier send of
// the key did, unless the caller says that there was none.
func (c *call) unclaimed(err error) *fault.Fault {
	f := noQuorum(err.Error())
	if c.r.Header.Get(headerFirstSend) != "true" {
		f.Outcome = retry.Unknown
	}
	return f
}

func noQuorum(message string) *fault.Fault {
	return fault.NotRun(http.StatusServiceUnavailable, fault.NoQuorum, message).WithRetryAfter(2 * time.Second)
}

func unknownOutcome(message string) *fault.Fault {
	return &fault.Fault{Status: http.StatusGatewayTimeout, Code: fault.UnknownOutcome, Message: message, Outcome: retry.Unknown}
}

// granted dispatches a claimed call and records how it ended.
func (c *call) granted(ctx context.Context, w http.ResponseWriter, claim Claim) *fault.Fault {
	// A caller that leaves does not stop a call that may run only once.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(c.route.Timeout))
	defer cancel()
	answer, attempt, fail := c.attempt(ctx)
	settlement := SettleUnknown
	switch {
	case fail == nil:
		settlement = SettleAnswered
	case attempt.Outcome() == retry.NotRun:
		settlement = SettleReleased
	}
	settle, done := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer done()
	if err := c.entry.Claims.Settle(settle, claim, settlement, answer); err != nil {
		c.entry.Node.Count("claims.unsettled", 1)
	}
	if fail != nil {
		return fail
	}
	answer.write(w)
	return nil
}

// digest identifies the request behind an idempotency key.
func (c *call) digest() []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\n%s\n", c.r.Method, c.r.URL.RequestURI())
	h.Write(c.body)
	return h.Sum(nil)
}

// attempt sends the call to one backend server.
func (c *call) attempt(ctx context.Context) (RecordedAnswer, retry.Attempt, *fault.Fault) {
	var a retry.Attempt
	n := c.entry.Node
	b, ok := n.AcquireBackend(c.route.Service, c.avoid)
	if !ok {
		return RecordedAnswer{}, a, fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "no backend server of "+c.route.Service+" is present").WithRetryAfter(time.Second)
	}
	defer n.ReleaseBackend(b.ID)
	c.avoid = append(c.avoid, b.ID)
	ctx, span := trace.Start(ctx, "call", attribute.String("backend", b.ID))
	defer span.End()
	req, err := c.outgoing(ctx, "http://"+b.Addr.String())
	if err != nil {
		return RecordedAnswer{}, a, fault.NotRun(http.StatusBadRequest, fault.BadRequest, err.Error())
	}
	a.Sent = true
	res, err := c.transport().RoundTrip(req)
	if err != nil {
		// A dial that failed has sent nothing.
		var op *net.OpError
		a.Sent = !(errors.As(err, &op) && op.Op == "dial")
		return RecordedAnswer{}, a, callFault(a, err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerNotRun) != "" {
		a.Refused = true
		return RecordedAnswer{}, a, callFault(a, errors.New("the backend server refused the call"))
	}
	return c.receive(res, a)
}

func (c *call) transport() http.RoundTripper {
	if c.route.Idempotent {
		return c.entry.IdempotentTransport
	}
	return c.entry.AtMostOnceTransport
}

// NewIdempotentTransport returns the transport for idempotent calls.
func NewIdempotentTransport(connect time.Duration) http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connect}).DialContext,
		MaxIdleConnsPerHost: maxIdleCalls,
		DisableCompression:  true,
	}
}

// NewAtMostOnceTransport returns the transport for calls that run at most once. It
// opens a connection for each call: on a reused one that breaks, the standard
// transport sends a request again by itself if it has an Idempotency-Key.
func NewAtMostOnceTransport(connect time.Duration) http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: connect}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

const maxIdleCalls = 32

func (c *call) outgoing(ctx context.Context, base string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.r.Method, base+c.r.URL.RequestURI(), bytes.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	for _, k := range []string{"Content-Type", "Accept", headerIdempotency} {
		if v := c.r.Header.Get(k); v != "" {
			req.Header.Set(k, v)
		}
	}
	req.Header.Set("Fold-Workspace", c.asker.workspace)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func (c *call) receive(res *http.Response, a retry.Attempt) (RecordedAnswer, retry.Attempt, *fault.Fault) {
	limit := c.entry.Node.Settings.Limits.MaxAnswer
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	if err != nil {
		a.ResponseStarted = true
		return RecordedAnswer{}, a, callFault(a, err)
	}
	if len(body) > limit {
		a.ResponseStarted = true
		f := unknownOutcome("the answer exceeds the size limit")
		f.Code = fault.AnswerTooLarge
		f.Status = http.StatusBadGateway
		return RecordedAnswer{}, a, f
	}
	a.ResponseComplete = true
	return RecordedAnswer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, a, nil
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

// write sends a recorded answer as a whole response.
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
