// Package retry decides which requests may be sent again. It classifies how an
// attempt ended, which is also reported to the caller, and limits the number of
// retries.
package retry

import "time"

// Outcome is what is known for certain about the execution of a request.
type Outcome int

// The outcomes. The zero value makes no claim.
const (
	// Unknown: the request may have run.
	Unknown Outcome = iota
	// NotRun: the request provably did not run. It was never sent, or was
	// refused before it began.
	NotRun
	// Interrupted: the request ran in part.
	Interrupted
	// Done: the request ran and its answer is complete.
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
	// Sent must be set before the first byte of the request may be sent.
	Sent bool
	// Refused is set when the backend server said that it did not begin the
	// request.
	Refused bool
	// ResponseStarted is set when a part of the answer has arrived.
	ResponseStarted bool
	// ResponseComplete is set when the complete answer has arrived.
	ResponseComplete bool
}

// Outcome returns the outcome that the attempt proves.
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
// It may not once the answer is complete. Otherwise, an idempotent request may,
// and any other only if it provably did not run.
func (a Attempt) Retryable(idempotent bool) bool {
	if a.ResponseComplete {
		return false
	}
	return idempotent || a.Outcome() == NotRun
}

// Budget limits retries to a share of first attempts, so that retries can't
// multiply an overload. The zero value allows retries for DefaultShare of the
// first attempts, plus a reserve of DefaultReserve. Budget is not safe for
// concurrent use.
type Budget struct {
	// Share is the number of retries that each first attempt earns.
	Share float64
	// Reserve bounds the number of retries that can be saved up.
	Reserve float64
	// spent is the number of retries not yet earned back. It never exceeds
	// Reserve.
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

// Withdraw takes one retry from the budget. It reports false, and takes
// nothing, if the budget is exhausted.
func (b *Budget) Withdraw() bool {
	if b.spent+1 > b.reserve() {
		return false
	}
	b.spent++
	return true
}

// Limits on the attempts for one request.
const (
	MaxAttempts = 4
	MaxBackoff  = 2 * time.Second
	minBackoff  = 10 * time.Millisecond
)

// Backoff returns the wait before retry n, counted from 1. The wait doubles
// with each retry up to MaxBackoff. random, in [0, 1), then sets it between half
// of that value and all of it.
func Backoff(n int, random float64) time.Duration {
	d := minBackoff << min(n, 16)
	d = min(d, MaxBackoff)
	return time.Duration(float64(d) * (0.5 + random/2))
}
