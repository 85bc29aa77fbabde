package node

import "time"

// baseBackoff is the back-off from a VM, or from a failure domain, after a failed
// placement request. It doubles with each further failure in a row, up to four
// times the base. Another VM places requests meanwhile.
const baseBackoff = 3 * time.Second

// backoffs holds the back-off from each VM, or failure domain, whose last
// placement request failed.
type backoffs map[string]backoff

// backoff is the state of one back-off: the number of failures in a row, and
// when the back-off ends.
type backoff struct {
	failures int
	until    time.Time
}

// recordFailure begins a back-off, twice as long as the one before it, up to four
// times baseBackoff.
func (b backoffs) recordFailure(now time.Time, key string) {
	e := b[key]
	e.until = now.Add(baseBackoff << min(e.failures, 2))
	e.failures++
	b[key] = e
}

// active reports whether a back-off is in force at now.
func (b backoffs) active(now time.Time, key string) bool { return now.Before(b[key].until) }
