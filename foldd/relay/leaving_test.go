package relay_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
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
	r.node.ReceiveRelayedBackend(member.BackendUpdate{Backend: member.Backend{ID: "leaving", Addr: leaving.Addr(), Kind: spec.KindPlain, Service: c.service, Domain: "a", Epoch: 1, Seq: 12}}, "vm2")
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
			for i := 0; time.Since(turnedAway) < named; i++ {
				if status, _, err := r.sendAndRead(http.MethodGet, path, strconv.Itoa(i), ""); err != nil || status != http.StatusOK {
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
