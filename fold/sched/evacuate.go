package sched

import (
	"time"

	"fuchsiafold.example/fold/evac"
)

// SetEvacuations sets the evacuated failure domains, whose engines get no further requests.
// Requests that wait and that no other engine can take are refused. Engines that may be used
// again begin with a slow start, since they may be cold.
func (s *Scheduler) SetEvacuations(now time.Time, set evac.Set) {
	s.evacuations = set
	for _, e := range s.engines {
		before := e.evacuated
		e.evacuated = set.Has(e.info.Domain)
		if before && !e.evacuated && !e.ejection.Active(now) {
			e.beginSlowStart(now)
		}
		s.dirty[e.info.Model] = true
	}
	if len(set.Domains) == 0 {
		return
	}
	for model, queue := range s.waiting {
		keep := queue[:0]
		for _, it := range queue {
			reason, unservable := s.unservable(it.Request)
			if !unservable {
				keep = append(keep, it)
				continue
			}
			s.queued--
			delete(s.items, it.ID)
			s.refuse(it, reason, time.Second)
		}
		clear(queue[len(keep):])
		s.waiting[model] = keep
	}
}
