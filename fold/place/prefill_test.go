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
				readPrompt(&p, at, tt.readTime, req, local)
			}
			if got := p.enginePaces(now, threeEngines())[0].firstToken(prompt); got < tt.readTime || got > 2*tt.readTime {
				t.Errorf("%s, local %t: first token after %v, want %v with a margin", tt.name, local, got, tt.readTime)
			}
			req := Request{Run: Run{ID: 99, BaseTokens: prompt}, PromptTokens: prompt, FirstTokenBudget: due}
			if c, _ := p.Pick(now, threeEngines(), req); c.Full != tt.wantsFull {
				t.Errorf("%s, local %t: full %t for a first token due in %v, want %t", tt.name, local, c.Full, due, tt.wantsFull)
			}
		}
	}
}

// readPrompt plays a request at engine 1 from its placement to its end: of this VM,
// or of another one, which reports the first token.
func readPrompt(p *Placer, at time.Time, readTime time.Duration, req Request, local bool) {
	if !local {
		p.Reserve(at, "v", "1", req)
		run := req.Run
		run.Generated = 1
		p.UpdatePeerLoad(at.Add(readTime+defaultTokenTime), "v", map[string]Load{"1": {Requests: 1, Runs: []Run{run}}})
		p.UpdatePeerLoad(at.Add(readTime+2*defaultTokenTime), "v", nil)
		return
	}
	p.Begin(at, "1", req)
	p.Prefilled(at.Add(readTime), "1", req)
	req.PromptTokens = 0
	p.End(at.Add(readTime), "1", req, Answered)
}
