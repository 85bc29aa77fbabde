package sched

import "time"

// Constants of the health of a backend server.
const (
	// silence is the time without a token, while requests are there, after
	// which a backend server gets no new ones.
	silence = time.Second
	// firstEjection is how long a backend server is left alone after a failure;
	// each further one doubles it up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// slowStart is the number of requests that a new or returning backend
	// server gets at first; the limit doubles with each slowStartStep.
	slowStart     = 4
	slowStartStep = 500 * time.Millisecond
	slowStartEnd  = 1 << 10
)

// health decides whether a backend server gets new requests, and how many.
type health struct {
	// since is when the slow start began.
	since time.Time
	// ejectedUntil is when the backend server is tried again.
	ejectedUntil time.Time
	failures     int
	// lastProgress is the last token or start while requests are there.
	lastProgress time.Time
}

func (h *health) begin(now time.Time) { h.since = now }

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
		h.failures = 0
	case Failed, Rejected:
		if now.Before(h.ejectedUntil) {
			return
		}
		h.failures++
		wait := min(firstEjection<<min(h.failures-1, 10), maxEjection)
		h.ejectedUntil = now.Add(wait)
		h.since = h.ejectedUntil
	}
}

// open reports whether a backend server with so many requests gets another.
func (h *health) open(now time.Time, count int) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	if count > 0 && now.Sub(h.lastProgress) > silence {
		return false
	}
	return count < h.limit(now)
}

// limit returns the number of requests that the slow start allows.
func (h *health) limit(now time.Time) int {
	steps := int(now.Sub(h.since) / slowStartStep)
	if steps >= 8 {
		return slowStartEnd
	}
	return slowStart << max(steps, 0)
}
