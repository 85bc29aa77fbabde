package place

import (
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/usage"
)

// cachedForecast is the forecast of the memory that the runs at an engine will
// use, with the time at which it was computed.
type cachedForecast struct {
	usage.Forecast
	createdAt time.Time
	// exposed holds the runs that a gap would make late.
	exposed []exposedRun
}

// forecastTTL is how long a forecast is reused. Runs that are placed meanwhile
// are added to it.
const forecastTTL = 100 * time.Millisecond

// runForecast returns the memory forecast of the request's run alone.
func (p *Placer) runForecast(req Request) *usage.Forecast {
	var f usage.Forecast
	p.addRun(&f, req.currentRun())
	return &f
}

// addRun adds the memory of a run to a forecast. Plain calls, which have no
// base tokens, add nothing.
func (p *Placer) addRun(f *usage.Forecast, r Run) {
	if r.BaseTokens > 0 {
		p.seed(r.Group, r.MaxTokens)
		f.Add(r.BaseTokens+r.Generated, r.Generated, r.MaxTokens, p.Lengths.Survival(r.Group))
	}
}

// addToForecast adds a run that was just placed at a server to the server's
// cached forecast, if there is one.
func (p *Placer) addToForecast(id string, req Request) {
	if f := p.forecasts[id]; f != nil {
		f.Merge(p.runForecast(req))
		f.addExposed(p, req.currentRun())
	}
}

// forecast returns the forecast of the memory that the runs at an engine will
// use. It reuses a cached forecast that is younger than forecastTTL.
func (p *Placer) forecast(now time.Time, id string) *usage.Forecast {
	if f := p.forecasts[id]; f != nil && now.Sub(f.createdAt) < forecastTTL {
		return &f.Forecast
	}
	f := &cachedForecast{createdAt: now}
	p.forEachRun(now, id, func(r Run) {
		p.addRun(&f.Forecast, r)
		f.addExposed(p, r)
	})
	if p.forecasts == nil {
		p.forecasts = map[string]*cachedForecast{}
	}
	p.forecasts[id] = f
	return &f.Forecast
}

// seedShares are the lengths, as shares of the stated token limit, that are
// assumed for the runs of a group until lengths have been observed.
var seedShares = [...]float64{0.125, 0.25, 0.5, 0.75}

// maxSeededGroups bounds the number of groups that are seeded from their limit,
// because group names come from callers.
const maxSeededGroups = 4096

// LengthSample is an observation of a run's length, that is, of the length of its
// answer: the run grew from From to To generated tokens. Ended is set if the run
// then ended by itself.
type LengthSample struct {
	Group    learn.Group
	From, To int
	Ended    bool
}

// Learn adds a length sample to the learned lengths of its group.
func (p *Placer) Learn(sample LengthSample) {
	p.Lengths.Progress(sample.Group, sample.From, sample.To)
	if sample.Ended {
		p.Lengths.End(sample.Group, sample.To)
	}
}

// seed adds assumed lengths below maxTokens for a class and model that have not
// been seeded yet. It does nothing if there is no limit or too many groups have
// been seeded.
func (p *Placer) seed(g learn.Group, maxTokens int) {
	class := learn.Group{Class: g.Class, Model: g.Model}
	if maxTokens <= 0 || p.seeded[class] || len(p.seeded) >= maxSeededGroups {
		return
	}
	if p.seeded == nil {
		p.seeded = map[learn.Group]bool{}
	}
	p.seeded[class] = true
	for _, share := range seedShares {
		p.Learn(LengthSample{Group: g, To: int(share * float64(maxTokens)), Ended: true})
	}
}

// MeanRemaining returns the mean number of tokens that a run will still
// generate, zero for a plain call.
func (p *Placer) MeanRemaining(r Run) float64 {
	if r.BaseTokens == 0 {
		return 0
	}
	p.seed(r.Group, r.MaxTokens)
	mean := p.Lengths.Survival(r.Group).Mean(r.Generated)
	if r.MaxTokens > 0 {
		mean = min(mean, float64(r.MaxTokens))
	}
	return max(mean-float64(r.Generated), 0)
}

// Remaining returns an upper bound on the number of tokens that a run will
// still generate. The bound holds with the given probability and never exceeds
// the run's limit.
func (p *Placer) Remaining(r Run, probability float64) int {
	p.seed(r.Group, r.MaxTokens)
	end := p.Lengths.Survival(r.Group).Quantile(r.Generated, probability)
	if r.MaxTokens > 0 {
		end = min(end, r.MaxTokens)
	}
	return max(end-r.Generated, 0)
}
