package app_test

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldfake/plain"
)

// atMostOnceRequest returns a request of the route whose calls run at most once.
func atMostOnceRequest(key string) callerRequest {
	return callerRequest{path: "/remind", body: "call at nine", header: map[string]string{"Idempotency-Key": key}}
}

// readError returns the code and the outcome of an error response.
func readError(t *testing.T, res *http.Response) (code, outcome string) {
	t.Helper()
	var e event
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &e); err != nil || e.Error == nil {
		t.Fatalf("status %d, body %q, want an error response", res.StatusCode, b)
	}
	return e.Error.Code, e.Error.Outcome
}

// sendUntilRun sends a call until it has run, as a caller does whose call is
// rejected as not run. A rejected call binds its key to nothing.
func sendUntilRun(t *testing.T, a *app.App, r callerRequest) {
	t.Helper()
	for {
		res := r.send(t, a)
		if res.StatusCode == http.StatusOK {
			return
		}
		if code, outcome := readError(t, res); outcome != "notRun" {
			t.Fatalf("got error %s, outcome %s; want status 200, or notRun", code, outcome)
		}
	}
}

// TestAtMostOnceCallRefusedWithoutQuorum checks that a VM without control VMs
// rejects a call that may run at most once, and serves an idempotent one.
func TestAtMostOnceCallRefusedWithoutQuorum(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	s := startService(t, "s1", a)
	res := atMostOnceRequest("k1").send(t, a)
	if code, outcome := readError(t, res); code != "noQuorum" || outcome != "notRun" || res.Header.Get("Retry-After") == "" {
		t.Errorf("got error %s, outcome %s, Retry-After %q; want noQuorum, notRun and a Retry-After", code, outcome, res.Header.Get("Retry-After"))
	}
	if n := s.RunCount("k1"); n != 0 {
		t.Errorf("rejected call ran %d times, want 0", n)
	}
	if res := (callerRequest{method: "GET", path: "/lookup"}).send(t, a); res.StatusCode != http.StatusOK {
		t.Errorf("idempotent call: got status %d, want 200", res.StatusCode)
	}
}

// TestIdempotentCallIsRetried checks that an idempotent call succeeds while one of
// two backend servers loses its answers or rejects calls.
func TestIdempotentCallIsRetried(t *testing.T) {
	t.Parallel()
	for _, f := range []string{plain.FaultLoseAnswer, plain.FaultRefuse} {
		t.Run(f, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", nil)
			startService(t, "s1", a).Inject(f)
			startService(t, "s2", a)
			for range 4 {
				if res := (callerRequest{method: "GET", path: "/lookup"}).send(t, a); res.StatusCode != http.StatusOK {
					t.Errorf("got status %d, want 200", res.StatusCode)
				}
			}
		})
	}
}

// TestRetryBudgetLimitsRetries checks that retries stay a fixed share of the
// calls when every call fails.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	t.Parallel()
	const calls = 60
	a := startEntry(t, "a1", nil)
	services := []*plain.Service{startService(t, "s1", a), startService(t, "s2", a), startService(t, "s3", a), startService(t, "s4", a)}
	for _, s := range services {
		s.Inject(plain.FaultLoseAnswer)
	}
	for range calls {
		callerRequest{method: "GET", path: "/lookup"}.send(t, a)
	}
	sends := 0
	for _, s := range services {
		sends += s.RunCount("")
	}
	// The budget has a reserve of 10 retries, and each call adds a tenth of one.
	if maxSends := calls + 10 + calls/10; sends > maxSends {
		t.Errorf("%d calls were sent %d times, want at most %d", calls, sends, maxSends)
	}
}

// TestCallRunsAtMostOnce resends a call with the same idempotency key under
// faults. It checks that the call runs at most once and that the reported outcome
// is correct.
func TestCallRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	start := func(t *testing.T) (*app.App, *plain.Service) {
		t.Helper()
		a := startControlVM(t, "a1")
		return a, startService(t, "s1", a)
	}
	t.Run("resend gets the recorded answer", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		var bodies []string
		for range 3 {
			res := atMostOnceRequest("k").send(t, a)
			b, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("got status %d, error %v; want 200", res.StatusCode, err)
			}
			bodies = append(bodies, string(b))
		}
		if s.RunCount("k") != 1 || bodies[0] != bodies[1] || bodies[0] != bodies[2] {
			t.Errorf("call ran %d times with answers %q; want 1 run and equal answers", s.RunCount("k"), bodies)
		}
	})
	t.Run("outcome of a lost answer stays unknown", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Inject(plain.FaultLoseAnswer)
		for range 3 {
			if _, outcome := readError(t, atMostOnceRequest("k").send(t, a)); outcome != "unknown" {
				t.Errorf("got outcome %s, want unknown", outcome)
			}
			s.Inject("")
		}
		if n := s.RunCount("k"); n != 1 {
			t.Errorf("call ran %d times, want 1", n)
		}
	})
	t.Run("refused call is notRun and can be resent", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Inject(plain.FaultRefuse)
		if _, outcome := readError(t, atMostOnceRequest("k").send(t, a)); outcome != "notRun" {
			t.Errorf("got outcome %s, want notRun", outcome)
		}
		s.Inject("")
		if res := atMostOnceRequest("k").send(t, a); res.StatusCode != http.StatusOK || s.RunCount("k") != 1 {
			t.Errorf("resend: got status %d, call ran %d times; want 200, 1", res.StatusCode, s.RunCount("k"))
		}
	})
	t.Run("call to a closed backend server is notRun", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Close()
		if _, outcome := readError(t, atMostOnceRequest("k").send(t, a)); outcome != "notRun" {
			t.Errorf("got outcome %s, want notRun", outcome)
		}
	})
	t.Run("call that times out is unknown", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Inject(plain.FaultHang)
		if _, outcome := readError(t, atMostOnceRequest("k").send(t, a)); outcome != "unknown" {
			t.Errorf("got outcome %s, want unknown", outcome)
		}
		if n := s.RunCount("k"); n != 1 {
			t.Errorf("call ran %d times, want 1", n)
		}
	})
	t.Run("key is bound to one request of one workspace", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		sendUntilRun(t, a, atMostOnceRequest("k"))
		other := atMostOnceRequest("k")
		other.body = "call at ten"
		if code, outcome := readError(t, other.send(t, a)); code != "idempotencyKeyMismatch" || outcome != "notRun" {
			t.Errorf("got error %s, outcome %s; want idempotencyKeyMismatch, notRun", code, outcome)
		}
		beta := atMostOnceRequest("k")
		beta.key = betaKey
		if res := beta.send(t, a); res.StatusCode != http.StatusOK || s.RunCount("k") != 2 {
			t.Errorf("call of another workspace: got status %d, %d runs in total; want 200, 2", res.StatusCode, s.RunCount("k"))
		}
	})
	t.Run("concurrent sends", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { atMostOnceRequest("k").send(t, a) })
		}
		wg.Wait()
		if n := s.RunCount("k"); n != 1 {
			t.Errorf("call ran %d times, want 1", n)
		}
	})
}

// TestAtMostOnceOnReusedConnection closes the connection to the backend server
// after the call has run and before the answer is sent. The standard library's
// transport retries a request with an Idempotency-Key header by itself if its
// connection was reused, which would run the call twice.
func TestAtMostOnceOnReusedConnection(t *testing.T) {
	t.Parallel()
	a := startControlVM(t, "a1")
	s := startService(t, "s1", a)
	for _, key := range []string{"warm-1", "warm-2"} {
		request := atMostOnceRequest(key)
		request.body = ""
		request.send(t, a)
	}
	s.Inject(plain.FaultLoseAnswer)
	request := atMostOnceRequest("k")
	request.body = ""
	if _, outcome := readError(t, request.send(t, a)); outcome != "unknown" {
		t.Errorf("got outcome %s, want unknown", outcome)
	}
	if n := s.RunCount("k"); n != 1 {
		t.Errorf("call ran %d times, want 1", n)
	}
}
