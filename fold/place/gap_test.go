package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiafold.example/fold/learn"
)

const (
	gapTarget  = 180 * time.Millisecond
	gapPrompt  = 3000
	eventToken = 4
)

// gapRun returns a run with a gap target that will probably go on for long.
func gapRun(id uint64) Run {
	return Run{ID: id, Group: learn.Group{Class: "draft"}, BaseTokens: gapPrompt, Generated: 100, MaxTokens: 1780, GapTarget: gapTarget, EventTokens: eventToken}
}

// gapRequest returns a request for a run with a gap target.
func gapRequest(id uint64) Request {
	r := gapRun(id)
	r.Generated = 0
	return Request{Run: r, PromptTokens: gapPrompt, FirstTokenBudget: 3 * time.Second}
}

// learnLong lets the placer expect long runs.
func learnLong(p *Placer) {
	for range 200 {
		p.Learn(LengthSample{Group: learn.Group{Class: "draft"}, To: 750, Ended: true})
	}
}

// learnRisk reports to the placer, for 30 s, runs of another VM at the engines "1", "2" and
// "3" beside which prompts are read. At the risky ones every fourth prompt makes a run late.
// It returns the time at the end.
func learnRisk(p *Placer, risky ...string) time.Time {
	at := now
	for i := range 30 {
		loads, late := map[string]Load{}, map[string]Load{}
		for e, s := range threeEngines() {
			run := gapRun(uint64(1000 + 10*i + e))
			loads[s.ID] = Load{Requests: 1, Runs: []Run{run}}
			run.Generated += 100
			for _, id := range risky {
				run.Late = run.Late || id == s.ID && i%4 == 0
			}
			late[s.ID] = Load{Requests: 1, Runs: []Run{run}}
		}
		p.UpdatePeerLoad(at, "v", loads)
		for e, s := range threeEngines() {
			p.Reserve(at, "w", s.ID, gapRequest(uint64(5000+10*i+e)))
		}
		p.UpdatePeerLoad(at.Add(time.Second), "v", late)
		p.UpdatePeerLoad(at.Add(time.Second), "w", nil)
		at = at.Add(time.Second)
	}
	p.UpdatePeerLoad(at, "v", nil)
	return at.Add(reservationTTL)
}

// TestNoGapTargetsNoChange guards against a change for services without gap targets: what
// load reports say of gaps doesn't change any choice then.
func TestNoGapTargetsNoChange(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var plain, told Placer
	at := now
	for i := range 3000 {
		at = at.Add(time.Duration(r.IntN(40)) * time.Millisecond)
		req := Request{
			Run:          Run{ID: uint64(i + 1), Group: learn.Group{Class: fmt.Sprint(i % 2)}, BaseTokens: 500 + r.IntN(2000), MaxTokens: 800},
			PromptTokens: 500 + r.IntN(2000), FirstTokenBudget: time.Second, Random: r.Float64(),
		}
		want, _ := plain.Pick(at, threeEngines(), req)
		req.EventTokens, req.Late = eventToken, i%3 == 0
		got, _ := told.Pick(at, threeEngines(), req)
		if got.Server.ID != want.Server.ID || got.Full != want.Full || got.Crowded != want.Crowded || got.Gaps != (GapRisk{}) {
			t.Fatalf("request %d: got %+v, want %+v", i, got, want)
		}
		vm, id := fmt.Sprint(r.IntN(5)), want.Server.ID
		run := req.Run
		for range 2 {
			at = at.Add(10 * time.Millisecond)
			run.Generated++
			load := Load{Requests: 1, PrefillTokens: r.IntN(3000), Runs: []Run{run}}
			load.Runs[0].EventTokens, load.Runs[0].Late = 0, false
			plain.UpdatePeerLoad(at, vm, map[string]Load{id: load})
			load.MaxGap, load.MaxGapAge = time.Duration(r.IntN(400))*time.Millisecond, time.Millisecond
			load.Runs = []Run{run}
			told.UpdatePeerLoad(at, vm, map[string]Load{id: load})
		}
		if !want.Full {
			plain.Reserve(at, vm, id, req)
			told.Reserve(at, vm, id, req)
		}
	}
}

// TestPromptsSpareRunsOnTime checks that a prompt goes to an engine whose run is late already
// once prompts are known to make runs late, and that the two are equal before.
func TestPromptsSpareRunsOnTime(t *testing.T) {
	for _, tt := range []struct {
		risky []string
		want  string
	}{{nil, "1"}, {[]string{"1", "2", "3"}, "2"}} {
		var p Placer
		learnLong(&p)
		at := learnRisk(&p, tt.risky...)
		late := gapRun(2)
		late.Late = true
		onTime := gapRun(1)
		p.UpdatePeerLoad(at, "v", map[string]Load{"1": {Requests: 1, Runs: []Run{onTime}}, "2": {Requests: 1, Runs: []Run{late}}})
		req := gapRequest(9)
		req.MaxTokens, req.Group = 8, learn.Group{Class: "short"}
		for range 100 {
			p.Learn(LengthSample{Group: req.Group, To: 8, Ended: true})
		}
		if c, _ := p.Pick(at, threeEngines()[:2], req); c.Server.ID != tt.want {
			t.Errorf("risky engines %v: prompt at engine %s, want %s", tt.risky, c.Server.ID, tt.want)
		}
	}
}

// TestLongRunsGoWhereGapsAreShort checks that a long run goes to the engine at which prompts
// make no run late, although that one has more work, and that the lesson is forgotten.
func TestLongRunsGoWhereGapsAreShort(t *testing.T) {
	var p Placer
	learnLong(&p)
	at := learnRisk(&p, "1", "2")
	busy := Load{Requests: 2, Runs: []Run{gapRun(1), gapRun(2)}}
	p.UpdatePeerLoad(at, "v", map[string]Load{"3": busy})
	c, _ := p.Pick(at, threeEngines(), gapRequest(9))
	if c.Server.ID != "3" {
		t.Errorf("long run at engine %s with risk %+v, want 3", c.Server.ID, c.Gaps)
	}
	at = at.Add(10 * gapRiskMemory)
	p.UpdatePeerLoad(at, "v", map[string]Load{"3": busy})
	if c, _ := p.Pick(at, threeEngines(), gapRequest(9)); c.Server.ID == "3" {
		t.Errorf("after %v without observations: long run at the engine with most work", 10*gapRiskMemory)
	}
}

// TestLateRunsHaveNothingToLose checks that a run which is late already is placed by the
// other costs alone.
func TestLateRunsHaveNothingToLose(t *testing.T) {
	var p Placer
	learnLong(&p)
	at := learnRisk(&p, "1", "2")
	req := gapRequest(9)
	req.Late = true
	if c, _ := p.Pick(at, threeEngines(), req); c.Gaps.Own != 0 || c.Gaps.Others != 0 {
		t.Errorf("late run alone at an engine: risk %+v, want none", c.Gaps)
	}
}

// TestPromptsAvoidSlowPeriods checks that no prompt is sent beside a run on time for as long as
// a gap that was just seen shows a slow period, whether of this VM's own run or of another
// VM's, and that an old report of it doesn't count.
func TestPromptsAvoidSlowPeriods(t *testing.T) {
	for _, tt := range []struct {
		name string
		// age is the time between the gap and the choice.
		age   time.Duration
		local bool
		want  string
	}{
		{"reported", 10 * time.Millisecond, false, "1"},
		{"own", 10 * time.Millisecond, true, "1"},
		{"reported long ago", 2 * slowPeriod, false, "2"},
		{"own long ago", 2 * slowPeriod, true, "2"},
	} {
		var p Placer
		learnLong(&p)
		at := learnRisk(&p, "1", "2", "3")
		one := map[string]Load{"1": {Requests: 2, Runs: []Run{gapRun(1), gapRun(2)}}, "2": {Requests: 1, Runs: []Run{gapRun(3)}}}
		own := gapRun(4)
		generated := own.Generated
		p.Begin(at, "2", Request{Run: own, Progress: func() int { return generated }})
		p.UpdatePeerLoad(at, "v", one)
		for range 20 {
			at = at.Add(200 * time.Millisecond)
			generated += 20
			for _, l := range one {
				for i := range l.Runs {
					l.Runs[i].Generated += 20
				}
			}
			p.UpdatePeerLoad(at, "v", map[string]Load{"1": {Requests: 2, Runs: append([]Run(nil), one["1"].Runs...)}, "2": {Requests: 1, Runs: append([]Run(nil), one["2"].Runs...)}})
			p.ObserveLocal(at, p.LocalLoad(at, threeEngines()))
		}
		const gap = 100 * time.Millisecond
		if tt.local {
			if !p.ObserveEvent(at, "2", own.ID, gap, false) {
				t.Errorf("%s: a gap of %v is not worth a report", tt.name, gap)
			}
		} else {
			l := one["2"]
			l.MaxGap, l.MaxGapAge = gap, tt.age
			one["2"] = l
		}
		at = at.Add(tt.age)
		p.UpdatePeerLoad(at, "v", one)
		c, _ := p.Pick(at, threeEngines()[:2], gapRequest(9))
		if c.Server.ID != tt.want {
			t.Errorf("%s: prompt at engine %s with risk %+v, want %s", tt.name, c.Server.ID, c.Gaps, tt.want)
		}
	}
}

// BenchmarkPickGaps measures the choice of an engine among runs with gap targets.
func BenchmarkPickGaps(b *testing.B) {
	p, servers := largeFleet(195, 63, 8)
	for vm, peer := range p.peers {
		loads := map[string]Load{}
		for id, l := range peer.loads {
			for i := range l.Runs {
				l.Runs[i].GapTarget, l.Runs[i].EventTokens = gapTarget, eventToken
			}
			loads[id] = l
		}
		p.UpdatePeerLoad(now, vm, loads)
	}
	for _, s := range servers {
		p.observePrompt(now, s.ID, gapRequest(1))
		p.gapStatsOf(now, s.ID).broken++
	}
	for i := range b.N {
		at := now.Add(time.Duration(i%500) * time.Millisecond)
		req := Request{Run: Run{ID: uint64(i + 10_000), Group: learn.Group{Class: "c"}, BaseTokens: 2000, MaxTokens: 2268, GapTarget: gapTarget, EventTokens: eventToken}, PromptTokens: 2000, FirstTokenBudget: time.Second}
		p.Pick(at, servers, req)
	}
}

// A run that is late by its move must not count against the prompts read at the engine that it
// was moved to: where engines leave all the time, most gaps are those of moves.
func TestLateByMoveIsNoRiskOfPrompts(t *testing.T) {
	for _, byMove := range []bool{false, true} {
		var p Placer
		at := time.Unix(1000, 0)
		run := gapRun(1)
		generated := 40
		p.Begin(at, "1", Request{Run: run, Progress: func() int { return generated }})
		p.ObserveLocal(at, p.LocalLoad(at, threeEngines()))
		generated += 4
		at = at.Add(300 * time.Millisecond)
		if byMove {
			p.LateByMove("1", run.ID)
		} else {
			p.ObserveEvent(at, "1", run.ID, 300*time.Millisecond, true)
		}
		p.ObserveLocal(at, p.LocalLoad(at, threeEngines()))
		if broken := p.gapStatsOf(at, "1").broken; (broken > 0) == byMove {
			t.Errorf("late by its move %v: %v runs held against the engine", byMove, broken)
		}
	}
}
