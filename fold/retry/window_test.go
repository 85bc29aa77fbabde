package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindowHoldsInEverySpan lets every request fail for a while and checks
// the budget over every span of the window's length.
func TestWindowHoldsInEverySpan(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		w := WindowBudget{Share: 0.2, Length: 10 * time.Second, Reserve: 4}
		now := time.Unix(1000, 0)
		var firsts, repeats []time.Time
		for range 4000 {
			now = now.Add(time.Duration(r.Int64N(int64(20 * time.Millisecond))))
			w.Deposit(now)
			firsts = append(firsts, now)
			if w.Withdraw(now) {
				repeats = append(repeats, now)
			}
		}
		if len(repeats) < 700 {
			t.Errorf("seed %d: only %d repeats of %d requests", seed, len(repeats), len(firsts))
		}
		for i, start := range repeats {
			end := start.Add(w.Length)
			n := 0
			for _, at := range repeats[i:] {
				if !at.After(end) {
					n++
				}
			}
			m := 0
			for _, at := range firsts {
				if !at.Before(start) && !at.After(end) {
					m++
				}
			}
			// The requests are counted in the window or in the one before it.
			before := 0
			for _, at := range firsts {
				if at.After(start.Add(-w.Length)) && !at.After(start) {
					before++
				}
			}
			if float64(n) > 0.2*float64(max(m, before))+w.Reserve {
				t.Fatalf("seed %d: %d repeats from %v, allowed %.1f", seed, n, start, 0.2*float64(max(m, before))+w.Reserve)
			}
		}
	}
}

// TestWindowEmpty has no repeat to give without a request or a reserve.
func TestWindowEmpty(t *testing.T) {
	var w WindowBudget
	if w.Withdraw(time.Unix(1000, 0)) {
		t.Error("a repeat without a request")
	}
}

// TestWindowUsage tells what was sent and what may be.
func TestWindowUsage(t *testing.T) {
	w := WindowBudget{Share: 0.2, Length: 10 * time.Second, Reserve: 0.5}
	now := time.Unix(1000, 0)
	for range 10 {
		w.Deposit(now)
	}
	if !w.Withdraw(now) {
		t.Fatal("no repeat for ten requests")
	}
	if firsts, repeats, left := w.Usage(now); firsts != 10 || repeats != 1 || left != 1 {
		t.Errorf("%d requests, %d repeats, %d left; want 10, 1, 1", firsts, repeats, left)
	}
	if firsts, repeats, left := w.Usage(now.Add(time.Minute)); firsts != 0 || repeats != 0 || left != 0 {
		t.Errorf("a minute later: %d requests, %d repeats, %d left", firsts, repeats, left)
	}
}
