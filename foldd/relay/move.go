package relay

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
)

// Errors returned by a Mover.
var (
	// ErrRunNotFound is returned when the engine does not run the request: the
	// run has ended, or its prompt is still being read.
	ErrRunNotFound = eris.New("engine does not run the request")
	// ErrNoRoom is returned when the target has no room or can't be reached. If
	// the run was to be stopped, the source keeps its memory, and the handle of
	// that memory is returned with the error.
	ErrNoRoom = eris.New("target engine has no room for the run")
)

// Mover copies the memory of a run from one engine to another. Its handles identify
// the memory that an engine received or kept. They have nothing to do with the
// signed handles of package handle.
type Mover struct {
	// Copy copies the part of a run's memory that was not copied before to
	// another engine. If stop is set, the run is stopped first. Copy returns the
	// handle by which the run can be resumed, and the reply of the source, which is zero if
	// there is none.
	Copy func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (handle string, r Reply, err error)
	// Free frees the memory of a copy at the source and at the target. It returns the
	// reply of the source.
	Free func(ctx context.Context, source netip.AddrPort, handle string) (Reply, error)
}

const (
	// copyTimeout bounds the move of a run until it is stopped: the wait for its turn and the
	// copy while it runs.
	copyTimeout = 3 * time.Second
	// maxTargets is the largest number of engines that are tried for a run.
	maxTargets = 3
	// firstEventPoll is the interval at which the copy of a run that has no event
	// yet is tried again.
	firstEventPoll = 100 * time.Millisecond
	// orderDelayPerToken delays the copy of a run by its size, so that the smallest
	// runs of all VMs are copied first and most runs are moved before the engine
	// exits.
	orderDelayPerToken = 3 * time.Microsecond
)

// addRun records that a stream runs at a backend server. If the server is
// already leaving, it starts to move the run.
func (x *Relay) addRun(s *stream, b backend) {
	x.mu.Lock()
	if x.runs == nil {
		x.runs = map[string]map[*stream]struct{}{}
	}
	if x.runs[b.ID] == nil {
		x.runs[b.ID] = map[*stream]struct{}{}
	}
	x.runs[b.ID][s] = struct{}{}
	x.mu.Unlock()
	if current, ok := x.Node.Backend(b.ID); ok && current.Leaving {
		x.evacuate([]*stream{s}, current)
	}
}

// removeRun undoes addRun.
func (x *Relay) removeRun(s *stream, b backend) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.runs[b.ID], s)
	if len(x.runs[b.ID]) == 0 {
		delete(x.runs, b.ID)
	}
}

// BackendChanged handles a change of a backend server: it moves all runs off an
// engine that is leaving.
func (x *Relay) BackendChanged(b member.Backend) {
	if !b.Leaving || x.Mover == nil {
		return
	}
	x.mu.Lock()
	streams := slices.Collect(maps.Keys(x.runs[b.ID]))
	x.mu.Unlock()
	x.evacuate(streams, b)
}

// evacuate moves runs off an engine.
func (x *Relay) evacuate(streams []*stream, b backend) {
	if x.Mover == nil {
		return
	}
	for _, s := range streams {
		if !s.endsSoon() && s.beginMove() {
			go x.moveRun(s, b)
		}
	}
}

// endsSoon reports whether a resumable stream probably ends before its run could be moved. If
// its engine exits first, the stream goes on at another one without the run's memory.
func (s *stream) endsSoon() bool {
	if !s.q.forward.Resumable {
		return false
	}
	run := s.initialRun
	run.Generated = s.generated()
	return run.BaseTokens > 0 && s.q.relay.Node.MeanRemainingTokens(run) < minReturnTokens
}

// beginMove marks the stream as being moved. It returns false if the engine can't
// move runs or if the stream is marked already.
func (s *stream) beginMove() bool {
	if s.q.service.Engine == nil || !s.q.service.Engine.CanMove {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moveBegun {
		return false
	}
	s.moveBegun = true
	return true
}

// end records that no further events of the stream will come.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// hasEnded reports whether no further events of the stream will come.
func (s *stream) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// eventCount returns the number of events that were sent to the caller.
func (s *stream) eventCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// generated returns the number of tokens that the run has generated, estimated
// from the number of events.
func (s *stream) generated() int { return s.eventCount() * s.q.eventTokens() }

// moveRun copies a run's memory to another engine while the run continues, then
// stops the run and copies the rest. The stream's goroutine then resumes the run
// at the other engine or, if that one has no room, at its own. If the first copy
// fails, the run stays where it is.
func (x *Relay) moveRun(s *stream, from backend) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	for range maxTargets {
		c, ok := x.copyRun(ctx, s, from)
		if !ok || x.finishMove(ctx, s, from, c) {
			return
		}
	}
}

// firstCopy is a copy that was made while the run continued.
type firstCopy struct {
	target backend
	handle string
	// took is how long the copy took.
	took time.Duration
}

// copyRequest returns the placement request for a copy of the run from an
// engine to another one.
func (s *stream) copyRequest(from backend) place.Request {
	req := place.Request{Run: s.initialRun, Progress: s.generated, Exclude: []string{from.ID}, Domain: from.Domain, Copy: &place.Copy{Source: from.ID, Domain: from.Domain}}
	req.Late = s.late.Load()
	if e := s.q.service.Engine; e.LinkMbps > 0 {
		bits := float64(s.memoryTokens()) * float64(e.TokenBytes) * 8
		req.Copy.Duration = time.Duration(bits / e.LinkMbps * float64(time.Microsecond))
	}
	return req
}

// memoryTokens returns the size of the run's memory at its engine in tokens.
func (s *stream) memoryTokens() int { return s.q.params.Prompt.Tokens + s.generated() }

// copyRun copies a run to the first engine that has room for it. It waits until
// the links of both engines are free for the copy. The placement at the target
// stays active if ok is true; the caller must end it.
func (x *Relay) copyRun(ctx context.Context, s *stream, from backend) (c firstCopy, ok bool) {
	sleep(ctx, time.Duration(s.memoryTokens())*orderDelayPerToken)
	req := s.copyRequest(from)
	for range maxTargets {
		if s.hasEnded() {
			break
		}
		choice, ok := x.Node.Place(ctx, s.q.service.Name, req)
		if !ok || choice.Rejects() {
			break
		}
		sleep(ctx, choice.CopyDelay)
		began := time.Now()
		handle, err := x.tryFirstCopy(ctx, s, from, choice.Server)
		if err == nil {
			return firstCopy{target: choice.Server, handle: handle, took: time.Since(began)}, true
		}
		if s.hasEnded() {
			x.Node.Count("moves.ended", 1)
			x.Node.EndPlacement(choice.Server.ID, req, place.Cancelled)
			break
		}
		x.logMove(s, from, choice.Server, "copy", nil, err)
		if evacuated(err) {
			x.Node.EndPlacement(choice.Server.ID, req, place.Cancelled)
			continue
		}
		if !errors.Is(err, ErrNoRoom) {
			x.Node.EndPlacement(choice.Server.ID, req, place.Cancelled)
			break
		}
		x.Node.EndPlacement(choice.Server.ID, req, place.Rejected)
		req.Exclude = append(req.Exclude, choice.Server.ID)
	}
	return c, false
}

// tryFirstCopy makes the first copy of a run. A run can't be copied before its
// first event, as its prompt is still being read; until then, tryFirstCopy retries.
// It returns ErrRunNotFound if the run's stream has ended.
func (x *Relay) tryFirstCopy(ctx context.Context, s *stream, from, target backend) (handle string, err error) {
	for {
		if s.hasEnded() {
			return "", ErrRunNotFound
		}
		handle, err = x.copyMemory(ctx, s, from, target)
		if !errors.Is(err, ErrRunNotFound) || s.eventCount() > 0 || ctx.Err() != nil {
			return handle, err
		}
		sleep(ctx, firstEventPoll)
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// logMove logs and counts the result of one step of a move. m is nil before the run is
// stopped.
func (x *Relay) logMove(s *stream, from, to backend, step string, m *move, err error) {
	x.Node.Count("moves."+step, 1)
	fields := logrus.Fields{
		"request": s.q.params.ID, "from": from.ID, "to": to.ID, "step": step, "events": s.eventCount(), "tokens": s.memoryTokens(),
		"otherDomain": from.Domain != to.Domain,
	}
	if m != nil {
		fields["copyMs"], fields["stopMs"], fields["stopUnknown"] = m.firstCopy.Milliseconds(), m.stopCopy.Milliseconds(), m.stopUnknown
	}
	l := x.Node.Log.WithFields(fields)
	if err != nil {
		x.Node.Count("moves.failed", 1)
		l.WithError(err).Warn("move step failed")
		return
	}
	l.Info("run moved")
}
