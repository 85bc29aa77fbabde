package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
)

// open sends the request to a backend server and returns its response. It tries
// another server only if the request provably did not run. Rejections count
// against the forward's attempts and the retry budget, unreachable servers only
// against maxUnsent.
func (s *stream) open(ctx context.Context) (*pool.Response, *fault.Fault) {
	q := s.q
	var tried []string
	for unsent := 0; unsent < maxUnsent && q.denials < maxDenials; {
		b, ok, f := s.choose(ctx, tried)
		if f != nil {
			return nil, f
		}
		if !ok {
			break
		}
		res, err := q.exchange(ctx, b, q.sendPurpose(), nil)
		if q.denied(err) {
			q.relay.Node.EndPlacement(b.ID, s.placement, place.Cancelled)
			continue
		}
		tried = append(tried, b.ID)
		switch {
		case err == nil:
			if accepted, f := s.accept(b, res); accepted || f != nil {
				return res, f
			}
		case ctx.Err() != nil:
			return nil, s.cancelOpen(ctx, b, err)
		case wasSent(err):
			return nil, s.failOpen(b, err)
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

// accept handles the header of a response. It returns false if the server rejected the
// request as not run, and a fault if no further server may be asked then.
func (s *stream) accept(b backend, res *pool.Response) (bool, *fault.Fault) {
	q := s.q
	q.sent++
	reply := q.relay.Codec.ParseReply(res.Status, res.Header)
	if !reply.NotRun && !reply.WrongInstance {
		s.attach(b)
		return true, nil
	}
	res.Body.Close()
	q.relay.recordRejection(b, s.placement, reply)
	if q.sent >= max(q.forward.Attempts, 1) || !q.relay.Node.TakeForwardRetry(q.service.Name) {
		return false, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "the backend server refused the request").WithRetryAfter(rejectedRetryAfter)
	}
	return false, nil
}

// cancelOpen ends an attempt whose request has timed out or whose caller has
// disconnected, or whose VM ends.
func (s *stream) cancelOpen(ctx context.Context, b backend, err error) *fault.Fault {
	s.q.relay.Node.EndPlacement(b.ID, s.placement, place.Cancelled)
	if wasSent(err) {
		s.q.sent++
	}
	return s.q.timeoutFault(ctx)
}

// failOpen ends an attempt that may have run and got no response.
func (s *stream) failOpen(b backend, err error) *fault.Fault {
	s.recordLoss(b, false, err)
	s.q.relay.Node.EndPlacement(b.ID, s.placement, place.Failed)
	s.q.sent++
	return &fault.Fault{Status: http.StatusBadGateway, Code: fault.BackendFailed, Message: err.Error(), Outcome: retry.Unknown}
}

// wasSent reports whether a request that failed may have reached the server.
func wasSent(err error) bool {
	var pe *pool.Error
	return !errors.As(err, &pe) || pe.Sent
}

// firstTokenBudget returns the time left until the first token is due. It is at
// least 1 ns if the forward has a target, and zero otherwise.
func (s *stream) firstTokenBudget() time.Duration {
	q := s.q
	target := time.Duration(q.forward.Target.FirstToken)
	if target == 0 {
		return 0
	}
	return max(time.Until(q.arrived.Add(target)), 1)
}
