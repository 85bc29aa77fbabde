package place

import (
	"time"

	"fuchsiafold.example/fold/member"
)

// copyGap is the interval kept between two copies on a link. In it, the run of
// the first copy stops and transfers what it generated during the copy.
const copyGap = 25 * time.Millisecond

// copySchedule returns when the copy of a run to server s can begin and how
// long it takes. The copy waits until the links of both servers are free, and
// takes twice as long to another failure domain.
func (p *Placer) copySchedule(now time.Time, s *member.Backend, req Request) (start time.Time, d time.Duration) {
	start = now
	for _, id := range []string{req.Copy.Source, s.ID} {
		if busyUntil := p.linksBusyUntil[id]; busyUntil.After(start) {
			start = busyUntil
		}
	}
	d = req.Copy.Duration
	if s.Domain != req.Copy.Domain {
		d *= 2
	}
	return start, d
}

// reserveLinks reserves the links of both servers for a copy and returns the
// delay before the copy begins.
func (p *Placer) reserveLinks(now time.Time, s *member.Backend, req Request) time.Duration {
	start, d := p.copySchedule(now, s, req)
	if p.linksBusyUntil == nil {
		p.linksBusyUntil = map[string]time.Time{}
	}
	for id, busyUntil := range p.linksBusyUntil {
		if busyUntil.Before(now) {
			delete(p.linksBusyUntil, id)
		}
	}
	p.linksBusyUntil[req.Copy.Source] = start.Add(d + copyGap)
	p.linksBusyUntil[s.ID] = start.Add(d + copyGap)
	return start.Sub(now)
}
