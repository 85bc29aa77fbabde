package limit

import "time"

// Use says what a request to a server is for.
type Use int

// The uses.
const (
	// Begin: the request begins work at the server.
	Begin Use = iota
	// Continue: the request keeps alive a run that is in progress there, or that was
	// moved there.
	Continue
	// CleanUp: the request ends or frees something that the server would drop by itself.
	CleanUp
)

// Cause says why a request gets no permit.
type Cause int

// The causes.
const (
	// RateLimit: the server's rate limit is used up.
	RateLimit Cause = iota
	// Leaving: the server has said that it is leaving.
	Leaving
	// Cooldown: the server has turned a request away and wants none for some time.
	Cooldown
	// Evacuated: the failure domain of the server is evacuated. The Limiter doesn't decide
	// this.
	Evacuated
)

// String returns the cause's name in logs and metrics.
func (c Cause) String() string {
	return [...]string{"rateLimit", "leaving", "cooldown", "evacuated"}[c]
}

// ObserveLeaving records that a response of a server says that it is leaving. It reports
// whether that is new.
func (l *Limiter) ObserveLeaving(s Server) bool { return l.departures.add(s) }

// Departed reports whether a server has said to this VM that it is leaving.
func (l *Limiter) Departed(s Server) bool { return l.departures.has(s) }

// ObserveRetryAfter records that a server has turned a request away and wants none for
// some time. It reports whether the server had no cooldown before.
func (l *Limiter) ObserveRetryAfter(now time.Time, s Server, wait time.Duration) bool {
	return l.cooldowns.begin(now, s.ID, wait)
}

// Cooldown returns the time for which a server wants no request from this VM, and whether
// there is any.
func (l *Limiter) Cooldown(now time.Time, s Server) (time.Duration, bool) {
	c := l.cooldowns.active(now, s.ID)
	if c == nil {
		return 0, false
	}
	return c.until.Sub(now), true
}

// Withhold decides whether a request must not be sent because of what its server has said
// of itself to this VM. It returns false if nothing is against it.
func (l *Limiter) Withhold(now time.Time, s Server, use Use) (Decision, bool) {
	if use == Begin && l.Departed(s) {
		return Decision{Verdict: Denied, Cause: Leaving}, true
	}
	c := l.cooldowns.active(now, s.ID)
	if c == nil || use == Continue && c.allowance > 0 {
		return Decision{}, false
	}
	return Decision{Verdict: Denied, Cause: Cooldown, RetryAfter: max(c.until.Sub(now), minWait)}, true
}

// Sending counts a request that is sent to a server. It must be called at once after
// Withhold has returned false.
func (l *Limiter) Sending(now time.Time, s Server) {
	if c := l.cooldowns.active(now, s.ID); c != nil && c.allowance > 0 {
		c.allowance--
	}
}

// Idle reports whether no server has named a rate limit or has a cooldown.
func (l *Limiter) Idle() bool { return l.Empty() && len(l.cooldowns) == 0 }
