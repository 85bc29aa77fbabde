package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/origin"
)

// eventsFrom returns the events of a complete stream after the given one.
func eventsFrom(after int) string {
	var b strings.Builder
	for i := after; i < streamEvents; i++ {
		b.WriteString(origin.Event(i + 1))
	}
	return b.String()
}

// failsFirst returns a handler that handles a stream's first request to any server by first, and
// all others by a complete stream.
func failsFirst(first origin.Behaviour) func(*http.Request) origin.Behaviour {
	var begun atomic.Bool
	return func(*http.Request) origin.Behaviour {
		if begun.Swap(true) {
			return origin.Behaviour{Events: streamEvents}
		}
		return first
	}
}

// runs returns how often a request ran at the servers together.
func runs(id string, servers ...*origin.Server) int {
	n := 0
	for _, s := range servers {
		n += s.RunCount(id)
	}
	return n
}

// checkIdle checks that no load remains recorded at any server.
func (r *testVM) checkIdle() {
	r.t.Helper()
	waitFor(r.t, "all requests to end", func() bool { return r.node.Streams() == 0 })
	waitFor(r.t, "the loads of all servers to be zero", func() bool { return len(r.node.Loads("models")) == 0 })
}

// TestResumableStreamGoesOn breaks streams off in every way. It guards against callers of
// resumable streams that get an error, an event twice or part of one, and against a second
// run that starts anew.
func TestResumableStreamGoesOn(t *testing.T) {
	tests := []struct {
		name  string
		first origin.Behaviour
		// after is the number of events that the caller has by then.
		after int
	}{
		{"no response", origin.Behaviour{Drop: true}, 0},
		{"crash without a response", origin.Behaviour{CrashUnanswered: true}, 0},
		{"status 500", origin.Behaviour{Status: http.StatusInternalServerError, Body: "error"}, 0},
		{"status 503 that does not say that nothing ran", origin.Behaviour{Status: http.StatusServiceUnavailable}, 0},
		{"refusal", origin.Behaviour{NotRun: true}, 0},
		{"crash within the first event", origin.Behaviour{Crash: true}, 0},
		{"crash within the first event, close-delimited", origin.Behaviour{Crash: true, CloseDelimited: true}, 0},
		{"no event, close-delimited", origin.Behaviour{CloseDelimited: true}, 0},
		{"crash between events", origin.Behaviour{Events: streamEvents, CrashAfter: 1}, 1},
		{"crash between events, close-delimited", origin.Behaviour{Events: streamEvents, CrashAfter: 8, CloseDelimited: true}, 8},
		{"crash before the end mark", origin.Behaviour{Events: streamEvents, TruncateAt: streamEvents}, streamEvents - 1},
		{"end within an event", origin.Behaviour{Events: streamEvents, TruncateAt: 8}, 7},
		{"end within an event, with a final chunk", origin.Behaviour{Events: streamEvents, TruncateAt: 8, CleanEnd: true}, 7},
		{"end within an event, close-delimited", origin.Behaviour{Events: streamEvents, TruncateAt: 8, CloseDelimited: true}, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startVM(t)
			behave := failsFirst(tt.first)
			servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
			status, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt", "Fold-Deadline-Ms", "15000")
			if status != http.StatusOK || err != nil || body != allEvents() {
				t.Fatalf("status %d, error %v, body %q; want each event once", status, err, body)
			}
			first, second := servers[0].LastRequest("1"), servers[1].LastRequest("1")
			if first == nil || second == nil {
				t.Fatal("not sent to both servers")
			}
			if first.Header.Get("Last-Event-Id") != "" || first.Header.Get("Fold-Deadline-Ms") < second.Header.Get("Fold-Deadline-Ms") {
				first, second = second, first
			}
			want := ""
			if tt.after > 0 {
				want = strconv.Itoa(tt.after)
			}
			if got := second.Header.Get("Last-Event-Id"); got != want || second.Body != "prompt" || first.Header.Get("Last-Event-Id") != "" {
				t.Errorf("second request with position %q and body %q, first with %q; want %q", got, second.Body, first.Header.Get("Last-Event-Id"), want)
			}
			r.checkIdle()
		})
	}
}

// TestOtherStreamsRunOnce is TestResumableStreamGoesOn for a forward that isn't resumable.
func TestOtherStreamsRunOnce(t *testing.T) {
	for _, first := range []origin.Behaviour{
		{Drop: true}, {Status: http.StatusInternalServerError, Body: "error"}, {Crash: true}, {Events: streamEvents, CrashAfter: 8}, {Events: streamEvents, TruncateAt: 8},
	} {
		r := startVM(t)
		behave := failsFirst(first)
		servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
		status, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
		if err == nil && status == http.StatusOK || runs("1", servers...) != 1 {
			t.Errorf("%+v: status %d, body %q, %d runs; want one that fails", first, status, body, runs("1", servers...))
		}
	}
}

// TestResumableStreamWithoutServer checks what callers get once no server is left to go on at.
func TestResumableStreamWithoutServer(t *testing.T) {
	t.Run("before the head", func(t *testing.T) {
		r := startVM(t)
		r.backend("e1", "models", respondWith(origin.Behaviour{Drop: true}))
		res, err := r.send(http.MethodPost, "/short/x", "1", "prompt")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusBadGateway || res.Header.Get("Fold-Outcome") != "unknown" || res.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, outcome %q; want a refusal that does not claim that nothing ran", res.StatusCode, res.Header.Get("Fold-Outcome"))
		}
	})
	t.Run("after events", func(t *testing.T) {
		r := startVM(t)
		r.backend("e1", "models", respondWith(origin.Behaviour{Events: streamEvents, CrashAfter: 3}))
		_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		checkTruncated(t, body, err)
	})
	t.Run("server error", func(t *testing.T) {
		r := startVM(t)
		behave := respondWith(origin.Behaviour{Status: http.StatusInternalServerError, Body: "error"})
		servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave), r.backend("e3", "models", behave)}
		status, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		if status != http.StatusInternalServerError || body != "error" || err != nil || runs("1", servers...) != 2 {
			t.Errorf("status %d, body %q, error %v, %d runs; want the server's error after two", status, body, err, runs("1", servers...))
		}
	})
	t.Run("server error after events", func(t *testing.T) {
		r := startVM(t)
		var begun atomic.Bool
		behave := func(*http.Request) origin.Behaviour {
			if begun.Swap(true) {
				return origin.Behaviour{Status: http.StatusInternalServerError, Body: "error"}
			}
			return origin.Behaviour{Events: streamEvents, CrashAfter: 3}
		}
		r.backend("e1", "models", behave)
		r.backend("e2", "models", behave)
		_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		checkTruncated(t, body, err)
	})
	t.Run("budget used up", func(t *testing.T) {
		r := startVM(t)
		r.node.Settings.Retry.Share, r.node.Settings.Retry.Reserve = 0.001, 0
		behave := failsFirst(origin.Behaviour{Drop: true})
		servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
		status, _, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		if status != http.StatusBadGateway || err != nil || runs("1", servers...) != 1 || r.counter("streams.resumesDenied") != 1 {
			t.Errorf("status %d, error %v, %d runs; want 502 after one", status, err, runs("1", servers...))
		}
	})
	t.Run("deadline", func(t *testing.T) {
		r := startVM(t)
		var begun atomic.Bool
		behave := func(*http.Request) origin.Behaviour { return origin.Behaviour{Drop: !begun.Swap(true), Hang: true} }
		servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
		status, _, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt", "Fold-Deadline-Ms", "700")
		if status != http.StatusGatewayTimeout || err != nil || runs("1", servers...) != 2 {
			t.Errorf("status %d, error %v, %d runs; want 504 after two", status, err, runs("1", servers...))
		}
	})
}

// TestBrokenErrorResponseIsNotGoneOnWith guards against a response with status 404 whose body
// breaks off and is filled up with the events of another server.
func TestBrokenErrorResponseIsNotGoneOnWith(t *testing.T) {
	r := startVM(t)
	behave := failsFirst(origin.Behaviour{Status: http.StatusNotFound, Body: "not found", TruncateAt: 4})
	servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
	_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
	if err == nil || strings.Contains(body, "id: ") || runs("1", servers...) != 1 {
		t.Errorf("error %v, body %q, %d runs; want a broken response of one server", err, body, runs("1", servers...))
	}
	r.checkIdle()
}

// TestStreamThatCrashesEnginesIsNotSentOn guards against a request that crashes engine after
// engine, and checks that it counts as one that does.
func TestStreamThatCrashesEnginesIsNotSentOn(t *testing.T) {
	r := startVM(t)
	behave := respondWith(origin.Behaviour{Crash: true})
	var servers []*origin.Server
	for i := range 5 {
		servers = append(servers, r.backend(fmt.Sprint("e", i), "models", behave))
	}
	_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt", "Fold-Prompt-Parts", "bad:10,own:10")
	checkTruncated(t, body, err)
	if n := runs("1", servers...); n != 2 || r.counter("poison.losses") != 2 {
		t.Errorf("%d engines crashed, %d losses were recorded; want 2 of each", n, r.counter("poison.losses"))
	}
}

// TestCallersPosition checks what a caller gets that comes back with the last event that it has,
// at a VM that has not seen the stream before.
func TestCallersPosition(t *testing.T) {
	tests := []struct {
		name, path, position string
		behaviour            origin.Behaviour
		sent, want           string
	}{
		{"resumable", "/short/x", "7", origin.Behaviour{}, "7", eventsFrom(7)},
		{"server that sends what the caller has", "/short/x", "7", origin.Behaviour{IgnorePosition: true}, "7", eventsFrom(7)},
		{"server that has nothing more, close-delimited", "/short/x", "20", origin.Behaviour{IgnorePosition: true, CloseDelimited: true}, "20", ""},
		{"everything", "/short/x", "20", origin.Behaviour{}, "20", ""},
		{"no number", "/short/x", "x", origin.Behaviour{}, "x", allEvents()},
		{"not resumable", "/draft/x", "7", origin.Behaviour{}, "", allEvents()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startVM(t)
			tt.behaviour.Events = streamEvents
			e := r.backend("e", "models", respondWith(tt.behaviour))
			status, body, err := r.sendAndRead(http.MethodPost, tt.path, "1", "prompt", "Last-Event-Id", tt.position)
			if status != http.StatusOK || err != nil || body != tt.want {
				t.Errorf("status %d, error %v, body %q; want %q", status, err, body, tt.want)
			}
			if got := e.LastRequest("1").Header.Get("Last-Event-Id"); got != tt.sent {
				t.Errorf("position %q was sent on, want %q", got, tt.sent)
			}
		})
	}
}

// TestCallersPositionSurvivesCrash combines a caller's position with an engine that crashes before
// and after the next event.
func TestCallersPositionSurvivesCrash(t *testing.T) {
	for _, first := range []origin.Behaviour{{Drop: true}, {Events: streamEvents, CrashAfter: 9}, {Events: streamEvents, IgnorePosition: true, CrashAfter: 5}} {
		r := startVM(t)
		behave := failsFirst(first)
		r.backend("e1", "models", behave)
		r.backend("e2", "models", behave)
		if _, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt", "Last-Event-Id", "7"); err != nil || body != eventsFrom(7) {
			t.Errorf("%+v: error %v, body %q; want the events after the seventh", first, err, body)
		}
	}
}

// TestSilentServerIsLeft guards against a stream that waits until its deadline for a server that
// was cut off, whose connection shows no error.
func TestSilentServerIsLeft(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	for _, first := range []origin.Behaviour{{Hang: true, Unreachable: true}, {Events: streamEvents, Hold: release, HoldAt: 3, Unreachable: true}} {
		r := startVM(t)
		r.node.ProbeServer = r.relay.ProbeServer
		behave := failsFirst(first)
		servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
		status, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		if status != http.StatusOK || err != nil || body != allEvents() {
			t.Errorf("status %d, error %v, body %q; want each event once", status, err, body)
		}
		if n := runs("1", servers...); n != 2 {
			t.Errorf("%d runs, want 2", n)
		}
		r.checkIdle()
	}
}

// TestCallerOfResumableStreamGone checks that the work at an engine that a stream has gone on at
// ends once the caller has disconnected.
func TestCallerOfResumableStreamGone(t *testing.T) {
	r := startVM(t)
	var begun atomic.Bool
	behave := func(*http.Request) origin.Behaviour {
		if begun.Swap(true) {
			return origin.Behaviour{Events: 1 << 20, Gap: 20 * time.Millisecond}
		}
		return origin.Behaviour{Events: streamEvents, CrashAfter: 3}
	}
	servers := []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
	res, err := r.send(http.MethodPost, "/short/x", "1", "prompt")
	if err != nil {
		t.Fatal(err)
	}
	running := func() bool { return servers[0].EventsSent("1") > 5 || servers[1].EventsSent("1") > 5 }
	waitFor(t, "the stream to go on", running)
	res.Body.Close()
	waitFor(t, "the engine to stop", func() bool { return !servers[0].Running("1") && !servers[1].Running("1") })
	r.checkIdle()
}

// TestFailedMoveOfResumableStream stops a run for a move that fails, and moves one to an engine
// that does not take it. Both streams must go on without the run's memory.
func TestFailedMoveOfResumableStream(t *testing.T) {
	for _, lost := range []bool{true, false} {
		r := startVM(t)
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5, CloseDelimited: true}))
		results := make(chan streamResult, 1)
		go func() {
			_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
			results <- streamResult{body, err}
		}()
		waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
		takesRuns := func(q *http.Request) origin.Behaviour {
			return origin.Behaviour{Events: streamEvents, NotRun: q.Header.Get("Fold-Resume") != ""}
		}
		b, c := r.backend("b", "models", takesRuns), r.backend("c", "models", takesRuns)
		inner := newMover(a, b, c)
		r.relay.Mover = &relay.Mover{
			Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, relay.Reply, error) {
				handle, reply, err := inner.Copy(ctx, source, id, target, stop)
				if stop && lost {
					return "", relay.Reply{}, errors.New("injected loss of the response")
				}
				return handle, reply, err
			},
			Free: inner.Free,
		}
		r.announce(a, "models", true)
		if res := <-results; res.err != nil || res.body != allEvents() {
			t.Errorf("lost=%v: error %v, body %q; want each event once", lost, res.err, res.body)
		}
		if n := b.RunCount("1") + c.RunCount("1"); n != 1 {
			t.Errorf("lost=%v: went on at %d engines, want 1", lost, n)
		}
		r.checkIdle()
	}
}

// TestMoveOfRunThatWasLeft guards against a run that is stopped, or resumed with its memory, for a
// move that began before its stream went on at another engine.
func TestMoveOfRunThatWasLeft(t *testing.T) {
	r := startVM(t)
	release, copied, freed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5, CrashAfter: 5}))
	results := make(chan streamResult, 1)
	go func() {
		_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		results <- streamResult{body, err}
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	hold := make(chan struct{})
	b := r.backend("b", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: hold, HoldAt: 10}))
	var stops atomic.Int64
	r.relay.Mover = &relay.Mover{
		Copy: func(_ context.Context, _ netip.AddrPort, _ string, _ netip.AddrPort, stop bool) (string, relay.Reply, error) {
			if stop {
				stops.Add(1)
				return "last", relay.Reply{}, nil
			}
			close(release)
			<-copied
			return "copy", relay.Reply{}, nil
		},
		Free: func(context.Context, netip.AddrPort, string) (relay.Reply, error) {
			close(freed)
			return relay.Reply{}, nil
		},
	}
	r.announce(a, "models", true)
	waitFor(t, "the stream to go on", func() bool { return b.EventsSent("1") == 10 })
	close(copied)
	<-freed
	close(hold)
	if res := <-results; res.err != nil || res.body != allEvents() || stops.Load() != 0 {
		t.Errorf("error %v, body %q, stopped %d times; want each event once and no stop", res.err, res.body, stops.Load())
	}
	r.checkIdle()
}

// TestShortRunIsNotMoved guards against copies that take longer than the rest of a run whose stream
// could go on without one.
func TestShortRunIsNotMoved(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: 6, Hold: release, HoldAt: 5}))
	results := make(chan streamResult, 1)
	go func() {
		_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt", "Fold-Prompt-Tokens", "2550", "Fold-Max-Tokens", "24")
		results <- streamResult{body, err}
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	r.backend("b", "models", respondWith(origin.Behaviour{Events: 6}))
	r.relay.Mover = &relay.Mover{
		Copy: func(context.Context, netip.AddrPort, string, netip.AddrPort, bool) (string, relay.Reply, error) {
			t.Error("the run was copied")
			return "", relay.Reply{}, relay.ErrNoRoom
		},
	}
	r.announce(a, "models", true)
	close(release)
	if res := <-results; res.err != nil || strings.Count(res.body, "id: ") != 6 {
		t.Errorf("error %v, body %q; want 6 events", res.err, res.body)
	}
}

// TestMovedRunGoesOnElsewhere guards against a stream that breaks off after a move and goes on at
// the engine that it was moved to.
func TestMovedRunGoesOnElsewhere(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5}))
	results := make(chan streamResult, 1)
	go func() {
		_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		results <- streamResult{body, err}
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	breaksResumed := func(q *http.Request) origin.Behaviour {
		if q.Header.Get("Fold-Resume") != "" {
			return origin.Behaviour{Events: streamEvents, TruncateAt: 12}
		}
		return origin.Behaviour{Events: streamEvents}
	}
	b, c := r.backend("b", "models", breaksResumed), r.backend("c", "models", breaksResumed)
	r.relay.Mover = newMover(a, b, c)
	r.announce(a, "models", true)
	if res := <-results; res.err != nil || res.body != allEvents() {
		t.Errorf("error %v, body %q; want each event once", res.err, res.body)
	}
	for _, e := range []*origin.Server{b, c} {
		q := e.LastRequest("1")
		if q == nil {
			t.Fatalf("%s was not asked", e.ID)
		}
		if resumed := q.Header.Get("Fold-Resume") != ""; !resumed && (q.Header.Get("Last-Event-Id") != "11" || e.RunCount("1") != 1) {
			t.Errorf("%s was asked with position %q, %d times; want 11, once", e.ID, q.Header.Get("Last-Event-Id"), e.RunCount("1"))
		}
	}
	r.checkIdle()
}

// TestSilentServerAfterMoveIsLeft guards against a stream that waits until its deadline for a
// server that its run was moved to and that was then cut off.
func TestSilentServerAfterMoveIsLeft(t *testing.T) {
	r := startVM(t)
	r.node.ProbeServer = r.relay.ProbeServer
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5}))
	results := make(chan streamResult, 1)
	go func() {
		_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt", "Fold-Deadline-Ms", "8000")
		results <- streamResult{body, err}
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	cutOffResumed := func(q *http.Request) origin.Behaviour {
		if q.Header.Get("Fold-Resume") != "" {
			return origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 8, Unreachable: true}
		}
		return origin.Behaviour{Events: streamEvents}
	}
	b, c := r.backend("b", "models", cutOffResumed), r.backend("c", "models", cutOffResumed)
	r.relay.Mover = newMover(a, b, c)
	r.announce(a, "models", true)
	if res := <-results; res.err != nil || res.body != allEvents() {
		t.Errorf("error %v, body %q; want each event once", res.err, res.body)
	}
	r.checkIdle()
}
