// Package place chooses the backend server for a request that is forwarded, by
// what this VM itself has under way there and what it has seen fail. It answers
// the load of many VMs that share engines without knowing of each other.
package place

import (
	"math"
	"slices"
	"time"

	"fuchsiafold.example/fold/member"
)

// Want is what a request needs.
type Want struct {
	// Tokens is the memory that the request will take, zero for plain calls.
	Tokens int
	// Avoid lists servers that must not get it.
	Avoid []string
	// Near is the failure domain whose servers go first; empty takes the own one.
	Near string
	// Random breaks ties, in [0, 1).
	Random float64
}

// Outcome says how a request at a server ended.
type Outcome int

// The outcomes.
const (
	// Answered: the server answered, whatever the status.
	Answered Outcome = iota
	// Failed: the connection failed or broke off.
	Failed
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
	// farRequests is the number of requests by which a server of another failure
	// domain must be ahead.
	farRequests = 1.5
	// farCopies is the further number of requests for one that brings its memory
	// along: a copy takes twice as long between failure domains.
	farCopies = 4
	// memoryShare is the share of a server's memory beyond which this VM sees
	// it as full.
	memoryShare = 0.9
)

// Placer remembers what is under way at each server. The zero value knows of
// nothing.
type Placer struct {
	// Domain is the own failure domain.
	Domain string
	loads  map[string]*load
}

type load struct {
	requests int
	tokens   int
	failures int
	// until is when the server is tried again; zero if it is not avoided.
	until time.Time
}

// Pick chooses one of the servers. It returns false if there is none; servers
// that failed lately are chosen only if no other is left.
func (p *Placer) Pick(now time.Time, servers []member.Backend, w Want) (member.Backend, bool) {
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
		return member.Backend{}, false
	}
	return servers[best], true
}

// Costs that no load reaches.
const (
	costFull    = 1_000
	costAvoided = 1_000_000
)

func (p *Placer) cost(now time.Time, s *member.Backend, w Want) float64 {
	l := p.loads[s.ID]
	if l == nil {
		l = &load{}
	}
	c := float64(l.requests)
	near := p.Domain
	if w.Near != "" {
		near = w.Near
	}
	if s.Domain != near {
		c += farRequests
		if w.Near != "" {
			c += farCopies
		}
	}
	if s.Slots > 0 && l.requests >= s.Slots {
		c += costFull
	}
	if s.MemoryTokens > 0 {
		used := float64(l.tokens) / float64(s.MemoryTokens)
		c += used * float64(max(s.Slots, 1)) / 2
		if l.tokens+w.Tokens > int(memoryShare*float64(s.MemoryTokens)) {
			c += costFull
		}
	}
	if now.Before(l.until) {
		c += costAvoided
	}
	return c
}

func (p *Placer) load(id string) *load {
	l := p.loads[id]
	if l == nil {
		if p.loads == nil {
			p.loads = map[string]*load{}
		}
		l = &load{}
		p.loads[id] = l
	}
	return l
}

// Begin counts a request that goes to a server.
func (p *Placer) Begin(id string, tokens int) {
	l := p.load(id)
	l.requests++
	l.tokens += tokens
}

// End ends what Begin began, with the same tokens.
func (p *Placer) End(now time.Time, id string, tokens int, o Outcome) {
	l := p.load(id)
	l.requests--
	l.tokens -= tokens
	switch o {
	case Answered:
		l.failures, l.until = 0, time.Time{}
	case Failed:
		l.failures++
		pause := min(firstPause<<min(l.failures-1, 8), maxPause)
		l.until = now.Add(pause)
	case Full:
		l.until = now.Add(fullPause)
	}
}

// Avoid keeps requests away from a server for a while, as after a failure.
func (p *Placer) Avoid(now time.Time, id string) {
	l := p.load(id)
	l.failures++
	l.until = now.Add(maxPause)
}

// Forget drops what is known of a server that has gone, unless requests are
// still under way there.
func (p *Placer) Forget(id string) {
	if l := p.loads[id]; l != nil && l.requests == 0 {
		delete(p.loads, id)
	}
}
