package place

import (
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/usage"
)

// forecast is the memory that the runs at an engine will take.
type forecast struct {
	usage.Forecast
	made time.Time
}

// forecastLife is how long a forecast is used; meanwhile requests that are
// placed are added to it.
const forecastLife = 100 * time.Millisecond

// item returns the forecast of one run alone.
func (p *Placer) item(w Request) *usage.Forecast {
	var f usage.Forecast
	p.addRun(&f, w.now())
	return &f
}

func (p *Placer) addRun(f *usage.Forecast, r Run) {
	if r.BaseTokens > 0 {
		p.seed(r.Group, r.MaxTokens)
		f.Add(r.BaseTokens+r.Generated, r.Generated, r.MaxTokens, p.Lengths.Survival(r.Group))
	}
}

// forecastAdd counts a run that has just been placed.
func (p *Placer) forecastAdd(id string, w Request) {
	if f := p.forecasts[id]; f != nil {
		f.Merge(p.item(w))
	}
}

// forecast returns the memory that an engine's runs will take.
func (p *Placer) forecast(now time.Time, id string) *usage.Forecast {
	if f := p.forecasts[id]; f != nil && now.Sub(f.made) < forecastLife {
		return &f.Forecast
	}
	f := &forecast{made: now}
	p.runs(now, id, func(r Run) { p.addRun(&f.Forecast, r) })
	if p.forecasts == nil {
		p.forecasts = map[string]*forecast{}
	}
	p.forecasts[id] = f
	return &f.Forecast
}

// seeds are the parts of the stated limit that runs of a group have taken to
// have while nothing is known of the group.
var seeds = [...]float64{0.125, 0.25, 0.5, 0.75}

// maxSeeded bounds the groups that are started from their limit: callers name
// them.
const maxSeeded = 4096

// LengthSample is what was seen of the length of a run: it grew from one number of
// tokens to another, and ended there by itself if Ended is set.
type LengthSample struct {
	Group    learn.Group
	From, To int
	Ended    bool
}

// Learn takes what was seen of a run's length.
func (p *Placer) Learn(g LengthSample) {
	p.Lengths.Progress(g.Group, g.From, g.To)
	if g.Ended {
		p.Lengths.End(g.Group, g.To)
	}
}

// seed gives a group of which nothing is known lengths below its limit.
func (p *Placer) seed(g learn.Group, most int) {
	class := learn.Group{Class: g.Class, Model: g.Model}
	if most <= 0 || p.seeded[class] || len(p.seeded) >= maxSeeded {
		return
	}
	if p.seeded == nil {
		p.seeded = map[learn.Group]bool{}
	}
	p.seeded[class] = true
	for _, part := range seeds {
		p.Learn(LengthSample{Group: g, To: int(part * float64(most)), Ended: true})
	}
}

// Remaining returns the number of tokens that a run will generate yet at most, with
// a chance.
func (p *Placer) Remaining(r Run, chance float64) int {
	p.seed(r.Group, r.MaxTokens)
	end := p.Lengths.Survival(r.Group).Quantile(r.Generated, chance)
	if r.MaxTokens > 0 {
		end = min(end, r.MaxTokens)
	}
	return max(end-r.Generated, 0)
}
