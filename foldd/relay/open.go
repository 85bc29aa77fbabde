package relay

import (
	"context"
	"net/http"
	"time"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
)

// open sends the request to a backend server and returns its response. It tries
// another server only if the request provably did not run, or may run more than
// once. Rejections and failures count against the forward's attempts and the retry
// budget, unreachable servers only against maxUnsent.
func (s *stream) open(ctx context.Context) (*pool.Response, *fault.Fault) {
	q := s.q
	for unsent := 0; unsent < maxUnsent && q.denials < maxDenials; {
		b, ok, f := s.choose(ctx, s.tried)
		if f != nil {
			return nil, f
		}
		if !ok {
			break
		}
		res, err := s.exchange(ctx, b)
		if q.denied(err) {
			q.relay.Node.EndPlacement(b.ID, s.placement, place.Cancelled)
			continue
		}
		s.tried = append(s.tried, b.ID)
		switch {
		case err == nil:
			accepted, f := s.accept(ctx, b, res)
			if f != nil {
				return nil, f
			}
			if accepted {
				return res, nil
			}
		case ctx.Err() != nil:
			return nil, s.cancelOpen(ctx, b, err)
		case pool.WasSent(err):
			if f := s.failOpen(ctx, b, err); f != nil {
				return nil, f
			}
		default:
			q.relay.logAttempt(q, b, err)
			q.relay.Node.EndPlacement(b.ID, s.placement, place.Unreachable)
			q.relay.connectFailed(b, err)
			unsent++
		}
	}
	if q.denials >= maxDenials {
		return nil, fault.FromRateLimit(rejectedRetryAfter)
	}
	return nil, fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "no backend server of "+q.service.Name+" takes the request").WithRetryAfter(notReadyRetryAfter)
}

// choose returns the server that the request is sent to next, other than the excluded
// ones. ok is false if no server is left.
func (s *stream) choose(ctx context.Context, exclude []string) (b backend, ok bool, f *fault.Fault) {
	q := s.q
	if f := q.checkQuarantine(); f != nil {
		return b, false, f
	}
	req := s.placement
	req.Exclude, req.FirstTokenBudget = exclude, s.firstTokenBudget()
	choice, ok := q.relay.Node.Place(ctx, q.service.Name, req)
	switch {
	case !ok:
		return b, false, nil
	case choice.Full:
		return b, false, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "every engine is full or would begin too late").WithRetryAfter(choice.RetryAfter)
	case choice.Rejects():
		return b, false, rejectionFault(choice)
	}
	q.backend, q.placedBy = choice.Server.ID, choice.ChosenBy
	s.logSend(req)
	return choice.Server, true, nil
}

// accept handles the header of a response. It returns false if the request is sent to
// another server, as this one rejected it as not run or answered a resumable stream with an
// error, and a fault if no further server may be asked then.
func (s *stream) accept(ctx context.Context, b backend, res *pool.Response) (bool, *fault.Fault) {
	q := s.q
	q.sent++
	q.retryGranted = false
	reply := q.relay.Codec.ParseReply(res.Status, res.Header)
	if reply.NotRun || reply.WrongInstance {
		res.Body.Close()
		q.relay.recordRejection(b, s.placement, reply)
		return false, s.decideRefused()
	}
	q.mayHaveRun = q.mayHaveRun || q.forward.Resumable
	if s.isServerError(res) {
		if accepted, f := s.acceptError(ctx, b, res); !accepted {
			return false, f
		}
	}
	if err := q.checkStatus(b, res.Status); err != nil {
		res.Body.Close()
		q.relay.Node.EngineAnswered(b)
		q.relay.Node.EndPlacement(b.ID, s.placement, place.Answered)
		return false, failedFault(err)
	}
	s.recordResumption(b)
	s.attach(b)
	s.prefilling, s.eventsBefore = true, s.events
	return true, nil
}

// decideRefused decides what follows a server's statement that it did not begin the request.
// It returns a fault unless the request is sent to another server.
func (s *stream) decideRefused() *fault.Fault {
	switch step := s.decide(retry.StreamRefused); step.Action {
	case retry.Restart, retry.GoOn:
		s.q.retryGranted = s.q.forward.Resumable
		return nil
	}
	return fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "the backend server refused the request").WithRetryAfter(rejectedRetryAfter)
}

// cancelOpen ends an attempt whose request has timed out or whose caller has
// disconnected, or whose VM ends.
func (s *stream) cancelOpen(ctx context.Context, b backend, err error) *fault.Fault {
	s.q.relay.Node.EndPlacement(b.ID, s.placement, place.Cancelled)
	if pool.WasSent(err) {
		s.q.sent++
		s.q.retryGranted = false
	}
	return s.q.timeoutFault(ctx)
}

// failOpen ends an attempt that may have run and got no response. It returns nil if the
// request is sent to another server.
func (s *stream) failOpen(ctx context.Context, b backend, err error) *fault.Fault {
	s.recordLoss(b, false, err)
	s.q.relay.Node.EndPlacement(b.ID, s.placement, place.Failed)
	s.q.sent++
	s.q.retryGranted = false
	s.q.mayHaveRun = s.q.mayHaveRun || s.q.forward.Resumable
	if s.goesOn(ctx, b, endOf(err), err) {
		return nil
	}
	return failedFault(err)
}

// firstTokenBudget returns the time left until the first token is due. It is at
// least 1 ns if the forward has a target, and zero otherwise.
func (s *stream) firstTokenBudget() time.Duration {
	q := s.q
	target := time.Duration(q.forward.Target.FirstToken)
	if target == 0 {
		return 0
	}
	if s.resumption != nil {
		// Placement rejects a request whose first event would come after the budget. Past the
		// target, the caller still gets its events by the deadline.
		return max(time.Until(q.deadline), 1)
	}
	return max(time.Until(q.arrived.Add(target)), 1)
}
