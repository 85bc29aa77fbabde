package sched

import (
	"slices"
	"time"
)

// Poll returns the requests to dispatch now, ordered by ID, and the refusals
// since the last call.
func (s *Scheduler) Poll(now time.Time) ([]Dispatch, []Refusal) {
	var out []Dispatch
	s.markWaitingDirty(now)
	for model := range s.dirty {
		out = s.poll(now, model, out)
		delete(s.dirty, model)
	}
	refused := s.refusals
	s.refusals = nil
	slices.SortFunc(out, func(a, b Dispatch) int { return compareIDs(a.Request.ID, b.Request.ID) })
	return out, refused
}

// queueCheckInterval is the time after which waiting queues are examined again
// even without an event, since forecasts fall and deadlines pass with time.
const queueCheckInterval = 20 * time.Millisecond

func (s *Scheduler) markWaitingDirty(now time.Time) {
	if now.Sub(s.lastQueueCheck) < queueCheckInterval {
		return
	}
	s.lastQueueCheck = now
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

// Limits on one pass over a queue; the rest of the queue is left for a later
// pass.
const (
	maxFailedPlacements = 24
	maxExamined         = 1024
)

func (s *Scheduler) poll(now time.Time, model string, out []Dispatch) []Dispatch {
	queue := s.waiting[model]
	keep := queue[:0]
	failedPlacements := 0
	// smallestUnplaced holds, for each class, the smallest prompt that could
	// not be placed in this pass. Prompts of the class that are at least as
	// large are not tried.
	smallestUnplaced := map[string]int{}
	for i, it := range queue {
		if failedPlacements >= maxFailedPlacements || i >= maxExamined {
			keep = append(keep, queue[i:]...)
			break
		}
		p := s.policy(it.Request)
		if retryAfter, late := p.Late(s, now, it); late && !it.Admitted {
			s.refuseWaiting(it, retryAfter)
			continue
		}
		if smallest, ok := smallestUnplaced[it.Class]; ok && it.PromptTokens >= smallest {
			keep = append(keep, it)
			continue
		}
		s.relaxAvoid(it)
		e := p.Place(s, now, it)
		if e == nil {
			keep = append(keep, it)
			smallestUnplaced[it.Class] = it.PromptTokens
			failedPlacements++
			continue
		}
		out = append(out, s.dispatch(now, it, e))
	}
	clear(queue[len(keep):])
	s.waiting[model] = keep
	return out
}

// relaxAvoid clears the list of backend servers to avoid if no usable server
// remains: a second attempt at a server that failed is better than none.
func (s *Scheduler) relaxAvoid(it *item) {
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
	s.recordDispatch(now, dispatchKey{it.Model, e.info.Domain})
	return Dispatch{Request: it.Request, Backend: e.info.ID, Priority: it.priority}
}

// refuseWaiting refuses a waiting request that can no longer be served in time.
// The caller removes it from the queue.
func (s *Scheduler) refuseWaiting(it *item, retryAfter time.Duration) {
	s.queued--
	delete(s.items, it.ID)
	s.refuse(it, ReasonOverload, retryAfter)
}
