package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/pool"
)

// move is the final step of a run's move: the run is stopped, and the rest of
// its memory is copied.
type move struct {
	from, target backend
	// giveUp ends the wait for the reply to the order that stops the run.
	giveUp context.CancelFunc
	// done is closed when the move has ended. Only then may the fields below be
	// read. If handle is not empty, the run can be resumed by it, at target or, if
	// atSource is set, at the source.
	done   chan struct{}
	handle string
	// atSource is set if the target rejected the run and the source keeps its
	// memory.
	atSource bool
	// stopUnknown is set if that order was sent and, at failedAt, has no reply that tells its
	// outcome. The run may have been stopped, or may be stopped later: an order that is held up on
	// its way still counts when it arrives.
	stopUnknown bool
	failedAt    time.Time
	// firstCopy is how long the copy took while the run continued, and stopCopy how long
	// the copy of the rest took.
	firstCopy, stopCopy time.Duration
}

// stopReplyTimeout is how long the reply to the order that stops a run is awaited after the end
// of the run's stream.
const stopReplyTimeout = 3 * time.Second

// finishMove stops a run that was copied while it ran, and copies the rest. It returns false,
// and leaves the run as it is, if the target was evacuated meanwhile. It does nothing if the
// stream has left its engine.
//
// The reply to the order that stops the run is awaited for as long as the stream goes on: if the
// order is held up on its way, it stops the run whenever it arrives, and only its reply has the
// handle by which the run can be resumed.
func (x *Relay) finishMove(ctx context.Context, s *stream, from backend, c firstCopy) bool {
	target, began := c.target, time.Now()
	if err := x.Node.CheckSend(target, node.Resume); err != nil {
		x.logMove(s, from, target, "stop", nil, err)
		x.Node.EndPlacement(target.ID, s.copyRequest(from), place.Cancelled)
		x.free(from, c.handle)
		return false
	}
	m := &move{from: from, target: target, done: make(chan struct{}), firstCopy: c.took}
	var ordering context.Context
	ordering, m.giveUp = context.WithCancel(context.Background())
	defer m.giveUp()
	if !s.startStop(m) {
		x.Node.EndPlacement(target.ID, s.copyRequest(from), place.Cancelled)
		x.free(from, c.handle)
		return true
	}
	finalHandle, ordered, err := x.stopRun(ctx, ordering, s, m)
	m.stopCopy = time.Since(began)
	switch {
	case err == nil:
		m.handle = finalHandle
	case errors.Is(err, ErrNoRoom) && finalHandle != "":
		m.handle, m.atSource = finalHandle, true
		x.Node.EndPlacement(target.ID, s.copyRequest(from), place.Rejected)
	default:
		m.stopUnknown, m.failedAt = ordered && !errors.Is(err, ErrRunNotFound) && pool.WasSent(err), time.Now()
		x.Node.EndPlacement(target.ID, s.copyRequest(from), place.Cancelled)
		defer x.free(from, c.handle)
	}
	close(m.done)
	x.logMove(s, from, target, "stop", m, err)
	return true
}

// startStop records that the run is now stopped for the move m. It returns false if the stream has
// ended, or has left the run's engine, as a resumable one does when its response ends early.
func (s *stream) startStop(m *move) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.server.ID != m.from.ID {
		s.moveBegun = false
		return false
	}
	s.move = m
	return true
}

// stopRun stops the run of the move m and copies the rest of its memory. It ends with
// ordering; ctx bounds the wait for the permit, too. ordered is false if the order was not given.
func (x *Relay) stopRun(ctx, ordering context.Context, s *stream, m *move) (handle string, ordered bool, err error) {
	admit, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ordering, cancel)()
	if err := x.admitCopy(admit, m.from, m.target); err != nil {
		return "", false, err
	}
	handle, err = x.orderCopy(ordering, s, m.from, m.target, true)
	return handle, true, err
}

// currentMove returns the move in progress, or nil.
func (s *stream) currentMove() *move {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.move
}

// awaitMove waits for the end of the move in progress, clears it, so that the
// stream can be moved again, and returns it. It returns nil if there is none, or if another
// call has returned it. The response of the run has ended, so the reply to the order that stops
// the run is due: it is given up after stopReplyTimeout, or once ctx is done.
func (s *stream) awaitMove(ctx context.Context) *move {
	m := s.currentMove()
	if m == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopReplyTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, m.giveUp)()
	<-m.done
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move != m {
		return nil
	}
	s.move, s.moveBegun = nil, false
	return m
}

// awaitRunMove is awaitMove for the run that the stream has. stale is set if the move was of a run
// that the stream has left since; such a move is cancelled, and not returned.
func (s *stream) awaitRunMove(ctx context.Context) (m *move, stale bool) {
	m = s.awaitMove(ctx)
	if m == nil || m.from.ID == s.server.ID {
		return m, false
	}
	s.cancelMove(m)
	return nil, true
}

// dropMove cancels the move of a run that the stream has left, if there is one. It must be called
// once the stream has ended: nothing else ends the placement at the target then.
func (s *stream) dropMove() {
	if s.currentMove() != nil {
		go func() { s.cancelMove(s.awaitMove(context.Background())) }()
	}
}

// countFailedMove counts the engine at which a moved run of a resumable stream could not go on as
// one that may have got the request.
func (s *stream) countFailedMove(m *move) {
	if !m.atSource && s.q.forward.Resumable {
		s.tried = append(s.tried, m.target.ID)
		s.q.sent++
	}
}

// overtakeTime is how long events that an engine has made before it stopped a run may be under
// way.
const overtakeTime = 400 * time.Millisecond

// mayHaveStopped reports whether a response that has ended without an error may have been ended
// by the move m, which has ended and may be nil, rather than by the end of its run. Without
// framing, no event proves that the run was not stopped after that event. A response with framing
// says itself that it is complete, and an engine that has stopped its run leaves that out; only
// right after the order is its end not believed, in case an engine does otherwise.
func (s *stream) mayHaveStopped(m *move, res *pool.Response) bool {
	switch {
	case m == nil || !m.stopUnknown:
		return false
	case res.Framing == pool.CloseDelimited:
		return true
	}
	return s.lastAt.Sub(m.failedAt) <= overtakeTime
}

// cancelMove releases the target of a completed move whose caller has
// disconnected or whose request has timed out. It does nothing if m is nil.
func (s *stream) cancelMove(m *move) {
	if m == nil || m.handle == "" || m.atSource {
		return
	}
	s.q.relay.Node.EndPlacement(m.target.ID, s.copyRequest(m.from), place.Cancelled)
	go s.q.relay.free(m.from, m.handle)
}

// resume sends the request to the engine that holds the run's memory and
// returns its response, or nil if the run can't be resumed.
func (s *stream) resume(ctx context.Context, m *move) *pool.Response {
	source := s.server
	s.q.relay.removeRun(s, source)
	s.splitter.Reset()
	to := source
	if !m.atSource {
		to = m.target
		s.q.relay.Node.EndPlacement(source.ID, s.placement, place.Cancelled)
		s.placement = s.copyRequest(source)
	}
	s.mu.Lock()
	r := &Resume{Source: source.Addr, Handle: m.handle, LastEventID: s.lastEventID}
	s.mu.Unlock()
	began := time.Now()
	res, err := s.q.exchange(s.beginAttempt(ctx, to), to, node.Resume, r)
	if err == nil && res.Status != http.StatusOK {
		res.Body.Close()
		err = eris.Errorf("status %d", res.Status)
	}
	if evacuated(err) {
		// Nothing was sent: the memory there is freed, and the run is lost.
		s.q.relay.logMove(s, source, to, "resume", m, err)
		s.q.relay.Node.EndPlacement(to.ID, s.placement, place.Cancelled)
		go s.q.relay.free(source, m.handle)
		return nil
	}
	if err != nil {
		s.q.relay.logMove(s, source, to, "resume", m, err)
		s.q.relay.Node.EndPlacement(to.ID, s.placement, place.Failed)
		return nil
	}
	s.q.relay.Node.Observe("moves.resumeMicros", time.Since(began))
	s.q.moves++
	s.q.backend = to.ID
	s.attach(to)
	return res
}
