// Package retry decides what may be sent again: how a failed attempt ended,
// whether another one is allowed, and what the caller is told.
package retry

import "time"

// Outcome says what became of a request, as far as it is proved.
type Outcome int

// The outcomes. The zero value claims nothing.
const (
	// Unknown: the request may have run.
	Unknown Outcome = iota
	// NotRun: proved, never sent or refused before it began.
	NotRun
	// Interrupted: the request ran in part.
	Interrupted
	// Done: the request ran and its answer is whole.
	Done
)

var outcomeNames = [...]string{"unknown", "notRun", "interrupted", "done"}

func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Attempt records how far one attempt got. The zero value is an attempt that
// has sent nothing.
type Attempt struct {
	// Sent is set before the first byte of the request may leave.
	Sent bool
	// Refused is set when the backend server said that it did not begin.
	Refused bool
	// ResponseStarted is set when a part of the answer arrived.
	ResponseStarted bool
	// ResponseComplete is set when the answer arrived entirely.
	ResponseComplete bool
}

// Outcome returns what the attempt proves.
func (a Attempt) Outcome() Outcome {
	switch {
	case a.ResponseComplete:
		return Done
	case a.ResponseStarted:
		return Interrupted
	case a.Refused, !a.Sent:
		return NotRun
	}
	return Unknown
}

// Retryable reports whether the request may be sent again after the attempt.
func (a Attempt) Retryable(idempotent bool) bool {
	if a.ResponseComplete {
		return false
	}
	return idempotent || a.Outcome() == NotRun
}

// Budget limits retries to a share of first attempts, so that retries cannot
// multiply an overload. The zero value allows DefaultShare of traffic plus a
// reserve of DefaultReserve.
type Budget struct {
	// Share is the number of retries earned by each first attempt.
	Share float64
	// Reserve bounds the retries saved up.
	Reserve float64
	// spent counts retries not yet earned back and never exceeds Reserve.
	spent float64
}

// Defaults of a Budget.
const (
	DefaultShare   = 0.1
	DefaultReserve = 10.0
)

func (b *Budget) share() float64 {
	if b.Share == 0 {
		return DefaultShare
	}
	return b.Share
}

func (b *Budget) reserve() float64 {
	if b.Reserve == 0 {
		return DefaultReserve
	}
	return b.Reserve
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() { b.spent = max(0, b.spent-b.share()) }

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.spent+1 > b.reserve() {
		return false
	}
	b.spent++
	return true
}

// Limits of the attempts for one request.
const (
	MaxAttempts = 4
	MaxBackoff  = 2 * time.Second
	minBackoff  = 10 * time.Millisecond
)

// Backoff returns the wait before retry n, counted from 1, spread by a random
// number in [0, 1).
func Backoff(n int, random float64) time.Duration {
	d := minBackoff << min(n, 16)
	d = min(d, MaxBackoff)
	return time.Duration(float64(d) * (0.5 + random/2))
}
