package poison

import "time"

// recent holds a time for each of the most recently set parts, at least maxRecent
// and at most twice as many. The zero value is empty.
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

func (r *recent) set(part string, at time.Time) {
	if len(r.young) >= maxRecent {
		r.young, r.old = nil, r.young
	}
	if r.young == nil {
		r.young = map[string]time.Time{}
	}
	r.young[part] = at
}
