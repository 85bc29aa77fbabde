package sched

import (
	"time"

	"fuchsiafold.example/fold/retry"
)

// Parameters of backend server health.
const (
	// progressTimeout is the time without a token from the local requests after
	// which a backend server gets no new ones.
	progressTimeout = time.Second
	// firstEjection is how long a backend server gets no requests after its
	// first failure. The time doubles with each further failure, up to
	// maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// slowStartInitial limits the concurrent requests at a backend server that
	// is new or whose ejection has just ended. The limit doubles every
	// slowStartStep, up to slowStartMax.
	slowStartInitial = 4
	slowStartStep    = 500 * time.Millisecond
	slowStartMax     = 1 << 10
)

// health decides whether a backend server gets new requests, and how many at
// once. It ejects a server that fails, and applies a slow start to a server
// that is new or returns from ejection.
type health struct {
	// slowStartBegan is when the slow start began. After a failure it lies in
	// the future, at the end of the ejection.
	slowStartBegan time.Time
	// ejection is the time in which the backend server gets no requests.
	ejection retry.Pause
	// lastProgress is the time of the last token, or of the first dispatch to
	// the server when it had no local requests.
	lastProgress time.Time
}

func (h *health) beginSlowStart(now time.Time) { h.slowStartBegan = now }

func (h *health) started(now time.Time, count int) {
	if count == 1 {
		h.lastProgress = now
	}
}

func (h *health) progressed(now time.Time) {
	h.lastProgress = now
}

func (h *health) finished(now time.Time, r Result) {
	switch r {
	case Completed:
		h.ejection.Failures = 0
	case Failed, Rejected:
		if h.ejection.Active(now) {
			return
		}
		h.ejection.Fail(now, firstEjection, maxEjection)
		h.slowStartBegan = h.ejection.Until
	}
}

// accepts reports whether a backend server with count local requests may get
// another one.
func (h *health) accepts(now time.Time, count int) bool {
	if h.ejection.Active(now) {
		return false
	}
	if count > 0 && now.Sub(h.lastProgress) > progressTimeout {
		return false
	}
	return count < h.requestLimit(now)
}

// requestLimit returns the number of concurrent requests that the slow start
// allows.
func (h *health) requestLimit(now time.Time) int {
	steps := int(now.Sub(h.slowStartBegan) / slowStartStep)
	if steps >= 8 {
		return slowStartMax
	}
	return slowStartInitial << max(steps, 0)
}
