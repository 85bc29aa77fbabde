package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/usage"
)

var epoch = time.Unix(1_000, 0)

func testEngine(id string, memory int) member.Backend {
	return member.Backend{ID: id, Kind: spec.KindEngine, Model: "m", Domain: "a", MemoryTokens: memory, Epoch: 1, Seq: 1}
}

// warm returns a time at which engines that came at epoch are past their slow
// start.
func warm() time.Time { return epoch.Add(time.Minute) }

func request(id uint64, class string, target Target) *Request {
	return &Request{ID: id, Workspace: "w", Class: class, Model: "m", Target: target, PromptTokens: 100, Arrived: warm(), Policy: spec.PolicyForecast}
}

var (
	check = Target{FirstToken: 400 * time.Millisecond}
	draft = Target{Completion: 8 * time.Hour}
)

// TestQueueAgainstSorting holds many requests back and lets them go one at a
// time: they go in the order that sorting all of them gives.
func TestQueueAgainstSorting(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := New(Options{})
		s.UpdateBackend(epoch, testEngine("e", 1000))
		now := warm()
		blocker := request(1_000_000, "block", draft)
		blocker.PromptTokens = 999
		s.Submit(now, blocker)
		if d, _ := s.Poll(now); len(d) != 1 {
			t.Fatal("the blocker was not placed")
		}
		var all []*Request
		for i := range uint64(200) {
			q := request(i+1, "c", Target{Completion: time.Hour + time.Duration(r.IntN(1000))*time.Second})
			q.PromptTokens = 900
			q.Arrived = now.Add(-time.Duration(r.IntN(100)) * time.Second)
			q.Admitted = true
			all = append(all, q)
			s.Submit(now, q)
		}
		slices.SortFunc(all, func(a, b *Request) int {
			if c := a.Arrived.Add(a.Target.Completion).Compare(b.Arrived.Add(b.Target.Completion)); c != 0 {
				return c
			}
			return int(a.ID) - int(b.ID)
		})
		running := blocker.ID
		for i, want := range all {
			s.Finish(now, running, Completed)
			d, refused := s.Poll(now)
			if len(d) != 1 || len(refused) != 0 || d[0].Request.ID != want.ID {
				t.Fatalf("seed %d: place %d: %v, refused %v, want request %d", seed, i, d, refused, want.ID)
			}
			running = want.ID
		}
	}
}

// TestForecastAgainstScan compares the forecast that is kept up to date with
// one made from nothing.
func TestForecastAgainstScan(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 1_000_000))
	now := warm()
	for i := range uint64(60) {
		q := request(i+1, "c", check)
		q.PromptTokens = 1 + r.IntN(2000)
		s.Submit(now, q)
		s.Poll(now)
	}
	e := s.engines["e"]
	if len(e.own) != 60 {
		t.Fatalf("%d requests placed", len(e.own))
	}
	var want usage.Forecast
	held := 0
	for _, it := range e.own {
		want.Add(it.PromptTokens, 0, 0, s.lengths.Survival(it.group()))
		held += it.PromptTokens
	}
	for i, k := range usage.Horizons {
		if math.Abs(e.Mean[i]-want.Mean[i]) > 1e-6*want.Mean[i] || math.Abs(e.Variance[i]-want.Variance[i]) > 1e-6*want.Variance[i]+1e-6 {
			t.Errorf("horizon %d: mean %v, variance %v; want %v, %v", k, e.Mean[i], e.Variance[i], want.Mean[i], want.Variance[i])
		}
	}
	if e.held != held {
		t.Errorf("holds %d, want %d", e.held, held)
	}
}

// TestCheapestAgainstScan compares the placement with a plain scan over costs.
func TestCheapestAgainstScan(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	s := New(Options{})
	for i := range 30 {
		s.UpdateBackend(epoch, testEngine(fmt.Sprint("e", i), 20_000+r.IntN(20_000)))
	}
	now := warm()
	for i := range uint64(400) {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		q := request(i+1, "c", check)
		q.PromptTokens = 1 + r.IntN(1500)
		q.Arrived = now
		it := &item{Request: q}
		s.estimate(it)
		least := math.Inf(1)
		for _, e := range s.byModel["m"] {
			if c, ok := s.cost(now, it, e); ok {
				least = min(least, c)
			}
		}
		s.Submit(now, q)
		d, _ := s.Poll(now)
		if len(d) == 0 {
			if !math.IsInf(least, 1) {
				t.Fatalf("request %d waits although an engine costs %v", i, least)
			}
			continue
		}
		e := s.engines[d[0].Backend]
		if got, ok := s.costBefore(now, it, e); !ok || got > least+1e-9 {
			t.Fatalf("request %d went to an engine of cost %v, the least is %v", i, got, least)
		}
		for id := range s.items {
			if r.IntN(3) == 0 {
				s.Finish(now, id, Completed)
			}
		}
	}
}

// costBefore returns what an engine cost before it got the request.
func (s *Scheduler) costBefore(now time.Time, it *item, e *engine) (float64, bool) {
	placed := s.items[it.ID]
	kept := e.forecast
	e.finish(now, placed, Cancelled)
	defer func() {
		e.start(now, placed)
		e.forecast = kept
	}()
	return s.cost(now, it, e)
}

func TestLeavingGetsNothing(t *testing.T) {
	for _, policy := range spec.Policies() {
		s := New(Options{})
		b := testEngine("e", 10_000)
		s.UpdateBackend(epoch, b)
		b.Leaving = true
		b.Seq++
		s.UpdateBackend(epoch, b)
		q := request(1, "c", draft)
		q.Policy = policy
		s.Submit(warm(), q)
		if d, _ := s.Poll(warm()); len(d) != 0 {
			t.Errorf("%s: sent to a leaving engine", policy)
		}
	}
}

// TestEjection leaves a failing engine alone, longer each time, and brings it
// back slowly.
func TestEjection(t *testing.T) {
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 1_000_000))
	now := warm()
	id := uint64(0)
	send := func() int {
		id++
		s.Submit(now, request(id, "c", draft))
		d, _ := s.Poll(now)
		return len(d)
	}
	var waits []time.Duration
	for range 4 {
		if send() != 1 {
			t.Fatal("not sent to a returned engine")
		}
		s.Finish(now, id, Failed)
		failed := now
		for send() == 0 {
			s.Cancel(now, id)
			now = now.Add(50 * time.Millisecond)
		}
		waits = append(waits, now.Sub(failed))
		s.Finish(now, id, Cancelled)
	}
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		if d := waits[i] - want; d < 0 || d > 100*time.Millisecond {
			t.Errorf("failure %d: left alone for %v, want %v", i+1, waits[i], want)
		}
	}
	sent := 0
	for send() == 1 {
		sent++
	}
	if sent != slowStart {
		t.Errorf("%d requests at once after the return, want %d", sent, slowStart)
	}
}

// TestSilentEngineGetsNothing stops sending to an engine whose answers stand
// still.
func TestSilentEngineGetsNothing(t *testing.T) {
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 1_000_000))
	now := warm()
	s.Submit(now, request(1, "c", draft))
	s.Poll(now)
	s.Progress(now, 1, 1)
	now = now.Add(silence + time.Millisecond)
	s.Submit(now, request(2, "c", draft))
	if d, _ := s.Poll(now); len(d) != 0 {
		t.Error("sent to a silent engine")
	}
	s.Progress(now, 1, 2)
	if d, _ := s.Poll(now.Add(retryInterval)); len(d) != 1 {
		t.Error("not sent once tokens came again")
	}
}

// TestRefusals tells why and when to come back.
func TestRefusals(t *testing.T) {
	s := New(Options{})
	now := warm()
	s.Submit(now, request(1, "c", check))
	if _, r := s.Poll(now); len(r) != 1 || r[0].Reason != ReasonNoBackend || r[0].RetryAfter <= 0 {
		t.Errorf("no engine: %+v", r)
	}
	s.UpdateBackend(epoch, testEngine("e", 1_000))
	large := request(2, "c", check)
	large.PromptTokens = 1_000
	s.Submit(now, large)
	if _, r := s.Poll(now); len(r) != 1 || r[0].Reason != ReasonTooLarge {
		t.Errorf("too large: %+v", r)
	}
	blocker := request(3, "block", draft)
	blocker.PromptTokens = 999
	s.Submit(now, blocker)
	s.Poll(now)
	s.Submit(now, request(4, "c", check))
	if d, r := s.Poll(now); len(d)+len(r) != 0 {
		t.Fatalf("dispatched %v, refused %v", d, r)
	}
	now = now.Add(check.FirstToken + retryInterval)
	if _, r := s.Poll(now); len(r) != 1 || r[0].Request.ID != 4 || r[0].Reason != ReasonOverload || r[0].RetryAfter <= 0 {
		t.Errorf("late: %+v", r)
	}
	admitted := request(5, "c", check)
	admitted.Arrived = now.Add(-time.Hour)
	admitted.Admitted = true
	s.Submit(now, admitted)
	if _, r := s.Poll(now); len(r) != 0 {
		t.Errorf("an admitted request was refused: %+v", r)
	}
}

// TestOthersLoad splits a late report into own and others' load.
func TestOthersLoad(t *testing.T) {
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 100_000))
	now := warm()
	s.Submit(now, request(1, "c", draft))
	s.Poll(now)
	s.Progress(now, 1, 50)
	later := now.Add(2 * time.Second)
	s.Progress(later, 1, 400)
	s.UpdateLoad(later, "e", member.Load{Running: 3, MemoryUsed: 150 + 700}, 1900*time.Millisecond)
	if o := s.engines["e"].others; o.Running != 2 || o.MemoryUsed != 700 {
		t.Errorf("others %+v, want 2 running with 700", o)
	}
}

// TestSpill sends to another failure domain only when the own one has no
// engine, or when an urgent request has waited for half its time.
func TestSpill(t *testing.T) {
	s := New(Options{Domain: "a"})
	far := testEngine("far", 10_000)
	far.Domain = "b"
	s.UpdateBackend(epoch, far)
	now := warm()
	s.Submit(now, request(1, "c", draft))
	if d, _ := s.Poll(now); len(d) != 1 {
		t.Fatal("no spill although the own domain has no engine")
	}
	s.Finish(now, 1, Completed)
	s.UpdateBackend(epoch, testEngine("near", 1_000))
	blocker := request(2, "block", draft)
	blocker.PromptTokens = 999
	s.Submit(now, blocker)
	s.Poll(now)
	s.Submit(now, request(3, "c", check))
	if d, _ := s.Poll(now); len(d) != 0 {
		t.Fatal("spilled at once")
	}
	now = now.Add(check.FirstToken/2 + retryInterval)
	if d, _ := s.Poll(now); len(d) != 1 || d[0].Backend != "far" {
		t.Errorf("dispatched %v, want the far engine", d)
	}
}

// BenchmarkDecision is one request with so many engines and 600 workspaces.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 50, 130} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) { benchDecision(b, engines) })
	}
}

func benchDecision(b *testing.B, engines int) {
	const (
		workspaces = 600
		running    = 20
	)
	r := rand.New(rand.NewPCG(3, 3))
	s := New(Options{})
	for i := range engines {
		s.UpdateBackend(epoch, testEngine(fmt.Sprint("e", i), 24_000))
	}
	now := warm()
	id := uint64(0)
	var open []uint64
	submit := func() {
		id++
		q := request(id, "summary", Target{FirstToken: 630 * time.Millisecond, TokenGap: 29 * time.Millisecond})
		q.Workspace = fmt.Sprint("w", r.IntN(workspaces))
		q.Arrived = now
		s.Submit(now, q)
		d, _ := s.Poll(now)
		for _, x := range d {
			open = append(open, x.Request.ID)
			s.Progress(now, x.Request.ID, 1+r.IntN(300))
		}
	}
	for range engines * running {
		submit()
	}
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		k := r.IntN(len(open))
		s.Finish(now, open[k], Completed)
		open[k] = open[len(open)-1]
		open = open[:len(open)-1]
		submit()
	}
}

// TestPrefixIsPreferred sends a request to the engine that said that it has
// the prefix, until it says that it has not.
func TestPrefixIsPreferred(t *testing.T) {
	for _, policy := range []string{spec.PolicyForecast, spec.PolicyPrefix} {
		s := New(Options{})
		for _, id := range []string{"e1", "e2", "e3"} {
			s.UpdateBackend(epoch, testEngine(id, 100_000))
		}
		now := warm()
		send := func(id uint64) string {
			q := request(id, "c", check)
			q.Policy, q.Prefix, q.Arrived = policy, "p", now
			s.Submit(now, q)
			d, _ := s.Poll(now)
			if len(d) != 1 {
				t.Fatalf("%s: request %d was not sent", policy, id)
			}
			s.Finish(now, id, Completed)
			return d[0].Backend
		}
		s.UpdatePrefixCache(now, "e3", "p", true)
		if got := send(1); got != "e3" {
			t.Errorf("%s: sent to %s, want e3", policy, got)
		}
		s.UpdatePrefixCache(now, "e3", "p", false)
		s.UpdatePrefixCache(now, "e2", "p", true)
		if got := send(2); got != "e2" {
			t.Errorf("%s: sent to %s, want e2", policy, got)
		}
		now = now.Add(prefixLife)
		if got := send(3); got != "e1" {
			t.Errorf("%s: sent to %s after the prefix is forgotten, want e1", policy, got)
		}
	}
}
