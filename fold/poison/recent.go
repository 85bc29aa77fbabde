package poison

import (
	"strings"
	"time"
)

// recent holds a time for each of the most recently set parts, at least as many as the limit
// given to set and at most twice as many. The zero value is empty.
type recent struct {
	// young holds the parts set since old was replaced.
	young, old map[string]time.Time
}

func (r *recent) get(part string) (time.Time, bool) {
	if at, ok := r.young[part]; ok {
		return at, true
	}
	at, ok := r.old[part]
	return at, ok
}

func (r *recent) set(part string, at time.Time, limit int) {
	if _, known := r.young[part]; !known {
		if len(r.young) >= limit {
			r.young, r.old = nil, r.young
		}
		// A part of a request's header would keep the whole header in memory.
		part = strings.Clone(part)
	}
	if r.young == nil {
		r.young = map[string]time.Time{}
	}
	r.young[part] = at
}
