package soak

import (
	"net/http"
	"sync"
	"time"
)

const (
	// coldRate is the start rate of a cold server in requests a second, coldTime how long it
	// is cold, and coldMost how many requests may come in any coldSpan.
	coldRate = 10
	coldTime = 4 * time.Second
	coldSpan = time.Second
	coldMost = coldRate*3/2 + 5
)

// cold counts the requests of a server from its start until it is warm. The zero value is
// warm. It is safe for concurrent use.
type cold struct {
	mu       sync.Mutex
	until    time.Time
	arrivals []time.Time
}

// start makes the server cold.
func (c *cold) start(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = now.Add(coldTime)
}

// left returns for how long the server stays cold.
func (c *cold) left(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.until.Sub(now), 0)
}

// arrive counts a request, and returns how many have come within coldSpan while the server
// is cold.
func (c *cold) arrive(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.until) {
		return 0
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) >= coldSpan {
		c.arrivals = c.arrivals[1:]
	}
	return len(c.arrivals)
}

// checkCold checks that a cold server gets no more than it takes, from all VMs together,
// whatever happens to them. A request for another server gets 421 and doesn't count.
func (s *servers) checkCold(x *instance, r *http.Request, id string) {
	if misdirected(x, r) {
		return
	}
	n := x.cold.arrive(time.Now())
	if n == 0 {
		return
	}
	s.whileCold.Add(1)
	if n > coldMost {
		s.findings.add(ColdStart, id, "the %d-th request within %v at a cold server; allowed are %d", n, coldSpan, coldMost)
	}
}

// restartCold crashes all servers that are cold after their start, and starts others at once.
// After the faults, VMs have permits for them: one that has just started has hardly any.
func (w *world) restartCold() {
	for i := firstCold; i < len(layout); i++ {
		w.servers.at(i).close()
		w.check(w.servers.replace(i))
	}
}
