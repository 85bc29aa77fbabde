package relay

import (
	"time"

	"fuchsiafold.example/fold/place"
)

// targetRun returns a run with the targets of the request's forward for the gaps between its
// events.
func (q *request) targetRun(r place.Run) place.Run {
	if r.GapTarget = time.Duration(q.forward.Target.TokenGap); r.GapTarget > 0 {
		r.EventTokens = q.eventTokens()
	}
	return r
}

// observeEvent records an event that was sent to the caller at the given time, gap after the
// one before it, or the first one if gap is zero. Only the stream's own goroutine calls it.
func (s *stream) observeEvent(now time.Time, gap time.Duration) {
	q := s.q
	target := q.forward.Target
	if target.TokenGap == 0 {
		return
	}
	late := gap > time.Duration(target.TokenGap)
	if first := time.Duration(target.FirstToken); gap == 0 && first > 0 {
		late = now.Sub(q.arrived) > first
	}
	newlyLate := late && !s.late.Swap(true)
	if newlyLate {
		q.relay.Node.Count("forward.late."+lateBy(gap), 1)
	}
	switch {
	case s.viaPeer:
	case s.changedServer:
		// The gap is that of the move, which says nothing of prompts at either server.
		s.changedServer = false
		if newlyLate {
			q.relay.Node.RunLateByMove(s.server.ID, s.initialRun.ID)
		}
	default:
		q.relay.Node.ObserveEvent(q.service.Name, s.server.ID, s.initialRun.ID, gap, s.late.Load())
	}
}

// lateBy returns the name under which runs that miss a target are counted.
func lateBy(gap time.Duration) string {
	if gap == 0 {
		return "first"
	}
	return "gap"
}
