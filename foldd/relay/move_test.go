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

// mover moves runs between stand-in engines by stopping them at the source.
func mover(engines ...*origin.Server) *relay.Mover {
	return &relay.Mover{
		Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, error) {
			for _, e := range engines {
				if e.Addr() != source {
					continue
				}
				if !stop {
					if !e.Running(id) {
						return "", relay.ErrRunNotFound
					}
					return "copy", nil
				}
				if _, ok := e.StopRun(id); ok {
					return "last", nil
				}
			}
			return "", relay.ErrRunNotFound
		},
		Free: func(context.Context, netip.AddrPort, string) error { return nil },
	}
}

// TestMove lets an engine leave during streams: they go on at another engine,
// without a piece missing or twice, and the caller does not notice.
func TestMove(t *testing.T) {
	for _, clean := range []bool{false, true} {
		t.Run(fmt.Sprint("clean=", clean), func(t *testing.T) { testMove(t, clean) })
	}
}

func testMove(t *testing.T, clean bool) {
	const events, streams = 200, 6
	whole := ""
	for i := range events {
		whole += origin.Event(i + 1)
	}
	r := start(t)
	release := make(chan struct{})
	behave := answer(origin.Behaviour{Events: events, Hold: release, HoldAt: 5})
	a := r.backend("a", "models", behave)
	a.CleanStop = clean
	type result struct {
		body string
		err  error
	}
	results := make(chan result, streams)
	for i := range streams {
		go func() {
			_, body, err := r.get(http.MethodPost, "/draft/x", string(rune('1'+i)), "prompt")
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
	r.relay.Mover = mover(a, b)
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
		if res.err != nil || res.body != whole {
			t.Errorf("error %v, %d bytes of %d", res.err, len(res.body), len(whole))
		}
	}
	for i := range streams {
		id := string(rune('1' + i))
		if seen := b.LastRequest(id); seen == nil || !strings.HasSuffix(seen.Header.Get("Fold-Resume"), "/last") || seen.Header.Get("Last-Event-Id") == "" {
			t.Errorf("run %s did not go on at the other engine: %+v", id, seen)
		}
	}
}

// TestMoveFails lets an engine leave from which no run can be copied: the
// streams stay and end there.
func TestMoveFails(t *testing.T) {
	r := start(t)
	release := make(chan struct{})
	a := r.backend("a", "models", answer(origin.Behaviour{Events: 100, Hold: release, HoldAt: 5}))
	var tried sync.Once
	r.relay.Mover = &relay.Mover{
		Copy: func(context.Context, netip.AddrPort, string, netip.AddrPort, bool) (string, error) {
			tried.Do(func() { close(release) })
			return "", errors.New("on purpose")
		},
	}
	done := make(chan error)
	go func() {
		_, body, err := r.get(http.MethodPost, "/draft/x", "1", "prompt")
		if err == nil && strings.Count(body, "id: ") != 100 {
			err = errors.New("events are missing")
		}
		done <- err
	}()
	waitFor(t, "the stream to run", func() bool { return a.EventsSent("1") > 0 })
	r.backend("b", "models", answer(origin.Behaviour{}))
	r.announce(a, "models", true)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestNothingStaysCounted runs streams that end, move and are left by their
// callers, and calls that fail: no server is left with a load.
func TestNothingStaysCounted(t *testing.T) {
	r := start(t)
	release := make(chan struct{})
	behave := answer(origin.Behaviour{Events: 60, Hold: release, HoldAt: 5})
	a := r.backend("a", "models", behave)
	r.backend("s", "app", answer(origin.Behaviour{Body: "x", TruncateAt: 1}))
	done := make(chan bool)
	for i := range 8 {
		go func() {
			id := string(rune('1' + i))
			if i%2 == 0 {
				res, err := r.ask(http.MethodPost, "/draft/x", id, "prompt", "Fold-Prompt-Tokens", "100", "Fold-Max-Tokens", "5000")
				if err == nil {
					time.Sleep(20 * time.Millisecond)
					res.Body.Close()
				}
			} else {
				_, _, _ = r.get(http.MethodPost, "/draft/x", id, "prompt", "Fold-Prompt-Tokens", "100", "Fold-Max-Tokens", "5000")
				_, _, _ = r.get(http.MethodGet, "/read/x", id, "")
			}
			done <- true
		}()
	}
	waitFor(t, "a stream to run", func() bool { return a.EventsSent("2") > 2 })
	b := r.backend("b", "models", behave)
	r.relay.Mover = mover(a, b)
	r.announce(a, "models", true)
	waitFor(t, "a stream to move", func() bool { return b.Running("2") })
	close(release)
	for range 8 {
		<-done
	}
	waitFor(t, "all requests to end", func() bool { return r.node.Streams() == 0 })
	waitFor(t, "the servers to be free", func() bool { return len(r.node.Loads("models")) == 0 && len(r.node.Loads("app")) == 0 })
}

// TestSmallRunsMoveFirst lets an engine leave that runs a large and a small
// prompt: the small one is copied first, so that most runs are away in time.
func TestSmallRunsMoveFirst(t *testing.T) {
	r := start(t)
	release := make(chan struct{})
	behave := answer(origin.Behaviour{Events: 20, Hold: release, HoldAt: 5})
	a := r.backend("a", "models", behave)
	done := make(chan error)
	for id, tokens := range map[string]string{"large": "40000", "small": "10"} {
		go func() {
			_, _, err := r.get(http.MethodPost, "/draft/x", id, "prompt", "Fold-Prompt-Tokens", tokens)
			done <- err
		}()
	}
	waitFor(t, "both to run", func() bool { return a.EventsSent("large") > 2 && a.EventsSent("small") > 2 })
	b := r.backend("b", "models", behave)
	inner := mover(a, b)
	var order sync.Map
	var turns atomic.Int32
	r.relay.Mover = &relay.Mover{
		Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, error) {
			if !stop {
				order.Store(id, turns.Add(1))
			}
			return inner.Copy(ctx, source, id, target, stop)
		},
		Free: inner.Free,
	}
	r.announce(a, "models", true)
	waitFor(t, "both to move", func() bool { return b.Running("large") && b.Running("small") })
	close(release)
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	small, _ := order.Load("small")
	large, _ := order.Load("large")
	if small != int32(1) || large != int32(2) {
		t.Errorf("turns: small %v, large %v; want 1 and 2", small, large)
	}
}

// TestEnginesFull asks for more runs than the engines' memory holds: those that
// are taken end whole, the others are told at once that they did not run.
func TestEnginesFull(t *testing.T) {
	r := start(t)
	release := make(chan struct{})
	e := r.backend("e", "models", answer(origin.Behaviour{Events: 40, Hold: release, HoldAt: 5}))
	const (
		requests = 8
		// The engine's memory is 100,000 tokens.
		fit = 3
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
			status, body, err := r.get(http.MethodPost, "/draft/x", id, "", "Fold-Prompt-Tokens", "30000")
			if err != nil {
				t.Error(err)
			}
			results <- result{id, status, body}
		}()
	}
	taken := 0
	for i := range requests {
		if i == requests-fit {
			// All that are left are taken: none has ended before.
			close(release)
		}
		switch res := <-results; res.status {
		case http.StatusOK:
			taken++
			if strings.Count(res.body, "id: ") != 40 {
				t.Errorf("stream %s is not whole", res.id)
			}
		case http.StatusServiceUnavailable:
			if e.RunCount(res.id) != 0 {
				t.Errorf("request %s was told that it did not run", res.id)
			}
		default:
			t.Errorf("request %s: status %d", res.id, res.status)
		}
	}
	if taken != fit {
		t.Errorf("%d streams were taken, want %d", taken, fit)
	}
}
