package place

import (
	"math"
	"time"

	"fuchsiafold.example/fold/member"
)

// A prompt that an engine reads lengthens the gaps between the events of the other runs
// there, and one gap over its target makes a run late as a whole. The placer learns at
// which engines prompts do that, and when an engine is in a slow period. See
// docs/design/mixed-prompts.md.

const (
	// gapRiskMemory is the time after which an observation of the risk has lost 1-1/e of
	// its weight. It covers many slow periods of an engine.
	gapRiskMemory = 60 * time.Second
	// gapRiskPriorTokens is the weight of the mean risk of a service's engines in the
	// estimate for one of them, in tokens of prompts read beside a run.
	gapRiskPriorTokens = 30_000
	// promptRateMemory is the time over which the rate of prompts at an engine is averaged.
	// It is about as long as a long run.
	promptRateMemory = 8 * time.Second
	// exposedGaps is the number of gaps that lie within the reading of a prompt. A run with
	// fewer gaps to come has a smaller part in the risk.
	exposedGaps = 3

	// slowGap is the factor by which a gap exceeds the typical one of its engine in a slow
	// period, and slowPrefillGap that of a gap in which prompts are read all the time: that
	// about doubles a gap.
	slowGap        = 1.5
	slowPrefillGap = 3
	// slowPeriod is the time for which an engine is expected to stay slow after a gap that
	// shows a slow period.
	slowPeriod = 300 * time.Millisecond
	// slowRisk is the factor by which the risk of a prompt is higher if it is sent in a slow
	// period.
	slowRisk = 4
	// maxGapAge is the age up to which a gap is reported.
	maxGapAge = 250 * time.Millisecond
)

// GapRisk is the risk of a placement that a gap exceeds its target, as estimated.
type GapRisk struct {
	// Others is the mean number of runs on time that reading the prompt makes late, and Own
	// the probability that other prompts make the request's own run late.
	Others, Own float64
	// Slow is set if the engine is in a slow period.
	Slow bool
}

// cost returns the cost of the risk. A run that is late by a gap costs its caller as much as
// one that is late by its first token.
func (r GapRisk) cost() float64 { return costLate * (r.Others + r.Own) }

// gapStats accumulates how often the prompts read at an engine made a run there late.
type gapStats struct {
	// exposed is the number of prompt tokens read, summed over the runs on time beside
	// which they were read, and broken the number of those runs that became late by a gap.
	exposed, broken float64
	// prompts is the number of prompt tokens sent to the engine.
	prompts float64
	// at is the time to which the fields above were last decayed.
	at time.Time
	// slowAt is the end of the last gap that shows a slow period.
	slowAt time.Time
}

// decay reduces the weight of the observations to what it is at now.
func (g *gapStats) decay(now time.Time) {
	if !now.After(g.at) {
		return
	}
	if !g.at.IsZero() {
		d := now.Sub(g.at).Seconds()
		f := math.Exp(-d / gapRiskMemory.Seconds())
		g.exposed *= f
		g.broken *= f
		g.prompts *= math.Exp(-d / promptRateMemory.Seconds())
	}
	g.at = now
}

// gapStatsOf returns the statistics of an engine, decayed to now, creating them if there are
// none.
func (p *Placer) gapStatsOf(now time.Time, id string) *gapStats {
	g := p.gaps[id]
	if g == nil {
		if p.gaps == nil {
			p.gaps = map[string]*gapStats{}
		}
		g = &gapStats{}
		p.gaps[id] = g
	}
	g.decay(now)
	return g
}

// exposedRun is a run on time with a gap target.
type exposedRun struct {
	// remaining is the mean number of tokens that it will still generate, and share its part
	// in the risk.
	remaining, share float64
}

// exposedShare returns the part that a run which will generate the given mean number of
// tokens has in the risk: all of it if it has exposedGaps gaps or more to come.
func exposedShare(r Run, remaining float64) float64 {
	gaps := remaining / float64(max(r.EventTokens, 1))
	if r.Generated == 0 {
		gaps--
	}
	return min(max(gaps/exposedGaps, 0), 1)
}

// addExposed adds a run to those that a gap would make late, if it is one.
func (f *cachedForecast) addExposed(p *Placer, r Run) {
	if r.GapTarget == 0 || r.Late {
		return
	}
	remaining := p.MeanRemaining(r)
	f.exposed = append(f.exposed, exposedRun{remaining: remaining, share: exposedShare(r, remaining)})
}

// exposedRuns returns the runs at an engine that a gap would make late.
func (p *Placer) exposedRuns(now time.Time, id string) []exposedRun {
	p.forecast(now, id)
	return p.forecasts[id].exposed
}

// observePrompt records that a prompt is sent to an engine. It does nothing until a run has a
// gap target.
func (p *Placer) observePrompt(now time.Time, id string, req Request) {
	if req.PromptTokens == 0 || req.GapTarget == 0 && len(p.gaps) == 0 {
		return
	}
	g := p.gapStatsOf(now, id)
	tokens := float64(req.PromptTokens)
	g.prompts += tokens
	token := milliseconds(paceAt(p.paces, id).estimate(defaultTokenTime, 0))
	read := milliseconds(paceAt(p.prefillPaces, id).estimate(defaultPromptTokenTime, 1)) * tokens
	for _, r := range p.exposedRuns(now, id) {
		// A run that ends before the prompt is read can't be seen to become late.
		g.exposed += tokens * min(r.remaining*token/read, 1)
	}
}

// observeLate records the runs that became late by a gap between two load reports.
func (p *Placer) observeLate(now time.Time, id string, before, after Load) {
	for _, r := range after.Runs {
		if !r.Late || r.GapTarget == 0 {
			continue
		}
		for _, b := range before.Runs {
			if b.ID == r.ID && !b.Late && b.Generated > 0 {
				p.gapStatsOf(now, id).broken++
			}
		}
	}
}

// ObserveEvent records an event of a run of this VM at a server. gap is the time since the
// event before it, zero for the first one, and late reports whether the run has missed a
// target by now. ObserveEvent returns true if the gap shows a slow period of the server, of
// which the placement VM should learn at once.
func (p *Placer) ObserveEvent(now time.Time, id string, run uint64, gap time.Duration, late bool) bool {
	b := p.backends[id]
	if b == nil {
		return false
	}
	req, ok := b.runs[run]
	if !ok {
		return false
	}
	if late && !req.Late {
		req.Late = true
		b.runs[run] = req
	}
	if gap >= b.maxGap || now.Sub(b.maxGapAt) > maxGapAge {
		b.maxGap, b.maxGapAt = gap, now
	}
	p.observeGap(now, id, gap, req.EventTokens)
	typical := p.typicalGap(id, req.EventTokens)
	return typical > 0 && float64(gap) > slowGap*float64(typical)
}

// LateByMove records that a run of this VM became late by its move to the server id. The run
// counts as one without a gap target from then on: where engines leave all the time, runs that
// are late by their moves would be held against the prompts read at the engines they go to.
func (p *Placer) LateByMove(id string, run uint64) {
	b := p.backends[id]
	if b == nil {
		return
	}
	if req, ok := b.runs[run]; ok {
		req.Late, req.GapTarget = true, 0
		b.runs[run] = req
	}
}

// typicalGap returns the mean time in which a run at an engine generates an event, zero if
// none was observed.
func (p *Placer) typicalGap(id string, eventTokens int) time.Duration {
	return time.Duration(max(eventTokens, 1)) * paceAt(p.paces, id).estimate(0, 0)
}

// observeGap records a gap of a run at an engine that ended at the given time, if it shows a
// slow period.
func (p *Placer) observeGap(at time.Time, id string, gap time.Duration, eventTokens int) {
	typical := float64(p.typicalGap(id, eventTokens))
	if typical == 0 || float64(gap) <= slowGap*typical {
		return
	}
	_, prefill := p.counts(at, id)
	read := float64(prefill) * float64(paceAt(p.prefillPaces, id).estimate(defaultPromptTokenTime, 1))
	if float64(gap) <= slowGap*typical+min(read/2, (slowPrefillGap-slowGap)*typical) {
		return
	}
	if g := p.gapStatsOf(at, id); at.After(g.slowAt) {
		g.slowAt = at
	}
}

// observeReportedGap records the longest gap in the load report of another VM.
func (p *Placer) observeReportedGap(now time.Time, id string, l Load) {
	if l.MaxGap > 0 && len(l.Runs) > 0 && l.Runs[0].GapTarget > 0 {
		p.observeGap(now.Add(-l.MaxGapAge), id, l.MaxGap, l.Runs[0].EventTokens)
	}
}

// engineGaps is the estimated risk of gaps at an engine. It is zero if no run has a gap
// target.
type engineGaps struct {
	// perToken is the probability that a token of a prompt that is read makes a run late.
	perToken float64
	// promptRate is the number of prompt tokens sent to the engine per millisecond.
	promptRate float64
	// slowLeft is the time for which the engine is expected to be in a slow period yet.
	slowLeft time.Duration
}

// survival returns the probability that a run at the engine is not made late by a gap in the
// given time in milliseconds.
func (g engineGaps) survival(d float64) float64 { return math.Exp(-g.perToken * g.promptRate * d) }

// engineGaps returns the risk at each of a service's engines.
func (p *Placer) engineGaps(now time.Time, servers []member.Backend) []engineGaps {
	out := make([]engineGaps, len(servers))
	if len(p.gaps) == 0 {
		return out
	}
	exposed, broken := 0.0, 0.0
	for i := range servers {
		if g := p.gaps[servers[i].ID]; g != nil {
			g.decay(now)
			exposed += g.exposed
			broken += g.broken
		}
	}
	mean := broken / (exposed + gapRiskPriorTokens)
	for i := range servers {
		out[i].perToken = mean
		if g := p.gaps[servers[i].ID]; g != nil {
			out[i].perToken = (g.broken + mean*gapRiskPriorTokens) / (g.exposed + gapRiskPriorTokens)
			out[i].promptRate = g.prompts / milliseconds(promptRateMemory)
			out[i].slowLeft = max(slowPeriod-now.Sub(g.slowAt), 0)
		}
	}
	return out
}

// gapRisk returns the risk of placing a request at an engine.
func (p *Placer) gapRisk(now time.Time, s *member.Backend, req Request, need demand, pace enginePace, g engineGaps) GapRisk {
	risk := GapRisk{Slow: g.slowLeft > 0}
	if g.perToken == 0 {
		return risk
	}
	token := milliseconds(pace.token)
	if req.PromptTokens > 0 {
		broken := g.perToken * float64(req.PromptTokens)
		if risk.Slow {
			broken *= slowRisk
		}
		broken = 1 - math.Exp(-broken)
		for _, r := range p.exposedRuns(now, s.ID) {
			// A run that other prompts will probably make late has less to lose.
			risk.Others += broken * r.share * g.survival(r.remaining*token)
		}
	}
	if req.GapTarget > 0 && !req.Late {
		stay := need.tokens*token + milliseconds(pace.firstToken(req.PromptTokens))
		risk.Own = (1 - g.survival(stay)) * exposedShare(req.currentRun(), need.tokens)
	}
	return risk
}
