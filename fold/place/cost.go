package place

import (
	"time"

	"fuchsiafold.example/fold/member"
)

// Costs of a place, in milliseconds of delay or what is as bad.
const (
	// prefillTokensPerMS is the rate at which an engine reads prompts while it
	// generates for others.
	prefillTokensPerMS = 6.5
	// costRunning is what each request in an engine's batch costs the others.
	costRunning = 12
	// costMemory is the cost of an engine whose memory is full; it grows with
	// the square of the part that is taken.
	costMemory = 300
	// costCall is the cost of each call at a plain server.
	costCall = 40
	// costFar is the cost of another failure domain.
	costFar = 60
	// costCut is the cost of a failure domain that could not be reached lately.
	costCut = 10_000
	// costFull and costAvoided are beyond any load.
	costFull    = 100_000
	costAvoided = 10_000_000
	// memoryShare is the part of an engine's memory that is used by choice: what
	// is generated is only forecast.
	memoryShare = 0.9
	// fullShare is the part of an engine's memory, all requests to their ends
	// counted, beyond which a further one would only make others wait.
	fullShare = 1.15
)

func (p *Placer) cost(now time.Time, s *member.Backend, w Want) float64 {
	l := p.total(now, s.ID)
	c := p.distance(s, w)
	if w.Copy != nil {
		start, d := p.copySpan(now, s, w)
		c += float64(start.Add(d).Sub(now).Milliseconds())
	}
	if s.MemoryTokens > 0 {
		c += engineCost(s, l, w)
	} else {
		c += costCall * float64(l.Requests)
	}
	if s.Slots > 0 && l.Requests >= s.Slots {
		c += costFull
	}
	if p.Avoided(now, s.ID) {
		c += costAvoided
	}
	if p.cut[s.Domain].avoided(now) {
		c += costCut
	}
	return c
}

func (p *Placer) distance(s *member.Backend, w Want) float64 {
	near := p.Domain
	if w.Domain != "" {
		near = w.Domain
	}
	if s.Domain == near {
		return 0
	}
	return costFar
}

func engineCost(s *member.Backend, l Load, w Want) float64 {
	used := float64(l.Tokens+w.Tokens) / float64(s.MemoryTokens)
	c := float64(l.Prefill)/prefillTokensPerMS + costRunning*float64(l.Requests) + costMemory*used*used
	if used > memoryShare {
		c += costFull * used
	}
	return c
}
