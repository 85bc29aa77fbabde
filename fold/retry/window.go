package retry

import (
	"math"
	"time"
)

const (
	// DefaultWindow is the length of a WindowBudget whose Length is zero.
	DefaultWindow = 10 * time.Second
	// windowSlots is the number of slots into which the window is divided for
	// counting.
	windowSlots = 20
)

// WindowBudget is one VM's part of a retry budget that all VMs share. Over any
// span of Length, the VMs together send at most Share retries for each request,
// plus the reserve. The zero value uses DefaultShare, DefaultWindow and no
// reserve. WindowBudget is not safe for concurrent use.
type WindowBudget struct {
	// Share is the number of retries that each request earns.
	Share float64
	// Length is the length of the window over which requests and retries are
	// counted.
	Length time.Duration
	// Reserve is this VM's part of the reserve.
	Reserve float64

	slots [windowSlots + 1]windowSlot
}

// windowSlot holds the counts of one slot of the window.
type windowSlot struct {
	// number is the index of the slot, counted from the Unix epoch.
	number   int64
	requests int
	retries  int
}

func (w *WindowBudget) length() time.Duration {
	if w.Length == 0 {
		return DefaultWindow
	}
	return w.Length
}

func (w *WindowBudget) share() float64 {
	if w.Share == 0 {
		return DefaultShare
	}
	return w.Share
}

// slot returns the slot of the time now. It clears the slot first if it holds
// counts of an earlier window.
func (w *WindowBudget) slot(now time.Time) *windowSlot {
	number := now.UnixNano() / int64(w.length()/windowSlots)
	s := &w.slots[number%int64(len(w.slots))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// Deposit counts a request that is sent for the first time.
func (w *WindowBudget) Deposit(now time.Time) { w.slot(now).requests++ }

// Withdraw takes one retry from the budget. It reports false, and counts nothing,
// if the budget is exhausted.
func (w *WindowBudget) Withdraw(now time.Time) bool {
	if _, _, remaining := w.Usage(now); remaining < 1 {
		return false
	}
	w.slot(now).retries++
	return true
}

// Usage returns the number of requests and of retries sent in the window, and
// the number of further retries that the budget allows.
func (w *WindowBudget) Usage(now time.Time) (requests, retries, remaining int) {
	current := w.slot(now)
	for i := range w.slots {
		s := &w.slots[i]
		age := current.number - s.number
		if age < 0 || age > windowSlots {
			continue
		}
		// A span of Length may overlap one slot more than it covers. That slot
		// counts for retries but not for requests, so that the limit holds in
		// every span.
		retries += s.retries
		if age < windowSlots {
			requests += s.requests
		}
	}
	allowed := w.share()*float64(requests) + w.Reserve
	return requests, retries, max(int(math.Floor(allowed))-retries, 0)
}
