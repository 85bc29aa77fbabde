package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/origin"
)

// TestForwardsRequestUnchanged checks that method, path, query, body and headers
// reach the server as the caller sent them, except hop-by-hop headers and those
// that only the VM may set.
func TestForwardsRequestUnchanged(t *testing.T) {
	r := startVM(t)
	s := r.backend("s", "app", respondWith(origin.Behaviour{Status: http.StatusTeapot, Body: "answer"}))
	status, body, err := r.sendAndRead(http.MethodPut, "/write/a%20b?q=1&q=2", "1", "body", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped",
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
	// The forward's timeout is shorter than the caller's.
	if remaining := seen.Header.Get("Fold-Deadline-Ms"); len(remaining) != 4 || remaining > "2000" {
		t.Errorf("Fold-Deadline-Ms: server got %q, want 4 digits and at most 2000", remaining)
	}
}

// TestAdmission checks which requests are forwarded, by workspace key, forward and
// backend server.
func TestAdmission(t *testing.T) {
	r := startVM(t)
	r.backend("s", "app", respondWith(origin.Behaviour{Body: "ok"}))
	tests := []struct {
		name, path, key string
		status          int
	}{
		{"valid key", "/read/x", "Bearer key", http.StatusOK},
		{"no key", "/read/x", "", http.StatusUnauthorized},
		{"unknown key", "/read/x", "Bearer other", http.StatusUnauthorized},
		{"public forward with the longest prefix", "/read/deep/x", "", http.StatusOK},
		{"no forward", "/elsewhere/x", "Bearer key", http.StatusNotFound},
		{"no backend server", "/draft/x", "Bearer key", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		if status, _, err := r.sendAndRead(http.MethodGet, tt.path, "1", "", "Authorization", tt.key); err != nil || status != tt.status {
			t.Errorf("%s: status %d, error %v, want %d", tt.name, status, err, tt.status)
		}
	}
}

// TestMaxBody checks that a body larger than the configuration's limit is
// rejected and not sent to a server.
func TestMaxBody(t *testing.T) {
	r := startVM(t)
	s := r.backend("s", "app", respondWith(origin.Behaviour{Body: "ok"}))
	for size, want := range map[int]int{4096: http.StatusOK, 4097: http.StatusRequestEntityTooLarge} {
		if status, _, err := r.sendAndRead(http.MethodPost, "/write/x", "1", strings.Repeat("x", size)); err != nil || status != want {
			t.Errorf("%d bytes: status %d, error %v, want %d", size, status, err, want)
		}
	}
	if s.RunCount("1") != 1 {
		t.Errorf("%d requests ran, want 1", s.RunCount("1"))
	}
}

// TestRetries fails the first attempt of a request in each way. A safe request is
// retried at a second server. An unsafe one is not, and runs at most once; the
// status shows whether it may have run.
func TestRetries(t *testing.T) {
	tests := []struct {
		name         string
		first        origin.Behaviour
		safe, unsafe int
		ran          int
	}{
		{"server error", origin.Behaviour{Status: 500, Body: "no"}, 200, 500, 1},
		{"rejection", origin.Behaviour{NotRun: true}, 200, 503, 0},
		{"truncated response", origin.Behaviour{Body: "hello", TruncateAt: 2}, 200, 502, 1},
		{"connection reset", origin.Behaviour{Body: "hello", TruncateAt: 1, Reset: true}, 200, 502, 1},
	}
	for _, tt := range tests {
		for path, want := range map[string]int{"/read/x": tt.safe, "/write/x": tt.unsafe} {
			t.Run(tt.name+path, func(t *testing.T) {
				r := startVM(t)
				var sends atomic.Int32
				behave := func(*http.Request) origin.Behaviour {
					if sends.Add(1) == 1 {
						return tt.first
					}
					return origin.Behaviour{Body: "ok"}
				}
				a, b := r.backend("a", "app", behave), r.backend("b", "app", behave)
				status, _, err := r.sendAndRead(http.MethodPost, path, "1", "body")
				if err != nil || status != want {
					t.Errorf("status %d, error %v, want %d", status, err, want)
				}
				if ran := a.RunCount("1") + b.RunCount("1"); path == "/write/x" && ran != tt.ran {
					t.Errorf("unsafe request ran %d times, want %d", ran, tt.ran)
				}
				if n := sends.Load(); n > 2 {
					t.Errorf("%d attempts, want at most 2", n)
				}
			})
		}
	}
}

// TestRetryBudget fails every attempt and checks that the number of retries stays
// within the share of requests plus this VM's part of the reserve: 320 divided by
// twice the minimum of 8 VMs, so 20.
func TestRetryBudget(t *testing.T) {
	r := startVM(t)
	var sends atomic.Int32
	fail := func(*http.Request) origin.Behaviour {
		sends.Add(1)
		return origin.Behaviour{Status: 500}
	}
	r.backend("a", "app", fail)
	r.backend("b", "app", fail)
	const requests = 100
	for range requests {
		if status, _, err := r.sendAndRead(http.MethodGet, "/read/x", "1", ""); err != nil || status != 500 {
			t.Fatalf("status %d, error %v, want 500", status, err)
		}
	}
	if retries := int(sends.Load()) - requests; retries < 20 || retries > requests/5+20 {
		t.Errorf("%d retries of %d requests, want 20 to %d", retries, requests, requests/5+20)
	}
}

// TestTimeout checks that a request whose server does not respond ends at the
// forward's timeout, with an error stating that it may have run.
func TestTimeout(t *testing.T) {
	r := startVM(t)
	r.backend("s", "app", respondWith(origin.Behaviour{Hang: true}))
	res, err := r.send(http.MethodPost, "/brief/x", "1", "")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusGatewayTimeout || res.Header.Get("Fold-Outcome") != "unknown" {
		t.Errorf("status %d, outcome %q, want 504, unknown", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
}

// TestStreamPassesCompleteEvents checks that the events of a stream reach the
// caller, and that a connection lost in the middle of an event does not pass on
// a part of it.
func TestStreamPassesCompleteEvents(t *testing.T) {
	const events = 20
	want := ""
	for i := range events {
		want += origin.Event(i + 1)
	}
	t.Run("complete", func(t *testing.T) {
		r := startVM(t)
		r.backend("e", "models", respondWith(origin.Behaviour{Events: events}))
		if _, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt"); err != nil || body != want {
			t.Errorf("error %v, body %q", err, body)
		}
	})
	t.Run("truncated", func(t *testing.T) {
		r := startVM(t)
		e := r.backend("e", "models", respondWith(origin.Behaviour{Events: events, TruncateAt: 8}))
		_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
		if err == nil {
			t.Error("truncated stream ended without an error")
		}
		if !strings.HasPrefix(want, body) || !strings.HasSuffix(body, "\n\n") && body != "" {
			t.Errorf("caller got %q, want complete events only", body)
		}
		if e.RunCount("1") != 1 {
			t.Errorf("stream ran %d times, want 1", e.RunCount("1"))
		}
	})
}

// TestCallerDisconnectStopsRun checks that the engine stops a run when the caller
// closes its connection during the stream.
func TestCallerDisconnectStopsRun(t *testing.T) {
	r := startVM(t)
	e := r.backend("e", "models", respondWith(origin.Behaviour{Events: 1 << 20, Gap: 5 * time.Millisecond}))
	res, err := r.send(http.MethodPost, "/draft/x", "1", "prompt")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	waitFor(t, "the engine to stop", func() bool { return !e.Running("1") })
}

// TestDrain checks that a VM that is shutting down is not ready, closes callers'
// connections, still serves short requests, and rejects streams that can't end
// in time.
func TestDrain(t *testing.T) {
	r := startVM(t)
	r.backend("s", "app", respondWith(origin.Behaviour{Body: "ok"}))
	r.node.Drain()
	res, err := r.send(http.MethodGet, "/read/x", "1", "")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("status %d, connection closed: %t; want 200, true", res.StatusCode, res.Close)
	}
	if r.node.Ready() {
		t.Error("VM is ready while it is shutting down")
	}
	r.backend("e", "models", respondWith(origin.Behaviour{Events: 2}))
	for tokens, want := range map[string]int{"10": http.StatusOK, "100000": http.StatusServiceUnavailable} {
		status, _, err := r.sendAndRead(http.MethodPost, "/draft/x", tokens, "", "Fold-Max-Tokens", tokens)
		if err != nil || status != want {
			t.Errorf("stream of up to %s tokens: status %d, error %v, want %d", tokens, status, err, want)
		}
	}
}

// TestKeepAliveConnection sends two requests on one connection, the second one
// with a chunked body.
func TestKeepAliveConnection(t *testing.T) {
	r := startVM(t)
	s := r.backend("s", "app", respondWith(origin.Behaviour{Body: "ok"}))
	head := "POST /write/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nFold-Request-Id: "
	_, reader := r.sendRaw(head + "1\r\nContent-Length: 3\r\n\r\nabc" + head + "2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n")
	for _, id := range []string{"1", "2"} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != http.StatusOK || res.Header.Get("Fold-Request-Id") != id {
			t.Fatalf("request %s: %+v, error %v; want status 200 and its request ID", id, res, err)
		}
		res.Body.Close()
	}
	if a, b := s.LastRequest("1").Body, s.LastRequest("2").Body; a != "abc" || b != "def" {
		t.Errorf("server got bodies %q and %q, want \"abc\" and \"def\"", a, b)
	}
}

// TestAwaitsFirstBackend checks that a request to a VM that has just started
// waits for the first announcement of a backend server instead of failing.
func TestAwaitsFirstBackend(t *testing.T) {
	r := startVM(t)
	done := make(chan int)
	go func() {
		status, _, _ := r.sendAndRead(http.MethodPost, "/write/x", "1", "")
		done <- status
	}()
	waitFor(t, "the request to arrive", func() bool { return r.node.Streams() == 1 })
	r.backend("s", "app", respondWith(origin.Behaviour{Body: "ok"}))
	if status := <-done; status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}

// TestUnknownOutcomeAfterTwoServers truncates a safe request's first response and
// lets the second server reject the request or truncate its response as well.
// The error must not state that the request did not run, since it may have run
// at the first server.
func TestUnknownOutcomeAfterTwoServers(t *testing.T) {
	for _, second := range []origin.Behaviour{{NotRun: true}, {Body: "xy", TruncateAt: 1}} {
		r := startVM(t)
		var sends atomic.Int32
		behave := func(*http.Request) origin.Behaviour {
			if sends.Add(1) == 1 {
				return origin.Behaviour{Body: "hello", TruncateAt: 2}
			}
			return second
		}
		r.backend("a", "app", behave)
		r.backend("b", "app", behave)
		res, err := r.send(http.MethodGet, "/read/x", "1", "")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusBadGateway || res.Header.Get("Fold-Outcome") != "unknown" {
			t.Errorf("status %d, outcome %q; want 502, unknown", res.StatusCode, res.Header.Get("Fold-Outcome"))
		}
	}
}

// TestUnsupportedStatus lets a server respond with a status that has no standard
// text. nbhttp would send it as a success; the caller must get 502.
func TestUnsupportedStatus(t *testing.T) {
	r := startVM(t)
	r.backend("s", "app", respondWith(origin.Behaviour{Status: 599, Body: "no"}))
	r.backend("e", "models", respondWith(origin.Behaviour{Status: 599, Body: "no"}))
	for _, path := range []string{"/read/x", "/write/x", "/draft/x"} {
		if status, _, err := r.sendAndRead(http.MethodPost, path, "1", ""); err != nil || status != http.StatusBadGateway {
			t.Errorf("%s: status %d, error %v, want 502", path, status, err)
		}
	}
}

// TestUnreachableDomainIsRejectedAtOnce checks that requests which only an
// unreachable failure domain could serve are rejected without another try, once two
// in a row have failed to connect: each try would cost the caller the time to open
// a connection.
func TestUnreachableDomainIsRejectedAtOnce(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x", "/draft/x"} {
		r := startVM(t)
		for _, service := range []string{"app", "models"} {
			gone, err := origin.New("gone", respondWith(origin.Behaviour{}))
			if err != nil {
				t.Fatal(err)
			}
			gone.Close()
			r.node.ReceiveAnnouncement(member.Backend{ID: service, Addr: gone.Addr(), Kind: spec.KindPlain, Service: service, Domain: "b", Epoch: 1, Seq: 1})
		}
		for i, tried := range []bool{true, true, false, false} {
			before := r.failedAttempts()
			res, err := r.send(http.MethodPost, path, fmt.Sprint(i), "")
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
				t.Errorf("%s: request %d: status %d, Retry-After %q, want 503 with a time", path, i, res.StatusCode, res.Header.Get("Retry-After"))
			}
			if got := r.failedAttempts() > before; got != tried {
				t.Errorf("%s: request %d: tried a server %t, want %t", path, i, got, tried)
			}
		}
	}
}
