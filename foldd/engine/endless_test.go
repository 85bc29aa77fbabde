package engine_test

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldfake/origin"
)

// maxAllocated bounds the memory in bytes that a response of an engine may take.
const maxAllocated = 4 << 20

// TestEndlessResponses guards against an engine whose response has a part without end,
// and takes memory until the process is killed.
func TestEndlessResponses(t *testing.T) {
	for _, part := range origin.EndlessParts() {
		t.Run(string(part), func(t *testing.T) {
			s, err := origin.New("e", func(*http.Request) origin.Behaviour { return origin.Behaviour{Endless: part} })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			stream, _, err := newClient().Start(ctx, s.Addr(), engine.Request{RequestID: "1"})
			if err == nil {
				err = stream.Events(func(engine.Event) bool { return true })
			}
			runtime.ReadMemStats(&after)
			if took := after.TotalAlloc - before.TotalAlloc; took > maxAllocated {
				t.Errorf("took %d bytes, want at most %d", took, maxAllocated)
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, want one before the request timed out", err)
			}
		})
	}
}
