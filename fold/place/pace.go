package place

import (
	"math"
	"time"

	"fuchsiafold.example/fold/member"
)

const (
	// paceMemory is the time after which an observation of an engine's pace has
	// lost 1-1/e of its weight.
	paceMemory = 4 * time.Second
	// defaultTokenTime is the time per token that is assumed before any was
	// observed.
	defaultTokenTime = 10 * time.Millisecond
	// pacePriorTokens is the weight, in tokens, of the mean pace of all engines
	// in the estimate for one engine.
	pacePriorTokens = 100
)

// pace accumulates how fast the runs at an engine grow. It includes whatever
// slows the engine down: its hardware, its batch, and the prompts that it reads
// between the steps. Earlier observations lose weight. The zero value has none.
type pace struct {
	tokens float64
	// busy is the time, summed over the runs, in which the tokens were
	// generated.
	busy time.Duration
	// at is the time to which tokens and busy were last decayed.
	at time.Time
}

// observe adds the growth of one run.
func (a *pace) observe(now time.Time, tokens int, d time.Duration) {
	a.decay(now)
	a.tokens += float64(tokens)
	a.busy += d
}

// decay reduces the weight of the observations to what it is at now.
func (a *pace) decay(now time.Time) {
	if !a.at.IsZero() {
		f := math.Exp(-now.Sub(a.at).Seconds() / paceMemory.Seconds())
		a.tokens *= f
		a.busy = time.Duration(float64(a.busy) * f)
	}
	a.at = now
}

// localReport is the load of this VM at one engine, and when it was taken.
type localReport struct {
	load Load
	at   time.Time
}

// ObserveLocal records the growth of this VM's own runs since the last call.
// loads is the result of LocalLoad.
func (p *Placer) ObserveLocal(now time.Time, loads map[string]Load) {
	if p.localReports == nil {
		p.localReports = map[string]localReport{}
	}
	for id, l := range loads {
		last := p.localReports[id]
		p.observeGrowth(now, id, last.load, l, now.Sub(last.at))
		p.localReports[id] = localReport{load: l, at: now}
	}
}

// observeGrowth records the growth of the runs at an engine between two load
// reports that are d apart. Runs without tokens in the first report don't count:
// their prompts were still being read.
func (p *Placer) observeGrowth(now time.Time, id string, before, after Load, d time.Duration) {
	if d <= 0 || len(before.Runs) == 0 {
		return
	}
	generated := make(map[uint64]int, len(before.Runs))
	for _, r := range before.Runs {
		generated[r.ID] = r.Generated
	}
	for _, r := range after.Runs {
		if from := generated[r.ID]; from > 0 && r.Generated >= from {
			p.paceOf(id).observe(now, r.Generated-from, d)
		}
	}
}

// paceOf returns the pace of an engine, creating it if there is none.
func (p *Placer) paceOf(id string) *pace {
	a := p.paces[id]
	if a == nil {
		if p.paces == nil {
			p.paces = map[string]*pace{}
		}
		a = &pace{}
		p.paces[id] = a
	}
	return a
}

// tokenTimes returns the estimated time per token at each of the servers. An
// engine with few observations counts about as fast as the mean of all.
func (p *Placer) tokenTimes(now time.Time, servers []member.Backend) []time.Duration {
	paces := make([]pace, len(servers))
	var all pace
	for i := range servers {
		a := p.paces[servers[i].ID]
		if a == nil {
			continue
		}
		a.decay(now)
		paces[i] = *a
		all.tokens += a.tokens
		all.busy += a.busy
	}
	mean := float64(defaultTokenTime)
	if all.tokens >= 1 {
		mean = float64(all.busy) / all.tokens
	}
	out := make([]time.Duration, len(servers))
	for i, a := range paces {
		out[i] = time.Duration((float64(a.busy) + pacePriorTokens*mean) / (a.tokens + pacePriorTokens))
	}
	return out
}
