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

// TestTokenStreamFaults checks that the caller gets every token once and in order
// when connections to the engine drop, or deliver tokens twice or out of order.
func TestTokenStreamFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault host.Fault
		class string
	}{
		{"connections drop after 7 tokens", host.Fault{Kind: host.FaultDrop, Tokens: 7}, "summary"},
		{"connections drop after 1 token", host.Fault{Kind: host.FaultDrop, Tokens: 1}, "summary"},
		{"every third token is sent twice", host.Fault{Kind: host.FaultDuplicate, Tokens: 3}, "summary"},
		{"every fourth token is late", host.Fault{Kind: host.FaultReorder, Tokens: 4}, "summary"},
		{"connections drop during a buffered answer", host.Fault{Kind: host.FaultDrop, Tokens: 7}, "draft"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", nil)
			e := startEngine(t, "e1", a)
			e.Inject(tt.fault)
			r := readAnswer(generationRequest(tt.class, 60, true).send(t, a), nil)
			checkCompleteAnswer(t, r.text, r.summary, 60)
		})
	}
}

// TestReorderWithinOneWrite resumes an answer after its generation has ended, so
// that the engine sends the remaining tokens in one write, and out of order.
func TestReorderWithinOneWrite(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	first := generationRequest("sticky", 40, true).send(t, a)
	r := readAnswer(first, func(r *answer) bool { return r.events == 2 })
	first.Body.Close()
	waitFor(t, "the generation to end", func() bool { return e.Load().Running == 0 })
	// The engine now sends the remaining tokens in one write, out of order.
	e.Inject(host.Fault{Kind: host.FaultReorder, Tokens: 3})
	rest := readAnswer(callerRequest{header: map[string]string{"Last-Event-ID": r.lastEventID}}.send(t, a), nil)
	checkCompleteAnswer(t, r.text+rest.text, rest.summary, 40)
}

// TestStalledConnectionIsReplaced stops the tokens on the open connection to the
// engine, but not on new ones. It checks that the answer continues on a new
// connection.
func TestStalledConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	res := generationRequest("summary", 80, true).send(t, a)
	stalled := false
	r := readAnswer(res, func(r *answer) bool {
		if r.events == 5 && !stalled {
			stalled = true
			e.Inject(host.Fault{Kind: host.FaultStall, MS: 1500})
		}
		return false
	})
	checkCompleteAnswer(t, r.text, r.summary, 80)
	if n := counter(a, "engine.resumes"); n == 0 {
		t.Error("got no engine resume, want at least one after the stall")
	}
}

// TestFrozenEngineBeforeFirstToken checks that a generation restarts at another
// engine when its engine freezes before any token was delivered to the caller.
func TestFrozenEngineBeforeFirstToken(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e1 := startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	// The naive policy chooses e1 first when both engines are idle.
	e1.Inject(host.Fault{Kind: host.FaultFreeze, MS: 60_000})
	r := readAnswer(generationRequest("summary", 30, true).send(t, a), nil)
	checkCompleteAnswer(t, r.text, r.summary, 30)
	if n := counter(a, "restarts"); n != 1 {
		t.Errorf("got %d restarts, want 1", n)
	}
}

func TestEngineFailsBeforeFirstToken(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e1 := startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	e1.Close()
	r := readAnswer(generationRequest("summary", 30, true).send(t, a), nil)
	checkCompleteAnswer(t, r.text, r.summary, 30)
}

// TestEngineFailsAfterFirstToken checks that an answer ends as interrupted when its
// engine fails after tokens were delivered: the caller must not get tokens of
// two generations in one answer.
func TestEngineFailsAfterFirstToken(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{host.FaultDie, host.FaultForget} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", nil)
			e1 := startEngine(t, "e1", a)
			startEngine(t, "e2", a)
			killed := false
			r := readAnswer(generationRequest("summary", 4000, true).send(t, a), func(r *answer) bool {
				if r.events == 10 && !killed {
					killed = true
					e1.Inject(host.Fault{Kind: kind})
				}
				return false
			})
			checkTokens(t, r.text, len(strings.Fields(r.text)))
			if r.errorCode != "interrupted" || r.summary != nil || r.done || r.err != nil {
				t.Fatalf("got error code %q, summary %v, done %t, error %v; want only error code interrupted", r.errorCode, r.summary, r.done, r.err)
			}
		})
	}
}

// TestBufferedAnswerSurvivesEngineFailure checks that an answer that is buffered
// until complete restarts at another engine when its engine fails after it has
// generated a part of it.
func TestBufferedAnswerSurvivesEngineFailure(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e1 := startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	done := make(chan *answer)
	go func() { done <- readAnswer(generationRequest("draft", 300, true).send(t, a), nil) }()
	waitFor(t, "the draft to run", func() bool { return e1.Load().Running == 1 })
	time.Sleep(50 * time.Millisecond)
	e1.Inject(host.Fault{Kind: host.FaultDie})
	r := <-done
	checkCompleteAnswer(t, r.text, r.summary, 300)
}

// TestCallerDisconnectCancelsGeneration checks that the generation is canceled when
// its caller disconnects, which frees the engine's memory.
func TestCallerDisconnectCancelsGeneration(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	res := generationRequest("summary", 20_000, true).sendContext(t, ctx, a)
	readAnswer(res, func(r *answer) bool { return r.events == 3 })
	cancel()
	waitFor(t, "the engine to be idle", func() bool { l := e.Load(); return l.Running == 0 && l.MemoryUsed == 0 })
	// The engine is idle before the VM receives the response to the cancel.
	waitFor(t, "the cancel to be counted", func() bool { return counter(a, "engine.cancels") > 0 })
	if n := counter(a, "engine.cancels"); n != 1 {
		t.Errorf("got %d cancels, want 1", n)
	}
}

// TestCallerDisconnectCancelsBufferedGeneration checks the same for a buffered
// answer, where no failing write shows that the caller has disconnected.
func TestCallerDisconnectCancelsBufferedGeneration(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		waitFor(t, "the draft to run", func() bool { return e.Load().Running == 1 })
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addrs().Callers.String()+"/v1/completions", strings.NewReader(generationRequest("draft", 20_000, false).body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+alphaKey)
	req.Header.Set("Fold-Class", "draft")
	if res, err := http.DefaultClient.Do(req); err == nil {
		res.Body.Close()
		t.Fatal("request completed before the caller disconnected")
	}
	waitFor(t, "the engine to be idle", func() bool { return e.Load().Running == 0 })
}

// TestResumeAtAnotherVM closes the entry VM in the middle of an answer, and checks
// that the caller can resume at another VM from the next token.
func TestResumeAtAnotherVM(t *testing.T) {
	t.Parallel()
	a1 := startEntry(t, "a1", nil)
	a2 := startEntry(t, "a2", nil)
	startEngine(t, "e1", a1, a2)
	first := readAnswer(generationRequest("summary", 400, true).send(t, a1), func(r *answer) bool {
		if r.events == 20 {
			a1.Close()
		}
		return false
	})
	if first.summary != nil || first.errorCode != "" {
		t.Fatalf("got summary %v, error code %q; want a truncated answer without either", first.summary, first.errorCode)
	}
	rest := readAnswer(callerRequest{header: map[string]string{"Last-Event-ID": first.lastEventID}}.send(t, a2), nil)
	checkCompleteAnswer(t, first.text+rest.text, rest.summary, 400)
}

func TestResumeByAnotherWorkspaceIsRejected(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	r := readAnswer(generationRequest("sticky", 30, true).send(t, a), nil)
	res := callerRequest{key: betaKey, header: map[string]string{"Last-Event-ID": r.lastEventID}}.send(t, a)
	if res.StatusCode != http.StatusForbidden {
		t.Errorf("got status %d, want 403", res.StatusCode)
	}
}

func TestResumeWithExpiredHandle(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", func(s *conf.Settings) { s.Limits.HandleTTL = 1 })
	startEngine(t, "e1", a)
	r := readAnswer(generationRequest("summary", 5, true).send(t, a), nil)
	res := callerRequest{header: map[string]string{"Last-Event-ID": r.lastEventID}}.send(t, a)
	if res.StatusCode != http.StatusGone {
		t.Errorf("got status %d, want 410", res.StatusCode)
	}
}

// TestResumeOfUnknownGeneration checks that the resume of a generation that its
// engine no longer has fails at once with status 410.
func TestResumeOfUnknownGeneration(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	r := readAnswer(generationRequest("sticky", 5, true).send(t, a), nil)
	e.Inject(host.Fault{Kind: host.FaultForget})
	res := callerRequest{header: map[string]string{"Last-Event-ID": r.lastEventID}}.send(t, a)
	if res.StatusCode != http.StatusGone || res.Header.Get("Fold-Outcome") != "interrupted" {
		t.Errorf("got status %d, outcome %q; want 503, notRun", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
}

// TestLeavingEngineGetsNoNewRequests checks that, once all VMs know that an engine
// is leaving (shutting down), no VM sends it new requests, and that its running
// request finishes. BenchmarkLeaving and the gossip test of package member cover
// the time until all VMs know.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	a1 := startEntry(t, "a1", nil)
	a2 := startEntry(t, "a2", func(s *conf.Settings) { s.Peers = append(s.Peers, a1.Addrs().Peers) })
	waitFor(t, "the VMs to know each other", func() bool { return len(a1.Node.Peers()) == 1 && len(a2.Node.Peers()) == 1 })
	e1 := startEngine(t, "e1", a1)
	startEngine(t, "e2", a1)
	waitFor(t, "a2 to know both engines", func() bool { return len(a2.Node.Backends()) == 2 })
	running := generationRequest("summary", 2000, true).send(t, a2)
	done := make(chan *answer)
	go func() { done <- readAnswer(running, nil) }()
	waitFor(t, "the answer to run", func() bool { return e1.Load().Running == 1 })
	e1.Leave()
	for _, a := range []*app.App{a1, a2} {
		waitFor(t, "the VM to know that the engine is leaving", func() bool { b, _ := a.Node.Backend("e1"); return b.Leaving })
	}
	for range 4 {
		for _, a := range []*app.App{a1, a2} {
			r := readAnswer(generationRequest("summary", 3, true).send(t, a), nil)
			checkCompleteAnswer(t, r.text, r.summary, 3)
		}
	}
	if n := counter(a1, "engine.refused") + counter(a2, "engine.refused"); n != 0 {
		t.Errorf("leaving engine rejected %d requests, want 0 sent to it", n)
	}
	r := <-done
	checkCompleteAnswer(t, r.text, r.summary, 2000)
}

// TestGracefulShutdown checks that a shutdown finishes the requests in progress,
// rejects new ones and makes the health check fail.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generationRequest("summary", 300, true).send(t, a)
	aborted := make(chan int64, 1)
	r := readAnswer(res, func(r *answer) bool {
		if r.events == 5 {
			go func() { aborted <- a.Shutdown(context.Background()) }()
			waitFor(t, "draining", a.Node.Draining)
			health, err := http.Get("http://" + a.Addrs().Callers.String() + "/healthz")
			if err != nil || health.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("health while draining: got %v, error %v; want status 503", health, err)
			}
			late := generationRequest("summary", 5, true).send(t, a)
			if late.StatusCode != http.StatusServiceUnavailable || late.Header.Get("Fold-Outcome") != "notRun" {
				t.Errorf("request while draining: got status %d, outcome %q; want 503, notRun", late.StatusCode, late.Header.Get("Fold-Outcome"))
			}
		}
		return false
	})
	checkCompleteAnswer(t, r.text, r.summary, 300)
	if !r.done {
		t.Error("answer ended before its end marker")
	}
	if n := <-aborted; n != 0 {
		t.Errorf("%d requests aborted, want 0", n)
	}
}

// TestShutdownTimeout checks that Shutdown returns the number of requests that it
// aborted when its context ended.
func TestShutdownTimeout(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generationRequest("summary", 20_000, true).send(t, a)
	readAnswer(res, func(r *answer) bool { return r.events == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if n := a.Shutdown(ctx); n != 1 {
		t.Errorf("%d requests aborted, want 1", n)
	}
}

// TestSlowReader has a caller that stops reading for a while. Within the write
// timeout the answer must be complete. After the timeout the VM drops the caller;
// the truncated answer must not look complete, and the caller can resume it.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	const tokens = 10_000
	readSlowly := func(t *testing.T, a *app.App, pause func(*answer) bool) *answer {
		t.Helper()
		q := generationRequest("sticky", tokens, true)
		q.client = smallBufferClient()
		return readAnswer(q.send(t, a), pause)
	}
	t.Run("within the timeout", func(t *testing.T) {
		t.Parallel()
		a := startEntry(t, "a1", nil)
		e := startEngine(t, "e1", a)
		e.Inject(host.Fault{Kind: host.FaultSlow, Factor: 0.01})
		paused := false
		r := readSlowly(t, a, func(r *answer) bool {
			if !paused {
				paused = true
				time.Sleep(700 * time.Millisecond)
			}
			return false
		})
		checkCompleteAnswer(t, r.text, r.summary, tokens)
	})
	t.Run("after the timeout", func(t *testing.T) {
		t.Parallel()
		a := startEntry(t, "a1", func(s *conf.Settings) { s.Limits.WriteTimeout = shortWriteTimeout })
		e := startEngine(t, "e1", a)
		e.Inject(host.Fault{Kind: host.FaultSlow, Factor: 0.01})
		paused := false
		r := readSlowly(t, a, func(r *answer) bool {
			if !paused {
				paused = true
				waitFor(t, "the VM to drop the caller", func() bool { return counter(a, "callersLeft") == 1 })
			}
			return false
		})
		if r.summary != nil || r.done || r.err == nil {
			t.Fatalf("got summary %v, done %t, error %v; want a truncated answer with only an error", r.summary, r.done, r.err)
		}
		// On a busy machine the resumed answer may be truncated again.
		text, last := r.text, r
		for last.summary == nil {
			last = readAnswer(callerRequest{header: map[string]string{"Last-Event-ID": last.lastEventID}}.send(t, a), nil)
			text += last.text
		}
		checkCompleteAnswer(t, text, last.summary, tokens)
	})
}

// TestAllEnginesRefuse checks that a request that every engine rejects is reported
// as notRun after the maximum number of attempts.
func TestAllEnginesRefuse(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		startEngine(t, id, a).Inject(host.Fault{Kind: host.FaultRefuse})
	}
	res := generationRequest("summary", 5, true).send(t, a)
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" {
		t.Errorf("got status %d, outcome %q; want 503, notRun", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
	if n := counter(a, "engine.refused"); n != 4 {
		t.Errorf("got %d attempts, want 4", n)
	}
}

// TestOnlyEngineRefuses checks that a request ends as notRun when the only engine
// rejects every attempt.
func TestOnlyEngineRefuses(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a).Inject(host.Fault{Kind: host.FaultRefuse})
	res := generationRequest("summary", 5, true).send(t, a)
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" {
		t.Errorf("got status %d, outcome %q; want 503, notRun", res.StatusCode, res.Header.Get("Fold-Outcome"))
	}
}

// TestOnlyEngineFails closes the only engine while it generates a buffered answer,
// of which nothing was delivered. The outcome must be interrupted, not notRun,
// since the generation has started.
func TestOnlyEngineFails(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	e := startEngine(t, "e1", a)
	done := make(chan *http.Response, 1)
	go func() { done <- generationRequest("draft", 20_000, true).send(t, a) }()
	waitFor(t, "the draft to run", func() bool { return e.Load().Running == 1 })
	e.Close()
	res := <-done
	io.Copy(io.Discard, res.Body)
	if o := res.Header.Get("Fold-Outcome"); o != "interrupted" {
		t.Errorf("got status %d, outcome %q, want interrupted", res.StatusCode, o)
	}
}
