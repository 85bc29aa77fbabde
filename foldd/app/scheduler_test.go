package app_test

import (
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/host"
)

// startPair starts two entry VMs that know each other, and returns the one that
// schedules advice-7b and then the other one.
func startPair(t *testing.T) (scheduler, other *app.App) {
	t.Helper()
	a1 := startEntry(t, "a1", nil)
	a2 := startEntry(t, "a2", func(s *conf.Settings) { s.Peers = append(s.Peers, a1.Addrs().Peers) })
	waitFor(t, "the VMs to know each other", func() bool { return len(a1.Node.Peers()) == 1 && len(a2.Node.Peers()) == 1 })
	if a1.Node.SchedulerFor("advice-7b") == "a1" {
		return a1, a2
	}
	return a2, a1
}

// TestRequestsThroughNonSchedulerVM sends requests to the VM that isn't the
// model's scheduler. It checks that all are served through the scheduler VM, and
// that the scheduler keeps no ticket of them.
func TestRequestsThroughNonSchedulerVM(t *testing.T) {
	t.Parallel()
	scheduler, other := startPair(t)
	startEngine(t, "e1", scheduler, other)
	var wg sync.WaitGroup
	got := make([]*answer, 20)
	for i := range got {
		wg.Go(func() { got[i] = readAnswer(generationRequest("summary", 20+i, true).send(t, other), nil) })
	}
	wg.Wait()
	for i, r := range got {
		checkCompleteAnswer(t, r.text, r.summary, 20+i)
	}
	if n := counter(other, "schedulers.lost"); n != 0 {
		t.Errorf("scheduler VM was lost %d times, want 0", n)
	}
	waitFor(t, "the scheduler VM to drop the tickets", func() bool { return scheduler.Node.Tickets() == 0 })
}

// TestSchedulerVMFailure closes the scheduler VM while a request runs. It checks
// that the running request finishes, and that the other VM schedules its new
// requests itself.
func TestSchedulerVMFailure(t *testing.T) {
	t.Parallel()
	scheduler, other := startPair(t)
	e := startEngine(t, "e1", scheduler, other)
	running := generationRequest("summary", 600, true).send(t, other)
	done := make(chan *answer)
	go func() { done <- readAnswer(running, nil) }()
	waitFor(t, "the answer to run", func() bool { return e.Load().Running == 1 })
	scheduler.Close()
	for range 5 {
		r := readAnswer(generationRequest("summary", 10, true).send(t, other), nil)
		checkCompleteAnswer(t, r.text, r.summary, 10)
	}
	r := <-done
	checkCompleteAnswer(t, r.text, r.summary, 600)
}

// TestEntryVMFailure closes an entry VM that has a request in progress, and checks
// that the scheduler VM drops the request's ticket. The engine drops the generation
// by itself after its resume window.
func TestEntryVMFailure(t *testing.T) {
	t.Parallel()
	scheduler, other := startPair(t)
	e := startEngine(t, "e1", scheduler, other)
	e.Inject(host.Fault{Kind: host.FaultSlow, Factor: 3})
	res := generationRequest("summary", 20_000, true).send(t, other)
	readAnswer(res, func(r *answer) bool { return r.events == 2 })
	waitFor(t, "the scheduler VM to have the ticket", func() bool { return scheduler.Node.Tickets() == 1 })
	other.Close()
	waitFor(t, "the scheduler VM to drop the ticket", func() bool { return scheduler.Node.Tickets() == 0 })
}

// TestLeavingEngineIsGossipedAcrossDomains checks that the announcement of an
// engine that is leaving (shutting down) reaches the VMs of both failure domains,
// although only one VM receives it from the engine.
func TestLeavingEngineIsGossipedAcrossDomains(t *testing.T) {
	t.Parallel()
	measureLeaveGossip(t)
}

// BenchmarkLeaving reports the time until every VM knows that an engine is leaving
// (shutting down). The specified limit is 2 s.
func BenchmarkLeaving(b *testing.B) {
	var total time.Duration
	for range b.N {
		total += measureLeaveGossip(b)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/leave")
}

// measureLeaveGossip returns the time until every VM of two failure domains knows
// that an engine is leaving (shutting down).
func measureLeaveGossip(t testing.TB) time.Duration {
	t.Helper()
	a1 := startEntry(t, "a1", nil)
	inDomain := func(domain string) func(*conf.Settings) {
		return func(s *conf.Settings) {
			s.Domain = domain
			s.Peers = append(s.Peers, a1.Addrs().Peers)
		}
	}
	all := []*app.App{a1, startEntry(t, "a2", inDomain("a")), startEntry(t, "b1", inDomain("b")), startEntry(t, "b2", inDomain("b"))}
	for _, a := range all {
		waitFor(t, "the VMs to know each other", func() bool { return len(a.Node.Peers()) == 3 })
	}
	e := startEngine(t, "e1", a1)
	for _, a := range all {
		waitFor(t, "the engine to be known", func() bool { _, ok := a.Node.Backend("e1"); return ok })
	}
	e.Leave()
	start := time.Now()
	for _, a := range all {
		waitFor(t, "the VM to know that the engine is leaving", func() bool { b, _ := a.Node.Backend("e1"); return b.Leaving })
	}
	return time.Since(start)
}
