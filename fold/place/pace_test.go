package place

import (
	"testing"
	"time"
)

func TestPaceTime(t *testing.T) {
	tests := []struct {
		name   string
		pace   EventRate
		events int
		want   time.Duration
	}{
		{"before the first event", EventRate{}, 10, firstEventTime + 10*eventGap},
		{"after one event", EventRate{Events: 1}, 10, 10 * eventGap},
		{"as fast as it went", EventRate{Events: 11, Elapsed: time.Second}, 9, 900 * time.Millisecond},
		{"after a burst", EventRate{Events: 11}, 9, 9 * minEventGap},
		{"none left", EventRate{Events: 11, Elapsed: time.Second}, 0, 0},
	}
	for _, tt := range tests {
		if got := tt.pace.TimeFor(tt.events); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
