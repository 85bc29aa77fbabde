package place

import (
	"testing"
	"time"
)

// TestBack plays a load at which some requests are turned away: the more there
// are, the later is the next one told to come back, and the sooner once the
// load has gone.
func TestBack(t *testing.T) {
	var a turnaways
	at := now
	play := func(placed, turned int) time.Duration {
		at = at.Add(backWindow)
		for i := range placed + turned {
			a.count(at, i >= placed)
		}
		return a.back(at)
	}
	tests := []struct {
		placed, turned int
		want           time.Duration
	}{
		{100, 1, minBack + returns*backWindow/100},
		{70, 30, minBack + returns*backWindow*30/70},
		{50, 50, maxBack},
		{10, 90, maxBack},
		{0, 1, minBack + time.Second},
		{0, 90, maxBack},
		{100, 0, minBack},
	}
	for _, tt := range tests {
		if got := play(tt.placed, tt.turned); got != tt.want {
			t.Errorf("%d placed, %d turned away: %v, want %v", tt.placed, tt.turned, got, tt.want)
		}
	}
}
