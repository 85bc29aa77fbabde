package place

import "time"

// Assumptions about the timing of a stream's events.
const (
	// firstEventTime is the expected time to the first event.
	firstEventTime = 500 * time.Millisecond
	// eventGap is the expected time between two events, before two have
	// arrived.
	eventGap = 60 * time.Millisecond
	// minEventGap is the shortest mean gap that is used for an estimate: events
	// that arrive in a burst don't show the rate.
	minEventGap = 30 * time.Millisecond
)

// EventRate is the observed rate of a run's events. The zero value has no
// events.
type EventRate struct {
	// Events is the number of events received, and Elapsed the time from the
	// first to the last.
	Events  int
	Elapsed time.Duration
}

// TimeFor returns how long the given number of further events will probably
// take.
func (r EventRate) TimeFor(events int) time.Duration {
	if r.Events == 0 {
		return firstEventTime + time.Duration(events)*eventGap
	}
	gap := eventGap
	if r.Events > 1 {
		gap = max(r.Elapsed/time.Duration(r.Events-1), minEventGap)
	}
	return time.Duration(events) * gap
}
