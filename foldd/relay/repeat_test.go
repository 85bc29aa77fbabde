package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

// crashPlain starts a server that crashes under the next request for a path, sends that
// request, and announces that the server has gone.
func (r *testVM) crashPlain(n int, path string) {
	r.t.Helper()
	s := r.backend(fmt.Sprint("s", n), "app", respondWith(origin.Behaviour{CrashUnanswered: true}))
	if status, _, err := r.sendAndRead(http.MethodGet, path, fmt.Sprint(n), ""); err == nil && status == http.StatusOK {
		r.t.Errorf("request %d was served", n)
	}
	r.announce(s, "app", true)
}

// TestQuarantinedRequestIsRejected checks what callers get whose requests crash servers.
func TestQuarantinedRequestIsRejected(t *testing.T) {
	r := startVM(t)
	for i := range 3 {
		r.crashPlain(i, "/read/x")
		time.Sleep(600 * time.Millisecond)
	}
	s := r.backend("last", "app", respondWith(origin.Behaviour{Body: "ok"}))
	res, err := r.send(http.MethodGet, "/read/x", "4", "")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || s.RunCount("4") != 0 {
		t.Errorf("status %d, Retry-After %q, %d runs; want 503, the time of the next trial, none", res.StatusCode, res.Header.Get("Retry-After"), s.RunCount("4"))
	}
	for i, other := range []struct{ method, path, body string }{
		{http.MethodGet, "/read/y", ""},
		{http.MethodGet, "/read/x?q", ""},
		{http.MethodPost, "/read/x", "body"},
	} {
		if status, _, err := r.sendAndRead(other.method, other.path, fmt.Sprint("other", i), other.body); err != nil || status != http.StatusOK {
			t.Errorf("%s %s with body %q: status %d, error %v; want 200", other.method, other.path, other.body, status, err)
		}
	}
}

// TestRequestThatRanIsNotReportedNotRun guards against a request that crashed a server
// and is in quarantine by then, and is rejected as if it had not run.
func TestRequestThatRanIsNotReportedNotRun(t *testing.T) {
	r := startVM(t)
	for i := range 2 {
		r.crashPlain(i, "/read/x")
		time.Sleep(600 * time.Millisecond)
	}
	r.backend("third", "app", respondWith(origin.Behaviour{CrashUnanswered: true}))
	r.backend("fourth", "app", respondWith(origin.Behaviour{CrashUnanswered: true}))
	status, _, err := r.sendAndRead(http.MethodGet, "/read/x", "last", "")
	if err != nil || status != http.StatusBadGateway {
		t.Errorf("status %d, error %v; want %d, which promises nothing", status, err, http.StatusBadGateway)
	}
}

// TestLostAnswersAreNoCrashes guards against requests that are rejected because a server
// that goes on loses answers.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	r := startVM(t)
	s := r.backend("s", "app", func(q *http.Request) origin.Behaviour {
		if q.URL.Path == "/write/lost" {
			return origin.Behaviour{Drop: true}
		}
		return origin.Behaviour{}
	})
	for i := range 5 {
		_, _, _ = r.sendAndRead(http.MethodPost, "/write/lost", fmt.Sprint("lost", i), "")
		time.Sleep(500 * time.Millisecond)
		if status, _, err := r.sendAndRead(http.MethodPost, "/write/other", fmt.Sprint("other", i), ""); err != nil || status != http.StatusOK {
			t.Errorf("another request: status %d, error %v", status, err)
		}
	}
	if n := s.RunCount("lost4"); n != 1 {
		t.Errorf("the fifth request whose answer is lost ran %d times, want once", n)
	}
}
