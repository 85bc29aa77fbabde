package place

import (
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/usage"
)

// Costs of placing a request at a server, in milliseconds of delay or an
// equivalent penalty.
const (
	// prefillTokensPerMS is the rate of prefill, at which an engine reads
	// prompts while it generates for other requests.
	prefillTokensPerMS = 6.5
	// costRunning is the delay that each request in an engine's batch adds for
	// the others.
	costRunning = 12
	// costMemory is the cost of an engine whose memory is full. The cost grows
	// with the square of the share in use.
	costMemory = 300
	// costCall is the cost of each request under way at a backend server that
	// is not an engine.
	costCall = 40
	// costOtherDomain is the cost of a server in another failure domain.
	costOtherDomain = 60
	// costUnreachableDomain is the cost of a failure domain that was
	// unreachable recently.
	costUnreachableDomain = 10_000
	// costFull and costBackedOff exceed the cost of any load.
	costFull      = 100_000
	costBackedOff = 10_000_000
	// targetMemoryShare is the share of an engine's memory that is used by
	// preference. Above it, an engine costs about as much as one without a free
	// slot.
	targetMemoryShare = 0.9
	// maxMemoryShare is the share of an engine's memory above which a further
	// request would only make others wait.
	maxMemoryShare = 1.0
	// marginStdDevs is the number of standard deviations that are added to the
	// mean of a forecast to get the memory in use.
	marginStdDevs = 0.7
)

// cost is the cost of placing a request at a server.
type cost struct {
	// delay is in milliseconds, or an equivalent penalty.
	delay float64
	// full is set if the engine has no capacity for the request or would begin
	// it too late. It is not set for an engine in back-off.
	full bool
}

// cost returns the cost of placing req at s. added is the memory forecast of
// the request's run.
func (p *Placer) cost(now time.Time, s *member.Backend, req Request, added *usage.Forecast) cost {
	requests, prefill := p.counts(now, s.ID)
	c := cost{delay: p.domainCost(s, req)}
	if req.Copy != nil {
		start, d := p.copySchedule(now, s, req)
		c.delay += float64(start.Add(d).Sub(now).Milliseconds())
	}
	if s.Slots > 0 && requests >= s.Slots {
		c.delay += costFull
	}
	if s.MemoryTokens > 0 {
		used := p.forecast(now, s.ID).Peak(added, float64(s.MemoryTokens), marginStdDevs)
		c.delay += engineCost(requests, prefill, used)
		c.full = used > maxMemoryShare || (req.FirstTokenBudget > 0 && firstTokenTime(prefill+req.PromptTokens) > req.FirstTokenBudget)
		if c.full || used > targetMemoryShare {
			c.delay += costFull * used
		}
	} else {
		c.delay += costCall * float64(requests)
	}
	if p.BackedOff(now, s.ID) {
		c.delay += costBackedOff
		c.full = false
	}
	if p.domainBackoffs[s.Domain].active(now) {
		c.delay += costUnreachableDomain
	}
	return c
}

// domainCost returns the cost of the failure domain of s: zero for the
// request's preferred domain, or the placer's own if the request has none.
func (p *Placer) domainCost(s *member.Backend, req Request) float64 {
	preferred := p.Domain
	if req.Domain != "" {
		preferred = req.Domain
	}
	if s.Domain == preferred {
		return 0
	}
	return costOtherDomain
}

// firstTokenTime returns how long an engine takes to read prompts of the given
// size in tokens while it generates for other requests.
func firstTokenTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMS * float64(time.Millisecond))
}

// engineCost returns the cost of an engine's load. requests is the size of its
// batch, prefill the prompt tokens not yet read, and used the forecast share of
// its memory.
func engineCost(requests, prefill int, used float64) float64 {
	first := float64(firstTokenTime(prefill).Milliseconds())
	return first + costRunning*float64(requests) + costMemory*used*used
}
