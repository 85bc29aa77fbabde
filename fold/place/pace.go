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
	if !now.After(a.at) {
		return
	}
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
		p.observeLate(now, id, last.load, l)
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
			paceOf(&p.paces, id).observe(now, r.Generated-from, d)
		}
	}
}

// paceOf returns the pace of an engine in paces, creating it if there is none.
func paceOf(paces *map[string]*pace, id string) *pace {
	a := (*paces)[id]
	if a == nil {
		if *paces == nil {
			*paces = map[string]*pace{}
		}
		a = &pace{}
		(*paces)[id] = a
	}
	return a
}

// paceAt returns the pace of an engine in paces, zero if there is none.
func paceAt(paces map[string]*pace, id string) pace {
	if a := paces[id]; a != nil {
		return *a
	}
	return pace{}
}

// enginePace is the estimated pace of an engine.
type enginePace struct {
	// token is the time per generated token.
	token time.Duration
	// prompt is the time per token of a prompt at the service's engines, and
	// ownPrompt that at this engine. By the first, prompts don't keep away from a
	// slow engine, where they delay the fewest runs; by the second, a prompt that
	// would be read too late there does.
	prompt, ownPrompt time.Duration
}

// readTime returns how long the service's engines take to read prompts of the given
// size in tokens while they generate for other requests.
func (e enginePace) readTime(tokens int) time.Duration { return time.Duration(tokens) * e.prompt }

// firstToken returns how long this engine takes to read prompts of the given size in
// tokens while it generates for other requests.
func (e enginePace) firstToken(tokens int) time.Duration { return time.Duration(tokens) * e.ownPrompt }

// enginePaces returns the estimated pace of each of the servers of a service.
func (p *Placer) enginePaces(now time.Time, servers []member.Backend) []enginePace {
	out := make([]enginePace, len(servers))
	token := sum(now, servers, p.paces).estimate(defaultTokenTime, 0)
	prompt := sum(now, servers, p.prefillPaces).estimate(defaultPromptTokenTime, prefillPriorTokens)
	for i, s := range servers {
		own := paceAt(p.prefillPaces, s.ID).estimate(prompt, ownPrefillPriorTokens)
		out[i] = enginePace{
			token:     paceAt(p.paces, s.ID).estimate(token, pacePriorTokens),
			prompt:    withPromptMargin(prompt),
			ownPrompt: withPromptMargin(own),
		}
	}
	return out
}

// sum returns the observations of all servers, decayed to now.
func sum(now time.Time, servers []member.Backend, known map[string]*pace) pace {
	var all pace
	for i := range servers {
		if a := known[servers[i].ID]; a != nil {
			a.decay(now)
			all.tokens += a.tokens
			all.busy += a.busy
		}
	}
	return all
}

// estimate returns the time per token, where prior has a weight of the given
// number of tokens. It returns prior if there is nothing else.
func (a pace) estimate(prior time.Duration, weight float64) time.Duration {
	if a.tokens+weight < 1 {
		return prior
	}
	return time.Duration((float64(a.busy) + weight*float64(prior)) / (a.tokens + weight))
}
