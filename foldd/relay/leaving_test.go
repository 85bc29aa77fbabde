package relay_test

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
)

// leavingCase is a response by which a server says that it is leaving.
type leavingCase struct {
	what      string
	path      string
	service   string
	behaviour origin.Behaviour
}

var leavingCases = []leavingCase{
	{"plain response", "/read/x", "app", origin.Behaviour{Leaving: origin.Head}},
	{"error", "/read/x", "app", origin.Behaviour{Leaving: origin.Head, Status: http.StatusInternalServerError}},
	{"rejection", "/read/x", "app", origin.Behaviour{Leaving: origin.Head, NotRun: true}},
	{"informational response", "/read/x", "app", origin.Behaviour{Leaving: origin.Informational}},
	{"head of a stream", "/draft/x", "models", origin.Behaviour{Leaving: origin.Head, Events: 3}},
	{"informational response of a stream", "/draft/x", "models", origin.Behaviour{Leaving: origin.Informational, Events: 3}},
	{"trailer of a stream", "/draft/x", "models", origin.Behaviour{Leaving: origin.Trailer, Events: 3}},
	{"rejection of a stream", "/draft/x", "models", origin.Behaviour{Leaving: origin.Head, NotRun: true}},
}

// TestNoNewRequestAfterLeavingAnswer guards against new requests for a server that has
// said in a response that it is leaving.
func TestNoNewRequestAfterLeavingAnswer(t *testing.T) {
	for _, c := range leavingCases {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			testNoNewRequest(t, c)
		})
	}
}

func testNoNewRequest(t *testing.T, c leavingCase) {
	r := startVM(t)
	leaving := r.backend("leaving", c.service, respondWith(c.behaviour))
	leaving.Meter = &meter.Meter{}
	var ids atomic.Int64
	send := func() int {
		status, _, err := r.sendAndRead(http.MethodGet, c.path, strconv.FormatInt(ids.Add(1), 10), "")
		if err != nil {
			t.Error(err)
		}
		return status
	}
	send()
	told := leaving.Meter.Count()
	if told == 0 {
		t.Fatal("the server got no request")
	}
	// With no other server, a request is rejected at once as not run.
	if status := send(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the only server is leaving, want 503", status)
	}
	other := r.backend("other", c.service, respondWith(origin.Behaviour{Events: c.behaviour.Events}))
	announce := func(epoch, seq uint64) {
		r.node.ReceiveAnnouncement(member.Backend{ID: "leaving", Addr: leaving.Addr(), Kind: spec.KindPlain, Service: c.service, Domain: "a", Epoch: epoch, Seq: seq})
	}
	announce(1, 9)
	r.node.ReceiveRelayedBackends([]member.BackendUpdate{{Backend: member.Backend{ID: "leaving", Addr: leaving.Addr(), Kind: spec.KindPlain, Service: c.service, Domain: "a", Epoch: 1, Seq: 12}}}, "vm2")
	for range 12 {
		if status := send(); status != http.StatusOK {
			t.Errorf("status %d, want 200 of the other server", status)
		}
	}
	if got := leaving.Meter.Count() - told; got > 0 {
		t.Errorf("a server that said it is leaving got %d new requests", got)
	}
	// A new start of the server has said nothing.
	other.Close()
	announce(2, 1)
	if send(); leaving.Meter.Count() == told {
		t.Error("a server that has started again gets no request")
	}
}

// TestServerThatTurnedAwayIsLeftAlone guards against more than two requests for a server
// within the time that it named when it turned a request away, and against a server that
// gets none after that time.
func TestServerThatTurnedAwayIsLeftAlone(t *testing.T) {
	const named, settle = 2 * time.Second, 500 * time.Millisecond
	for _, path := range []string{"/read/x", "/draft/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			service := map[string]string{"/read/x": "app", "/draft/x": "models"}[path]
			r := startVM(t)
			away := r.backend("away", service, respondWith(origin.Behaviour{NotRun: true, RetryAfter: "2"}))
			away.Meter = &meter.Meter{}
			sent := time.Now()
			if status, _, err := r.sendAndRead(http.MethodGet, path, "first", ""); err != nil || status != http.StatusServiceUnavailable {
				t.Fatalf("status %d, %v", status, err)
			}
			turnedAway := time.Now()
			res, err := r.send(http.MethodGet, path, "second", "")
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			if seconds, _ := strconv.Atoi(res.Header.Get("Retry-After")); seconds < 1 || seconds > 2 {
				t.Errorf("Retry-After is %q, want what is left of %v", res.Header.Get("Retry-After"), named)
			}
			r.backend("other", service, respondWith(origin.Behaviour{Events: 2}))
			for i := 0; ; i++ {
				status, _, err := r.sendAndRead(http.MethodGet, path, strconv.Itoa(i), "")
				if time.Since(sent) >= named {
					// The server may have got it after the time that it named.
					break
				}
				if err != nil || status != http.StatusOK {
					t.Errorf("status %d, %v; the other server takes requests", status, err)
				}
				time.Sleep(25 * time.Millisecond)
			}
			if got := away.Meter.CountBetween(turnedAway.Add(settle), turnedAway.Add(named)); got > 2 {
				t.Errorf("a server that turned a request away for %v got %d more within that time", named, got)
			}
			waitFor(t, "the server to get a request again", func() bool {
				_, _, err := r.sendAndRead(http.MethodGet, path, "later", "")
				return err != nil || away.Meter.CountBetween(turnedAway.Add(named), time.Now()) > 0
			})
		})
	}
}

// TestMovesLeaveServerAlone guards against copies of runs, and frees of them, that go on at
// an engine that has turned one away and wants no request for some time.
func TestMovesLeaveServerAlone(t *testing.T) {
	t.Parallel()
	const streams, events = 8, 30
	const named, settle = 2 * time.Second, 500 * time.Millisecond
	// Each run is tried at several engines, one after the other.
	const copyTime = 300 * time.Millisecond
	r := startVM(t)
	release := make(chan struct{})
	behave := respondWith(origin.Behaviour{Events: events, Hold: release, HoldAt: 3})
	a := r.backend("a", "models", behave)
	var mu sync.Mutex
	var calls []time.Time
	call := func() relay.Reply {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, time.Now())
		return relay.Reply{RetryAfter: limit.RetryAfter{Wait: named}}
	}
	r.relay.Mover = &relay.Mover{
		Copy: func(context.Context, netip.AddrPort, string, netip.AddrPort, bool) (string, relay.Reply, error) {
			reply := call()
			time.Sleep(copyTime)
			return "", reply, relay.ErrNoRoom
		},
		Free: func(context.Context, netip.AddrPort, string) (relay.Reply, error) { return call(), nil },
	}
	done := make(chan error, streams)
	for i := range streams {
		id := strconv.Itoa(i)
		go func() {
			_, _, err := r.sendAndRead(http.MethodPost, "/draft/x", id, "prompt")
			done <- err
		}()
		waitFor(t, "the stream to run", func() bool { return a.EventsSent(id) > 0 })
	}
	for _, id := range []string{"b", "c", "d"} {
		r.backend(id, "models", behave)
	}
	r.announce(a, "models", true)
	time.Sleep(named + settle)
	close(release)
	for range streams {
		if err := <-done; err != nil {
			t.Errorf("a run that can't be moved did not stay: %v", err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range calls {
		if d := at.Sub(calls[0]); d > settle && d < named {
			late++
		}
	}
	if len(calls) == 0 || late > 2 {
		t.Errorf("%d calls, %d of them from %v to %v after the first, which was turned away for %v", len(calls), late, settle, named, named)
	}
}

// TestLeavingIsLearnedFromCopy guards against new requests for an engine that has said only
// in the reply to the copy of a run that it is leaving.
func TestLeavingIsLearnedFromCopy(t *testing.T) {
	t.Parallel()
	r := startVM(t)
	release := make(chan struct{})
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: 9, Hold: release, HoldAt: 2}))
	r.relay.Mover = &relay.Mover{
		Copy: func(context.Context, netip.AddrPort, string, netip.AddrPort, bool) (string, relay.Reply, error) {
			return "", relay.Reply{Leaving: true}, relay.ErrNoRoom
		},
	}
	done := make(chan error)
	go func() {
		_, _, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
		done <- err
	}()
	waitFor(t, "the stream to run", func() bool { return a.EventsSent("1") > 0 })
	b := r.backend("b", "models", respondWith(origin.Behaviour{Events: 2}))
	// Only the reply says it: the platform's order to move is a mark of its own.
	r.announce(a, "models", true)
	waitFor(t, "the reply to be recorded", func() bool { return r.node.Metrics.Get("limits.leaving") != nil })
	for i := range 6 {
		if status, _, err := r.sendAndRead(http.MethodPost, "/draft/x", "later"+strconv.Itoa(i), "prompt"); err != nil || status != http.StatusOK {
			t.Errorf("status %d, %v", status, err)
		}
	}
	for i := range 6 {
		if id := "later" + strconv.Itoa(i); a.RunCount(id) != 0 || b.RunCount(id) != 1 {
			t.Errorf("request %s ran %d times at the engine that leaves", id, a.RunCount(id))
		}
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
