package app_test

import (
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/host"
)

// startPair runs two entry VMs that know each other, and returns the one that
// schedules advice-7b first.
func startPair(t *testing.T) (steward, other *app.App) {
	t.Helper()
	a1 := startEntry(t, "a1", nil)
	a2 := startEntry(t, "a2", func(s *conf.Settings) { s.Peers = append(s.Peers, a1.Addrs().Peers) })
	waitFor(t, "the VMs to know each other", func() bool { return len(a1.Node.Peers()) == 1 && len(a2.Node.Peers()) == 1 })
	if a1.Node.SchedulerFor("advice-7b") == "a1" {
		return a1, a2
	}
	return a2, a1
}

// TestTicketsOfOtherVMs serves requests at a VM that does not schedule.
func TestTicketsOfOtherVMs(t *testing.T) {
	t.Parallel()
	steward, other := startPair(t)
	startEngine(t, "e1", steward, other)
	var wg sync.WaitGroup
	got := make([]*received, 20)
	for i := range got {
		wg.Go(func() { got[i] = read(generation("summary", 20+i, true).send(t, other), nil) })
	}
	wg.Wait()
	for i, r := range got {
		checkWhole(t, r.text, r.fold, 20+i)
	}
	if n := counter(other, "stewards.lost"); n != 0 {
		t.Errorf("the steward was lost %d times", n)
	}
	waitFor(t, "the steward to forget the requests", func() bool { return steward.Node.Tickets() == 0 })
}

// TestStewardDies loses the VM that schedules while requests run and wait:
// those that run go on, those that wait are decided by the VM itself.
func TestStewardDies(t *testing.T) {
	t.Parallel()
	steward, other := startPair(t)
	e := startEngine(t, "e1", steward, other)
	running := generation("summary", 600, true).send(t, other)
	done := make(chan *received)
	go func() { done <- read(running, nil) }()
	waitFor(t, "the answer to run", func() bool { return e.Load().Running == 1 })
	steward.Close()
	for range 5 {
		r := read(generation("summary", 10, true).send(t, other), nil)
		checkWhole(t, r.text, r.fold, 10)
	}
	r := <-done
	checkWhole(t, r.text, r.fold, 600)
}

// TestEntryDies loses an entry VM with requests: the steward forgets them, and
// the engine drops them after their resume window.
func TestEntryDies(t *testing.T) {
	t.Parallel()
	steward, other := startPair(t)
	e := startEngine(t, "e1", steward, other)
	e.Inject(host.Fault{Kind: host.FaultSlow, Factor: 3})
	res := generation("summary", 20_000, true).send(t, other)
	read(res, func(r *received) bool { return r.events == 2 })
	waitFor(t, "the steward to have the request", func() bool { return steward.Node.Tickets() == 1 })
	other.Close()
	waitFor(t, "the steward to forget it", func() bool { return steward.Node.Tickets() == 0 })
}

// TestLeavingAcrossDomains tells one VM of one failure domain that an engine
// leaves; the VMs of the other one learn of it too.
func TestLeavingAcrossDomains(t *testing.T) {
	t.Parallel()
	leaveAcrossDomains(t)
}

// BenchmarkLeaving reports the time until every VM knows that an engine
// leaves. The promise is 2 s.
func BenchmarkLeaving(b *testing.B) {
	var total time.Duration
	for range b.N {
		total += leaveAcrossDomains(b)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/leave")
}

// leaveAcrossDomains returns the time until every VM knows.
func leaveAcrossDomains(t testing.TB) time.Duration {
	t.Helper()
	a1 := startEntry(t, "a1", nil)
	join := func(domain string) func(*conf.Settings) {
		return func(s *conf.Settings) {
			s.Domain = domain
			s.Peers = append(s.Peers, a1.Addrs().Peers)
		}
	}
	all := []*app.App{a1, startEntry(t, "a2", join("a")), startEntry(t, "b1", join("b")), startEntry(t, "b2", join("b"))}
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
		waitFor(t, "the VM to know", func() bool { b, _ := a.Node.Backend("e1"); return b.Leaving })
	}
	return time.Since(start)
}
