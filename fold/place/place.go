// Package place chooses the backend server for a request that is forwarded. It
// answers the load of many VMs that share engines: one VM places the requests
// of a service for all of them, by what each says it has under way; a VM that
// can't reach it places by what it has under way itself.
package place

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
)

// Request is what a request needs.
type Request struct {
	Run
	// PromptTokens is the part of the run's memory that has to be read before the
	// first token.
	PromptTokens int
	// Progress returns the tokens that the run has generated so far; nil takes
	// Made.
	Progress func() int
	// Exclude lists servers that must not get it.
	Exclude []string
	// Domain is the failure domain whose servers go first; empty takes the
	// placer's own.
	Domain string
	// Copy is set for a run that brings its memory along from another server.
	Copy *Copy
	// FirstTokenBudget is the time left until the first token is due; zero means never.
	FirstTokenBudget time.Duration
	// Random breaks ties, in [0, 1).
	Random float64
}

// Copy describes the memory that a run brings along.
type Copy struct {
	// Source is the server that it comes from, in the failure domain of the Want.
	Source string
	// Duration is how long the copy takes within a failure domain; to another one it
	// takes twice as long.
	Duration time.Duration
}

// Choice is where a request goes.
type Choice struct {
	Server member.Backend
	// CopyDelay is when the copy of a run's memory should begin: a server's link
	// carries one copy after the other.
	CopyDelay time.Duration
	// Full says that no server has room or would begin in time, and this one the
	// least want of it: the request is not counted there.
	Full bool
	// RetryAfter is when there will probably be room, set with Full.
	RetryAfter time.Duration
	// ChosenBy names the VM that chose, empty for this one.
	ChosenBy string
}

// Result says how a request at a server ended.
type Result int

// The outcomes.
const (
	// Answered: the server answered, whatever the status.
	Answered Result = iota
	// Failed: the connection broke off.
	Failed
	// Unreachable: no connection could be opened; the whole failure domain may be
	// cut off.
	Unreachable
	// Rejected: the server refused the request for lack of room.
	Rejected
	// Cancelled: the caller or another server took the request away.
	Cancelled
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
	grantLife = 350 * time.Millisecond
)

// Placer remembers what is under way at each server. The zero value knows of
// nothing.
type Placer struct {
	// Domain is the own failure domain.
	Domain string
	// Lengths is what has been learned of the runs' lengths.
	Lengths learn.Lengths
	// seeded holds the groups whose lengths were started from their limit.
	seeded map[learn.Group]bool
	own    map[string]*own
	guests map[string]*guest
	// forecasts holds the memory that each engine's runs will take.
	forecasts map[string]*forecast
	// cut holds what was seen of other failure domains.
	cut map[string]*trust
	// away counts the requests for engines that were turned away.
	away turnaways
	// links holds until when each server's link is taken by copies.
	links map[string]time.Time
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

// Pick chooses one of the servers. It returns false if there is none; servers
// that failed lately are chosen only if no other is left. For a run that is
// copied, it takes the links of both servers for the time of the copy.
func (p *Placer) Pick(now time.Time, servers []member.Backend, w Request) (Choice, bool) {
	best := -1
	var least cost
	item := p.item(w)
	start := int(w.Random * float64(len(servers)))
	for i := range servers {
		i = (i + start) % len(servers)
		s := &servers[i]
		if s.Leaving || slices.Contains(w.Exclude, s.ID) {
			continue
		}
		if c := p.cost(now, s, w, item); best < 0 || c.delay < least.delay {
			best, least = i, c
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	c := Choice{Server: servers[best], Full: least.full && w.Copy == nil}
	switch {
	case w.Copy != nil:
		c.CopyDelay = p.takeLinks(now, &servers[best], w)
	case servers[best].MemoryTokens > 0:
		p.away.count(now, c.Full)
	}
	if c.Full {
		c.RetryAfter = p.away.back(now)
	}
	return c, true
}

// RecordDomainResult tells how a request at a server of a failure domain ended.
func (p *Placer) RecordDomainResult(now time.Time, domain string, outcome Result) {
	switch {
	case domain == p.Domain:
	case outcome == Answered:
		delete(p.cut, domain)
	case outcome == Unreachable:
		if p.cut == nil {
			p.cut = map[string]*trust{}
		}
		if p.cut[domain] == nil {
			p.cut[domain] = &trust{}
		}
		p.cut[domain].fail(now)
	}
}

// BackOff keeps requests away from a server for a while, as after a failure.
func (p *Placer) BackOff(now time.Time, id string) {
	o := p.at(id)
	o.failures++
	o.until = now.Add(maxPause)
}

// BackedOff reports whether a server failed this VM lately.
func (p *Placer) BackedOff(now time.Time, id string) bool {
	o := p.own[id]
	return o != nil && o.avoided(now)
}
