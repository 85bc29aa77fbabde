package limit

import (
	"math"
	"time"
)

const (
	// burstTime is the time for which unused permits accumulate.
	burstTime = time.Second
	// minRate is the rate to which a lower limit, zero too, is raised: the server can
	// only end its limit in the response to a request.
	minRate Rate = 0.1
)

// bucket is a token bucket of which each token permits one request.
type bucket struct {
	tokens float64
	// at is the time up to which the bucket was refilled.
	at time.Time
}

// refill adds the tokens that accumulate at a rate up to now.
func (b *bucket) refill(now time.Time, rate Rate) {
	if now.After(b.at) {
		b.tokens += float64(rate) * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, burst(rate))
}

// coldBurst is the time for which permits for a cold server accumulate. The bound is for any
// one second, and has to hold with the permits that wait at the issuers and at each VM.
const coldBurst = 200 * time.Millisecond

// refillCold is refill for a cold server. Unless keep is set, a token that isn't taken within
// coldBurst is lost, and the bucket keeps the fraction of the next one. The many VMs that each
// have a small share then never all hold a token at the same moment, as they would with a
// bucket that stays full.
func (b *bucket) refillCold(now time.Time, rate Rate, keep bool) {
	if now.After(b.at) {
		b.tokens += float64(rate) * now.Sub(b.at).Seconds()
		b.at = now
	}
	over := b.tokens - 1 - float64(rate)*coldBurst.Seconds()
	switch {
	case over <= 0:
	case keep:
		b.tokens -= over
	default:
		b.tokens -= math.Floor(over) + 1
	}
}

// burst returns the size of a bucket in tokens.
func burst(rate Rate) float64 { return max(float64(rate)*burstTime.Seconds(), 1) }

// take takes a token. If there is none, it returns the time until there is one.
func (b *bucket) take(rate Rate) (wait time.Duration, ok bool) {
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return b.wait(rate), false
}

// wait returns the time until there is a token at a rate above zero, at least minWait and
// at most maxWait.
func (b *bucket) wait(rate Rate) time.Duration {
	seconds := max(1-b.tokens, 0) / float64(rate)
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

// minWait and maxWait bound the time for which a VM asks for no permit after it got none.
const (
	minWait = 20 * time.Millisecond
	maxWait = 5 * time.Second
)
