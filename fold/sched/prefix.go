package sched

import "time"

// Constants of what is known of prefix caches.
const (
	maxPrefixes = 512
	// prefixLife is how long a prefix is taken to be cached without news.
	prefixLife = 2 * time.Minute
)

// prefixes is what is known of a backend server's prefix cache, from its late
// and gappy events and from what was sent there. The zero value is empty.
type prefixes struct {
	// seen holds when each prefix was last known to be cached.
	seen map[string]time.Time
}

// assume counts a prefix as cached because a request with it was sent.
func (p *prefixes) assume(now time.Time, prefix string) {
	if prefix == "" {
		return
	}
	if p.seen == nil {
		p.seen = map[string]time.Time{}
	}
	if len(p.seen) >= maxPrefixes {
		p.dropOldest()
	}
	p.seen[prefix] = now
}

func (p *prefixes) dropOldest() {
	oldest := ""
	for k, t := range p.seen {
		if oldest == "" || t.Before(p.seen[oldest]) {
			oldest = k
		}
	}
	delete(p.seen, oldest)
}

// evicted takes the news that a prefix is no longer cached.
func (p *prefixes) evicted(prefix string) { delete(p.seen, prefix) }

// cached reports whether a prefix is likely to be cached.
func (p *prefixes) cached(now time.Time, prefix string) bool {
	if prefix == "" {
		return false
	}
	t, ok := p.seen[prefix]
	return ok && now.Sub(t) < prefixLife
}
