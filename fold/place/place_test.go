package place

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
)

var now = time.Unix(1000, 0)

func plain() []member.Backend {
	return []member.Backend{{ID: "near", Domain: "a", Slots: 4}, {ID: "far", Domain: "b", Slots: 4}}
}

func engines() []member.Backend {
	list := plain()
	for i := range list {
		list[i].MemoryTokens = 1000
	}
	return list
}

// held is a run that keeps its memory and makes no token more.
func held(id uint64, tokens int) Request {
	return Request{Run: Run{ID: id, BaseTokens: tokens - 1, Generated: 1, MaxTokens: 1}}
}

func begin(p *Placer, id string, n int, w Request) {
	for range n {
		p.Begin(id, w)
	}
}

func TestPick(t *testing.T) {
	tests := []struct {
		name  string
		list  []member.Backend
		setup func(*Placer)
		want  Request
		id    string
	}{
		{"the own failure domain first", plain(), nil, Request{}, "near"},
		{"another one when it is ahead", plain(), func(p *Placer) { begin(p, "near", 2, Request{}) }, Request{}, "far"},
		{"not one that leaves", []member.Backend{{ID: "near", Domain: "a", Leaving: true}, plain()[1]}, nil, Request{}, "far"},
		{"not one to avoid", plain(), nil, Request{Exclude: []string{"near"}}, "far"},
		{"not one that failed", plain(), func(p *Placer) { p.Begin("near", Request{}); p.End(now, "near", Request{}, Failed) }, Request{}, "far"},
		{"one that failed long ago", plain(), func(p *Placer) { p.Begin("near", Request{}); p.End(now.Add(-time.Minute), "near", Request{}, Failed) }, Request{}, "near"},
		{"not one without memory", engines(), func(p *Placer) { p.Begin("near", held(1, 800)) }, held(2, 300), "far"},
		{"not one that reads prompts", engines(), func(p *Placer) { p.Begin("near", Request{PromptTokens: 2000}) }, held(9, 10), "far"},
		{"one that has read them", engines(), func(p *Placer) {
			p.Begin("near", Request{PromptTokens: 2000})
			p.Prefilled("near", Request{PromptTokens: 2000})
		}, held(9, 10), "near"},
		{"a copy stays in its domain", engines(), func(p *Placer) { begin(p, "far", 3, Request{}) }, Request{Run: Run{ID: 9, BaseTokens: 10}, Domain: "b", Copy: &Copy{Source: "x", Duration: 200 * time.Millisecond}}, "far"},
		{"not where other VMs have requests", plain(), func(p *Placer) { p.UpdatePeerLoad(now, "v", map[string]Load{"near": {Requests: 2}}) }, Request{}, "far"},
		{"not where other VMs were sent", plain(), func(p *Placer) { p.Reserve(now, "v", "near", Request{}); p.Reserve(now, "v", "near", Request{}) }, Request{}, "far"},
		{"a VM that is silent counts no more", plain(), func(p *Placer) {
			p.UpdatePeerLoad(now.Add(-time.Minute), "v", map[string]Load{"near": {Requests: 2}})
		}, Request{}, "near"},
		{"not where a domain can't be reached", []member.Backend{{ID: "near", Domain: "b"}, {ID: "far", Domain: "c"}}, func(p *Placer) {
			p.Begin("other", Request{})
			p.End(now, "other", Request{}, Unreachable)
			p.RecordDomainResult(now, "b", Unreachable)
		}, Request{}, "far"},
		{"where a domain is reached again", []member.Backend{{ID: "near", Domain: "b"}, {ID: "far", Domain: "c"}}, func(p *Placer) {
			p.RecordDomainResult(now, "b", Unreachable)
			p.RecordDomainResult(now, "b", Answered)
			p.Begin("far", Request{})
		}, Request{}, "near"},
		{"none is left", plain(), nil, Request{Exclude: []string{"near", "far"}}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := Placer{Domain: "a"}
			if tt.setup != nil {
				tt.setup(&p)
			}
			for _, random := range []float64{0, 0.5, 0.99} {
				tt.want.Random = random
				if c, ok := p.Pick(now, tt.list, tt.want); c.Server.ID != tt.id || ok != (tt.id != "") {
					t.Errorf("random %v: picked %q, want %q", random, c.Server.ID, tt.id)
				}
			}
		})
	}
}

func fleet() []member.Backend {
	var list []member.Backend
	for _, id := range []string{"1", "2", "3"} {
		list = append(list, member.Backend{ID: id, Domain: "a", Slots: 24, MemoryTokens: 34_000})
	}
	return list
}

// TestSpread places requests of one size that all stay: every server gets the
// same number.
func TestSpread(t *testing.T) {
	p := Placer{Domain: "a"}
	count := map[string]int{}
	for i := range 30 {
		w := held(uint64(i+1), 1000)
		w.Random = float64(i%7) / 7
		c, _ := p.Pick(now, fleet(), w)
		p.Begin(c.Server.ID, w)
		count[c.Server.ID]++
	}
	for id, n := range count {
		if n != 10 {
			t.Errorf("server %s got %d of 30", id, n)
		}
	}
}

// TestOnePlacerForMany plays an engine that leaves: eight VMs each move one run
// at the same moment. One VM places them all: the runs spread over the engines
// that are left, and each copy begins when the one before it has ended.
func TestOnePlacerForMany(t *testing.T) {
	const copyTime = 200 * time.Millisecond
	run := held(1, 5000)
	run.Domain, run.Copy, run.Exclude = "a", &Copy{Source: "1", Duration: copyTime}, []string{"1"}
	var steward Placer
	count := map[string]int{}
	for i := range 8 {
		c, ok := steward.Pick(now, fleet(), run)
		if !ok {
			t.Fatal("no place")
		}
		steward.Reserve(now, fmt.Sprint("vm", i), c.Server.ID, run)
		count[c.Server.ID]++
		if want := time.Duration(i) * (copyTime + copyGap); c.CopyDelay != want {
			t.Errorf("run %d waits %v, want %v", i, c.CopyDelay, want)
		}
	}
	if count["2"] != 4 || count["3"] != 4 {
		t.Errorf("runs went to %v, want four to each", count)
	}
}

// TestFull plays more runs than the engines' memory holds: those beyond it are
// told so and counted nowhere, and there is room again once runs have ended.
func TestFull(t *testing.T) {
	var p Placer
	const tokens = 5000
	placed := map[string][]Request{}
	for i := range 40 {
		run := held(uint64(i+1), tokens)
		run.PromptTokens = 4000
		c, ok := p.Pick(now, fleet(), run)
		if !ok {
			t.Fatal("no place")
		}
		if c.Full {
			continue
		}
		p.Begin(c.Server.ID, run)
		placed[c.Server.ID] = append(placed[c.Server.ID], run)
	}
	for _, s := range fleet() {
		used := len(placed[s.ID]) * tokens
		if used > int(fullShare*float64(s.MemoryTokens)) || used+tokens < int(fullShare*float64(s.MemoryTokens)) {
			t.Errorf("engine %s has runs of %d tokens in %d", s.ID, used, s.MemoryTokens)
		}
	}
	p.End(now, "1", placed["1"][0], Answered)
	run := held(100, tokens)
	if c, _ := p.Pick(now, fleet(), run); c.Full || c.Server.ID != "1" {
		t.Errorf("after an end: %+v", c)
	}
	// A run that is moved is not turned away: it has no other place to be.
	p.Begin("1", run)
	run = held(101, tokens)
	run.Copy = &Copy{Source: "x"}
	if c, ok := p.Pick(now, fleet(), run); !ok || c.Full {
		t.Errorf("a move: %+v", c)
	}
}

// TestForecastOfLengths plays an engine with runs of two kinds, of which one
// has been seen to end soon and the other to go on: a further run finds room
// only beside the first.
func TestForecastOfLengths(t *testing.T) {
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
			p.Begin("1", Request{Run: Run{ID: uint64(i + 1), Group: tt.group, BaseTokens: 4000, MaxTokens: 4000}})
		}
		c, ok := p.Pick(now, fleet()[:1], Request{Run: Run{ID: 7, Group: tt.group, BaseTokens: 4000, MaxTokens: 4000}})
		if !ok || c.Full != tt.full {
			t.Errorf("beside six runs of class %s: full is %t, want %t", tt.group.Class, c.Full, tt.full)
		}
	}
}

// TestLeft tells what is left of a run by the stated limit first, and by what
// was seen of others later.
func TestLeft(t *testing.T) {
	var p Placer
	run := Run{Group: learn.Group{Class: "c"}, BaseTokens: 100, MaxTokens: 1000}
	if left := p.Remaining(run, 0.5); left < 100 || left > 600 {
		t.Errorf("with nothing known: %d tokens of at most 1000", left)
	}
	for range 400 {
		p.Learn(LengthSample{Group: run.Group, To: 40, Ended: true})
	}
	if left := p.Remaining(run, 0.5); left < 30 || left > 50 {
		t.Errorf("after runs of 40 tokens: %d", left)
	}
	run.Generated = 1000
	if left := p.Remaining(run, 0.99); left != 0 {
		t.Errorf("at the limit: %d", left)
	}
}

// TestGrantUntilTold counts a place given to another VM until that VM's account
// shows the run, and only once.
func TestGrantUntilTold(t *testing.T) {
	var p Placer
	run := held(7, 5000)
	p.Reserve(now, "v", "1", run)
	if n, _ := p.counts(now, "1"); n != 1 {
		t.Errorf("%d requests after the place was given, want 1", n)
	}
	p.UpdatePeerLoad(now, "v", map[string]Load{"1": {Requests: 1, Runs: []Run{run.Run}}})
	if n, _ := p.counts(now, "1"); n != 1 {
		t.Errorf("%d requests once the VM has told, want 1", n)
	}
	p.UpdatePeerLoad(now.Add(grantLife), "v", nil)
	if n, _ := p.counts(now.Add(grantLife), "1"); n != 0 {
		t.Errorf("%d requests after the run, want 0", n)
	}
}

// TestNotWhereLate plays a new engine beside full ones, to which every request
// would go: those whose first token would come too late there are turned away,
// while the prompts before them are read, instead of waiting in vain.
func TestNotWhereLate(t *testing.T) {
	const target = 1500 * time.Millisecond
	var p Placer
	servers := fleet()[:1]
	begun := 0
	for i := range 40 {
		run := held(uint64(i+1), 100)
		run.PromptTokens, run.FirstTokenBudget = 2000, target
		c, ok := p.Pick(now, servers, run)
		if !ok {
			t.Fatal("no place")
		}
		if c.Full {
			continue
		}
		p.Begin(c.Server.ID, run)
		begun++
	}
	if first := firstTokenTime(begun * 2000); first > target || begun == 0 {
		t.Errorf("%d requests begun, the last token of a prompt after %v; want %v", begun, first, target)
	}
	run := held(100, 100)
	run.PromptTokens = 2000
	if c, _ := p.Pick(now, servers, run); c.Full {
		t.Error("a request without a target is turned away")
	}
}

// TestSeedsAreBounded meets more groups than are worth remembering: callers name
// their models.
func TestSeedsAreBounded(t *testing.T) {
	var p Placer
	for i := range maxSeeded + 100 {
		p.Remaining(Run{Group: learn.Group{Class: "c", Model: fmt.Sprint(i)}, MaxTokens: 100}, 0.5)
	}
	if len(p.seeded) != maxSeeded {
		t.Errorf("%d groups are remembered, want %d", len(p.seeded), maxSeeded)
	}
}
