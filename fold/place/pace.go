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

// Length is what is stated of the length of a run's output. Zero fields say
// nothing.
type Length struct {
	// Hint is the caller's estimate in tokens, Most the largest number.
	Hint int
	Most int
	// EventTokens is the number of tokens in an event.
	EventTokens int
}

// Tokens returns how many tokens the run will probably generate.
func (l Length) Tokens() int {
	switch {
	case l.Hint > 0 && l.Most > 0:
		return min(l.Hint, l.Most)
	case l.Hint > 0:
		return l.Hint
	}
	return l.Most / 2
}

// Events returns how many events the run will probably have.
func (l Length) Events() int { return l.Tokens() / max(l.EventTokens, 1) }

// Time returns how long a run that has not begun will probably take.
func (l Length) Time() time.Duration {
	return firstEventTime + time.Duration(l.Events())*eventGap
}

// Left returns how long a run will probably go on that has made so many events
// in a time. It returns false for a run that is longer than was expected: how
// much longer is not known.
func (l Length) Left(events int, in time.Duration) (time.Duration, bool) {
	left := l.Events() - events
	if left <= 0 {
		return 0, false
	}
	gap := eventGap
	if events > 1 {
		gap = max(in/time.Duration(events-1), minEventGap)
	}
	return time.Duration(left) * gap, true
}
