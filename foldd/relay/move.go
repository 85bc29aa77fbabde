package relay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/netio/pool"
)

// Errors of a Mover.
var (
	// ErrRunNotFound: the engine runs no such request, since it has ended.
	ErrRunNotFound = eris.New("the engine runs no such request")
	// ErrNoRoom: the target has no room or can't be reached. With a stop, the
	// source holds the run under the handle that is returned besides.
	ErrNoRoom = eris.New("the target has no room for the run")
)

// Mover copies the memory of a run from one engine to another.
type Mover struct {
	// Copy copies what is new of a run to another engine; with stop the run
	// ends first. It returns the handle by which the run goes on.
	Copy func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (handle string, err error)
	// Free gives up a copy, at the source and at the target.
	Free func(ctx context.Context, source netip.AddrPort, handle string) error
}

// move is one run on its way to another engine.
type move struct {
	target backend
	// done is closed when the move has ended; handle is set if the run goes on
	// at the target then, or atSource.
	done   chan struct{}
	handle string
	// atSource is set when the target refused and the source holds the run.
	atSource bool
}

const (
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	// freeTimeout bounds the call that frees a copy.
	freeTimeout = time.Second
	// maxTargets is the number of engines that a run is offered to.
	maxTargets = 3
	// firstEventPoll is how often a run that has no event yet is offered again.
	firstEventPoll = 100 * time.Millisecond
	// orderPerToken delays a run's turn by its size, so that of all VMs' runs the
	// smallest are copied first and most are away in time.
	orderPerToken = 3 * time.Microsecond
	// shortNotice is the time that an engine which leaves surely has left.
	shortNotice = 800 * time.Millisecond
)

func (x *Relay) enter(s *stream, b backend) {
	x.mu.Lock()
	if x.runs == nil {
		x.runs = map[string]map[*stream]struct{}{}
	}
	if x.runs[b.ID] == nil {
		x.runs[b.ID] = map[*stream]struct{}{}
	}
	x.runs[b.ID][s] = struct{}{}
	x.mu.Unlock()
	if now, ok := x.Node.Backend(b.ID); ok && now.Leaving {
		x.evacuate([]*stream{s}, now)
	}
}

func (x *Relay) leave(s *stream, b backend) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.runs[b.ID], s)
	if len(x.runs[b.ID]) == 0 {
		delete(x.runs, b.ID)
	}
}

// BackendChanged moves the runs off an engine that leaves.
func (x *Relay) BackendChanged(b member.Backend) {
	if !b.Leaving || x.Mover == nil {
		return
	}
	x.mu.Lock()
	list := slices.Collect(maps.Keys(x.runs[b.ID]))
	x.mu.Unlock()
	x.evacuate(list, b)
}

// evacuate moves runs off an engine, but for those that end soon.
func (x *Relay) evacuate(list []*stream, b backend) {
	if x.Mover == nil {
		return
	}
	for _, s := range list {
		if !s.endsWithin(shortNotice) && s.claim() {
			go x.moveRun(s, b)
		}
	}
}

// claim takes the stream for a move; it returns false if the engine moves no
// runs, or another move has it.
func (s *stream) claim() bool {
	if s.q.service.Engine == nil || !s.q.service.Engine.CanMove {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimed {
		return false
	}
	s.claimed = true
	return true
}

// endsWithin reports whether the run will probably end by itself in a time.
func (s *stream) endsWithin(d time.Duration) bool {
	s.mu.Lock()
	p := place.EventRate{Events: s.events, Elapsed: s.lastAt.Sub(s.firstAt)}
	s.mu.Unlock()
	r := s.kind
	r.Generated = s.made()
	return s.q.timeLeft(r, p) < d
}

// progress returns the number of events that the caller has.
func (s *stream) progress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// made returns the number of tokens that the run has generated.
func (s *stream) made() int { return s.progress() * s.q.eventTokens() }

// moving returns the move under way, or nil.
func (s *stream) moving() *move {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.move
}

// moved waits for the move under way and takes it off the stream; it returns
// nil if there is none.
func (s *stream) moved() *move {
	m := s.moving()
	if m == nil {
		return nil
	}
	<-m.done
	s.mu.Lock()
	s.move = nil
	s.claimed = false
	s.mu.Unlock()
	return m
}

// moveRun copies a run to another engine while it goes on, then stops it and
// copies the rest. The stream's own goroutine resumes it there.
func (x *Relay) moveRun(s *stream, from backend) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	target, handle, ok := x.copyRun(ctx, s, from)
	if !ok {
		return
	}
	m := &move{target: target, done: make(chan struct{})}
	s.mu.Lock()
	s.move = m
	s.mu.Unlock()
	last, err := x.Mover.Copy(ctx, from.Addr, s.q.ask.ID, target.Addr, true)
	switch {
	case err == nil:
		m.handle = last
	case errors.Is(err, ErrNoRoom) && last != "":
		m.handle, m.atSource = last, true
		x.Node.EndPlacement(target.ID, s.copied(from), place.Rejected)
	default:
		x.Node.EndPlacement(target.ID, s.copied(from), place.Cancelled)
		x.free(from.Addr, handle)
	}
	close(m.done)
	x.logMove(s, from, target, "stop", err)
}

// copied returns what the run needs at an engine that it is copied to.
func (s *stream) copied(from backend) place.Request {
	w := place.Request{Run: s.kind, Progress: s.made, Exclude: []string{from.ID}, Domain: from.Domain, Copy: &place.Copy{Source: from.ID}}
	if e := s.q.service.Engine; e.LinkMbps > 0 {
		bits := float64(s.memory()) * float64(e.TokenBytes) * 8
		w.Copy.Duration = time.Duration(bits / e.LinkMbps * float64(time.Microsecond))
	}
	return w
}

// memory returns the tokens that the run has in its engine's memory.
func (s *stream) memory() int { return s.q.ask.Prompt.Tokens + s.made() }

// copyRun copies a run to the first engine that has room for it, in its turn on
// the links. The target is counted as if the run were there.
func (x *Relay) copyRun(ctx context.Context, s *stream, from backend) (target backend, handle string, ok bool) {
	sleep(ctx, time.Duration(s.memory())*orderPerToken)
	want := s.copied(from)
	for range maxTargets {
		choice, ok := x.Node.Place(ctx, s.q.service.Name, want)
		if !ok {
			break
		}
		sleep(ctx, choice.CopyDelay)
		handle, err := x.firstCopy(ctx, s, from, choice.Server)
		if err == nil {
			return choice.Server, handle, true
		}
		x.logMove(s, from, choice.Server, "copy", err)
		if !errors.Is(err, ErrNoRoom) {
			x.Node.EndPlacement(choice.Server.ID, want, place.Cancelled)
			break
		}
		x.Node.EndPlacement(choice.Server.ID, want, place.Rejected)
		want.Exclude = append(want.Exclude, choice.Server.ID)
	}
	return target, "", false
}

// firstCopy copies a run for the first time. A run whose prompt is still being
// read can't be copied until it has its first event.
func (x *Relay) firstCopy(ctx context.Context, s *stream, from, target backend) (handle string, err error) {
	for {
		handle, err = x.Mover.Copy(ctx, from.Addr, s.q.ask.ID, target.Addr, false)
		if !errors.Is(err, ErrRunNotFound) || s.progress() > 0 || ctx.Err() != nil {
			return handle, err
		}
		sleep(ctx, firstEventPoll)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (x *Relay) free(source netip.AddrPort, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := x.Mover.Free(ctx, source, handle); err != nil {
		x.Node.Log.WithError(err).WithField("handle", handle).Warn("copy of a run is not freed")
	}
}

func (x *Relay) logMove(s *stream, from, to backend, step string, err error) {
	x.Node.Count("moves."+step, 1)
	l := x.Node.Log.WithFields(logrus.Fields{
		"request": s.q.ask.ID, "from": from.ID, "to": to.ID, "step": step, "events": s.progress(), "tokens": s.memory(),
	})
	if err != nil {
		x.Node.Count("moves.failed", 1)
		l.WithError(err).Warn("run not moved")
		return
	}
	l.Info("run moved")
}

// drop gives up a move whose run nobody waits for any more.
func (s *stream) drop(m *move) {
	if m == nil || m.handle == "" || m.atSource {
		return
	}
	s.q.relay.Node.EndPlacement(m.target.ID, s.copied(s.at), place.Cancelled)
	go s.q.relay.free(s.at.Addr, m.handle)
}

// resume sends the request to the engine that holds the run's copy and returns
// its answer, or nil if the run is lost.
func (s *stream) resume(ctx context.Context, m *move) *pool.Response {
	source := s.at
	s.q.relay.leave(s, source)
	s.split.Reset()
	to := source
	if !m.atSource {
		to = m.target
		s.q.relay.Node.EndPlacement(source.ID, s.want, place.Cancelled)
		s.want = s.copied(source)
	}
	s.mu.Lock()
	r := &Resume{Source: source.Addr, Handle: m.handle, LastEventID: s.last}
	s.mu.Unlock()
	res, err := s.q.relay.Pool.Do(ctx, s.q.onward(to, r))
	if err == nil && res.Status != http.StatusOK {
		res.Body.Close()
		err = eris.Errorf("status %d", res.Status)
	}
	if err != nil {
		s.q.relay.logMove(s, source, to, "resume", err)
		s.q.relay.Node.EndPlacement(to.ID, s.want, place.Failed)
		return nil
	}
	s.q.moves++
	s.q.backend = to.ID
	s.enter(to)
	return res
}
