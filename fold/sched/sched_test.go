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

// afterSlowStart returns a time at which engines added at epoch are past their
// slow start.
func afterSlowStart() time.Time { return epoch.Add(time.Minute) }

func newRequest(id uint64, class string, target Target) *Request {
	return &Request{ID: id, Workspace: "w", Class: class, Model: "m", Target: target, PromptTokens: 100, Arrived: afterSlowStart(), Policy: spec.PolicyForecast}
}

var (
	interactiveTarget = Target{FirstToken: 400 * time.Millisecond}
	batchTarget       = Target{Completion: 8 * time.Hour}
)

// TestQueueOrderMatchesSort fills the queue behind one blocking request and
// then dispatches one request at a time. The order must be that of sorting all
// requests by deadline and ID.
func TestQueueOrderMatchesSort(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := New(Options{})
		s.UpdateBackend(epoch, testEngine("e", 1000))
		now := afterSlowStart()
		blocker := newRequest(1_000_000, "block", batchTarget)
		blocker.PromptTokens = 999
		s.Submit(now, blocker)
		if d, _ := s.Poll(now); len(d) != 1 {
			t.Fatal("the blocking request was not dispatched")
		}
		var all []*Request
		for i := range uint64(200) {
			q := newRequest(i+1, "c", Target{Completion: time.Hour + time.Duration(r.IntN(1000))*time.Second})
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
				t.Fatalf("seed %d: position %d: dispatched %v, refused %v; want request %d dispatched", seed, i, d, refused, want.ID)
			}
			running = want.ID
		}
	}
}

// TestForecastMatchesRecomputation compares the incrementally updated forecast
// of an engine with one computed from scratch.
func TestForecastMatchesRecomputation(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 1_000_000))
	now := afterSlowStart()
	for i := range uint64(60) {
		q := newRequest(i+1, "c", interactiveTarget)
		q.PromptTokens = 1 + r.IntN(2000)
		s.Submit(now, q)
		s.Poll(now)
	}
	e := s.engines["e"]
	if len(e.localRequests) != 60 {
		t.Fatalf("%d requests dispatched, want 60", len(e.localRequests))
	}
	var want usage.Forecast
	localTokens := 0
	for _, it := range e.localRequests {
		want.Add(it.PromptTokens, 0, 0, s.lengths.Survival(it.group()))
		localTokens += it.PromptTokens
	}
	for i, k := range usage.Horizons {
		if math.Abs(e.Mean[i]-want.Mean[i]) > 1e-6*want.Mean[i] || math.Abs(e.Variance[i]-want.Variance[i]) > 1e-6*want.Variance[i]+1e-6 {
			t.Errorf("horizon %d: mean %v, variance %v; want mean %v, variance %v", k, e.Mean[i], e.Variance[i], want.Mean[i], want.Variance[i])
		}
	}
	if e.localTokens != localTokens {
		t.Errorf("localTokens = %d, want %d", e.localTokens, localTokens)
	}
}

// TestPlacementMatchesCostScan checks that each request is placed at the engine
// of lowest cost, and waits only if no engine can take it.
func TestPlacementMatchesCostScan(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	s := New(Options{})
	for i := range 30 {
		s.UpdateBackend(epoch, testEngine(fmt.Sprint("e", i), 20_000+r.IntN(20_000)))
	}
	now := afterSlowStart()
	for i := range uint64(400) {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		q := newRequest(i+1, "c", interactiveTarget)
		q.PromptTokens = 1 + r.IntN(1500)
		q.Arrived = now
		it := &item{Request: q}
		s.estimateUsage(it)
		lowest := math.Inf(1)
		for _, e := range s.byModel["m"] {
			if c, ok := s.cost(now, it, e); ok {
				lowest = min(lowest, c)
			}
		}
		s.Submit(now, q)
		d, _ := s.Poll(now)
		if len(d) == 0 {
			if !math.IsInf(lowest, 1) {
				t.Fatalf("request %d was not dispatched although an engine has cost %v", i, lowest)
			}
			continue
		}
		e := s.engines[d[0].Backend]
		if got, ok := s.costBefore(now, it, e); !ok || got > lowest+1e-9 {
			t.Fatalf("request %d was dispatched to an engine of cost %v, want the lowest cost %v", i, got, lowest)
		}
		for id := range s.items {
			if r.IntN(3) == 0 {
				s.Finish(now, id, Completed)
			}
		}
	}
}

// costBefore returns the cost of an engine before the request was dispatched to
// it.
func (s *Scheduler) costBefore(now time.Time, it *item, e *engine) (float64, bool) {
	placed := s.items[it.ID]
	saved := e.forecast
	e.finish(now, placed, Cancelled)
	defer func() {
		e.start(now, placed)
		e.forecast = saved
	}()
	return s.cost(now, it, e)
}

func TestLeavingBackendIsNotUsed(t *testing.T) {
	for _, policy := range spec.Policies() {
		s := New(Options{})
		b := testEngine("e", 10_000)
		s.UpdateBackend(epoch, b)
		b.Leaving = true
		b.Seq++
		s.UpdateBackend(epoch, b)
		q := newRequest(1, "c", batchTarget)
		q.Policy = policy
		s.Submit(afterSlowStart(), q)
		if d, _ := s.Poll(afterSlowStart()); len(d) != 0 {
			t.Errorf("%s: request was dispatched to a leaving engine", policy)
		}
	}
}

// TestEjectionBacksOffExponentially checks that a failing engine is ejected for
// a time that doubles with each failure, and that it returns with a slow start.
func TestEjectionBacksOffExponentially(t *testing.T) {
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 1_000_000))
	now := afterSlowStart()
	id := uint64(0)
	send := func() int {
		id++
		s.Submit(now, newRequest(id, "c", batchTarget))
		d, _ := s.Poll(now)
		return len(d)
	}
	var waits []time.Duration
	for range 4 {
		if send() != 1 {
			t.Fatal("request was not dispatched to an engine that is not ejected")
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
			t.Errorf("failure %d: ejected for %v, want %v", i+1, waits[i], want)
		}
	}
	sent := 0
	for send() == 1 {
		sent++
	}
	if sent != slowStartInitial {
		t.Errorf("%d requests dispatched at once after the ejection, want %d", sent, slowStartInitial)
	}
}

// TestStalledEngineIsNotUsed checks that no request is dispatched to an engine
// whose requests make no progress, until they do again.
func TestStalledEngineIsNotUsed(t *testing.T) {
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 1_000_000))
	now := afterSlowStart()
	s.Submit(now, newRequest(1, "c", batchTarget))
	s.Poll(now)
	s.Progress(now, 1, 1)
	now = now.Add(progressTimeout + time.Millisecond)
	s.Submit(now, newRequest(2, "c", batchTarget))
	if d, _ := s.Poll(now); len(d) != 0 {
		t.Error("request was dispatched to a stalled engine")
	}
	s.Progress(now, 1, 2)
	if d, _ := s.Poll(now.Add(queueCheckInterval)); len(d) != 1 {
		t.Error("request was not dispatched after the engine made progress again")
	}
}

// TestRefusalReasons checks the reason and the retry time of refusals, and that
// an admitted request is not refused for being late.
func TestRefusalReasons(t *testing.T) {
	s := New(Options{})
	now := afterSlowStart()
	s.Submit(now, newRequest(1, "c", interactiveTarget))
	if _, r := s.Poll(now); len(r) != 1 || r[0].Reason != ReasonNoBackend || r[0].RetryAfter <= 0 {
		t.Errorf("no engine: refusals %+v, want one with ReasonNoBackend and a retry time", r)
	}
	s.UpdateBackend(epoch, testEngine("e", 1_000))
	large := newRequest(2, "c", interactiveTarget)
	large.PromptTokens = 1_000
	s.Submit(now, large)
	if _, r := s.Poll(now); len(r) != 1 || r[0].Reason != ReasonTooLarge {
		t.Errorf("prompt larger than the engine: refusals %+v, want one with ReasonTooLarge", r)
	}
	blocker := newRequest(3, "block", batchTarget)
	blocker.PromptTokens = 999
	s.Submit(now, blocker)
	s.Poll(now)
	s.Submit(now, newRequest(4, "c", interactiveTarget))
	if d, r := s.Poll(now); len(d)+len(r) != 0 {
		t.Fatalf("dispatched %v, refused %v; want the request to wait", d, r)
	}
	now = now.Add(interactiveTarget.FirstToken + queueCheckInterval)
	if _, r := s.Poll(now); len(r) != 1 || r[0].Request.ID != 4 || r[0].Reason != ReasonOverload || r[0].RetryAfter <= 0 {
		t.Errorf("first-token target passed: refusals %+v, want request 4 with ReasonOverload and a retry time", r)
	}
	admitted := newRequest(5, "c", interactiveTarget)
	admitted.Arrived = now.Add(-time.Hour)
	admitted.Admitted = true
	s.Submit(now, admitted)
	if _, r := s.Poll(now); len(r) != 0 {
		t.Errorf("admitted request: refusals %+v, want none", r)
	}
}

// TestLoadReportExcludesLocalLoad checks that the local load as of the time of
// a late report is subtracted from it.
func TestLoadReportExcludesLocalLoad(t *testing.T) {
	s := New(Options{})
	s.UpdateBackend(epoch, testEngine("e", 100_000))
	now := afterSlowStart()
	s.Submit(now, newRequest(1, "c", batchTarget))
	s.Poll(now)
	s.Progress(now, 1, 50)
	later := now.Add(2 * time.Second)
	s.Progress(later, 1, 400)
	s.UpdateLoad(later, "e", member.Load{Running: 3, MemoryUsed: 150 + 700}, 1900*time.Millisecond)
	if o := s.engines["e"].otherLoad; o.Running != 2 || o.MemoryUsed != 700 {
		t.Errorf("other load = %+v, want 2 running with 700 tokens", o)
	}
}

// TestSpillToOtherDomain checks that a request goes to another failure domain
// only if the local one has no engine, or if it is urgent and has waited for
// half its start target.
func TestSpillToOtherDomain(t *testing.T) {
	s := New(Options{Domain: "a"})
	remote := testEngine("far", 10_000)
	remote.Domain = "b"
	s.UpdateBackend(epoch, remote)
	now := afterSlowStart()
	s.Submit(now, newRequest(1, "c", batchTarget))
	if d, _ := s.Poll(now); len(d) != 1 {
		t.Fatal("request was not dispatched to another domain although the local one has no engine")
	}
	s.Finish(now, 1, Completed)
	s.UpdateBackend(epoch, testEngine("near", 1_000))
	blocker := newRequest(2, "block", batchTarget)
	blocker.PromptTokens = 999
	s.Submit(now, blocker)
	s.Poll(now)
	s.Submit(now, newRequest(3, "c", interactiveTarget))
	if d, _ := s.Poll(now); len(d) != 0 {
		t.Fatal("request was dispatched to another domain at once")
	}
	now = now.Add(interactiveTarget.FirstToken/2 + queueCheckInterval)
	if d, _ := s.Poll(now); len(d) != 1 || d[0].Backend != "far" {
		t.Errorf("dispatched %v, want engine far", d)
	}
}

// BenchmarkDecision measures the scheduling of one request, with the given
// number of engines and 600 workspaces.
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
	now := afterSlowStart()
	id := uint64(0)
	var inFlight []uint64
	submit := func() {
		id++
		q := newRequest(id, "summary", Target{FirstToken: 630 * time.Millisecond, TokenGap: 29 * time.Millisecond})
		q.Workspace = fmt.Sprint("w", r.IntN(workspaces))
		q.Arrived = now
		s.Submit(now, q)
		d, _ := s.Poll(now)
		for _, x := range d {
			inFlight = append(inFlight, x.Request.ID)
			s.Progress(now, x.Request.ID, 1+r.IntN(300))
		}
	}
	for range engines * running {
		submit()
	}
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		k := r.IntN(len(inFlight))
		s.Finish(now, inFlight[k], Completed)
		inFlight[k] = inFlight[len(inFlight)-1]
		inFlight = inFlight[:len(inFlight)-1]
		submit()
	}
}

// TestCachedPrefixIsPreferred checks that a request goes to the engine that
// reported its prefix as cached, until the engine reports its eviction or
// prefixTTL has passed.
func TestCachedPrefixIsPreferred(t *testing.T) {
	for _, policy := range []string{spec.PolicyForecast, spec.PolicyPrefix} {
		s := New(Options{})
		for _, id := range []string{"e1", "e2", "e3"} {
			s.UpdateBackend(epoch, testEngine(id, 100_000))
		}
		now := afterSlowStart()
		send := func(id uint64) string {
			q := newRequest(id, "c", interactiveTarget)
			q.Policy, q.Prefix, q.Arrived = policy, "p", now
			s.Submit(now, q)
			d, _ := s.Poll(now)
			if len(d) != 1 {
				t.Fatalf("%s: request %d was not dispatched", policy, id)
			}
			s.Finish(now, id, Completed)
			return d[0].Backend
		}
		s.UpdatePrefixCache(now, "e3", "p", true)
		if got := send(1); got != "e3" {
			t.Errorf("%s: dispatched to %s, want e3", policy, got)
		}
		s.UpdatePrefixCache(now, "e3", "p", false)
		s.UpdatePrefixCache(now, "e2", "p", true)
		if got := send(2); got != "e2" {
			t.Errorf("%s: dispatched to %s, want e2", policy, got)
		}
		now = now.Add(prefixTTL)
		if got := send(3); got != "e1" {
			t.Errorf("%s: dispatched to %s after prefixTTL, want e1", policy, got)
		}
	}
}

// TestRefusesWhenAllEnginesLeave guards against requests that wait for engines that are
// all leaving.
func TestRefusesWhenAllEnginesLeave(t *testing.T) {
	s := New(Options{Domain: "a"})
	b := member.Backend{ID: "e", Kind: spec.KindEngine, Model: "m", Domain: "a", MemoryTokens: 1000, Slots: 4, Epoch: 1}
	s.UpdateBackend(epoch, b)
	b.Leaving = true
	s.UpdateBackend(epoch, b)
	s.Submit(epoch, &Request{ID: 1, Model: "m", PromptTokens: 10})
	_, refused := s.Poll(epoch)
	if len(refused) != 1 || refused[0].Reason != ReasonNoBackend {
		t.Errorf("refusals %+v, want one for lack of an engine", refused)
	}
}
