package retry

import (
	"math"
	"time"
)

const (
	// DefaultWindow is the length of a Window that states none.
	DefaultWindow = 10 * time.Second
	// windowSlots is the number of parts that a Window is counted in.
	windowSlots = 20
)

// WindowBudget is one VM's part of a budget that all VMs share: over any span of
// Length they send at most Share repeats for each request, and Reserve besides.
// The zero value takes DefaultShare, DefaultWindow and no reserve.
type WindowBudget struct {
	Share  float64
	Length time.Duration
	// Reserve is the VM's part of the reserve.
	Reserve float64

	slots [windowSlots + 1]windowSlot
}

type windowSlot struct {
	// number counts slots since the zero time.
	number  int64
	firsts  int
	repeats int
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

func (w *WindowBudget) slot(now time.Time) *windowSlot {
	number := now.UnixNano() / int64(w.length()/windowSlots)
	s := &w.slots[number%int64(len(w.slots))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// Deposit counts a request that is sent for the first time.
func (w *WindowBudget) Deposit(now time.Time) { w.slot(now).firsts++ }

// Withdraw counts a repeat and reports true if the budget has room for it.
func (w *WindowBudget) Withdraw(now time.Time) bool {
	if _, _, left := w.Usage(now); left < 1 {
		return false
	}
	w.slot(now).repeats++
	return true
}

// Usage returns how many requests and repeats were sent in the window, and how
// many more repeats may be.
func (w *WindowBudget) Usage(now time.Time) (firsts, repeats, left int) {
	current := w.slot(now)
	for i := range w.slots {
		s := &w.slots[i]
		age := current.number - s.number
		if age < 0 || age > windowSlots {
			continue
		}
		// A span of Length may touch one slot more than it covers: that one
		// counts for repeats, not for requests.
		repeats += s.repeats
		if age < windowSlots {
			firsts += s.firsts
		}
	}
	most := w.share()*float64(firsts) + w.Reserve
	return firsts, repeats, max(int(math.Floor(most))-repeats, 0)
}
