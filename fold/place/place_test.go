package place

import (
	"fmt"
	"testing"
	"time"

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

func begin(p *Placer, id string, n int, w Want) {
	for range n {
		p.Begin(id, w)
	}
}

func TestPick(t *testing.T) {
	tests := []struct {
		name  string
		list  []member.Backend
		setup func(*Placer)
		want  Want
		id    string
	}{
		{"the own failure domain first", plain(), nil, Want{}, "near"},
		{"another one when it is ahead", plain(), func(p *Placer) { begin(p, "near", 2, Want{}) }, Want{}, "far"},
		{"not one that leaves", []member.Backend{{ID: "near", Domain: "a", Leaving: true}, plain()[1]}, nil, Want{}, "far"},
		{"not one to avoid", plain(), nil, Want{Avoid: []string{"near"}}, "far"},
		{"not one that failed", plain(), func(p *Placer) { p.Begin("near", Want{}); p.End(now, "near", Want{}, Failed) }, Want{}, "far"},
		{"one that failed long ago", plain(), func(p *Placer) { p.Begin("near", Want{}); p.End(now.Add(-time.Minute), "near", Want{}, Failed) }, Want{}, "near"},
		{"not one without memory", engines(), func(p *Placer) { p.Begin("near", Want{Tokens: 800}) }, Want{Tokens: 300}, "far"},
		{"not one that reads prompts", engines(), func(p *Placer) { p.Begin("near", Want{Prompt: 2000}) }, Want{Tokens: 10}, "far"},
		{"one that has read them", engines(), func(p *Placer) {
			p.Begin("near", Want{Prompt: 2000})
			p.Prefilled("near", Want{Prompt: 2000})
		}, Want{Tokens: 10}, "near"},
		{"a copy stays in its domain", engines(), func(p *Placer) { begin(p, "far", 3, Want{}) }, Want{Tokens: 10, Domain: "b", Copy: &Copy{Source: "x", Time: 200 * time.Millisecond}}, "far"},
		{"not where other VMs have requests", plain(), func(p *Placer) { p.Hear(now, "v", map[string]Load{"near": {Requests: 2}}) }, Want{}, "far"},
		{"not where other VMs were sent", plain(), func(p *Placer) { p.Grant(now, "v", "near", Want{}); p.Grant(now, "v", "near", Want{}) }, Want{}, "far"},
		{"a VM that is silent counts no more", plain(), func(p *Placer) {
			p.Hear(now.Add(-time.Minute), "v", map[string]Load{"near": {Requests: 2}})
		}, Want{}, "near"},
		{"not where a domain can't be reached", []member.Backend{{ID: "near", Domain: "b"}, {ID: "far", Domain: "c"}}, func(p *Placer) {
			p.Begin("other", Want{})
			p.End(now, "other", Want{}, Unreached)
			p.DomainSeen(now, "b", Unreached)
		}, Want{}, "far"},
		{"where a domain is reached again", []member.Backend{{ID: "near", Domain: "b"}, {ID: "far", Domain: "c"}}, func(p *Placer) {
			p.DomainSeen(now, "b", Unreached)
			p.DomainSeen(now, "b", Answered)
			p.Begin("far", Want{})
		}, Want{}, "near"},
		{"none is left", plain(), nil, Want{Avoid: []string{"near", "far"}}, ""},
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
		w := Want{Tokens: 1000, Random: float64(i%7) / 7}
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
	run := Want{Tokens: 5000, Domain: "a", Copy: &Copy{Source: "1", Time: copyTime}, Avoid: []string{"1"}}
	var steward Placer
	count := map[string]int{}
	for i := range 8 {
		c, ok := steward.Pick(now, fleet(), run)
		if !ok {
			t.Fatal("no place")
		}
		steward.Grant(now, fmt.Sprint("vm", i), c.Server.ID, run)
		count[c.Server.ID]++
		if want := time.Duration(i) * (copyTime + copyGap); c.Wait != want {
			t.Errorf("run %d waits %v, want %v", i, c.Wait, want)
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
	run := Want{Tokens: 5000, Prompt: 4000}
	placed := map[string]int{}
	for range 40 {
		c, ok := p.Pick(now, fleet(), run)
		if !ok {
			t.Fatal("no place")
		}
		if c.Full {
			continue
		}
		p.Begin(c.Server.ID, run)
		placed[c.Server.ID]++
	}
	for _, s := range fleet() {
		used := placed[s.ID] * run.Tokens
		if used > int(fullShare*float64(s.MemoryTokens)) || used < int(memoryShare*float64(s.MemoryTokens)) {
			t.Errorf("engine %s has runs of %d tokens in %d", s.ID, used, s.MemoryTokens)
		}
	}
	p.End(now, "1", run, Answered)
	if c, _ := p.Pick(now, fleet(), run); c.Full || c.Server.ID != "1" {
		t.Errorf("after an end: %+v", c)
	}
	// A run that is moved is not turned away: it has no other place to be.
	p.Begin("1", run)
	if c, ok := p.Pick(now, fleet(), Want{Tokens: 5000, Copy: &Copy{Source: "x"}}); !ok || c.Full {
		t.Errorf("a move: %+v", c)
	}
}
