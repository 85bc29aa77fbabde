package retry_test

import (
	"testing"
	"time"

	"fuchsiafold.example/fold/retry"
)

func TestPauseDoublesUpToLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	pauses := retry.Pauses{}
	if pauses.Active(now, "a") {
		t.Error("a back-off before any failure")
	}
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second} {
		pauses.Fail(now, "a", time.Second, 5*time.Second)
		if !pauses.Active(now.Add(want-1), "a") || pauses.Active(now.Add(want), "a") {
			t.Errorf("after %d failures the back-off ends after %v, want %v", i+1, pauses["a"].Until.Sub(now), want)
		}
	}
	for range 100 {
		pauses.Fail(now, "a", time.Second, 5*time.Second)
	}
	if got := pauses["a"].Until.Sub(now); got != 5*time.Second {
		t.Errorf("after many failures %v", got)
	}
}
