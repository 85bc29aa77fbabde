package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/bound"
	"fuchsiafold.example/netio/pool"
)

var (
	errServerError     = eris.New("the backend server answered with an error")
	errUnreachable     = eris.New("the backend server is silent and can't be reached")
	errNotGoneOn       = eris.New("the stream broke off, and no other backend server goes on with it")
	errStatusAfterHead = eris.New("the response that should go on with the stream is an error")
)

const (
	// silenceCheckInterval is the time between two checks whether the server of a resumable
	// stream is silent.
	silenceCheckInterval = 100 * time.Millisecond
	// suspectResumableAfter is the silence after which the server of a resumable stream is
	// probed, unless it began a response to this VM within the last second. Two failed
	// connections and the pause between them take 850 ms, so a server that was cut off is known
	// as unreachable 1.25 to 1.85 s after its last byte.
	suspectResumableAfter = 400 * time.Millisecond
)

// resumption is the change of a stream to another backend server.
type resumption struct {
	// from is the ID of the server whose response ended, and cause is how.
	from  string
	cause retry.StreamEnd
	since time.Time
}

// decide decides what follows the end of a response.
func (s *stream) decide(end retry.StreamEnd) retry.StreamStep {
	q := s.q
	state := retry.StreamState{
		Resumable: q.forward.Resumable, Attempts: q.forward.Attempts, Sent: q.sent, Excused: s.excused,
		MayHaveRun: q.mayHaveRun, HeadSent: s.headerSent, LastEventID: s.lastEventID, Unnumbered: s.unnumbered,
		TakeRetry: s.takeRetry,
	}
	step := state.Next(end)
	if step.Denied && q.forward.Resumable {
		q.relay.Node.Count("streams.resumesDenied", 1)
	}
	return step
}

// takeRetry takes a retry from the budget.
func (s *stream) takeRetry() bool { return s.q.relay.Node.TakeForwardRetry(s.q.service.Name) }

// goesOn reports whether the stream is to go on at another backend server after its response from
// b, which has been closed, ended with err. If so, the retry is taken from the budget.
func (s *stream) goesOn(ctx context.Context, b backend, end retry.StreamEnd, err error) bool {
	q := s.q
	if !q.forward.Resumable || s.errorSent {
		return false
	}
	switch {
	case q.caller.Disconnected():
		end = retry.StreamCallerGone
	case ctx.Err() != nil:
		end = retry.StreamDeadline
	}
	if s.excuses(b, end, err) {
		s.excused++
	}
	step := s.decide(end)
	again := step.Action == retry.Restart || step.Action == retry.GoOn
	q.relay.Node.Log.WithError(err).WithFields(logrus.Fields{
		"request": q.params.ID, "from": b.ID, "cause": end.String(), "again": again, "denied": step.Denied, "after": step.After,
		"events": s.events, "sent": q.sent, "excused": s.excused, "ms": sinceArrival(q).Milliseconds(),
	}).Info("response of a resumable stream ended early")
	if !again {
		return false
	}
	// A move of the run that was left must not stop it any more.
	s.mu.Lock()
	s.server = backend{}
	if s.move != nil {
		s.move.giveUp()
	}
	s.mu.Unlock()
	if !slices.Contains(s.tried, b.ID) {
		// The run was moved there.
		s.tried = append(s.tried, b.ID)
	}
	q.retryGranted, q.position = true, s.lastEventID
	s.resumption = &resumption{from: b.ID, cause: end, since: time.Now()}
	s.placement = place.Request{Run: s.initialRun, PromptTokens: q.params.Prompt.Tokens, Progress: s.generated}
	s.placement.Late = s.late.Load()
	q.relay.Node.Count("streams.ended."+end.String(), 1)
	return true
}

// excuses reports whether the failure at server b says nothing of the request: the server is
// leaving, has left or was cut off, or the request is known not to crash servers.
func (s *stream) excuses(b backend, end retry.StreamEnd, err error) bool {
	if end == retry.StreamServerLeft || s.survived {
		return true
	}
	if current, ok := s.q.relay.Node.Backend(b.ID); !ok || current.Leaving {
		return true
	}
	for _, cause := range []error{errUnreachable, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// endOf classifies the error with which a response ended.
func endOf(err error) retry.StreamEnd {
	is := func(target error) bool { return errors.Is(err, target) }
	switch {
	case is(errServerError):
		return retry.StreamServerError
	case is(errUnreachable):
		return retry.StreamSilent
	case is(errPartialEvent):
		return retry.StreamPartialEvent
	case is(errServerGone), is(errNoEvents):
		return retry.StreamNoEndMark
	case is(errEventTooLarge), is(errUnsupportedStatus), is(bound.ErrTooLarge):
		return retry.StreamInvalid
	}
	return retry.StreamReset
}

// isServerError reports whether a response to the stream's request is an error that another
// server may do better than. Once the caller has the head of its response, only a stream can
// go on with it.
func (s *stream) isServerError(res *pool.Response) bool {
	if !s.q.forward.Resumable {
		return false
	}
	return failedStatus(res.Status) || s.headerSent && res.Status != http.StatusOK
}

// acceptError handles a server error. It returns true if the caller gets it, and a fault if the
// stream ends; otherwise the request is sent again.
func (s *stream) acceptError(ctx context.Context, b backend, res *pool.Response) (bool, *fault.Fault) {
	n, placed := s.q.relay.Node, s.placement
	if s.goesOn(ctx, b, retry.StreamServerError, eris.Wrapf(errServerError, "status %d", res.Status)) {
		res.Body.Close()
		n.EngineAnswered(b)
		n.EndPlacement(b.ID, placed, place.Answered)
		return false, nil
	}
	if !s.headerSent {
		return true, nil
	}
	res.Body.Close()
	n.EndPlacement(b.ID, placed, place.Answered)
	return false, s.interruptedFault(errStatusAfterHead)
}

// afterRun returns the fault for the caller of a stream that no further server takes. Status 503
// would claim that the request has not run, so a refusal after a possible run gets 502.
func (s *stream) afterRun(ctx context.Context, f *fault.Fault) *fault.Fault {
	switch {
	case !s.q.forward.Resumable || !s.q.mayHaveRun:
		return f
	case ctx.Err() != nil:
		return s.q.timeoutFault(ctx)
	case s.headerSent:
		return s.interruptedFault(eris.Wrap(errNotGoneOn, f.Message))
	case f.Outcome == retry.NotRun:
		return &fault.Fault{Status: http.StatusBadGateway, Code: fault.BackendFailed, Message: f.Message, Outcome: retry.Unknown, RetryAfter: f.RetryAfter}
	}
	return f
}

// recordResumption logs and counts that the stream goes on at its server.
func (s *stream) recordResumption(b backend) {
	r := s.resumption
	if r == nil {
		return
	}
	s.resumption = nil
	q := s.q
	q.resumes++
	q.resumeCause, q.resumedFrom = r.cause.String(), r.from
	took := time.Since(r.since)
	q.relay.Node.Count("streams.resumed", 1)
	q.relay.Node.Observe("streams.resumeMicros", took)
	q.relay.Node.Log.WithFields(logrus.Fields{
		"request": q.params.ID, "from": r.from, "to": b.ID, "cause": r.cause.String(), "after": s.lastEventID, "events": s.events,
		"tookMs": took.Milliseconds(), "ms": sinceArrival(q).Milliseconds(),
	}).Info("stream goes on at another backend server")
}

// exchange sends the request to server b. The connection to the server before has been closed. If
// the stream is resumable, the attempt ends once its server is found to be silent.
func (s *stream) exchange(ctx context.Context, b backend) (*pool.Response, error) {
	q := s.q
	s.splitter.Reset()
	return q.exchange(s.beginAttempt(ctx, b), b, q.sendPurpose(), nil)
}

// beginAttempt returns the context of an attempt at server b. It is ctx itself unless the stream
// is resumable; otherwise it ends once the server is found to be silent.
func (s *stream) beginAttempt(ctx context.Context, b backend) context.Context {
	if !s.q.forward.Resumable {
		return ctx
	}
	s.endAttempt(nil)
	s.attempt, s.endAttempt = context.WithCancelCause(ctx)
	go s.watchAttempt(s.attempt, s.endAttempt, b)
	return s.attempt
}

// stopWatching ends the watch on the last attempt, whose run was moved or which has no response.
func (s *stream) stopWatching() {
	s.endAttempt(nil)
	s.attempt = nil
}

// attemptError returns why the attempt was ended, if it was, or else err, with which its response
// ended.
func (s *stream) attemptError(ctx context.Context, err error) error {
	if err == nil || s.attempt == nil || ctx.Err() != nil {
		return err
	}
	if cause := context.Cause(s.attempt); cause != nil {
		return cause
	}
	return err
}

// watchAttempt ends an attempt whose server is silent, until ctx is done.
func (s *stream) watchAttempt(ctx context.Context, end context.CancelCauseFunc, b backend) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for began := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		heard := s.heardAt
		s.mu.Unlock()
		if heard.Before(began) {
			heard = began
		}
		n := s.q.relay.Node
		switch {
		case time.Since(heard) >= suspectResumableAfter && n.Unreachable(b.ID):
			end(errUnreachable)
			return
		case time.Since(heard) >= suspectResumableAfter:
			n.SuspectServer(b)
		}
	}
}
