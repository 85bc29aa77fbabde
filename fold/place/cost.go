package place

import (
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/usage"
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
	// memoryShare is the part of an engine's memory that is used by choice.
	memoryShare = 0.9
	// fullShare is the part of an engine's memory beyond which a further request
	// would only make others wait.
	fullShare = 1.0
	// margin is the number of standard deviations of a forecast that count as
	// memory in use.
	margin = 0.7
)

// cost is what a place costs.
type cost struct {
	// delay is in milliseconds, or what is as bad.
	delay float64
	// full says that the engine has no room for the request, or would begin with
	// it too late.
	full bool
}

func (p *Placer) cost(now time.Time, s *member.Backend, w Request, item *usage.Forecast) cost {
	requests, prefill := p.counts(now, s.ID)
	c := cost{delay: p.distance(s, w)}
	if w.Copy != nil {
		start, d := p.copySpan(now, s, w)
		c.delay += float64(start.Add(d).Sub(now).Milliseconds())
	}
	if s.Slots > 0 && requests >= s.Slots {
		c.delay += costFull
	}
	if s.MemoryTokens > 0 {
		used := p.forecast(now, s.ID).Peak(item, float64(s.MemoryTokens), margin)
		c.delay += engineCost(requests, prefill, used)
		c.full = used > fullShare || (w.FirstTokenBudget > 0 && firstTokenTime(prefill+w.PromptTokens) > w.FirstTokenBudget)
		if c.full || used > memoryShare {
			c.delay += costFull * used
		}
	} else {
		c.delay += costCall * float64(requests)
	}
	if p.BackedOff(now, s.ID) {
		c.delay += costAvoided
		c.full = false
	}
	if p.cut[s.Domain].avoided(now) {
		c.delay += costCut
	}
	return c
}

func (p *Placer) distance(s *member.Backend, w Request) float64 {
	near := p.Domain
	if w.Domain != "" {
		near = w.Domain
	}
	if s.Domain == near {
		return 0
	}
	return costFar
}

// firstTokenTime returns how long an engine takes to read prompts while it
// generates for others.
func firstTokenTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMS * float64(time.Millisecond))
}

func engineCost(requests, prefill int, used float64) float64 {
	first := float64(firstTokenTime(prefill).Milliseconds())
	return first + costRunning*float64(requests) + costMemory*used*used
}
