package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/origin"
)

// newMover returns a Mover for fake engines. It copies nothing; it only stops a
// run at its source.
func newMover(engines ...*origin.Server) *relay.Mover {
	return &relay.Mover{
		Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, relay.Reply, error) {
			for _, e := range engines {
				if e.Addr() != source {
					continue
				}
				if !stop {
					if !e.Running(id) {
						return "", relay.Reply{}, relay.ErrRunNotFound
					}
					return "copy", relay.Reply{}, nil
				}
				if _, ok := e.StopRun(id); ok {
					return "last", relay.Reply{}, nil
				}
			}
			return "", relay.Reply{}, relay.ErrRunNotFound
		},
		Free: func(context.Context, netip.AddrPort, string) (relay.Reply, error) { return relay.Reply{}, nil },
	}
}

// TestMoveContinuesStreams checks that the streams of a leaving engine continue at
// another one, and that callers get every event once.
func TestMoveContinuesStreams(t *testing.T) {
	for _, clean := range []bool{false, true} {
		t.Run(fmt.Sprint("clean=", clean), func(t *testing.T) { testMoveContinuesStreams(t, clean) })
	}
}

// testMoveContinuesStreams moves streams. With clean, the source ends the response
// of a stopped run without an error.
func testMoveContinuesStreams(t *testing.T, clean bool) {
	const events, streams = 200, 6
	want := ""
	for i := range events {
		want += origin.Event(i + 1)
	}
	r := startVM(t)
	release := make(chan struct{})
	behave := respondWith(origin.Behaviour{Events: events, Hold: release, HoldAt: 5})
	a := r.backend("a", "models", behave)
	a.CleanStop = clean
	type result struct {
		body string
		err  error
	}
	results := make(chan result, streams)
	for i := range streams {
		go func() {
			_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", string(rune('1'+i)), "prompt")
			results <- result{body, err}
		}()
	}
	waitFor(t, "the streams to run", func() bool {
		for i := range streams {
			if a.EventsSent(string(rune('1'+i))) < 5 {
				return false
			}
		}
		return true
	})
	b := r.backend("b", "models", behave)
	r.relay.Mover = newMover(a, b)
	r.announce(a, "models", true)
	waitFor(t, "the streams to move", func() bool {
		for i := range streams {
			if !b.Running(string(rune('1' + i))) {
				return false
			}
		}
		return true
	})
	close(release)
	for range streams {
		res := <-results
		if res.err != nil || res.body != want {
			t.Errorf("error %v, got %d bytes; want the %d bytes of all events", res.err, len(res.body), len(want))
		}
	}
	for i := range streams {
		id := string(rune('1' + i))
		if seen := b.LastRequest(id); seen == nil || !strings.HasSuffix(seen.Header.Get("Fold-Resume"), "/last") || seen.Header.Get("Last-Event-Id") == "" {
			t.Errorf("run %s was not resumed at the other engine; last request there: %+v", id, seen)
		}
	}
}

// TestFailedMoveKeepsStream checks that a stream continues and ends at a leaving
// engine if its run can't be copied.
func TestFailedMoveKeepsStream(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: 100, Hold: release, HoldAt: 5}))
	var releaseOnce sync.Once
	r.relay.Mover = &relay.Mover{
		Copy: func(context.Context, netip.AddrPort, string, netip.AddrPort, bool) (string, relay.Reply, error) {
			releaseOnce.Do(func() { close(release) })
			return "", relay.Reply{}, errors.New("injected copy failure")
		},
	}
	done := make(chan error)
	go func() {
		_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
		if err == nil && strings.Count(body, "id: ") != 100 {
			err = errors.New("stream does not have 100 events")
		}
		done <- err
	}()
	waitFor(t, "the stream to run", func() bool { return a.EventsSent("1") > 0 })
	r.backend("b", "models", respondWith(origin.Behaviour{}))
	r.announce(a, "models", true)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestLoadsReturnToZero checks that no load remains recorded at any server after
// streams that end, move or lose their caller, and after calls that fail.
func TestLoadsReturnToZero(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	behave := respondWith(origin.Behaviour{Events: 60, Hold: release, HoldAt: 5})
	a := r.backend("a", "models", behave)
	r.backend("s", "app", respondWith(origin.Behaviour{Body: "x", TruncateAt: 1}))
	done := make(chan bool)
	for i := range 8 {
		go func() {
			id := string(rune('1' + i))
			if i%2 == 0 {
				res, err := r.send(http.MethodPost, "/draft/x", id, "prompt", "Fold-Prompt-Tokens", "100", "Fold-Max-Tokens", "5000")
				if err == nil {
					time.Sleep(20 * time.Millisecond)
					res.Body.Close()
				}
			} else {
				_, _, _ = r.sendAndRead(http.MethodPost, "/draft/x", id, "prompt", "Fold-Prompt-Tokens", "100", "Fold-Max-Tokens", "5000")
				_, _, _ = r.sendAndRead(http.MethodGet, "/read/x", id, "")
			}
			done <- true
		}()
	}
	waitFor(t, "a stream to run", func() bool { return a.EventsSent("2") > 2 })
	b := r.backend("b", "models", behave)
	r.relay.Mover = newMover(a, b)
	r.announce(a, "models", true)
	waitFor(t, "a stream to move", func() bool { return b.Running("2") })
	close(release)
	for range 8 {
		<-done
	}
	waitFor(t, "all requests to end", func() bool { return r.node.Streams() == 0 })
	waitFor(t, "the loads of all servers to be zero", func() bool { return len(r.node.Loads("models")) == 0 && len(r.node.Loads("app")) == 0 })
}

// TestSmallRunsMoveFirst checks that a run with a small prompt is copied off a
// leaving engine before one with a large prompt, so that most runs are moved
// before the engine exits.
func TestSmallRunsMoveFirst(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	behave := respondWith(origin.Behaviour{Events: 20, Hold: release, HoldAt: 5})
	a := r.backend("a", "models", behave)
	done := make(chan error)
	for id, tokens := range map[string]string{"large": "40000", "small": "10"} {
		go func() {
			_, _, err := r.sendAndRead(http.MethodPost, "/draft/x", id, "prompt", "Fold-Prompt-Tokens", tokens)
			done <- err
		}()
	}
	waitFor(t, "both streams to run", func() bool { return a.EventsSent("large") > 2 && a.EventsSent("small") > 2 })
	b := r.backend("b", "models", behave)
	inner := newMover(a, b)
	var order sync.Map
	var copies atomic.Int32
	r.relay.Mover = &relay.Mover{
		Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, relay.Reply, error) {
			if !stop {
				order.Store(id, copies.Add(1))
			}
			return inner.Copy(ctx, source, id, target, stop)
		},
		Free: inner.Free,
	}
	r.announce(a, "models", true)
	waitFor(t, "both streams to move", func() bool { return b.Running("large") && b.Running("small") })
	close(release)
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	small, _ := order.Load("small")
	large, _ := order.Load("large")
	if small != int32(1) || large != int32(2) {
		t.Errorf("order of copies: small %v, large %v; want 1 and 2", small, large)
	}
}

// TestFullEnginesReject sends more requests than the engine's memory has room for.
// Those that are admitted must complete; the others must be rejected at once,
// without having run.
func TestFullEnginesReject(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	e := r.backend("e", "models", respondWith(origin.Behaviour{Events: 40, Hold: release, HoldAt: 5}))
	const (
		requests = 8
		// The engine's memory is 100,000 tokens.
		capacity = 3
	)
	type result struct {
		id     string
		status int
		body   string
	}
	results := make(chan result, requests)
	for i := range requests {
		go func() {
			id := string(rune('1' + i))
			status, body, err := r.sendAndRead(http.MethodPost, "/draft/x", id, "", "Fold-Prompt-Tokens", "30000")
			if err != nil {
				t.Error(err)
			}
			results <- result{id, status, body}
		}()
	}
	admitted := 0
	for i := range requests {
		if i == requests-capacity {
			// Only admitted requests are left, and none of them has ended yet.
			close(release)
		}
		switch res := <-results; res.status {
		case http.StatusOK:
			admitted++
			if strings.Count(res.body, "id: ") != 40 {
				t.Errorf("stream %s does not have 40 events", res.id)
			}
		case http.StatusServiceUnavailable:
			if e.RunCount(res.id) != 0 {
				t.Errorf("request %s was rejected as not run, but ran", res.id)
			}
		default:
			t.Errorf("request %s: status %d, want 200 or 503", res.id, res.status)
		}
	}
	if admitted != capacity {
		t.Errorf("%d streams were admitted, want %d", admitted, capacity)
	}
}

// TestEndedRunIsNotCopied checks that no engine is asked again and again for the
// copy of a run whose caller has gone before its first event.
func TestEndedRunIsNotCopied(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	defer close(release)
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: 5, Hold: release, HoldAt: 0}))
	var copies atomic.Int32
	r.relay.Mover = &relay.Mover{
		Copy: func(context.Context, netip.AddrPort, string, netip.AddrPort, bool) (string, relay.Reply, error) {
			copies.Add(1)
			return "", relay.Reply{}, relay.ErrRunNotFound
		},
	}
	conn, _ := r.sendRaw("POST /draft/x HTTP/1.1\r\nHost: h.example\r\nFold-Request-Id: 1\r\nAuthorization: Bearer key\r\nFold-Prompt-Tokens: 10\r\nContent-Length: 0\r\n\r\n")
	waitFor(t, "the engine to run the request", func() bool { return a.Running("1") })
	r.backend("b", "models", respondWith(origin.Behaviour{}))
	r.announce(a, "models", true)
	waitFor(t, "the first copy", func() bool { return copies.Load() > 0 })
	conn.Close()
	waitFor(t, "the stream to end", func() bool { return r.node.Streams() == 0 })
	atEnd := copies.Load()
	waitFor(t, "the copy to be given up", func() bool { return len(r.node.Loads("models")) == 0 })
	if more := copies.Load() - atEnd; more > 1 {
		t.Errorf("%d copies were ordered after the run had ended", more)
	}
}

// TestMoveOfRunThatHasEnded guards against a move that stops a run after its stream has ended, and
// whose placement at the target is then never ended: the target would look busy for ever.
func TestMoveOfRunThatHasEnded(t *testing.T) {
	for _, path := range []string{"/draft/x", "/short/x"} {
		r := startVM(t)
		release, copied, freed := make(chan struct{}), make(chan struct{}), make(chan struct{})
		t.Cleanup(func() { close(release) })
		a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5}))
		ended := make(chan struct{})
		go func() {
			_, _, _ = r.sendAndRead(http.MethodPost, path, "1", "prompt", "Fold-Deadline-Ms", "700")
			close(ended)
		}()
		waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
		r.backend("b", "models", respondWith(origin.Behaviour{Events: streamEvents}))
		r.relay.Mover = &relay.Mover{
			Copy: func(_ context.Context, _ netip.AddrPort, _ string, _ netip.AddrPort, stop bool) (string, relay.Reply, error) {
				if stop {
					return "last", relay.Reply{}, nil
				}
				<-copied
				return "copy", relay.Reply{}, nil
			},
			Free: func(context.Context, netip.AddrPort, string) (relay.Reply, error) {
				close(freed)
				return relay.Reply{}, nil
			},
		}
		r.announce(a, "models", true)
		<-ended
		waitFor(t, "the request to end", func() bool { return r.node.Streams() == 0 })
		close(copied)
		select {
		case <-freed:
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the copy was not freed", path)
		}
		time.Sleep(50 * time.Millisecond)
		if loads := r.node.Loads("models"); len(loads) != 0 {
			t.Errorf("%s: loads %+v after the end, want none", path, loads)
		}
	}
}
