package retry

import "time"

// maxDoublings bounds how often a Pause doubles.
const maxDoublings = 16

// Pause is the back-off from something that fails, such as a server: a time in which it is
// not used, which doubles with each failure in a row. The zero value is no back-off.
type Pause struct {
	// Failures is the number of failures in a row.
	Failures int
	// Until is the end of the back-off, zero if there was none.
	Until time.Time
}

// Fail starts the back-off for one more failure in a row. It lasts for first after one
// failure, and for at most limit.
func (p *Pause) Fail(now time.Time, first, limit time.Duration) {
	p.Failures++
	p.Until = now.Add(min(first<<min(p.Failures-1, maxDoublings), limit))
}

// Active reports whether the back-off lasts at now. It is false for a nil p.
func (p *Pause) Active(now time.Time) bool { return p != nil && now.Before(p.Until) }

// Pauses holds the back-off from each of several things by their names.
type Pauses map[string]*Pause

// Fail starts the back-off of a name for one more failure in a row.
func (p Pauses) Fail(now time.Time, name string, first, limit time.Duration) {
	if p[name] == nil {
		p[name] = &Pause{}
	}
	p[name].Fail(now, first, limit)
}

// Active reports whether the back-off of a name lasts at now.
func (p Pauses) Active(now time.Time, name string) bool { return p[name].Active(now) }
