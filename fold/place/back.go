package place

import (
	"slices"
	"time"
)

const (
	// backWindow is the time over which requests are counted that got a place or
	// were turned away.
	backWindow = 10 * time.Second
	// minBack and maxBack bound the time to come back: some runs end within the
	// first, and nothing is known of the load beyond the last.
	minBack = 2 * time.Second
	maxBack = 15 * time.Second
	// returns is the number of further requests that count for one that was turned
	// away: it comes back, and so does one whose room it takes then.
	returns = 2
)

// turnaways tells callers when to come back that find every engine full. It
// answers loads that last: those that were turned away before come back as well,
// and take the room first.
type turnaways struct {
	placed []time.Time
	turned []time.Time
}

func (t *turnaways) count(now time.Time, full bool) {
	if full {
		t.turned = append(recent(now, t.turned), now)
		return
	}
	t.placed = append(recent(now, t.placed), now)
}

// back returns when there will probably be room, at the pace of late.
func (t *turnaways) back(now time.Time) time.Duration {
	t.placed, t.turned = recent(now, t.placed), recent(now, t.turned)
	if len(t.placed) == 0 {
		return min(minBack+time.Duration(len(t.turned))*time.Second, maxBack)
	}
	return min(minBack+returns*backWindow*time.Duration(len(t.turned))/time.Duration(len(t.placed)), maxBack)
}

// recent drops the times that are older than the window; they are in order.
func recent(now time.Time, list []time.Time) []time.Time {
	i := slices.IndexFunc(list, func(at time.Time) bool { return now.Sub(at) < backWindow })
	if i < 0 {
		return list[:0]
	}
	return slices.Delete(list, 0, i)
}
