package sched

import (
	"slices"
	"time"
)

// Poll returns the dispatches and refusals that are due.
func (s *Scheduler) Poll(now time.Time) ([]Dispatch, []Refusal) {
	var out []Dispatch
	s.markDue(now)
	for model := range s.dirty {
		out = s.poll(now, model, out)
		delete(s.dirty, model)
	}
	refused := s.refusals
	s.refusals = nil
	slices.SortFunc(out, func(a, b Dispatch) int { return compareIDs(a.Request.ID, b.Request.ID) })
	return out, refused
}

// retryInterval is the time after which a queue is tried again although
// nothing has been heard: forecasts fall with time, and deadlines pass.
const retryInterval = 20 * time.Millisecond

func (s *Scheduler) markDue(now time.Time) {
	if now.Sub(s.retried) < retryInterval {
		return
	}
	s.retried = now
	for model, q := range s.waiting {
		if len(q) > 0 {
			s.dirty[model] = true
		}
	}
}

func compareIDs(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Bounds of one look at a queue: the requests that are tried in vain, and those
// that are looked at, before the rest is left for later.
const (
	scanLimit = 24
	lookLimit = 1024
)

func (s *Scheduler) poll(now time.Time, model string, out []Dispatch) []Dispatch {
	queue := s.waiting[model]
	keep := queue[:0]
	tried := 0
	// unplaced holds, for each class, the smallest prompt that found no place.
	unplaced := map[string]int{}
	for i, it := range queue {
		if tried >= scanLimit || i >= lookLimit {
			keep = append(keep, queue[i:]...)
			break
		}
		p := s.policy(it.Request)
		if after, late := p.Late(s, now, it); late && !it.Admitted {
			s.drop(it, after)
			continue
		}
		if least, ok := unplaced[it.Class]; ok && it.PromptTokens >= least {
			keep = append(keep, it)
			continue
		}
		s.reconsider(it)
		e := p.Place(s, now, it)
		if e == nil {
			keep = append(keep, it)
			unplaced[it.Class] = it.PromptTokens
			tried++
			continue
		}
		out = append(out, s.dispatch(now, it, e))
	}
	clear(queue[len(keep):])
	s.waiting[model] = keep
	return out
}

// reconsider drops the list of backend servers to avoid once no other one is
// left: a second try there is better than none.
func (s *Scheduler) reconsider(it *item) {
	if len(it.Avoid) == 0 {
		return
	}
	for _, e := range s.byModel[it.Model] {
		if e.usable(it) {
			return
		}
	}
	r := *it.Request
	r.Avoid = nil
	it.Request = &r
}

func (s *Scheduler) dispatch(now time.Time, it *item, e *engine) Dispatch {
	s.queued--
	it.priority = s.policy(it.Request).Priority(s, now, it)
	e.start(now, it)
	s.startRate(it.Model).add(now, 1)
	return Dispatch{Request: it.Request, Backend: e.info.ID, Priority: it.priority}
}

// drop refuses a request that has waited in vain.
func (s *Scheduler) drop(it *item, after time.Duration) {
	s.queued--
	delete(s.items, it.ID)
	s.refuse(it, ReasonOverload, after)
}
