package place

import (
	"testing"
	"time"
)

func TestEventRateTimeFor(t *testing.T) {
	tests := []struct {
		name   string
		rate   EventRate
		events int
		want   time.Duration
	}{
		{"before the first event", EventRate{}, 10, firstEventTime + 10*eventGap},
		{"after one event", EventRate{Events: 1}, 10, 10 * eventGap},
		{"at the observed rate", EventRate{Events: 11, Elapsed: time.Second}, 9, 900 * time.Millisecond},
		{"after a burst", EventRate{Events: 11}, 9, 9 * minEventGap},
		{"no further events", EventRate{Events: 11, Elapsed: time.Second}, 0, 0},
	}
	for _, tt := range tests {
		if got := tt.rate.TimeFor(tt.events); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
