package place

import (
	"time"

	"fuchsiafold.example/fold/member"
)

// copyGap is the time between two copies on a link, in which the first run
// stops and hands over what is new.
const copyGap = 25 * time.Millisecond

// copySpan returns when a copy to a server can begin and how long it takes.
func (p *Placer) copySpan(now time.Time, s *member.Backend, w Request) (start time.Time, d time.Duration) {
	start = now
	for _, id := range []string{w.Copy.Source, s.ID} {
		if free := p.links[id]; free.After(start) {
			start = free
		}
	}
	d = w.Copy.Duration
	if s.Domain != w.Domain {
		d *= 2
	}
	return start, d
}

// takeLinks takes the links of both servers of a copy and returns the wait
// before it begins.
func (p *Placer) takeLinks(now time.Time, s *member.Backend, w Request) time.Duration {
	start, d := p.copySpan(now, s, w)
	if p.links == nil {
		p.links = map[string]time.Time{}
	}
	for id, free := range p.links {
		if free.Before(now) {
			delete(p.links, id)
		}
	}
	p.links[w.Copy.Source] = start.Add(d + copyGap)
	p.links[s.ID] = start.Add(d + copyGap)
	return start.Sub(now)
}
