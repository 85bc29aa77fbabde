package sched

import "time"

// Limits of the recorded state of prefix caches.
const (
	maxPrefixes = 512
	// prefixTTL is how long a prefix is assumed to be cached after the last
	// report or dispatch that implies it.
	prefixTTL = 2 * time.Minute
)

// prefixCache estimates which prefixes a backend server has cached. The sources
// are the server's cache events, which arrive late and with gaps, and the
// requests dispatched to it. It holds at most maxPrefixes prefixes. The zero
// value is empty.
type prefixCache struct {
	// lastSeen maps each prefix to the last time at which it was reported or
	// assumed to be cached.
	lastSeen map[string]time.Time
}

// markCached records that a prefix is cached as of now, because the server
// reported it or a request with it was dispatched. It replaces the oldest
// prefix if the limit is reached.
func (p *prefixCache) markCached(now time.Time, prefix string) {
	if prefix == "" {
		return
	}
	if p.lastSeen == nil {
		p.lastSeen = map[string]time.Time{}
	}
	if len(p.lastSeen) >= maxPrefixes {
		p.dropOldest()
	}
	p.lastSeen[prefix] = now
}

func (p *prefixCache) dropOldest() {
	oldest := ""
	for k, t := range p.lastSeen {
		if oldest == "" || t.Before(p.lastSeen[oldest]) {
			oldest = k
		}
	}
	delete(p.lastSeen, oldest)
}

// markEvicted records that the server no longer has a prefix cached.
func (p *prefixCache) markEvicted(prefix string) { delete(p.lastSeen, prefix) }

// cached reports whether the prefix is likely to be cached.
func (p *prefixCache) cached(now time.Time, prefix string) bool {
	if prefix == "" {
		return false
	}
	t, ok := p.lastSeen[prefix]
	return ok && now.Sub(t) < prefixTTL
}
