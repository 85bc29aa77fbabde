package place

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
)

// Run is one generation in an engine's memory. It is zero for plain calls.
type Run struct {
	// ID tells apart the runs of the VM that carries them.
	ID uint64
	// Group names the runs whose lengths are learned together.
	Group learn.Group
	// BaseTokens is the memory that the run takes without what it generates, in tokens.
	BaseTokens int
	// Generated is the number of tokens generated, Most the largest that there may be,
	// zero if that is not known.
	Generated int
	MaxTokens int
}

// Load is what is under way at a server.
type Load struct {
	Requests int
	// PrefillTokens is the size of the prompts without a first token yet, in tokens.
	PrefillTokens int
	Runs          []Run
}

// SameRequests reports whether two loads are of the same requests, whatever their runs
// have generated meanwhile.
func (l Load) SameRequests(o Load) bool {
	same := func(a, b Run) bool { return a.ID == b.ID }
	return l.Requests == o.Requests && l.PrefillTokens == o.PrefillTokens && slices.EqualFunc(l.Runs, o.Runs, same)
}

// now returns the run as it is at this moment.
func (w *Request) now() Run {
	r := w.Run
	if w.Progress != nil {
		r.Generated = w.Progress()
	}
	return r
}

// own is what this VM itself has at a server, and has seen of it.
type own struct {
	requests int
	prefill  int
	// runs holds the engines' runs by ID.
	runs map[uint64]Request
	trust
}

func (o *own) load() Load {
	l := Load{Requests: o.requests, PrefillTokens: o.prefill}
	for _, w := range o.runs {
		l.Runs = append(l.Runs, w.now())
	}
	slices.SortFunc(l.Runs, func(a, b Run) int { return int(a.ID) - int(b.ID) })
	return l
}

// guest is what another VM says it has under way.
type guest struct {
	heard  time.Time
	loads  map[string]Load
	grants []grant
}

// grant is a place given to a guest lately.
type grant struct {
	at     time.Time
	server string
	run    Run
	prompt int
}

// counted reports whether a place that was given still counts besides the
// guest's own account.
func (g *guest) counted(now time.Time, x *grant) bool {
	if now.Sub(x.at) >= grantLife {
		return false
	}
	return !slices.ContainsFunc(g.loads[x.server].Runs, func(r Run) bool { return r.ID == x.run.ID })
}

// counts returns how many requests all VMs have under way at a server, and the
// size of the prompts among them without a first token yet.
func (p *Placer) counts(now time.Time, id string) (requests, prefill int) {
	if o := p.own[id]; o != nil {
		requests, prefill = o.requests, o.prefill
	}
	for _, g := range p.guests {
		if now.Sub(g.heard) >= guestLife {
			continue
		}
		l := g.loads[id]
		requests += l.Requests
		prefill += l.PrefillTokens
		for i := range g.grants {
			if x := &g.grants[i]; x.server == id && g.counted(now, x) {
				requests++
				prefill += x.prompt
			}
		}
	}
	return requests, prefill
}

// runs calls f for the runs of all VMs at an engine.
func (p *Placer) runs(now time.Time, id string, f func(Run)) {
	if o := p.own[id]; o != nil {
		for _, w := range o.runs {
			f(w.now())
		}
	}
	for _, g := range p.guests {
		if now.Sub(g.heard) >= guestLife {
			continue
		}
		for _, r := range g.loads[id].Runs {
			f(r)
		}
		for i := range g.grants {
			if x := &g.grants[i]; x.server == id && g.counted(now, x) {
				f(x.run)
			}
		}
	}
}

// UpdatePeerLoad takes a VM's account of what it has under way.
func (p *Placer) UpdatePeerLoad(now time.Time, vm string, loads map[string]Load) {
	g := p.guest(vm)
	g.heard = now
	g.loads = loads
	g.grants = slices.DeleteFunc(g.grants, func(x grant) bool { return !g.counted(now, &x) })
}

// Reserve counts a place given to another VM until its own account shows it.
func (p *Placer) Reserve(now time.Time, vm, server string, w Request) {
	g := p.guest(vm)
	g.heard = now
	g.grants = append(g.grants, grant{at: now, server: server, run: w.now(), prompt: w.PromptTokens})
	p.forecastAdd(server, w)
}

func (p *Placer) guest(vm string) *guest {
	g := p.guests[vm]
	if g == nil {
		if p.guests == nil {
			p.guests = map[string]*guest{}
		}
		g = &guest{}
		p.guests[vm] = g
	}
	return g
}

// LocalLoad returns what this VM has under way at the servers.
func (p *Placer) LocalLoad(servers []member.Backend) map[string]Load {
	out := map[string]Load{}
	for _, s := range servers {
		if o := p.own[s.ID]; o != nil && o.requests > 0 {
			out[s.ID] = o.load()
		}
	}
	return out
}

func (p *Placer) at(id string) *own {
	o := p.own[id]
	if o == nil {
		if p.own == nil {
			p.own = map[string]*own{}
		}
		o = &own{runs: map[uint64]Request{}}
		p.own[id] = o
	}
	return o
}

// Begin counts a request that goes to a server.
func (p *Placer) Begin(id string, w Request) {
	o := p.at(id)
	o.requests++
	o.prefill += w.PromptTokens
	if w.ID != 0 {
		o.runs[w.ID] = w
		p.forecastAdd(id, w)
	}
}

// Prefilled says that a request's first token has come.
func (p *Placer) Prefilled(id string, w Request) { p.at(id).prefill -= w.PromptTokens }

// End ends what Begin began, with the same want; its prompt is zero once
// Prefilled was called.
func (p *Placer) End(now time.Time, id string, w Request, outcome Result) {
	o := p.at(id)
	o.requests--
	o.prefill -= w.PromptTokens
	if w.ID != 0 {
		delete(o.runs, w.ID)
		delete(p.forecasts, id)
	}
	switch outcome {
	case Answered:
		o.trust = trust{}
	case Failed, Unreachable:
		o.fail(now)
	case Rejected:
		o.until = now.Add(fullPause)
	}
}

// Forget drops what is known of a server that has gone, unless requests are
// still under way there.
func (p *Placer) Forget(id string) {
	delete(p.forecasts, id)
	if o := p.own[id]; o != nil && o.requests == 0 {
		delete(p.own, id)
	}
}
