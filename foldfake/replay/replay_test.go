package replay_test

import (
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/mix"
	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/foldfake/replay"
)

// traceLength is the duration of the generated traces.
const traceLength = 10 * time.Minute

// capacities caches the capacity of each mix, in requests per second of one
// engine, because measuring it takes seconds.
var capacities = struct {
	sync.Mutex
	byMix map[string]float64
}{byMix: map[string]float64{}}

func capacity(m mix.Mix) float64 {
	capacities.Lock()
	defer capacities.Unlock()
	if capacities.byMix[m.Name] == 0 {
		capacities.byMix[m.Name] = m.Capacity(model.DefaultParams())
	}
	return capacities.byMix[m.Name]
}

// newScenario returns a scenario with a generated trace. load is its request rate
// as a fraction of capacity.
func newScenario(m mix.Mix, load float64, seed uint64) replay.Scenario {
	perSecond := load * capacity(m) * float64(m.Engines)
	return replay.Scenario{Mix: m, Trace: m.Trace(seed, traceLength, perSecond), Policy: spec.PolicyForecast, Mode: replay.ModeSingleScheduler, Seed: seed}
}

func replayWithPolicy(s replay.Scenario, policy string) *replay.Result {
	s.Policy = policy
	return replay.Run(s)
}

// TestStallAndPreemptionsAgainstNaive compares the forecast policy with the naive
// policy on the same trace at 0.9 of capacity, by the users' measures. The stall
// time must be at most a third and the preemptions at most a tenth. No fewer
// answers may be complete within target.
func TestStallAndPreemptionsAgainstNaive(t *testing.T) {
	t.Parallel()
	for name, m := range mix.Mixes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(m, 0.9, 1)
			naive, forecast := replayWithPolicy(s, spec.PolicyNaive), replayWithPolicy(s, spec.PolicyForecast)
			t.Logf("stall %v, naive %v; preemptions %d, naive %d; answers within target %d, naive %d", forecast.Stall, naive.Stall, forecast.Preemptions, naive.Preemptions, forecast.WithinTarget, naive.WithinTarget)
			if forecast.Stall > naive.Stall/3 {
				t.Errorf("stall time %v, want at most a third of %v", forecast.Stall, naive.Stall)
			}
			if forecast.Preemptions > naive.Preemptions/10 {
				t.Errorf("%d preemptions, want at most a tenth of %d", forecast.Preemptions, naive.Preemptions)
			}
			if forecast.WithinTarget < naive.WithinTarget {
				t.Errorf("%d answers within target, want at least the %d of the naive policy", forecast.WithinTarget, naive.WithinTarget)
			}
		})
	}
}

// TestTokenGapAgainstNaive checks that the 99th percentile of the time between
// tokens is at most a third of that of the naive policy, at 0.9 of capacity.
func TestTokenGapAgainstNaive(t *testing.T) {
	t.Parallel()
	for name, m := range mix.Mixes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(m, 0.9, 1)
			naive, forecast := replayWithPolicy(s, spec.PolicyNaive), replayWithPolicy(s, spec.PolicyForecast)
			if forecast.GapPercentile(99) > naive.GapPercentile(99)/3 {
				t.Errorf("token gap p99 %v, want at most a third of %v", forecast.GapPercentile(99), naive.GapPercentile(99))
			}
		})
	}
}

// TestTokenGapMeetsTarget checks that the 95th percentile of the time between
// tokens is at most the target of 29 ms, at 0.9 of capacity.
func TestTokenGapMeetsTarget(t *testing.T) {
	t.Parallel()
	const target = 29 * time.Millisecond
	for name, m := range mix.Mixes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := replayWithPolicy(newScenario(m, 0.9, 1), spec.PolicyForecast); r.GapPercentile(95) > target {
				t.Errorf("token gap p95 %v, want at most %v", r.GapPercentile(95), target)
			}
		})
	}
}

// TestOverloadKeepsTargets replays traces at 1.1 of capacity. 95 % of the checks
// (triage, roster) must start within their target, every accepted draft (draft,
// itinerary) must complete, and no refusal may come late. No fewer answers may be
// complete within target than with the naive policy.
func TestOverloadKeepsTargets(t *testing.T) {
	t.Parallel()
	checks := map[string]string{"derwent": "triage", "peachline": "roster"}
	drafts := map[string]string{"derwent": "draft", "peachline": "itinerary"}
	for name, m := range mix.Mixes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(m, 1.1, 1)
			naive, forecast := replayWithPolicy(s, spec.PolicyNaive), replayWithPolicy(s, spec.PolicyForecast)
			c := forecast.Classes[checks[name]]
			if c.FirstTokenInTarget*100 < 95*c.Arrived {
				t.Errorf("%d of %d checks started within target, want at least 95 %%", c.FirstTokenInTarget, c.Arrived)
			}
			d := forecast.Classes[drafts[name]]
			if d.Completed+d.Refused != d.Arrived {
				t.Errorf("%d drafts completed and %d refused, want all %d to be one of these", d.Completed, d.Refused, d.Arrived)
			}
			if forecast.WithinTarget < naive.WithinTarget {
				t.Errorf("%d answers within target, want at least the %d of the naive policy", forecast.WithinTarget, naive.WithinTarget)
			}
			// A request is refused no later than its longest first-token target of
			// 630 ms. 50 ms are added for the interval at which queues are polled.
			if limit := 630*time.Millisecond + 50*time.Millisecond; forecast.SlowestRefusal > limit {
				t.Errorf("slowest refusal after %v, want at most %v", forecast.SlowestRefusal, limit)
			}
		})
	}
}

// TestLateLoadReports delays the load reports by 2 s. At most a quarter of the
// gain in stall time and preemptions over the naive policy may be lost.
func TestLateLoadReports(t *testing.T) {
	t.Parallel()
	for name, m := range mix.Mixes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(m, 0.9, 2)
			naive, fresh := replayWithPolicy(s, spec.PolicyNaive), replayWithPolicy(s, spec.PolicyForecast)
			s.Lag = 2 * time.Second
			late := replayWithPolicy(s, spec.PolicyForecast)
			stallGain := naive.Stall - fresh.Stall
			if late.Stall > fresh.Stall+stallGain/4 {
				t.Errorf("stall time %v with late reports, %v with fresh ones, naive %v; want at most a quarter of the gain lost", late.Stall, fresh.Stall, naive.Stall)
			}
			preemptionGain := naive.Preemptions - fresh.Preemptions
			if late.Preemptions > fresh.Preemptions+preemptionGain/4 {
				t.Errorf("%d preemptions with late reports, %d with fresh ones, naive %d; want at most a quarter of the gain lost", late.Preemptions, fresh.Preemptions, naive.Preemptions)
			}
		})
	}
}

// lossesAndFreezes returns faults of each kind, spread over a trace.
func lossesAndFreezes() []record.Line { return append(engineLosses(), engineFreezes()...) }

// engineFreezes returns faults that freeze engines. Callers whose answers are
// generated at a frozen engine wait equally long with every policy.
func engineFreezes() []record.Line {
	return []record.Line{
		faultAt(4, record.Fault{Kind: record.FaultFreeze, Engine: 2, DurationMS: 3_000}),
		faultAt(5, record.Fault{Kind: record.FaultFreeze, Engine: 3, DurationMS: 20_000}),
	}
}

// faultAt returns the trace line of a fault at a time in minutes.
func faultAt(minute float64, f record.Fault) record.Line {
	return record.Line{AtMS: minute * 60_000, Fault: &f}
}

// engineLosses returns faults that stop engines and the shared scheduler.
func engineLosses() []record.Line {
	return []record.Line{
		faultAt(1, record.Fault{Kind: record.FaultDie, Engine: 0, DurationMS: 30_000}),
		faultAt(2.5, record.Fault{Kind: record.FaultReclaim, Engine: 1, DurationMS: 20_000}),
		faultAt(6, record.Fault{Kind: record.FaultCoordinator}),
		faultAt(7, record.Fault{Kind: record.FaultDie, Engine: 4, DurationMS: 10_000}),
		faultAt(7, record.Fault{Kind: record.FaultCoordinator}),
	}
}

// TestEngineAndSchedulerLosses replays traces at 0.7 of capacity in which engines
// die or are reclaimed and the shared scheduler dies. Every request must end, no
// draft may be interrupted, and the stall time must be at most a third of that of
// the naive policy.
func TestEngineAndSchedulerLosses(t *testing.T) {
	t.Parallel()
	testFaultTrace(t, engineLosses(), 3)
}

// TestFrozenEngines adds frozen engines to the faults of
// TestEngineAndSchedulerLosses. Every request must end, no draft may be
// interrupted, and the stall time must be at most that of the naive policy.
func TestFrozenEngines(t *testing.T) {
	t.Parallel()
	testFaultTrace(t, lossesAndFreezes(), 1)
}

// testFaultTrace replays each mix with the faults. It checks that the stall time
// is at most that of the naive policy divided by stallDivisor.
func testFaultTrace(t *testing.T, faults []record.Line, stallDivisor time.Duration) {
	for name, m := range mix.Mixes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScenario(m, 0.7, 3)
			s.Trace = append(s.Trace, faults...)
			naive, forecast := replayWithPolicy(s, spec.PolicyNaive), replayWithPolicy(s, spec.PolicyForecast)
			if forecast.Unfinished != 0 || forecast.Failed != 0 {
				t.Errorf("%d requests unfinished and %d failed, want none", forecast.Unfinished, forecast.Failed)
			}
			total := 0
			for _, c := range forecast.Classes {
				total += c.Arrived
				if c.Completed+c.Refused+c.Interrupted != c.Arrived {
					t.Errorf("%d of %d requests completed, were refused or interrupted, want all", c.Completed+c.Refused+c.Interrupted, c.Arrived)
				}
			}
			for _, d := range []string{"draft", "itinerary"} {
				if c := forecast.Classes[d]; c != nil && c.Interrupted > 0 {
					t.Errorf("%d drafts interrupted, want none", c.Interrupted)
				}
			}
			if forecast.Stall > naive.Stall/stallDivisor {
				t.Errorf("stall time %v, want at most 1/%d of %v", forecast.Stall, stallDivisor, naive.Stall)
			}
			t.Logf("%d requests, stall %v, naive %v, interrupted %d, restarts %d", total, forecast.Stall, naive.Stall, forecast.Interrupted, forecast.Restarts)
		})
	}
}

// TestAnswerLengthsGrow triples the length of all answers except triage checks, up
// to 12,000 tokens, in the second half of a trace. The stall time must be at most
// a third and the preemptions at most a tenth of those of the naive policy.
func TestAnswerLengthsGrow(t *testing.T) {
	t.Parallel()
	m := mix.Derwent()
	s := newScenario(m, 0.45, 4)
	half := float64(traceLength.Milliseconds()) / 2
	for _, l := range s.Trace {
		if l.AtMS > half && l.Arrival.Class != "triage" {
			l.Arrival.GeneratedTokens = min(3*l.Arrival.GeneratedTokens, 12_000)
		}
	}
	naive, forecast := replayWithPolicy(s, spec.PolicyNaive), replayWithPolicy(s, spec.PolicyForecast)
	t.Logf("stall %v, naive %v; preemptions %d, naive %d", forecast.Stall, naive.Stall, forecast.Preemptions, naive.Preemptions)
	if forecast.Stall > naive.Stall/3 || forecast.Preemptions > naive.Preemptions/10 {
		t.Errorf("stall time %v, naive %v, want at most a third; preemptions %d, naive %d, want at most a tenth", forecast.Stall, naive.Stall, forecast.Preemptions, naive.Preemptions)
	}
}

// TestReplayIsDeterministic checks that two replays of the same scenario have the
// same result.
func TestReplayIsDeterministic(t *testing.T) {
	t.Parallel()
	s := newScenario(mix.Derwent(), 0.7, 5)
	s.Trace = append(s.Trace, lossesAndFreezes()...)
	a, b := replayWithPolicy(s, spec.PolicyForecast), replayWithPolicy(s, spec.PolicyForecast)
	if a.Stall != b.Stall || a.Preemptions != b.Preemptions || a.WithinTarget != b.WithinTarget || a.Tokens != b.Tokens || a.GapPercentile(99) != b.GapPercentile(99) {
		t.Errorf("results of two replays differ: %+v and %+v", a, b)
	}
}

// TestLargeWorkspaceDoesNotStarveSmallOnes overloads the engines with requests of
// one workspace. 95 % of the requests of the small workspaces must still get their
// first token within target.
func TestLargeWorkspaceDoesNotStarveSmallOnes(t *testing.T) {
	t.Parallel()
	m := mix.Derwent()
	m.WorkspaceShares = []float64{0.02, 0.02, 0.02}
	small := newScenario(m, 0.25, 6)
	m.WorkspaceShares = []float64{0, 0, 0, 1}
	large := newScenario(m, 2, 7)
	s := small
	s.Mix.WorkspaceShares = nil
	s.Trace = mergeTraces(small.Trace, large.Trace)
	r := replayWithPolicy(s, spec.PolicyForecast)
	inTime, all := 0, 0
	for name, w := range r.Workspaces {
		if name == "ws3" {
			continue
		}
		inTime += w.FirstTokenInTarget
		all += w.WithTarget
	}
	if inTime*100 < 95*all || all < 1000 {
		t.Errorf("%d of %d requests of small workspaces started within target, want at least 95 %% and at least 1000 requests", inTime, all)
	}
	t.Logf("%d of %d requests of small workspaces started within target", inTime, all)
}

// mergeTraces merges two traces in the order of time.
func mergeTraces(a, b []record.Line) []record.Line {
	out := make([]record.Line, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		if len(b) == 0 || (len(a) > 0 && a[0].AtMS <= b[0].AtMS) {
			out, a = append(out, a[0]), a[1:]
			continue
		}
		out, b = append(out, b[0]), b[1:]
	}
	return out
}
