package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiafold.example/fold/event"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/bound"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

// readChunk is the size of the read buffer of a stream in bytes.
const readChunk = 4 << 10

// stream is a request whose events are sent to the caller as they arrive.
type stream struct {
	q *request
	w http.ResponseWriter
	// headerSent is set once the response header was written to the caller.
	headerSent bool
	// errorSent is set if that header was the one of a response that is no stream of events.
	errorSent bool
	splitter  event.Splitter

	// viaPeer is set if another VM serves the stream, and has its run.
	viaPeer bool

	// initialRun describes the run at its start, without generated tokens.
	initialRun place.Run

	// late is set once the run has missed one of its targets.
	late atomic.Bool

	// mu protects the fields below, which the goroutine of a move also uses. Only the
	// stream's own goroutine writes server, events, lastEventID, firstAt and lastAt,
	// so it reads them without the lock; it alone uses placement, reportedTokens,
	// maxEventGap and returnChecked.
	mu sync.Mutex
	// server is the backend server of the run, without an ID while another one is looked for
	// to go on with the stream. placement is the request with
	// which the run was placed there and with which the placement must be ended.
	server    backend
	placement place.Request
	// events counts the events sent to the caller, and lastEventID is the ID of
	// the last one that had an ID. reportedTokens is the length of the run when
	// it was last recorded.
	events         int
	lastEventID    string
	reportedTokens int
	// firstAt and lastAt are when the first and the last event were sent.
	firstAt, lastAt time.Time
	// maxEventGap is the longest time between two events.
	maxEventGap time.Duration
	// moveBegun is set once a move has begun, so that there is no second one
	// at the same time. It stays set if no copy of the run succeeds.
	moveBegun bool
	// returnChecked is when it was last asked whether the run can return to this
	// VM's failure domain.
	returnChecked time.Time
	// move is set from the start of the final copy until awaitMove; move.done is
	// closed when that copy has ended.
	move *move
	// heardAt is when the server of a resumable stream last sent anything.
	heardAt time.Time
	// ended is set once no further events will come.
	ended bool

	// Only the stream's own goroutine uses the fields below.

	// tried holds the IDs of the servers that the request was sent to, or that can't be
	// reached.
	tried []string
	// excused is as in retry.StreamState.
	excused int
	// received counts the events that servers sent, including those that the caller had
	// already and that were dropped. eventsBefore is the number of events that were sent to
	// the caller before the run's server was asked without its memory.
	received, eventsBefore int
	// changedServer is set until the first event of a server that goes on with the run.
	changedServer bool
	// unnumbered is set if the last event that was sent to the caller had no ID.
	unnumbered bool
	// prefilling is set until the run's first event at a server that reads its prompt.
	prefilling bool
	// resumption is set while another server is looked for to go on with the stream.
	resumption *resumption
	// attempt is the context of the last send of a resumable stream, nil for others, and
	// endAttempt ends it.
	attempt    context.Context
	endAttempt context.CancelCauseFunc
	// survived is set once the run's prompt is known not to crash its engine. Only
	// the stream's own goroutine uses it.
	survived bool
}

// serveStream forwards a request whose response is a stream of events.
func (x *Relay) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{q: q, w: w, initialRun: q.newRun(), endAttempt: func(error) {}}
	if q.forward.Resumable {
		s.lastEventID, q.position = q.params.LastEventID, q.params.LastEventID
	}
	s.initialRun.ID = x.Node.NextRunID()
	s.placement = place.Request{Run: s.initialRun, PromptTokens: q.params.Prompt.Tokens, Progress: s.generated}
	ctx, stop := x.Node.UntilEnd(ctx)
	defer stop()
	f := s.sendAndRelay(ctx)
	s.endAttempt(nil)
	s.end()
	s.dropMove()
	q.events, q.firstEvent, q.maxEventGap = s.events, s.firstAt, s.maxEventGap
	disconnected := q.caller.Disconnected() || errors.Is(context.Cause(ctx), serve.ErrCallerDisconnected)
	switch {
	case f == nil:
		q.log(http.StatusOK, retry.Done, "")
		x.Node.Observe("forward.micros."+q.forward.Kind, sinceArrival(q))
	case disconnected:
		q.log(0, retry.Interrupted, "the caller has gone")
		q.caller.Abort()
	case s.headerSent:
		x.Node.Count("errors."+f.Code, 1)
		q.log(f.Status, retry.Interrupted, f.Message)
		q.caller.Abort()
	default:
		x.writeFault(w, q, f)
	}
}

// sendAndRelay sends the request and relays its events until the stream ends. A
// resumable stream goes on at another server if its response ends early.
func (s *stream) sendAndRelay(ctx context.Context) *fault.Fault {
	for {
		res, f := s.open(ctx)
		if f != nil {
			s.stopWatching()
		}
		if f != nil && s.q.mayPassOn(f) {
			passed, lost := s.q.passOn(ctx)
			if passed != nil {
				s.recordResumption(backend{ID: s.q.passedTo})
				return s.relayPeer(ctx, passed)
			}
			f = cmp.Or(lost, f)
		}
		if f != nil {
			return s.afterRun(ctx, f)
		}
		if again, f := s.relayRun(ctx, res); !again {
			return f
		}
	}
}

// relayRun relays the events of a run until it ends, also when the run is moved to
// another engine. It returns true if the stream must go on at another server.
func (s *stream) relayRun(ctx context.Context, res *pool.Response) (again bool, f *fault.Fault) {
	for {
		err := s.attemptError(ctx, s.relayResponse(ctx, res))
		if err != nil && ctx.Err() != nil {
			// dropMove cancels the move.
			s.detach(place.Cancelled)
			return false, s.q.timeoutFault(ctx)
		}
		m, stale := s.awaitRunMove(cmp.Or(s.attempt, ctx))
		if err == nil && (stale || m != nil && m.handle == "") {
			// checkEnd has left it open while the run might have been stopped.
			err = s.q.checkServerThere(ctx, s.server, res)
		}
		switch {
		case err != nil && ctx.Err() != nil:
			s.detach(place.Cancelled)
			s.cancelMove(m)
			return false, s.q.timeoutFault(ctx)
		case m != nil && m.handle != "":
			source := s.server
			s.stopWatching()
			if res = s.resume(ctx, m); res == nil {
				s.countFailedMove(m)
				return s.goesOn(ctx, source, retry.StreamServerLeft, errStreamInterrupted), s.interruptedFault(errStreamInterrupted)
			}
		case err != nil:
			s.detach(place.Failed)
			s.recordLoss(s.server, true, err)
			end := endOf(err)
			if m != nil && m.stopUnknown {
				end = retry.StreamServerLeft
			}
			return s.goesOn(ctx, s.server, end, err), s.interruptedFault(err)
		case s.mayHaveStopped(m, res):
			s.detach(place.Cancelled)
			return s.goesOn(ctx, s.server, retry.StreamServerLeft, errStoppedByMove), s.interruptedFault(errStoppedByMove)
		default:
			// The HTTP server detects a caller that has disconnected.
			_, _ = s.w.Write(s.splitter.Rest())
			s.recordLength(true)
			s.recordSurvival()
			s.detach(place.Answered)
			return false, nil
		}
	}
}

// interruptedFault returns the error for a stream that was lost after it began.
func (s *stream) interruptedFault(err error) *fault.Fault {
	return &fault.Fault{Status: http.StatusBadGateway, Code: fault.Interrupted, Message: err.Error(), Outcome: retry.Interrupted}
}

// attach records that the stream runs at backend server b.
func (s *stream) attach(b backend) {
	s.mu.Lock()
	s.server = b
	s.mu.Unlock()
	s.changedServer = s.events > 0
	s.q.relay.Node.EngineAnswered(b)
	s.q.relay.addRun(s, b)
}

// detach removes the stream from its backend server and ends its placement there
// with the given result.
func (s *stream) detach(o place.Result) {
	s.q.relay.removeRun(s, s.server)
	s.q.relay.Node.EndPlacement(s.server.ID, s.placement, o)
}

// relayResponse relays a response until it ends, and closes it. It returns nil
// if the response is complete.
func (s *stream) relayResponse(ctx context.Context, res *pool.Response) error {
	defer res.Body.Close()
	s.q.recordFraming(res)
	if !supportedStatus(res.Status) {
		return errUnsupportedStatus
	}
	if s.headerSent && res.Status != http.StatusOK {
		return errStatusAfterHead
	}
	if !s.headerSent {
		s.headerSent, s.errorSent = true, res.Status != http.StatusOK
		s.q.namePeerBackend(res.Header)
		copyHeader(s.w, res.Header)
		s.w.WriteHeader(res.Status)
	}
	if res.Status != http.StatusOK {
		if err := s.relayError(res); err != nil || s.viaPeer {
			return err
		}
		return s.q.checkServerThere(ctx, s.server, res)
	}
	before := s.received
	buf := make([]byte, readChunk)
	for {
		n, err := res.Body.Read(buf)
		s.splitter.Write(buf[:n])
		if s.attempt != nil && n > 0 {
			s.mu.Lock()
			s.heardAt = time.Now()
			s.mu.Unlock()
		}
		s.relayEvents()
		if err != nil {
			s.q.partialBytes = len(s.splitter.Rest())
		}
		if err == io.EOF {
			return s.checkEnd(ctx, res, before)
		}
		if err != nil {
			return err
		}
		if s.splitter.TooLarge() {
			return errEventTooLarge
		}
		if s.q.caller.Disconnected() {
			return serve.ErrCallerDisconnected
		}
	}
}

// relayError relays the body of a response that is no stream of events, up to the limit
// on answers.
func (s *stream) relayError(res *pool.Response) error {
	limit := s.q.relay.Node.Settings.Limits.MaxAnswer
	buf := make([]byte, readChunk)
	for total := 0; ; {
		n, err := res.Body.Read(buf)
		// The HTTP server detects a caller that has disconnected.
		_, _ = s.w.Write(buf[:n])
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if total += n; total > limit {
			return bound.ErrTooLarge
		}
		if s.q.caller.Disconnected() {
			return serve.ErrCallerDisconnected
		}
	}
}

// relayEvents sends the complete events in the splitter to the caller, other than
// those of a resumable stream that the caller has already.
func (s *stream) relayEvents() {
	wrote := false
	for e := s.splitter.Next(); e != nil; e = s.splitter.Next() {
		s.received++
		id := event.ID(e)
		if s.q.forward.Resumable && !s.takes(e, id) {
			continue
		}
		wrote = true
		// The HTTP server detects a caller that has disconnected.
		_, _ = s.w.Write(e)
		s.mu.Lock()
		s.events++
		if id != "" {
			s.lastEventID = id
		}
		first := s.events == 1
		now, gap := time.Now(), time.Duration(0)
		if first {
			s.firstAt = now
		} else {
			gap = max(now.Sub(s.lastAt), 1)
			s.maxEventGap = max(s.maxEventGap, gap)
		}
		s.lastAt = now
		s.mu.Unlock()
		s.observeEvent(now, gap)
		if first && !s.viaPeer {
			s.q.relay.Node.Observe("forward.firstEventMicros", sinceArrival(s.q))
		}
		if s.prefilling && !s.viaPeer {
			s.recordPrefilled()
		}
	}
	if !s.viaPeer {
		s.recordProgress()
	}
	if f, ok := s.w.(http.Flusher); wrote && ok {
		f.Flush()
	}
}

// recordProgress records what the run has shown so far, and may move it.
func (s *stream) recordProgress() {
	s.recordLength(false)
	if s.events-s.eventsBefore >= survivingEvents {
		s.recordSurvival()
	}
	s.q.relay.returnRun(s)
}

// recordPrefilled records that the engine has read the run's prompt.
func (s *stream) recordPrefilled() {
	s.prefilling = false
	s.q.relay.Node.Prefilled(s.server.ID, s.placement)
	s.placement.PromptTokens = 0
}

// lengthSampleStep is the number of tokens after which a run's length is
// recorded again.
const lengthSampleStep = 64

// recordLength records the length of the run for the forecast of other runs, if
// it has grown by lengthSampleStep or has ended by itself.
func (s *stream) recordLength(ended bool) {
	generated := s.generated()
	if generated == 0 || (!ended && generated-s.reportedTokens < lengthSampleStep) {
		return
	}
	s.q.relay.Node.RecordLength(s.q.service.Name, place.LengthSample{Group: s.initialRun.Group, From: s.reportedTokens, To: generated, Ended: ended})
	s.reportedTokens = generated
}

// takes reports whether an event of a resumable stream, which has the given ID, is sent to the
// caller.
func (s *stream) takes(e []byte, id string) bool {
	if id == "" {
		s.unnumbered = s.unnumbered || !event.IsComment(e)
		return true
	}
	if !event.Follows(id, s.lastEventID) {
		s.q.relay.Node.Count("streams.eventsDropped", 1)
		return false
	}
	s.unnumbered = false
	return true
}

// checkEnd returns an error if a response that has ended is not complete. before is
// the number of events received before the response. A stream of events is complete only
// after a whole event, and without framing only if there is one and its engine is
// still there: one that has crashed closes its connections too.
func (s *stream) checkEnd(ctx context.Context, res *pool.Response, before int) error {
	switch {
	case s.splitter.Partial():
		return errPartialEvent
	case res.Framing != pool.CloseDelimited || s.currentMove() != nil || s.viaPeer:
		return nil
	case s.received == before:
		return errNoEvents
	}
	return s.q.checkServerThere(ctx, s.server, res)
}

// checkServerThere returns an error if a response that ended with its connection can't count
// as complete because its server's process may have ended: the connections of one that has crashed
// are closed, too. A server that has no room for a further connection has not ended.
func (q *request) checkServerThere(ctx context.Context, b backend, res *pool.Response) error {
	if res.Framing != pool.CloseDelimited {
		return nil
	}
	full, err := q.relay.Pool.Confirm(ctx, b.Addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errServerGone, err)
	}
	if full {
		q.relay.Node.Count("forward.confirmedFull", 1)
		q.relay.attemptLog(q, b).Info("backend server has no room for a connection, but runs; its response is complete")
	}
	return nil
}
