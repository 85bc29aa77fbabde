package place

import (
	"testing"
	"time"
)

// TestPromptTimeFollowsObservations checks that the time to read prompts is learned
// for fast and for slow engines, from the runs of another VM and from this VM's
// own, and that it decides which requests would begin too late.
func TestPromptTimeFollowsObservations(t *testing.T) {
	const (
		prompt = 2000
		due    = 500 * time.Millisecond
	)
	for _, tt := range []struct {
		name      string
		readTime  time.Duration
		wantsFull bool
	}{{"fast", 100 * time.Millisecond, false}, {"slow", time.Second, true}} {
		for _, local := range []bool{false, true} {
			p := Placer{}
			for i := range 40 {
				req := Request{Run: Run{ID: uint64(i + 1), BaseTokens: prompt}, PromptTokens: prompt}
				at := now.Add(time.Duration(i-40) * 500 * time.Millisecond)
				readPrompt(&p, "1", at, tt.readTime, req, local)
			}
			if got := p.enginePaces(now, threeEngines())[0].readTime(prompt); got < tt.readTime || got > 2*tt.readTime {
				t.Errorf("%s, local %t: first token after %v, want %v with a margin", tt.name, local, got, tt.readTime)
			}
			req := Request{Run: Run{ID: 99, BaseTokens: prompt}, PromptTokens: prompt, FirstTokenBudget: due}
			if c, _ := p.Pick(now, threeEngines(), req); c.Full != tt.wantsFull {
				t.Errorf("%s, local %t: full %t for a first token due in %v, want %t", tt.name, local, c.Full, due, tt.wantsFull)
			}
		}
	}
}

// readPrompt plays a request at a server from its placement to its end: of this VM,
// or of another one, which reports the first token.
func readPrompt(p *Placer, server string, at time.Time, readTime time.Duration, req Request, local bool) {
	if !local {
		p.Reserve(at, "v", server, req)
		run := req.Run
		run.Generated = 1
		p.UpdatePeerLoad(at.Add(readTime+defaultTokenTime), "v", map[string]Load{server: {Requests: 1, Runs: []Run{run}}})
		p.UpdatePeerLoad(at.Add(readTime+2*defaultTokenTime), "v", nil)
		return
	}
	p.Begin(at, server, req)
	p.Prefilled(at.Add(readTime), server, req)
	req.PromptTokens = 0
	p.End(at.Add(readTime), server, req, Answered)
}

// TestSlowPromptsGoElsewhere checks that a request whose first token would take most
// of its budget goes to an engine where it comes sooner, although its prompt delays
// more runs there, and that one with a longer budget doesn't.
func TestSlowPromptsGoElsewhere(t *testing.T) {
	const prompt = 2000
	for _, tt := range []struct {
		budget time.Duration
		want   string
	}{{1200 * time.Millisecond, "2"}, {20 * time.Second, "1"}} {
		var p Placer
		for i := range 40 {
			req := Request{Run: Run{ID: uint64(i + 1), BaseTokens: prompt}, PromptTokens: prompt}
			at := now.Add(time.Duration(i-40) * time.Second)
			readPrompt(&p, "1", at, 900*time.Millisecond, req, false)
			readPrompt(&p, "2", at, 200*time.Millisecond, req, true)
		}
		beginN(&p, "2", 3, Request{})
		req := Request{Run: Run{ID: 99, BaseTokens: prompt}, PromptTokens: prompt, FirstTokenBudget: tt.budget}
		if c, _ := p.Pick(now, threeEngines()[:2], req); c.Server.ID != tt.want {
			t.Errorf("first token due in %v: placed at engine %s, want %s", tt.budget, c.Server.ID, tt.want)
		}
	}
}
