package place

import (
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/usage"
)

// Costs of placing a request at a server, in milliseconds of delay or an
// equivalent penalty.
const (
	// costRunning is the delay that each request in an engine's batch adds for
	// the others once its prompt has been read.
	costRunning = 12
	// costLate is the cost of a first token that takes its whole budget. The cost
	// grows with the square of what it takes beyond safeBudgetShare.
	costLate        = 10_000
	safeBudgetShare = 0.4
	// costMemory is the cost of an engine whose memory is full. The cost grows
	// with the square of the share in use.
	costMemory = 300
	// costCall is the cost of each request under way at a backend server that
	// is not an engine.
	costCall = 40
	// costOtherDomain is the cost of a server in another failure domain.
	costOtherDomain = 60
	// otherDomainExposure is the additional cost of each millisecond for which a
	// run generates in another failure domain. As long as it does, it is lost
	// not only if its own VM or engine fails, but also if the domains are
	// partitioned.
	otherDomainExposure = 2
	// costOptionalMove is what the move of a run that may stay has to save. Its
	// stream pauses for some steps.
	costOptionalMove = 1000
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
	// gaps is the risk of gaps that is part of delay.
	gaps GapRisk
}

// demand is what the run of a request will probably need at an engine.
type demand struct {
	memory *usage.Forecast
	// tokens is the mean number of tokens that the run will still generate.
	tokens float64
}

// demand returns the demand of a request, zero for a plain call.
func (p *Placer) demand(req Request) demand {
	r := req.currentRun()
	return demand{memory: p.runForecast(req), tokens: p.MeanRemaining(r)}
}

// cost returns the cost of placing req at s. pace is the pace of s, and gaps the risk of
// gaps there.
func (p *Placer) cost(now time.Time, s *member.Backend, req Request, need demand, pace enginePace, gaps engineGaps) cost {
	requests, prefill := p.counts(now, s.ID)
	var c cost
	switch {
	case req.Stays(s.ID):
		// The run is part of the load already.
		requests--
		need.memory = &usage.Forecast{}
	case req.Copy != nil:
		c.delay += p.copyCost(now, s, req)
	}
	if s.Slots > 0 && requests >= s.Slots {
		c.delay += costFull
	}
	if s.MemoryTokens > 0 {
		used := p.forecast(now, s.ID).Peak(need.memory, float64(s.MemoryTokens), marginStdDevs)
		due := budgetShare(pace.firstToken(prefill+req.PromptTokens), req.FirstTokenBudget)
		c.full = used > maxMemoryShare || due > 1
		c.gaps = p.gapRisk(now, s, req, need, pace, gaps)
		due += budgetShare(gaps.slowLeft, req.FirstTokenBudget)
		c.delay += promptCost(requests, prefill, req.PromptTokens, pace) + lateCost(due) + loadCost(requests, used) + c.gaps.cost()
		if c.full || used > targetMemoryShare {
			c.delay += costFull * used
		}
	} else {
		c.delay += costCall * float64(requests)
	}
	c.delay += p.durationCost(s, req, need.tokens*milliseconds(pace.token))
	if p.BackedOff(now, s.ID) {
		c.delay += costBackedOff
		c.full = false
	}
	if p.domains.Active(now, s.Domain) {
		c.delay += costUnreachableDomain
	}
	return c
}

// copyCost returns the cost of the copy of a run to s. A run that may stay is
// moved only if that saves costOptionalMove, and if no other copy is under way.
func (p *Placer) copyCost(now time.Time, s *member.Backend, req Request) float64 {
	start, d := p.copySchedule(now, s, req)
	c := milliseconds(start.Add(d).Sub(now))
	if !req.Copy.MayStay {
		return c
	}
	if start.After(now) {
		c += costFull
	}
	return c + costOptionalMove
}

// durationCost returns the cost of a run that generates at s for the given time
// in milliseconds, zero for a plain call.
func (p *Placer) durationCost(s *member.Backend, req Request, generating float64) float64 {
	if s.Domain == p.preferredDomain(req) {
		return generating
	}
	return costOtherDomain + (1+otherDomainExposure)*generating
}

// preferredDomain returns the failure domain whose servers are preferred for a
// request.
func (p *Placer) preferredDomain(req Request) string {
	if req.Domain != "" {
		return req.Domain
	}
	return p.Domain
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// promptCost returns the cost of reading a prompt at an engine: the request waits
// for the prompts before it, prefill tokens in all, and its own delays the requests
// in the engine's batch.
func promptCost(requests, prefill, prompt int, pace enginePace) float64 {
	return milliseconds(pace.readTime(prefill)) + float64(requests)*milliseconds(pace.readTime(prompt))
}

// budgetShare returns the share of the budget that the time to the first token
// takes, zero if there is no budget.
func budgetShare(firstToken, budget time.Duration) float64 {
	if budget <= 0 {
		return 0
	}
	return float64(firstToken) / float64(budget)
}

// lateCost returns the cost of the risk that the first token is late. share is the
// share of its budget that it will probably take.
func lateCost(share float64) float64 {
	excess := max(share-safeBudgetShare, 0) / (1 - safeBudgetShare)
	return costLate * excess * excess
}

// loadCost returns the cost of an engine's load besides the prompts to be read.
// requests is the size of its batch, and used the forecast share of its memory.
func loadCost(requests int, used float64) float64 {
	return costRunning*float64(requests) + costMemory*used*used
}
