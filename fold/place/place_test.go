package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
)

var now = time.Unix(1000, 0)

// plainServers returns two servers that are not engines, the first in failure
// domain a and the second in b.
func plainServers() []member.Backend {
	return []member.Backend{{ID: "near", Domain: "a", Slots: 4}, {ID: "far", Domain: "b", Slots: 4}}
}

// engineServers returns the servers of plainServers as engines with a memory of
// 1000 tokens.
func engineServers() []member.Backend {
	list := plainServers()
	for i := range list {
		list[i].MemoryTokens = 1000
	}
	return list
}

// fixedSizeRequest returns a request whose run has reached its token limit and
// keeps the given number of tokens in memory.
func fixedSizeRequest(id uint64, tokens int) Request {
	return Request{Run: Run{ID: id, BaseTokens: tokens - 1, Generated: 1, MaxTokens: 1}}
}

// beginN counts n equal requests at a server.
func beginN(p *Placer, id string, n int, req Request) {
	for range n {
		p.Begin(now, id, req)
	}
}

func TestPick(t *testing.T) {
	tests := []struct {
		name    string
		servers []member.Backend
		setup   func(*Placer)
		req     Request
		wantID  string
	}{
		{"prefers its own failure domain", plainServers(), nil, Request{}, "near"},
		{"other failure domain if own server is loaded", plainServers(), func(p *Placer) { beginN(p, "near", 2, Request{}) }, Request{}, "far"},
		{"skips a leaving server", []member.Backend{{ID: "near", Domain: "a", Leaving: true}, plainServers()[1]}, nil, Request{}, "far"},
		{"skips an excluded server", plainServers(), nil, Request{Exclude: []string{"near"}}, "far"},
		{"skips a server that just failed", plainServers(), func(p *Placer) { p.Begin(now, "near", Request{}); p.End(now, "near", Request{}, Failed) }, Request{}, "far"},
		{"back-off ends", plainServers(), func(p *Placer) {
			p.Begin(now, "near", Request{})
			p.End(now.Add(-time.Minute), "near", Request{}, Failed)
		}, Request{}, "near"},
		{"skips an engine without capacity", engineServers(), func(p *Placer) { p.Begin(now, "near", fixedSizeRequest(1, 800)) }, fixedSizeRequest(2, 300), "far"},
		{"skips an engine that is reading a prompt", engineServers(), func(p *Placer) { p.Begin(now, "near", Request{PromptTokens: 2000}) }, fixedSizeRequest(9, 10), "far"},
		{"prompt has been read", engineServers(), func(p *Placer) {
			p.Begin(now, "near", Request{PromptTokens: 2000})
			p.Prefilled(now, "near", Request{PromptTokens: 2000})
		}, fixedSizeRequest(9, 10), "near"},
		{"copy stays in its failure domain", engineServers(), func(p *Placer) { beginN(p, "far", 3, Request{}) }, Request{Run: Run{ID: 9, BaseTokens: 10}, Domain: "b", Copy: &Copy{Source: "x", Domain: "b", Duration: 200 * time.Millisecond}}, "far"},
		{"counts the reported load of other VMs", plainServers(), func(p *Placer) { p.UpdatePeerLoad(now, "v", map[string]Load{"near": {Requests: 2}}) }, Request{}, "far"},
		{"counts reservations for other VMs", plainServers(), func(p *Placer) { p.Reserve(now, "v", "near", Request{}); p.Reserve(now, "v", "near", Request{}) }, Request{}, "far"},
		{"ignores an old load report", plainServers(), func(p *Placer) {
			p.UpdatePeerLoad(now.Add(-time.Minute), "v", map[string]Load{"near": {Requests: 2}})
		}, Request{}, "near"},
		{"skips an unreachable failure domain", []member.Backend{{ID: "near", Domain: "b"}, {ID: "far", Domain: "c"}}, func(p *Placer) {
			p.Begin(now, "other", Request{})
			p.End(now, "other", Request{}, Unreachable)
			p.RecordDomainResult(now, "b", Unreachable)
		}, Request{}, "far"},
		{"failure domain is reachable again", []member.Backend{{ID: "near", Domain: "b"}, {ID: "far", Domain: "c"}}, func(p *Placer) {
			p.RecordDomainResult(now, "b", Unreachable)
			p.RecordDomainResult(now, "b", Answered)
			p.Begin(now, "far", Request{})
		}, Request{}, "near"},
		{"all servers excluded", plainServers(), nil, Request{Exclude: []string{"near", "far"}}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := Placer{Domain: "a"}
			if tt.setup != nil {
				tt.setup(&p)
			}
			for _, random := range []float64{0, 0.5, 0.99} {
				tt.req.Random = random
				if c, ok := p.Pick(now, tt.servers, tt.req); c.Server.ID != tt.wantID || ok != (tt.wantID != "") {
					t.Errorf("random %v: got server %q, want %q", random, c.Server.ID, tt.wantID)
				}
			}
		})
	}
}

// TestDomainUnreachable plays a partition: after two failures in a row, requests for
// a failure domain are rejected at once, but for one at a time that tries it again.
func TestDomainUnreachable(t *testing.T) {
	p := Placer{Domain: "a"}
	at := now
	check := func(what string, want bool) {
		t.Helper()
		wait, got := p.DomainUnreachable(at, "b")
		if got != want || got != (wait > 0) || wait > maxDomainBackoff {
			t.Errorf("%s: unreachable %t for %v, want %t", what, got, wait, want)
		}
	}
	check("before any failure", false)
	p.RecordDomainResult(at, "b", Unreachable)
	check("after one failure", false)
	p.RecordDomainResult(at, "b", Unreachable)
	check("after two failures", true)
	at = at.Add(maxDomainBackoff)
	check("first request after the back-off", false)
	check("second request after the back-off", true)
	at = at.Add(domainProbeTime)
	check("after a try without a result", false)
	p.RecordDomainResult(at, "b", Unreachable)
	check("after a try that failed", true)
	p.RecordDomainResult(at, "b", Answered)
	check("after an answer", false)
	p.RecordDomainResult(at, "a", Unreachable)
	p.RecordDomainResult(at, "a", Unreachable)
	if _, unreachable := p.DomainUnreachable(at, "a"); unreachable {
		t.Error("the placer's own failure domain counts as unreachable")
	}
}

// threeEngines returns three equal engines in failure domain a.
func threeEngines() []member.Backend {
	var list []member.Backend
	for _, id := range []string{"1", "2", "3"} {
		list = append(list, member.Backend{ID: id, Domain: "a", Slots: 24, MemoryTokens: 34_000})
	}
	return list
}

// TestEqualRequestsSpreadEvenly places requests of one size that all keep
// running: every server gets the same number.
func TestEqualRequestsSpreadEvenly(t *testing.T) {
	p := Placer{Domain: "a"}
	count := map[string]int{}
	for i := range 30 {
		req := fixedSizeRequest(uint64(i+1), 1000)
		req.Random = float64(i%7) / 7
		c, _ := p.Pick(now, threeEngines(), req)
		p.Begin(now, c.Server.ID, req)
		count[c.Server.ID]++
	}
	for id, n := range count {
		if n != 10 {
			t.Errorf("server %s got %d of 30 requests, want 10", id, n)
		}
	}
}

// TestMovedRunsOfManyVMsSpread guards against overloading one engine when an
// engine leaves and eight VMs each move a run at the same moment. The placer of
// one VM chooses for all: the runs spread over the remaining engines, and each
// copy begins when the one before it has ended.
func TestMovedRunsOfManyVMsSpread(t *testing.T) {
	const copyTime = 200 * time.Millisecond
	req := fixedSizeRequest(1, 5000)
	req.Domain, req.Copy, req.Exclude = "a", &Copy{Source: "1", Domain: "a", Duration: copyTime}, []string{"1"}
	var placer Placer
	count := map[string]int{}
	for i := range 8 {
		c, ok := placer.Pick(now, threeEngines(), req)
		if !ok {
			t.Fatal("Pick found no server")
		}
		placer.Reserve(now, fmt.Sprint("vm", i), c.Server.ID, req)
		count[c.Server.ID]++
		if want := time.Duration(i) * (copyTime + copyGap); c.CopyDelay != want {
			t.Errorf("run %d: copy delay %v, want %v", i, c.CopyDelay, want)
		}
	}
	if count["2"] != 4 || count["3"] != 4 {
		t.Errorf("runs per server %v, want 4 on 2 and 4 on 3", count)
	}
}

// TestFullEnginesAreReportedFull places more runs than the engines' memory
// holds. Those beyond it are reported as full and are counted nowhere, and
// there is capacity again once a run has ended.
func TestFullEnginesAreReportedFull(t *testing.T) {
	var p Placer
	const tokens = 5000
	placed := map[string][]Request{}
	for i := range 40 {
		req := fixedSizeRequest(uint64(i+1), tokens)
		req.PromptTokens = 4000
		c, ok := p.Pick(now, threeEngines(), req)
		if !ok {
			t.Fatal("Pick found no server")
		}
		if c.Full {
			continue
		}
		p.Begin(now, c.Server.ID, req)
		placed[c.Server.ID] = append(placed[c.Server.ID], req)
	}
	for _, s := range threeEngines() {
		used := len(placed[s.ID]) * tokens
		if used > int(maxMemoryShare*float64(s.MemoryTokens)) || used+tokens < int(maxMemoryShare*float64(s.MemoryTokens)) {
			t.Errorf("engine %s: runs use %d of %d tokens, want a full memory", s.ID, used, s.MemoryTokens)
		}
	}
	p.End(now, "1", placed["1"][0], Answered)
	req := fixedSizeRequest(100, tokens)
	if c, _ := p.Pick(now, threeEngines(), req); c.Full || c.Server.ID != "1" {
		t.Errorf("after a run on engine 1 ended: got %+v, want engine 1 with capacity", c)
	}
	// A run that is moved is never reported as full, because it has nowhere else
	// to run.
	p.Begin(now, "1", req)
	req = fixedSizeRequest(101, tokens)
	req.Copy = &Copy{Source: "x"}
	if c, ok := p.Pick(now, threeEngines(), req); !ok || c.Full {
		t.Errorf("run with a copy: got %+v, want a server that is not full", c)
	}
}

// TestPickUsesLearnedLengths places a further run at an engine with six runs of
// the same class. There is capacity if runs of the class were observed to end soon,
// and none if they were observed to be long.
func TestPickUsesLearnedLengths(t *testing.T) {
	short, long := learn.Group{Class: "short"}, learn.Group{Class: "long"}
	for _, tt := range []struct {
		group learn.Group
		full  bool
	}{{short, false}, {long, true}} {
		var p Placer
		for range 200 {
			p.Learn(LengthSample{Group: short, To: 8, Ended: true})
			p.Learn(LengthSample{Group: long, To: 2000, Ended: true})
		}
		for i := range 6 {
			p.Begin(now, "1", Request{Run: Run{ID: uint64(i + 1), Group: tt.group, BaseTokens: 4000, MaxTokens: 4000}})
		}
		c, ok := p.Pick(now, threeEngines()[:1], Request{Run: Run{ID: 7, Group: tt.group, BaseTokens: 4000, MaxTokens: 4000}})
		if !ok || c.Full != tt.full {
			t.Errorf("beside six runs of class %s: got full %t, want %t", tt.group.Class, c.Full, tt.full)
		}
	}
}

// TestRemaining checks that the remaining length of a run is estimated from the
// stated limit at first, and from observed lengths later.
func TestRemaining(t *testing.T) {
	var p Placer
	run := Run{Group: learn.Group{Class: "c"}, BaseTokens: 100, MaxTokens: 1000}
	if remaining := p.Remaining(run, 0.5); remaining < 100 || remaining > 600 {
		t.Errorf("with no observed lengths: %d tokens remaining, want 100 to 600", remaining)
	}
	for range 400 {
		p.Learn(LengthSample{Group: run.Group, To: 40, Ended: true})
	}
	if remaining := p.Remaining(run, 0.5); remaining < 30 || remaining > 50 {
		t.Errorf("after runs of 40 tokens: %d tokens remaining, want 30 to 50", remaining)
	}
	run.Generated = 1000
	if remaining := p.Remaining(run, 0.99); remaining != 0 {
		t.Errorf("at the token limit: %d tokens remaining, want 0", remaining)
	}
}

// TestReservationCountsUntilReported checks that a placement made for another
// VM counts until that VM's load report includes the run, and that the run is
// never counted twice.
func TestReservationCountsUntilReported(t *testing.T) {
	var p Placer
	req := fixedSizeRequest(7, 5000)
	p.Reserve(now, "v", "1", req)
	if n, _ := p.counts(now, "1"); n != 1 {
		t.Errorf("%d requests after the reservation, want 1", n)
	}
	p.UpdatePeerLoad(now, "v", map[string]Load{"1": {Requests: 1, Runs: []Run{req.Run}}})
	if n, _ := p.counts(now, "1"); n != 1 {
		t.Errorf("%d requests after the load report, want 1", n)
	}
	p.UpdatePeerLoad(now.Add(reservationTTL), "v", nil)
	if n, _ := p.counts(now.Add(reservationTTL), "1"); n != 0 {
		t.Errorf("%d requests after a report without the run, want 0", n)
	}
}

// TestFullIfFirstTokenWouldBeLate guards against sending every request to a
// new, empty engine while the others are full. Requests whose first token would
// be late, because the engine has to read other prompts first, are reported as
// full at once instead of waiting in vain.
func TestFullIfFirstTokenWouldBeLate(t *testing.T) {
	const target = 1500 * time.Millisecond
	var p Placer
	servers := threeEngines()[:1]
	begun := 0
	for i := range 40 {
		req := fixedSizeRequest(uint64(i+1), 100)
		req.PromptTokens, req.FirstTokenBudget = 2000, target
		c, ok := p.Pick(now, servers, req)
		if !ok {
			t.Fatal("Pick found no server")
		}
		if c.Full {
			continue
		}
		p.Begin(now, c.Server.ID, req)
		begun++
	}
	if first := time.Duration(begun*2000) * defaultPromptTokenTime; first > target || begun == 0 {
		t.Errorf("%d requests begun, the last prompt is read after %v; want some requests and at most %v", begun, first, target)
	}
	req := fixedSizeRequest(100, 100)
	req.PromptTokens = 2000
	if c, _ := p.Pick(now, servers, req); c.Full {
		t.Error("a request without a first-token deadline is reported as full")
	}
}

// TestSeededGroupsAreBounded checks the bound on seeded groups: callers choose
// the names of models, so the number of groups is unlimited.
func TestSeededGroupsAreBounded(t *testing.T) {
	var p Placer
	for i := range maxSeededGroups + 100 {
		p.Remaining(Run{Group: learn.Group{Class: "c", Model: fmt.Sprint(i)}, MaxTokens: 100}, 0.5)
	}
	if len(p.seeded) != maxSeededGroups {
		t.Errorf("%d groups seeded, want %d", len(p.seeded), maxSeededGroups)
	}
}

// TestCountsMatchReports checks that the counts of requests at each server are those of
// all reports and reservations, whatever their order.
func TestCountsMatchReports(t *testing.T) {
	const vms, engines, steps = 12, 5, 3000
	r := rand.New(rand.NewPCG(1, 1))
	p := &Placer{}
	at := now
	for step := range steps {
		at = at.Add(time.Duration(r.IntN(60)) * time.Millisecond)
		vm, id := fmt.Sprint("vm", r.IntN(vms)), fmt.Sprint("e", r.IntN(engines))
		if r.IntN(2) == 0 {
			p.Reserve(at, vm, id, Request{Run: Run{ID: uint64(step + 1), BaseTokens: 10}, PromptTokens: 10})
		} else {
			loads := map[string]Load{}
			for range r.IntN(3) {
				run := uint64(max(step-r.IntN(20), 1))
				loads[fmt.Sprint("e", r.IntN(engines))] = Load{Requests: 1, PrefillTokens: 5, Runs: []Run{{ID: run}}}
			}
			p.UpdatePeerLoad(at, vm, loads)
		}
		for e := range engines {
			id := fmt.Sprint("e", e)
			requests, prefill := p.counts(at, id)
			wantRequests, wantPrefill := 0, 0
			for _, peer := range p.peers {
				if at.Sub(peer.lastSeen) >= peerLoadTTL {
					continue
				}
				wantRequests += peer.loads[id].Requests
				wantPrefill += peer.loads[id].PrefillTokens
				for i := range peer.reservations {
					if res := &peer.reservations[i]; res.server == id && peer.pending(at, res) {
						wantRequests++
						wantPrefill += res.promptTokens
					}
				}
			}
			if requests != wantRequests || prefill != wantPrefill {
				t.Fatalf("step %d: %d requests and %d prompt tokens at %s, want %d and %d", step, requests, prefill, id, wantRequests, wantPrefill)
			}
		}
	}
}
