package limit

import "time"

const (
	// maxCooldown bounds a cooldown. A longer one is more likely a mistake than meant, and
	// a server that means it can say so again.
	maxCooldown = 5 * time.Minute
	// cooldownAllowance is the number of requests that a server may get during a cooldown.
	// They are kept for runs in progress.
	cooldownAllowance = 2
)

// RetryAfter is what a response by which a server turns a request away says of the time
// for which the server wants no further one from this VM: a cooldown. The zero value says
// nothing.
type RetryAfter struct {
	Wait time.Duration
	// Invalid is the value of the header field if that is no number of seconds. It says
	// nothing then. Shortened is set if Wait was reduced to maxCooldown.
	Invalid   string
	Shortened bool
}

// ParseRetryAfter parses the values of the Retry-After header field. A decimal fraction
// of a second counts; a date doesn't. Of several values the longest counts.
func ParseRetryAfter(values []string) RetryAfter {
	var out RetryAfter
	for _, v := range values {
		seconds, ok := parseDecimal(v)
		if !ok {
			return RetryAfter{Invalid: v}
		}
		if seconds > maxCooldown.Seconds() {
			out.Shortened, seconds = true, maxCooldown.Seconds()
		}
		out.Wait = max(out.Wait, time.Duration(seconds*float64(time.Second)))
	}
	return out
}

// cooldown is a time in which a server wants no request from this VM.
type cooldown struct {
	until time.Time
	// allowance is the number of requests that the server may still get.
	allowance int
}

// cooldowns holds the cooldown of each server, by server ID. A new start of the server
// does not end it.
type cooldowns map[string]*cooldown

// begin records that a server wants no request for some time. It reports whether the
// server had no cooldown before.
func (c *cooldowns) begin(now time.Time, id string, wait time.Duration) bool {
	if *c == nil {
		*c = cooldowns{}
	}
	current := (*c)[id]
	if current == nil || !now.Before(current.until) {
		(*c)[id] = &cooldown{until: now.Add(wait), allowance: cooldownAllowance}
		return true
	}
	if until := now.Add(wait); until.After(current.until) {
		current.until = until
	}
	return false
}

// active returns the cooldown of a server, or nil if there is none.
func (c cooldowns) active(now time.Time, id string) *cooldown {
	if current := c[id]; current != nil && now.Before(current.until) {
		return current
	}
	return nil
}

// expire drops the cooldowns that have ended.
func (c cooldowns) expire(now time.Time) {
	for id, current := range c {
		if !now.Before(current.until) {
			delete(c, id)
		}
	}
}
