package limit

import (
	"math"
	"time"
)

// decaying is a number of events, of which earlier ones count less. The zero value is
// no event.
type decaying struct {
	count float64
	at    time.Time
}

// decay reduces the number to what counts at now. memory is the time after which an event
// has lost 1-1/e of its weight.
func (d *decaying) decay(now time.Time, memory time.Duration) {
	if now.After(d.at) {
		d.count *= math.Exp(-now.Sub(d.at).Seconds() / memory.Seconds())
		d.at = now
	}
}

func (d *decaying) add(now time.Time, memory time.Duration) {
	d.decay(now, memory)
	d.count++
}

const (
	// backlogMemory is the time for which the rejections of a Backlog count, and
	// maxRetryAfter bounds the time after which a rejected request may come back.
	backlogMemory = time.Second
	maxRetryAfter = 5 * time.Second
)

// Backlog estimates when a request that was rejected for lack of a permit may come back,
// from the requests that were rejected before it and come back too. The zero value has
// none. It is not safe for concurrent use.
type Backlog struct{ rejected decaying }

// Reject counts a rejected request, and returns the time after which it may come back.
// wait is the time until the next permit.
func (b *Backlog) Reject(now time.Time, wait time.Duration) time.Duration {
	b.rejected.add(now, backlogMemory)
	return min(max(time.Duration(float64(wait)*b.rejected.count), minWait), maxRetryAfter)
}
