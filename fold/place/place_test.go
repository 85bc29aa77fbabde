package place

import (
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
)

var now = time.Unix(1000, 0)

func servers() []member.Backend {
	return []member.Backend{
		{ID: "near", Domain: "a", Slots: 4, MemoryTokens: 1000},
		{ID: "far", Domain: "b", Slots: 4, MemoryTokens: 1000},
	}
}

func TestPick(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*Placer)
		edit  func([]member.Backend)
		want  Want
		id    string
	}{
		{"the own failure domain first", nil, nil, Want{}, "near"},
		{"another one when it is ahead", func(p *Placer) { p.Begin("near", 0); p.Begin("near", 0) }, nil, Want{}, "far"},
		{"not one that leaves", nil, func(s []member.Backend) { s[0].Leaving = true }, Want{}, "far"},
		{"not one to avoid", nil, nil, Want{Avoid: []string{"near"}}, "far"},
		{"not one that failed", func(p *Placer) { p.Begin("near", 0); p.End(now, "near", 0, Failed) }, nil, Want{}, "far"},
		{"one that failed long ago", func(p *Placer) { p.Begin("near", 0); p.End(now.Add(-time.Minute), "near", 0, Failed) }, nil, Want{}, "near"},
		{"not one without memory", func(p *Placer) { p.Begin("near", 800) }, nil, Want{Tokens: 300}, "far"},
		{"none is left", nil, nil, Want{Avoid: []string{"near", "far"}}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := Placer{Domain: "a"}
			list := servers()
			if tt.setup != nil {
				tt.setup(&p)
			}
			if tt.edit != nil {
				tt.edit(list)
			}
			for _, random := range []float64{0, 0.5, 0.99} {
				tt.want.Random = random
				if b, ok := p.Pick(now, list, tt.want); b.ID != tt.id || ok != (tt.id != "") {
					t.Errorf("random %v: picked %q, want %q", random, b.ID, tt.id)
				}
			}
		})
	}
}

// TestSpread places requests of one size that all stay: no server gets two
// more than another of its failure domain.
func TestSpread(t *testing.T) {
	p := Placer{Domain: "a"}
	var list []member.Backend
	for _, id := range []string{"1", "2", "3"} {
		list = append(list, member.Backend{ID: id, Domain: "a", Slots: 24, MemoryTokens: 34_000})
	}
	count := map[string]int{}
	for i := range 30 {
		b, _ := p.Pick(now, list, Want{Tokens: 1000, Random: float64(i%7) / 7})
		p.Begin(b.ID, 1000)
		count[b.ID]++
	}
	for id, n := range count {
		if n != 10 {
			t.Errorf("server %s got %d of 30", id, n)
		}
	}
}
