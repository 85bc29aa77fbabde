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

func remind(key string) ask {
	return ask{path: "/remind", body: "call at nine", header: map[string]string{"Idempotency-Key": key}}
}

// fault reads the error of a response.
func fault(t *testing.T, res *http.Response) (code, outcome string) {
	t.Helper()
	var e event
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, &e); err != nil || e.Error == nil {
		t.Fatalf("status %d, body %q: no error in it", res.StatusCode, b)
	}
	return e.Error.Code, e.Error.Outcome
}

// TestNoControl refuses what may run only once, and serves the rest.
func TestNoControl(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	s := startService(t, "s1", a)
	res := remind("k1").send(t, a)
	if code, outcome := fault(t, res); code != "noQuorum" || outcome != "notRun" || res.Header.Get("Retry-After") == "" {
		t.Errorf("%s, %s, Retry-After %q", code, outcome, res.Header.Get("Retry-After"))
	}
	if n := s.RunCount("k1"); n != 0 {
		t.Errorf("the refused call ran %d times", n)
	}
	if res := (ask{method: "GET", path: "/lookup"}).send(t, a); res.StatusCode != http.StatusOK {
		t.Errorf("an idempotent call got status %d", res.StatusCode)
	}
}

// TestIdempotentCallIsRepeated loses an answer at one backend server and gets
// it from the other.
func TestIdempotentCallIsRepeated(t *testing.T) {
	t.Parallel()
	for _, f := range []string{plain.FaultLoseAnswer, plain.FaultRefuse} {
		t.Run(f, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", nil)
			startService(t, "s1", a).Inject(f)
			startService(t, "s2", a)
			for range 4 {
				if res := (ask{method: "GET", path: "/lookup"}).send(t, a); res.StatusCode != http.StatusOK {
					t.Errorf("status %d", res.StatusCode)
				}
			}
		})
	}
}

// TestRetryBudget keeps retries at a share of traffic when every call fails.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	const calls = 60
	a := startEntry(t, "a1", nil)
	services := []*plain.Service{startService(t, "s1", a), startService(t, "s2", a), startService(t, "s3", a), startService(t, "s4", a)}
	for _, s := range services {
		s.Inject(plain.FaultLoseAnswer)
	}
	for range calls {
		ask{method: "GET", path: "/lookup"}.send(t, a)
	}
	ran := 0
	for _, s := range services {
		ran += s.RunCount("")
	}
	// The reserve is 10 retries, and each call earns a tenth of one.
	if most := calls + 10 + calls/10; ran > most {
		t.Errorf("%d calls were sent %d times, want at most %d", calls, ran, most)
	}
}

// TestOnce sends the same call again and again under faults: it runs at most
// once, and every answer is true.
func TestOnce(t *testing.T) {
	t.Parallel()
	start := func(t *testing.T) (*app.App, *plain.Service) {
		t.Helper()
		a := startControl(t, "a1")
		return a, startService(t, "s1", a)
	}
	t.Run("a resend gets the recorded answer", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		var bodies []string
		for range 3 {
			res := remind("k").send(t, a)
			b, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("status %d, error %v", res.StatusCode, err)
			}
			bodies = append(bodies, string(b))
		}
		if s.RunCount("k") != 1 || bodies[0] != bodies[1] || bodies[0] != bodies[2] {
			t.Errorf("ran %d times, answers %q", s.RunCount("k"), bodies)
		}
	})
	t.Run("a lost answer is unknown, and stays so", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Inject(plain.FaultLoseAnswer)
		for range 3 {
			if _, outcome := fault(t, remind("k").send(t, a)); outcome != "unknown" {
				t.Errorf("outcome %s, want unknown", outcome)
			}
			s.Inject("")
		}
		if n := s.RunCount("k"); n != 1 {
			t.Errorf("ran %d times", n)
		}
	})
	t.Run("a refused call did not run, and may be sent again", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Inject(plain.FaultRefuse)
		if _, outcome := fault(t, remind("k").send(t, a)); outcome != "notRun" {
			t.Errorf("outcome %s, want notRun", outcome)
		}
		s.Inject("")
		if res := remind("k").send(t, a); res.StatusCode != http.StatusOK || s.RunCount("k") != 1 {
			t.Errorf("status %d, ran %d times", res.StatusCode, s.RunCount("k"))
		}
	})
	t.Run("a dead backend server is notRun", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Close()
		if _, outcome := fault(t, remind("k").send(t, a)); outcome != "notRun" {
			t.Errorf("outcome %s, want notRun", outcome)
		}
	})
	t.Run("a hanging call is unknown at its timeout", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		s.Inject(plain.FaultHang)
		if _, outcome := fault(t, remind("k").send(t, a)); outcome != "unknown" {
			t.Errorf("outcome %s, want unknown", outcome)
		}
		if n := s.RunCount("k"); n != 1 {
			t.Errorf("ran %d times", n)
		}
	})
	t.Run("one key stands for one request and workspace", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		remind("k").send(t, a)
		other := remind("k")
		other.body = "call at ten"
		if code, outcome := fault(t, other.send(t, a)); code != "idempotencyKeyMismatch" || outcome != "notRun" {
			t.Errorf("%s, %s", code, outcome)
		}
		beta := remind("k")
		beta.key = betaKey
		if res := beta.send(t, a); res.StatusCode != http.StatusOK || s.RunCount("k") != 2 {
			t.Errorf("another workspace's call: status %d, ran %d times in all", res.StatusCode, s.RunCount("k"))
		}
	})
	t.Run("many at once", func(t *testing.T) {
		t.Parallel()
		a, s := start(t)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { remind("k").send(t, a) })
		}
		wg.Wait()
		if n := s.RunCount("k"); n != 1 {
			t.Errorf("ran %d times", n)
		}
	})
}

// TestOnceOnReusedConnection breaks each connection when its call has run.
// The standard transport would send a call with an Idempotency-Key again by
// itself if the connection had served one before.
func TestOnceOnReusedConnection(t *testing.T) {
	t.Parallel()
	a := startControl(t, "a1")
	s := startService(t, "s1", a)
	for _, key := range []string{"warm-1", "warm-2"} {
		q := remind(key)
		q.body = ""
		q.send(t, a)
	}
	s.Inject(plain.FaultLoseAnswer)
	q := remind("k")
	q.body = ""
	if _, outcome := fault(t, q.send(t, a)); outcome != "unknown" {
		t.Errorf("outcome %s, want unknown", outcome)
	}
	if n := s.RunCount("k"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}
