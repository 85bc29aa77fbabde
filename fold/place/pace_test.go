package place

import (
	"testing"
	"time"
)

func TestPaceTime(t *testing.T) {
	tests := []struct {
		name   string
		pace   Pace
		events int
		want   time.Duration
	}{
		{"before the first event", Pace{}, 10, firstEventTime + 10*eventGap},
		{"after one event", Pace{Events: 1}, 10, 10 * eventGap},
		{"as fast as it went", Pace{Events: 11, In: time.Second}, 9, 900 * time.Millisecond},
		{"after a burst", Pace{Events: 11}, 9, 9 * minEventGap},
		{"none left", Pace{Events: 11, In: time.Second}, 0, 0},
	}
	for _, tt := range tests {
		if got := tt.pace.Time(tt.events); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
