// Package meter counts the requests that a stand-in backend server gets, and names its
// rate limit.
package meter

import (
	"net/http"
	"sync"
	"time"
)

// HeaderLimit is the header field in which a server names its rate limit.
const HeaderLimit = "Fold-Rate-Limit"

// Meter counts the requests of one server. The zero value names no limit. It is safe for
// concurrent use.
type Meter struct {
	mu sync.Mutex
	// limit is the value of HeaderLimit, empty if none is named.
	limit string
	// namedAt is when a limit was first named to a request, zero before.
	namedAt time.Time
	// arrivals holds when each request arrived, in this order.
	arrivals []time.Time
}

// Name sets the value of HeaderLimit. An empty one ends the limit.
func (m *Meter) Name(limit string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Limit returns the value of HeaderLimit, empty if none is named.
func (m *Meter) Limit() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

// Arrive counts a request that arrives now, and returns the value of HeaderLimit for its
// response, empty for none. A nil Meter counts nothing.
func (m *Meter) Arrive() string {
	if m == nil {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.arrivals = append(m.arrivals, now)
	if m.limit != "" && m.namedAt.IsZero() {
		m.namedAt = now
	}
	return m.limit
}

// Wrap returns a handler that counts the requests of h and names the limit in its
// responses. A nil Meter changes nothing.
func (m *Meter) Wrap(h http.Handler) http.Handler {
	if m == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := m.Arrive(); limit != "" {
			w.Header().Set(HeaderLimit, limit)
		}
		h.ServeHTTP(w, r)
	})
}

// Most returns the largest number of requests that arrived within any span of the given
// length, of those that arrived at least the time after from the first naming of a limit.
func (m *Meter) Most(span, after time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.namedAt.IsZero() {
		return 0
	}
	most, first := 0, 0
	for i, at := range m.arrivals {
		if at.Sub(m.namedAt) < after {
			first = i + 1
			continue
		}
		for at.Sub(m.arrivals[first]) > span {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// Count returns the number of requests that have arrived.
func (m *Meter) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.arrivals)
}
