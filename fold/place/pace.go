package place

import "time"

// Times of a stream, before anything of it was seen.
const (
	// firstEventTime is the time to the first event.
	firstEventTime = 500 * time.Millisecond
	// eventGap is the time between two events.
	eventGap = 60 * time.Millisecond
	// minEventGap is the shortest time between two events that is believed: events
	// that come in a burst say nothing of the pace.
	minEventGap = 30 * time.Millisecond
)

// EventRate is how fast a run's events come. The zero value is one that has none yet.
type EventRate struct {
	// Events counts those that have come, in the time from the first to the last.
	Events  int
	Elapsed time.Duration
}

// TimeFor returns how long so many further events will probably take.
func (p EventRate) TimeFor(events int) time.Duration {
	if p.Events == 0 {
		return firstEventTime + time.Duration(events)*eventGap
	}
	gap := eventGap
	if p.Events > 1 {
		gap = max(p.Elapsed/time.Duration(p.Events-1), minEventGap)
	}
	return time.Duration(events) * gap
}
