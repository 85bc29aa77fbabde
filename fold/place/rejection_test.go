package place

import (
	"testing"
	"time"
)

// TestRetryAfterGrowsWithRejections checks that the retry time grows with the
// share of rejected requests, stays within its bounds and falls again once the
// overload ends.
func TestRetryAfterGrowsWithRejections(t *testing.T) {
	var rate rejectionRate
	at := now
	afterWindow := func(placed, rejected int) time.Duration {
		at = at.Add(rejectionWindow)
		for i := range placed + rejected {
			rate.count(at, "a", i >= placed)
		}
		return rate.retryAfter(at)
	}
	tests := []struct {
		placed, rejected int
		want             time.Duration
	}{
		{100, 1, minRetryAfter + retriesPerRejection*rejectionWindow/100},
		{70, 30, minRetryAfter + retriesPerRejection*rejectionWindow*30/70},
		{50, 50, maxRetryAfter},
		{10, 90, maxRetryAfter},
		{0, 1, minRetryAfter + time.Second},
		{0, 90, maxRetryAfter},
		{100, 0, minRetryAfter},
	}
	for _, tt := range tests {
		if got := afterWindow(tt.placed, tt.rejected); got != tt.want {
			t.Errorf("%d placed, %d rejected: retry after %v, want %v", tt.placed, tt.rejected, got, tt.want)
		}
	}
}
