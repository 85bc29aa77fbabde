package relay_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

// TestUnchanged passes method, path, query, body and headers on, but for those
// of one connection and those that are the system's to set.
func TestUnchanged(t *testing.T) {
	r := start(t)
	s := r.backend("s", "app", answer(origin.Behaviour{Status: http.StatusTeapot, Body: "answer"}))
	status, body, err := r.get(http.MethodPut, "/write/a%20b?q=1&q=2", "1", "body", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped",
		"Fold-Workspace", "forged", "Fold-Backend", "forged", "Fold-Resume", "forged", "Fold-Priority", "0", "Fold-Deadline-Ms", "60000")
	if err != nil || status != http.StatusTeapot || body != "answer" {
		t.Fatalf("status %d, body %q, error %v", status, body, err)
	}
	seen := s.LastRequest("1")
	if seen.Method != http.MethodPut || seen.URI != "/write/a%20b?q=1&q=2" || seen.Body != "body" {
		t.Errorf("server got %+v", seen)
	}
	for name, want := range map[string]string{
		"X-Own": "kept", "X-Hop": "", "Fold-Workspace": "w", "Fold-Backend": "s", "Fold-Resume": "", "Fold-Priority": "3", "Authorization": "",
	} {
		if got := seen.Header.Get(name); got != want {
			t.Errorf("%s: server got %q, want %q", name, got, want)
		}
	}
	// The forward's timeout is shorter than the caller's patience.
	if left := seen.Header.Get("Fold-Deadline-Ms"); len(left) != 4 || left > "2000" {
		t.Errorf("server was told %q ms, want what is left of 2000", left)
	}
}

func TestAdmission(t *testing.T) {
	r := start(t)
	r.backend("s", "app", answer(origin.Behaviour{Body: "ok"}))
	tests := []struct {
		name, path, key string
		status          int
	}{
		{"a key", "/read/x", "Bearer key", http.StatusOK},
		{"no key", "/read/x", "", http.StatusUnauthorized},
		{"an unknown key", "/read/x", "Bearer other", http.StatusUnauthorized},
		{"the longest prefix, public", "/read/deep/x", "", http.StatusOK},
		{"no forward", "/elsewhere/x", "Bearer key", http.StatusNotFound},
		{"no backend server", "/draft/x", "Bearer key", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		if status, _, err := r.get(http.MethodGet, tt.path, "1", "", "Authorization", tt.key); err != nil || status != tt.status {
			t.Errorf("%s: status %d, error %v, want %d", tt.name, status, err, tt.status)
		}
	}
}

// TestMaxBody refuses a body beyond the configuration's limit.
func TestMaxBody(t *testing.T) {
	r := start(t)
	s := r.backend("s", "app", answer(origin.Behaviour{Body: "ok"}))
	for size, want := range map[int]int{4096: http.StatusOK, 4097: http.StatusRequestEntityTooLarge} {
		if status, _, err := r.get(http.MethodPost, "/write/x", "1", strings.Repeat("x", size)); err != nil || status != want {
			t.Errorf("%d bytes: status %d, error %v, want %d", size, status, err, want)
		}
	}
	if s.RunCount("1") != 1 {
		t.Errorf("%d requests ran", s.RunCount("1"))
	}
}

// TestRepeats lets the first server that gets a request fail it in each way. A
// safe request goes to a second server; another only if it provably did not
// run there, and then the caller learns that.
func TestRepeats(t *testing.T) {
	tests := []struct {
		name         string
		first        origin.Behaviour
		safe, unsafe int
		ran          int
	}{
		{"an error", origin.Behaviour{Status: 500, Body: "no"}, 200, 500, 1},
		{"a refusal", origin.Behaviour{NotRun: true}, 200, 503, 0},
		{"a cut answer", origin.Behaviour{Body: "hello", TruncateAt: 2}, 200, 502, 1},
		{"a reset", origin.Behaviour{Body: "hello", TruncateAt: 1, Reset: true}, 200, 502, 1},
	}
	for _, tt := range tests {
		for path, want := range map[string]int{"/read/x": tt.safe, "/write/x": tt.unsafe} {
			t.Run(tt.name+path, func(t *testing.T) {
				r := start(t)
				var sends atomic.Int32
				behave := func(*http.Request) origin.Behaviour {
					if sends.Add(1) == 1 {
						return tt.first
					}
					return origin.Behaviour{Body: "ok"}
				}
				a, b := r.backend("a", "app", behave), r.backend("b", "app", behave)
				status, _, err := r.get(http.MethodPost, path, "1", "body")
				if err != nil || status != want {
					t.Errorf("status %d, error %v, want %d", status, err, want)
				}
				if ran := a.RunCount("1") + b.RunCount("1"); path == "/write/x" && ran != tt.ran {
					t.Errorf("an unsafe request ran %d times, want %d", ran, tt.ran)
				}
				if n := sends.Load(); n > 2 {
					t.Errorf("%d sends", n)
				}
			})
		}
	}
}

// TestBudget fails every send: repeats stay within the share of requests and
// this VM's part of the reserve (320 over twice the 8 VMs assumed at least).
func TestBudget(t *testing.T) {
	r := start(t)
	var sends atomic.Int32
	fail := func(*http.Request) origin.Behaviour {
		sends.Add(1)
		return origin.Behaviour{Status: 500}
	}
	r.backend("a", "app", fail)
	r.backend("b", "app", fail)
	const requests = 100
	for range requests {
		if status, _, err := r.get(http.MethodGet, "/read/x", "1", ""); err != nil || status != 500 {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
	if repeats := int(sends.Load()) - requests; repeats < 20 || repeats > requests/5+20 {
		t.Errorf("%d repeats of %d requests, want 20 to %d", repeats, requests, requests/5+20)
	}
}

// TestTimeout answers at the forward's timeout, with the truth: the request
// may have run.
func TestTimeout(t *testing.T) {
	r := start(t)
	r.backend("s", "app", answer(origin.Behaviour{Hang: true}))
	res, err := r.ask(http.MethodPost, "/brief/x", "1", "")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusGatewayTimeout || res.Header.Get("Fold-Outcome") != "unknown" {
		t.Errorf("status %d, outcome %q, want 504, unknown", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
}

// TestStream passes the events of a stream on, and half an event never.
func TestStream(t *testing.T) {
	const events = 20
	whole := ""
	for i := range events {
		whole += origin.Event(i + 1)
	}
	t.Run("whole", func(t *testing.T) {
		r := start(t)
		r.backend("e", "models", answer(origin.Behaviour{Events: events}))
		if _, body, err := r.get(http.MethodPost, "/draft/x", "1", "prompt"); err != nil || body != whole {
			t.Errorf("error %v, body %q", err, body)
		}
	})
	t.Run("cut", func(t *testing.T) {
		r := start(t)
		e := r.backend("e", "models", answer(origin.Behaviour{Events: events, TruncateAt: 8}))
		_, body, err := r.get(http.MethodPost, "/draft/x", "1", "prompt")
		if err == nil {
			t.Error("a stream that broke off looks complete")
		}
		if !strings.HasPrefix(whole, body) || !strings.HasSuffix(body, "\n\n") && body != "" {
			t.Errorf("the caller got %q", body)
		}
		if e.RunCount("1") != 1 {
			t.Errorf("the stream ran %d times", e.RunCount("1"))
		}
	})
}

// TestCallerLeaves closes the caller's connection during a stream: the engine
// is told.
func TestCallerLeaves(t *testing.T) {
	r := start(t)
	e := r.backend("e", "models", answer(origin.Behaviour{Events: 1 << 20, Gap: 5 * time.Millisecond}))
	res, err := r.ask(http.MethodPost, "/draft/x", "1", "prompt")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	waitFor(t, "the engine to stop", func() bool { return !e.Running("1") })
}

// TestDrain goes on with what runs, refuses what comes late, and tells callers
// to leave.
func TestDrain(t *testing.T) {
	r := start(t)
	r.backend("s", "app", answer(origin.Behaviour{Body: "ok"}))
	r.node.Drain()
	res, err := r.ask(http.MethodGet, "/read/x", "1", "")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("status %d, told to close: %t; want 200, true", res.StatusCode, res.Close)
	}
	if r.node.Ready() {
		t.Error("a VM that shuts down counts as ready")
	}
	r.backend("e", "models", answer(origin.Behaviour{Events: 2}))
	for tokens, want := range map[string]int{"10": http.StatusOK, "100000": http.StatusServiceUnavailable} {
		status, _, err := r.get(http.MethodPost, "/draft/x", tokens, "", "Fold-Max-Tokens", tokens)
		if err != nil || status != want {
			t.Errorf("a stream of up to %s tokens: status %d, error %v, want %d", tokens, status, err, want)
		}
	}
}

// TestKeptConnection serves several requests on one connection, one with a
// chunked body.
func TestKeptConnection(t *testing.T) {
	r := start(t)
	s := r.backend("s", "app", answer(origin.Behaviour{Body: "ok"}))
	head := "POST /write/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nFold-Request-Id: "
	_, in := r.raw(head + "1\r\nContent-Length: 3\r\n\r\nabc" + head + "2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n")
	for _, id := range []string{"1", "2"} {
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != http.StatusOK || res.Header.Get("Fold-Request-Id") != id {
			t.Fatalf("request %s: %+v, error %v", id, res, err)
		}
		res.Body.Close()
	}
	if a, b := s.LastRequest("1").Body, s.LastRequest("2").Body; a != "abc" || b != "def" {
		t.Errorf("server got %q and %q", a, b)
	}
}

// TestAwaitsFirstBackend sends a request to a VM that has just started, before
// any server has announced itself: it is held until one has.
func TestAwaitsFirstBackend(t *testing.T) {
	r := start(t)
	done := make(chan int)
	go func() {
		status, _, _ := r.get(http.MethodPost, "/write/x", "1", "")
		done <- status
	}()
	waitFor(t, "the request to arrive", func() bool { return r.node.Streams() == 1 })
	r.backend("s", "app", answer(origin.Behaviour{Body: "ok"}))
	if status := <-done; status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}

// TestTruthAfterTwoServers lets the first server break a safe request off and
// the second one refuse it, or go: the caller isn't told that it did not run.
func TestTruthAfterTwoServers(t *testing.T) {
	for _, second := range []origin.Behaviour{{NotRun: true}, {Body: "xy", TruncateAt: 1}} {
		r := start(t)
		var sends atomic.Int32
		behave := func(*http.Request) origin.Behaviour {
			if sends.Add(1) == 1 {
				return origin.Behaviour{Body: "hello", TruncateAt: 2}
			}
			return second
		}
		r.backend("a", "app", behave)
		r.backend("b", "app", behave)
		res, err := r.ask(http.MethodGet, "/read/x", "1", "")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusBadGateway || res.Header.Get("Fold-Outcome") != "unknown" {
			t.Errorf("status %d, outcome %q; want 502, unknown", res.StatusCode, res.Header.Get("Fold-Outcome"))
		}
	}
}

// TestUnnamedStatus answers with a status that has no name: the caller gets a
// failure and not, as nbhttp would have it, a success.
func TestUnnamedStatus(t *testing.T) {
	r := start(t)
	r.backend("s", "app", answer(origin.Behaviour{Status: 599, Body: "no"}))
	r.backend("e", "models", answer(origin.Behaviour{Status: 599, Body: "no"}))
	for _, path := range []string{"/read/x", "/write/x", "/draft/x"} {
		if status, _, err := r.get(http.MethodPost, path, "1", ""); err != nil || status != http.StatusBadGateway {
			t.Errorf("%s: status %d, error %v, want 502", path, status, err)
		}
	}
}
