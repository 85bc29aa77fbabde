// Package meter counts the requests that a stand-in backend server gets, and says in its
// responses what the server says of itself.
package meter

import (
	"net/http"
	"sync"
	"time"
)

// Header fields in which a server says something of itself.
const (
	// HeaderLimit names its rate limit.
	HeaderLimit = "Fold-Rate-Limit"
	// HeaderLeaving says that it is shutting down.
	HeaderLeaving = "Fold-Leaving"
)

// Meter counts the requests of one server. The zero value names no limit. It is safe for
// concurrent use.
type Meter struct {
	// Observe, if not nil, is told of each request before the handler of Wrap. It is set
	// before the first one, and may read the body only if it puts it back.
	Observe func(r *http.Request)

	mu sync.Mutex
	// limit is the value of HeaderLimit, empty if none is named.
	limit string
	// leaving is set if responses say that the server is leaving, and retryAfter is not
	// empty if Wrap answers every request with status 503 and that Retry-After header.
	leaving    bool
	retryAfter string
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

// Leave makes the responses of Wrap say that the server is leaving.
func (m *Meter) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// TurnAway makes Wrap answer every request with status 503 and a Retry-After header. An
// empty value ends that.
func (m *Meter) TurnAway(retryAfter string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryAfter = retryAfter
}

func (m *Meter) statements() (leaving bool, retryAfter string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving, m.retryAfter
}

// Wrap returns a handler that counts the requests of h and says in its responses what the
// Meter says of the server. A nil Meter changes nothing.
func (m *Meter) Wrap(h http.Handler) http.Handler {
	if m == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.Observe != nil {
			m.Observe(r)
		}
		if limit := m.Arrive(); limit != "" {
			w.Header().Set(HeaderLimit, limit)
		}
		leaving, retryAfter := m.statements()
		if leaving {
			w.Header().Set(HeaderLeaving, "1")
		}
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
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

// CountBetween returns the number of requests that arrived from one moment to another.
func (m *Meter) CountBetween(from, to time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, at := range m.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Count returns the number of requests that have arrived.
func (m *Meter) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.arrivals)
}
