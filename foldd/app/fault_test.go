package app_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/host"
)

func TestDisturbedLinks(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault host.Fault
		class string
	}{
		{"connections drop after 7 tokens", host.Fault{Kind: host.FaultDrop, Tokens: 7}, "summary"},
		{"connections drop after 1 token", host.Fault{Kind: host.FaultDrop, Tokens: 1}, "summary"},
		{"every third token twice", host.Fault{Kind: host.FaultDuplicate, Tokens: 3}, "summary"},
		{"every fourth token late", host.Fault{Kind: host.FaultReorder, Tokens: 4}, "summary"},
		{"dropped while held back whole", host.Fault{Kind: host.FaultDrop, Tokens: 7}, "draft"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", nil)
			e := startEngine(t, "e1", a)
			e.Inject(tt.fault)
			r := read(generation(tt.class, 60, true).send(t, a), nil)
			checkWhole(t, r.text, r.fold, 60)
		})
	}
}

func TestReorderWithinOneWrite(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	first := generation("sticky", 40, true).send(t, a)
	r := read(first, func(r *received) bool { return r.events == 2 })
	first.Body.Close()
	waitFor(t, "the generation to end", func() bool { return e.Load().Running == 0 })
	// The rest now comes in one write, out of order.
	e.Inject(host.Fault{Kind: host.FaultReorder, Tokens: 3})
	rest := read(ask{header: map[string]string{"Last-Event-ID": r.lastID}}.send(t, a), nil)
	checkWhole(t, r.text+rest.text, rest.fold, 40)
}

// TestStalledLink stops tokens on the open connection only: a new one gets
// them.
func TestStalledLink(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	res := generation("summary", 80, true).send(t, a)
	stalled := false
	r := read(res, func(r *received) bool {
		if r.events == 5 && !stalled {
			stalled = true
			e.Inject(host.Fault{Kind: host.FaultStall, MS: 1500})
		}
		return false
	})
	checkWhole(t, r.text, r.fold, 80)
	if n := counter(a, "engine.resumes"); n == 0 {
		t.Error("the stalled link was not left")
	}
}

// TestFrozenEngineBeforeFirstToken restarts elsewhere, since nothing was
// delivered.
func TestFrozenEngineBeforeFirstToken(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e1 := startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	// The naive policy takes e1 first when both are idle.
	e1.Inject(host.Fault{Kind: host.FaultFreeze, MS: 60_000})
	r := read(generation("summary", 30, true).send(t, a), nil)
	checkWhole(t, r.text, r.fold, 30)
	if n := counter(a, "restarts"); n != 1 {
		t.Errorf("%d restarts, want 1", n)
	}
}

func TestEngineDiesBeforeFirstToken(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e1 := startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	e1.Close()
	r := read(generation("summary", 30, true).send(t, a), nil)
	checkWhole(t, r.text, r.fold, 30)
}

// TestEngineDiesAfterFirstToken ends the answer as interrupted: the tokens so
// far are from one generation and no other one follows them.
func TestEngineDiesAfterFirstToken(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{host.FaultDie, host.FaultForget} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", nil)
			e1 := startEngine(t, "e1", a)
			startEngine(t, "e2", a)
			killed := false
			r := read(generation("summary", 4000, true).send(t, a), func(r *received) bool {
				if r.events == 10 && !killed {
					killed = true
					e1.Inject(host.Fault{Kind: kind})
				}
				return false
			})
			checkTokens(t, r.text, len(strings.Fields(r.text)))
			if r.fault != "interrupted" || r.fold != nil || r.done || r.err != nil {
				t.Fatalf("fault %q, summary %v, done %t, error %v; want interrupted alone", r.fault, r.fold, r.done, r.err)
			}
		})
	}
}

// TestHeldBackAnswerSurvivesEngine restarts an answer that is held back until
// whole, although its first engine had produced a part.
func TestHeldBackAnswerSurvivesEngine(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e1 := startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	done := make(chan *received)
	go func() { done <- read(generation("draft", 300, true).send(t, a), nil) }()
	waitFor(t, "the draft to run", func() bool { return e1.Load().Running == 1 })
	time.Sleep(50 * time.Millisecond)
	e1.Inject(host.Fault{Kind: host.FaultDie})
	r := <-done
	checkWhole(t, r.text, r.fold, 300)
}

// TestCallerLeaves frees the engine's memory at once.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	res := generation("summary", 20_000, true).sendContext(t, ctx, a)
	read(res, func(r *received) bool { return r.events == 3 })
	cancel()
	waitFor(t, "the engine to be free", func() bool { l := e.Load(); return l.Running == 0 && l.MemoryUsed == 0 })
	// The engine is free before its answer to the cancel is back.
	waitFor(t, "the cancel to be counted", func() bool { return counter(a, "engine.cancels") > 0 })
	if n := counter(a, "engine.cancels"); n != 1 {
		t.Errorf("%d cancels, want 1", n)
	}
}

// TestQuietCallerLeaves is the same for an answer that is held back, where no
// write would show that the caller has gone.
func TestQuietCallerLeaves(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		waitFor(t, "the draft to run", func() bool { return e.Load().Running == 1 })
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addrs().Callers.String()+"/v1/completions", strings.NewReader(generation("draft", 20_000, false).body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Fold-Class", "draft")
	if res, err := http.DefaultClient.Do(req); err == nil {
		res.Body.Close()
		t.Fatal("the request ended before its caller left")
	}
	waitFor(t, "the engine to be free", func() bool { return e.Load().Running == 0 })
}

// TestResumeAtAnotherVM loses the entry VM in the middle of an answer; the
// caller goes on at another one from the next token.
func TestResumeAtAnotherVM(t *testing.T) {
	t.Parallel()
	a1 := startEntry(t, "a1", nil)
	a2 := startEntry(t, "a2", nil)
	startEngine(t, "e1", a1, a2)
	first := read(generation("summary", 400, true).send(t, a1), func(r *received) bool {
		if r.events == 20 {
			a1.Close()
		}
		return false
	})
	if first.fold != nil || first.fault != "" {
		t.Fatalf("the answer ended with summary %v, fault %q", first.fold, first.fault)
	}
	rest := read(ask{header: map[string]string{"Last-Event-ID": first.lastID}}.send(t, a2), nil)
	checkWhole(t, first.text+rest.text, rest.fold, 400)
}

func TestResumeOfAnotherWorkspace(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	r := read(generation("sticky", 30, true).send(t, a), nil)
	res := ask{key: betaKey, header: map[string]string{"Last-Event-ID": r.lastID}}.send(t, a)
	if res.StatusCode != http.StatusForbidden {
		t.Errorf("status %d, want 403", res.StatusCode)
	}
}

func TestResumeExpired(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", func(s *conf.Settings) { s.Limits.HandleTTL = 1 })
	startEngine(t, "e1", a)
	r := read(generation("summary", 5, true).send(t, a), nil)
	res := ask{header: map[string]string{"Last-Event-ID": r.lastID}}.send(t, a)
	if res.StatusCode != http.StatusGone {
		t.Errorf("status %d, want 410", res.StatusCode)
	}
}

// TestResumeAfterEngineForgot gets a clear end instead of a wait.
func TestResumeAfterEngineForgot(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	r := read(generation("sticky", 5, true).send(t, a), nil)
	e.Inject(host.Fault{Kind: host.FaultForget})
	res := ask{header: map[string]string{"Last-Event-ID": r.lastID}}.send(t, a)
	if res.StatusCode != http.StatusGone || res.Header.Get("Fold-Outcome") != "interrupted" {
		t.Errorf("status %d, outcome %q", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
}

// TestLeavingEngine tells one entry VM; once all know, none sends new work
// there, and what runs there finishes. How long it takes all to know is for
// BenchmarkLeaving and TestUrgentNewsReachesAll.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	a1 := startEntry(t, "a1", nil)
	a2 := startEntry(t, "a2", func(s *conf.Settings) { s.Peers = append(s.Peers, a1.Addrs().Peers) })
	waitFor(t, "the VMs to know each other", func() bool { return len(a1.Node.Peers()) == 1 && len(a2.Node.Peers()) == 1 })
	e1 := startEngine(t, "e1", a1)
	startEngine(t, "e2", a1)
	waitFor(t, "a2 to learn of both", func() bool { return len(a2.Node.Backends()) == 2 })
	running := generation("summary", 2000, true).send(t, a2)
	done := make(chan *received)
	go func() { done <- read(running, nil) }()
	waitFor(t, "the answer to run", func() bool { return e1.Load().Running == 1 })
	e1.Leave()
	for _, a := range []*app.App{a1, a2} {
		waitFor(t, "the VM to know", func() bool { b, _ := a.Node.Backend("e1"); return b.Leaving })
	}
	for range 4 {
		for _, a := range []*app.App{a1, a2} {
			r := read(generation("summary", 3, true).send(t, a), nil)
			checkWhole(t, r.text, r.fold, 3)
		}
	}
	if n := counter(a1, "engine.refused") + counter(a2, "engine.refused"); n != 0 {
		t.Errorf("%d requests were sent to the leaving engine", n)
	}
	r := <-done
	checkWhole(t, r.text, r.fold, 2000)
}

// TestGracefulShutdown finishes the requests in progress and refuses others.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generation("summary", 300, true).send(t, a)
	cut := make(chan int64, 1)
	r := read(res, func(r *received) bool {
		if r.events == 5 {
			go func() { cut <- a.Shutdown(context.Background()) }()
			waitFor(t, "draining", a.Node.Draining)
			health, err := http.Get("http://" + a.Addrs().Callers.String() + "/healthz")
			if err != nil || health.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("health while draining: %v, %v", health, err)
			}
			late := generation("summary", 5, true).send(t, a)
			if late.StatusCode != http.StatusServiceUnavailable || late.Header.Get("Fold-Outcome") != "notRun" {
				t.Errorf("late request: status %d, outcome %q", late.StatusCode, late.Header.Get("Fold-Outcome"))
			}
		}
		return false
	})
	checkWhole(t, r.text, r.fold, 300)
	if !r.done {
		t.Error("the answer was cut before its end marker")
	}
	if n := <-cut; n != 0 {
		t.Errorf("%d requests cut off", n)
	}
}

// TestShutdownLimit says what was cut when the limit has passed.
func TestShutdownLimit(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generation("summary", 20_000, true).send(t, a)
	read(res, func(r *received) bool { return r.events == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if n := a.Shutdown(ctx); n != 1 {
		t.Errorf("%d requests cut off, want 1", n)
	}
}

// TestSlowReader reads nothing for a while. Within the write timeout nothing
// is lost; after it the answer ends without looking complete, and resumes.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	const tokens = 10_000
	slow := func(t *testing.T, a *app.App, pause func(*received) bool) *received {
		t.Helper()
		q := generation("sticky", tokens, true)
		q.client = smallBufferClient()
		return read(q.send(t, a), pause)
	}
	t.Run("within the timeout", func(t *testing.T) {
		t.Parallel()
		a := startEntry(t, "a1", nil)
		e := startEngine(t, "e1", a)
		e.Inject(host.Fault{Kind: host.FaultSlow, Factor: 0.01})
		paused := false
		r := slow(t, a, func(r *received) bool {
			if !paused {
				paused = true
				time.Sleep(700 * time.Millisecond)
			}
			return false
		})
		checkWhole(t, r.text, r.fold, tokens)
	})
	t.Run("after the timeout", func(t *testing.T) {
		t.Parallel()
		a := startEntry(t, "a1", func(s *conf.Settings) { s.Limits.WriteTimeout = conf100ms })
		e := startEngine(t, "e1", a)
		e.Inject(host.Fault{Kind: host.FaultSlow, Factor: 0.01})
		paused := false
		r := slow(t, a, func(r *received) bool {
			if !paused {
				paused = true
				waitFor(t, "the caller to be given up", func() bool { return counter(a, "callersLeft") == 1 })
			}
			return false
		})
		if r.fold != nil || r.done || r.err == nil {
			t.Fatalf("summary %v, done %t, error %v: the cut answer looks complete", r.fold, r.done, r.err)
		}
		// On a busy machine the resumed answer may be cut again.
		text, last := r.text, r
		for last.fold == nil {
			last = read(ask{header: map[string]string{"Last-Event-ID": last.lastID}}.send(t, a), nil)
			text += last.text
		}
		checkWhole(t, text, last.fold, tokens)
	})
}

// TestAllEnginesRefuse proves that nothing ran, within the attempts allowed.
func TestAllEnginesRefuse(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		startEngine(t, id, a).Inject(host.Fault{Kind: host.FaultRefuse})
	}
	res := generation("summary", 5, true).send(t, a)
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" {
		t.Errorf("status %d, outcome %q", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
	if n := counter(a, "engine.refused"); n != 4 {
		t.Errorf("%d attempts, want 4", n)
	}
}

// TestOnlyEngineRefuses gives the only engine every attempt, and ends.
func TestOnlyEngineRefuses(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a).Inject(host.Fault{Kind: host.FaultRefuse})
	res := generation("summary", 5, true).send(t, a)
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" {
		t.Errorf("status %d, outcome %q", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
}

// TestOnlyEngineDies loses the only engine after it has begun an answer of
// which nothing was delivered: the caller is not told that nothing ran.
func TestOnlyEngineDies(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	done := make(chan *http.Response, 1)
	go func() { done <- generation("draft", 20_000, true).send(t, a) }()
	waitFor(t, "the draft to run", func() bool { return e.Load().Running == 1 })
	e.Close()
	res := <-done
	io.Copy(io.Discard, res.Body)
	if o := res.Header.Get("Fold-Outcome"); o != "interrupted" {
		t.Errorf("status %d, outcome %q, want interrupted", res.StatusCode, o)
	}
}
