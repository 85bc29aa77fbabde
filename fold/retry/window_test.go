package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindowBudgetHoldsInEverySpan lets every request fail for a while and
// checks that the budget holds over every span of the window's length.
func TestWindowBudgetHoldsInEverySpan(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		w := WindowBudget{Share: 0.2, Length: 10 * time.Second, Reserve: 4}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range 4000 {
			now = now.Add(time.Duration(r.Int64N(int64(20 * time.Millisecond))))
			w.Deposit(now)
			requests = append(requests, now)
			if w.Withdraw(now) {
				retries = append(retries, now)
			}
		}
		if len(retries) < 700 {
			t.Errorf("seed %d: got %d retries for %d requests, want at least 700", seed, len(retries), len(requests))
		}
		for i, start := range retries {
			end := start.Add(w.Length)
			retryCount := 0
			for _, at := range retries[i:] {
				if !at.After(end) {
					retryCount++
				}
			}
			requestCount := 0
			for _, at := range requests {
				if !at.Before(start) && !at.After(end) {
					requestCount++
				}
			}
			// The budget may count the requests of the span itself or of the
			// window before it.
			countBefore := 0
			for _, at := range requests {
				if at.After(start.Add(-w.Length)) && !at.After(start) {
					countBefore++
				}
			}
			if float64(retryCount) > 0.2*float64(max(requestCount, countBefore))+w.Reserve {
				t.Fatalf("seed %d: %d retries in the span from %v, want at most %.1f", seed, retryCount, start, 0.2*float64(max(requestCount, countBefore))+w.Reserve)
			}
		}
	}
}

// TestEmptyWindowAllowsNoRetry checks that there is no retry without a request
// or a reserve.
func TestEmptyWindowAllowsNoRetry(t *testing.T) {
	var w WindowBudget
	if w.Withdraw(time.Unix(1000, 0)) {
		t.Error("got a retry without a request or reserve")
	}
}

// TestWindowBudgetUsage checks the counts of sent requests and retries and of
// remaining retries, in the window and after it.
func TestWindowBudgetUsage(t *testing.T) {
	w := WindowBudget{Share: 0.2, Length: 10 * time.Second, Reserve: 0.5}
	now := time.Unix(1000, 0)
	for range 10 {
		w.Deposit(now)
	}
	if !w.Withdraw(now) {
		t.Fatal("got no retry for ten requests")
	}
	if requests, retries, remaining := w.Usage(now); requests != 10 || retries != 1 || remaining != 1 {
		t.Errorf("got %d requests, %d retries, %d remaining; want 10, 1, 1", requests, retries, remaining)
	}
	if requests, retries, remaining := w.Usage(now.Add(time.Minute)); requests != 0 || retries != 0 || remaining != 0 {
		t.Errorf("a minute later: got %d requests, %d retries, %d remaining; want 0, 0, 0", requests, retries, remaining)
	}
}
