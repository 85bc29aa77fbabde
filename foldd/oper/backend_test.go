package oper

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"fuchsiafold.example/fold/spec"
)

// TestAnnouncedColdTime guards against a server that states how long it stays cold and gets
// requests as a warm one, and against a time that overflows.
func TestAnnouncedColdTime(t *testing.T) {
	for ms, want := range map[uint64]time.Duration{0: 0, 1500: 1500 * time.Millisecond, math.MaxUint64: spec.MaxCold} {
		b, err := json.Marshal(map[string]any{"id": "s", "addr": "127.0.0.1:9", "kind": spec.KindPlain, "service": "app", "epoch": 1, "seq": 1, "coldMillis": ms})
		if err != nil {
			t.Fatal(err)
		}
		var a announcement
		if err := json.Unmarshal(b, &a); err != nil {
			t.Fatal(err)
		}
		got, err := a.toBackend()
		if err != nil || got.ColdFor != want {
			t.Errorf("coldMillis %d: cold for %v, %v, want %v", ms, got.ColdFor, err, want)
		}
	}
}
