// Package place chooses the backend server for a request that is forwarded. It
// answers the load of many VMs that share engines: one VM places the requests
// of a service for all of them, by what each says it has under way; a VM that
// can't reach it places by what it has under way itself.
package place

import (
	"math"
	"slices"
	"time"

	"fuchsiafold.example/fold/member"
)

// Want is what a request needs.
type Want struct {
	// Tokens is the memory that the request will take, zero for plain calls;
	// Prompt is the part of it that has to be read before the first token.
	Tokens int
	Prompt int
	// Avoid lists servers that must not get it.
	Avoid []string
	// Domain is the failure domain whose servers go first; empty takes the
	// placer's own.
	Domain string
	// Copy is set for a run that brings its memory along from another server.
	Copy *Copy
	// Random breaks ties, in [0, 1).
	Random float64
}

// Copy describes the memory that a run brings along.
type Copy struct {
	// Source is the server that it comes from, in the failure domain of the Want.
	Source string
	// Time is how long the copy takes within a failure domain; to another one it
	// takes twice as long.
	Time time.Duration
}

// Choice is where a request goes.
type Choice struct {
	Server member.Backend
	// Wait is when the copy of a run's memory should begin: a server's link
	// carries one copy after the other.
	Wait time.Duration
	// Full says that no server has room, and this one the least want of it: the
	// request is not counted there.
	Full bool
	// By names the VM that chose, empty for this one.
	By string
}

// Outcome says how a request at a server ended.
type Outcome int

// The outcomes.
const (
	// Answered: the server answered, whatever the status.
	Answered Outcome = iota
	// Failed: the connection broke off.
	Failed
	// Unreached: no connection could be opened; the whole failure domain may be
	// cut off.
	Unreached
	// Full: the server refused the request for lack of room.
	Full
	// Left: the caller or another server took the request away.
	Left
)

const (
	// firstPause is how long a server is avoided after a failure; each further
	// one doubles it up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 8 * time.Second
	// fullPause is how long a server is avoided after it refused for lack of room.
	fullPause = 250 * time.Millisecond
	// guestLife is how long a VM's account of its requests counts.
	guestLife = 3 * time.Second
	// grantLife is how long a place that was given counts besides the VM's own
	// account, which shows it by then.
	grantLife = 150 * time.Millisecond
)

// Load is what is under way at a server.
type Load struct {
	Requests int
	// Tokens is the memory of the requests, Prefill the prompts among it without
	// a first token yet.
	Tokens  int
	Prefill int
}

func (l *Load) add(o Load) {
	l.Requests += o.Requests
	l.Tokens += o.Tokens
	l.Prefill += o.Prefill
}

// Placer remembers what is under way at each server. The zero value knows of
// nothing.
type Placer struct {
	// Domain is the own failure domain.
	Domain string
	own    map[string]*own
	guests map[string]*guest
	// cut holds what was seen of other failure domains.
	cut map[string]*trust
	// links holds until when each server's link is taken by copies.
	links map[string]time.Time
}

// own is what this VM itself has at a server, and has seen of it.
type own struct {
	Load
	trust
}

// trust is what failures in a row have taken.
type trust struct {
	failures int
	// until is when the next try may come; zero if nothing is avoided.
	until time.Time
}

func (t *trust) fail(now time.Time) {
	t.failures++
	t.until = now.Add(min(firstPause<<min(t.failures-1, 8), maxPause))
}

func (t *trust) avoided(now time.Time) bool { return t != nil && now.Before(t.until) }

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
	load   Load
}

func (w Want) load() Load { return Load{Requests: 1, Tokens: w.Tokens, Prefill: w.Prompt} }

// Pick chooses one of the servers. It returns false if there is none; servers
// that failed lately are chosen only if no other is left. For a run that is
// copied, it takes the links of both servers for the time of the copy.
func (p *Placer) Pick(now time.Time, servers []member.Backend, w Want) (Choice, bool) {
	best := -1
	least := math.Inf(1)
	start := int(w.Random * float64(len(servers)))
	for i := range servers {
		i = (i + start) % len(servers)
		s := &servers[i]
		if s.Leaving || slices.Contains(w.Avoid, s.ID) {
			continue
		}
		if c := p.cost(now, s, w); c < least {
			best, least = i, c
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	c := Choice{Server: servers[best], Full: w.Copy == nil && least >= costFull*fullShare && least < costAvoided}
	if w.Copy != nil {
		c.Wait = p.takeLinks(now, &servers[best], w)
	}
	return c, true
}

// total returns what is under way at a server as far as is known here.
func (p *Placer) total(now time.Time, id string) Load {
	var l Load
	if o := p.own[id]; o != nil {
		l = o.Load
	}
	for _, g := range p.guests {
		if now.Sub(g.heard) >= guestLife {
			continue
		}
		l.add(g.loads[id])
		for _, granted := range g.grants {
			if granted.server == id && now.Sub(granted.at) < grantLife {
				l.add(granted.load)
			}
		}
	}
	return l
}

// Hear takes a VM's account of what it has under way.
func (p *Placer) Hear(now time.Time, vm string, loads map[string]Load) {
	g := p.guest(vm)
	g.heard = now
	g.loads = loads
	g.grants = slices.DeleteFunc(g.grants, func(x grant) bool { return now.Sub(x.at) >= grantLife })
}

// Grant counts a place given to another VM until its own account shows it.
func (p *Placer) Grant(now time.Time, vm, server string, w Want) {
	g := p.guest(vm)
	g.heard = now
	g.grants = append(g.grants, grant{at: now, server: server, load: w.load()})
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

// Own returns what this VM has under way at the servers.
func (p *Placer) Own(servers []member.Backend) map[string]Load {
	out := map[string]Load{}
	for _, s := range servers {
		if o := p.own[s.ID]; o != nil && o.Load != (Load{}) {
			out[s.ID] = o.Load
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
		o = &own{}
		p.own[id] = o
	}
	return o
}

// Begin counts a request that goes to a server.
func (p *Placer) Begin(id string, w Want) { p.at(id).add(w.load()) }

// Prefilled says that a request's first token has come.
func (p *Placer) Prefilled(id string, w Want) { p.at(id).Prefill -= w.Prompt }

// End ends what Begin began, with the same want; its prompt is zero once
// Prefilled was called.
func (p *Placer) End(now time.Time, id string, w Want, outcome Outcome) {
	o := p.at(id)
	o.Requests--
	o.Tokens -= w.Tokens
	o.Prefill -= w.Prompt
	switch outcome {
	case Answered:
		o.trust = trust{}
	case Failed, Unreached:
		o.fail(now)
	case Full:
		o.until = now.Add(fullPause)
	}
}

// DomainSeen tells how a request at a server of a failure domain ended.
func (p *Placer) DomainSeen(now time.Time, domain string, outcome Outcome) {
	switch {
	case domain == p.Domain:
	case outcome == Answered:
		delete(p.cut, domain)
	case outcome == Unreached:
		if p.cut == nil {
			p.cut = map[string]*trust{}
		}
		if p.cut[domain] == nil {
			p.cut[domain] = &trust{}
		}
		p.cut[domain].fail(now)
	}
}

// Avoid keeps requests away from a server for a while, as after a failure.
func (p *Placer) Avoid(now time.Time, id string) {
	o := p.at(id)
	o.failures++
	o.until = now.Add(maxPause)
}

// Avoided reports whether a server failed this VM lately.
func (p *Placer) Avoided(now time.Time, id string) bool {
	o := p.own[id]
	return o != nil && o.avoided(now)
}

// Forget drops what is known of a server that has gone, unless requests are
// still under way there.
func (p *Placer) Forget(id string) {
	if o := p.own[id]; o != nil && o.Requests == 0 {
		delete(p.own, id)
	}
}
