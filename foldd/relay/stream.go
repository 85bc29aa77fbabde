package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"fuchsiafold.example/fold/event"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

// readChunk is the size of one read of a stream in bytes.
const readChunk = 4 << 10

// stream is one run whose events go to a caller as they come.
type stream struct {
	q *request
	w http.ResponseWriter
	// header is set once the caller has the answer's header.
	header bool
	split  event.Splitter

	// kind is the run as it begins.
	kind place.Run

	mu sync.Mutex
	// at is the backend server of the run, want what is counted there.
	at   backend
	want place.Request
	// events counts the events passed on, last is the ID of the last one; learned
	// is the number of tokens that was told of the run's length.
	events  int
	last    string
	learned int
	// firstAt and lastAt are when the first and the last event came.
	firstAt, lastAt time.Time
	// pause is the longest time between two events.
	pause time.Duration
	// claimed is set while a move has the stream.
	claimed bool
	// move is set while the run is being moved; its done is closed at the end.
	move *move
}

// serveStream forwards a request whose answer is a stream of events.
func (x *Relay) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{q: q, w: w, kind: q.run()}
	s.kind.ID = x.Node.NextRunID()
	s.want = place.Request{Run: s.kind, PromptTokens: q.ask.Prompt.Tokens, Progress: s.made}
	f := s.run(ctx)
	q.events, q.firstEvent, q.pause = s.events, s.firstAt, s.pause
	gone := q.caller.Disconnected() || errors.Is(context.Cause(ctx), serve.ErrCallerDisconnected)
	switch {
	case f == nil:
		q.log(http.StatusOK, retry.Done, "")
		x.Node.Observe("forward.micros."+q.forward.Kind, sinceArrival(q))
	case gone:
		q.log(0, retry.Interrupted, "the caller has gone")
		q.caller.Abort()
	case s.header:
		x.Node.Count("errors."+f.Code, 1)
		q.log(f.Status, retry.Interrupted, f.Message)
		q.caller.Abort()
	default:
		x.refuse(w, q, f)
	}
}

// run sends the request and passes its events on until their end.
func (s *stream) run(ctx context.Context) *fault.Fault {
	res, f := s.open(ctx)
	if f != nil {
		return f
	}
	for {
		err := s.pass(res)
		m := s.moved()
		switch {
		case err != nil && ctx.Err() != nil:
			s.leave(place.Cancelled)
			s.drop(m)
			return s.q.expired()
		case m != nil && m.handle != "":
			if res = s.resume(ctx, m); res == nil {
				return s.broken(errCut)
			}
		case err != nil:
			s.leave(place.Failed)
			s.q.relay.logAttempt(s.q, s.at, err)
			return s.broken(err)
		default:
			s.learn(true)
			s.leave(place.Answered)
			return nil
		}
	}
}

func (s *stream) broken(err error) *fault.Fault {
	return &fault.Fault{Status: http.StatusBadGateway, Code: fault.Interrupted, Message: err.Error(), Outcome: retry.Interrupted}
}

// open sends the request to a backend server. Another one is tried only if the
// request provably did not get to run, within the forward's attempts.
func (s *stream) open(ctx context.Context) (*pool.Response, *fault.Fault) {
	q := s.q
	var avoid []string
	most := max(q.forward.Attempts, 1)
	for unsent := 0; unsent < maxUnsent; {
		want := s.want
		want.Exclude, want.FirstTokenBudget = avoid, s.untilDue()
		choice, ok := q.relay.Node.Place(ctx, q.service.Name, want)
		if !ok {
			break
		}
		if choice.Full {
			return nil, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "every engine is full or would begin too late").WithRetryAfter(choice.RetryAfter)
		}
		b := choice.Server
		avoid = append(avoid, b.ID)
		q.backend, q.placedBy = b.ID, choice.ChosenBy
		res, err := q.relay.Pool.Do(ctx, q.onward(b, nil))
		if err == nil {
			q.sent++
			reply := q.relay.Codec.ParseReply(res.Status, res.Header)
			if !reply.NotRun && !reply.WrongInstance {
				s.enter(b)
				return res, nil
			}
			res.Body.Close()
			q.relay.turnedAway(b, s.want, reply)
			if q.sent >= most || !q.relay.Node.TakeForwardRetry(q.service.Name) {
				return nil, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "the backend server refused the request").WithRetryAfter(turnaway)
			}
			continue
		}
		var pe *pool.Error
		sent := !errors.As(err, &pe) || pe.Sent
		if ctx.Err() != nil {
			q.relay.Node.EndPlacement(b.ID, s.want, place.Cancelled)
			if sent {
				q.sent++
			}
			return nil, q.expired()
		}
		q.relay.logAttempt(q, b, err)
		if sent {
			q.relay.Node.EndPlacement(b.ID, s.want, place.Failed)
			q.sent++
			return nil, &fault.Fault{Status: http.StatusBadGateway, Code: fault.BackendFailed, Message: err.Error(), Outcome: retry.Unknown}
		}
		q.relay.Node.EndPlacement(b.ID, s.want, place.Unreachable)
		unsent++
	}
	return nil, fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "no backend server of "+q.service.Name+" takes the request").WithRetryAfter(notReady)
}

// untilDue returns the time left until the first token is due, zero for never.
func (s *stream) untilDue() time.Duration {
	q := s.q
	target := time.Duration(q.forward.Target.FirstToken)
	if target == 0 {
		return 0
	}
	return max(time.Until(q.arrived.Add(target)), 1)
}

// enter puts the stream among the runs of its backend server.
func (s *stream) enter(b backend) {
	s.mu.Lock()
	s.at = b
	s.mu.Unlock()
	s.q.relay.enter(s, b)
}

// leave takes the stream from the runs of its backend server.
func (s *stream) leave(o place.Result) {
	s.q.relay.leave(s, s.at)
	s.q.relay.Node.EndPlacement(s.at.ID, s.want, o)
}

// pass hands events on until the answer ends. A nil error is a whole answer.
func (s *stream) pass(res *pool.Response) error {
	defer res.Body.Close()
	if !sayable(res.Status) {
		return errStatus
	}
	if !s.header {
		s.header = true
		copyHeader(s.w, res.Header)
		s.w.WriteHeader(res.Status)
	}
	events := res.Status == http.StatusOK
	buf := make([]byte, readChunk)
	for {
		n, err := res.Body.Read(buf)
		s.split.Write(buf[:n])
		if events {
			s.passEvents()
		}
		if err == io.EOF {
			return s.finish(events)
		}
		if err != nil {
			s.split.Reset()
			return err
		}
		if s.q.caller.Disconnected() {
			return serve.ErrCallerDisconnected
		}
	}
}

// passEvents hands the whole events on that have come.
func (s *stream) passEvents() {
	any := false
	for e := s.split.Next(); e != nil; e = s.split.Next() {
		any = true
		// A caller that is gone is noticed by the server.
		_, _ = s.w.Write(e)
		s.mu.Lock()
		s.events++
		if id := event.ID(e); id != "" {
			s.last = id
		}
		first := s.events == 1
		now := time.Now()
		if first {
			s.firstAt = now
		} else {
			s.pause = max(s.pause, now.Sub(s.lastAt))
		}
		s.lastAt = now
		s.mu.Unlock()
		if first {
			s.prefilled()
		}
	}
	s.learn(false)
	if f, ok := s.w.(http.Flusher); any && ok {
		f.Flush()
	}
}

// prefilled says that the run's prompt has been read.
func (s *stream) prefilled() {
	n := s.q.relay.Node
	n.Observe("forward.firstEventMicros", sinceArrival(s.q))
	n.Prefilled(s.at.ID, s.want)
	s.want.PromptTokens = 0
}

// learnStep is the growth in tokens after which a run's length is told.
const learnStep = 64

// learn tells how the run has grown, and that it ended by itself.
func (s *stream) learn(ended bool) {
	made := s.made()
	if made == 0 || (!ended && made-s.learned < learnStep) {
		return
	}
	s.q.relay.Node.RecordLength(s.q.service.Name, place.LengthSample{Group: s.kind.Group, From: s.learned, To: made, Ended: ended})
	s.learned = made
}

// finish hands on what is left at the end of an answer, unless the run goes on
// elsewhere.
func (s *stream) finish(events bool) error {
	if m := s.moving(); m != nil && events {
		return nil
	}
	_, _ = s.w.Write(s.split.Rest())
	s.split.Reset()
	return nil
}
