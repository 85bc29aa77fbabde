package relay_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
)

// TestMovesKeepServerRateLimit guards against calls that copy the runs of a leaving engine
// faster than the limit that the engine names. The runs that can't be copied stay.
func TestMovesKeepServerRateLimit(t *testing.T) {
	t.Parallel()
	const streams, events = 16, 50
	r := startVM(t)
	release := make(chan struct{})
	behave := respondWith(origin.Behaviour{Events: events, Hold: release, HoldAt: 5})
	a := r.backend("a", "models", behave)
	a.Meter = &meter.Meter{}
	done := make(chan error, streams)
	start := func(i int) {
		go func() {
			_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", string(rune('a'+i)), "prompt")
			if got := strings.Count(body, "id: "); err == nil && got != events {
				t.Errorf("stream %d has %d events, want %d", i, got, events)
			}
			done <- err
		}()
		waitFor(t, "the stream to run", func() bool { return a.EventsSent(string(rune('a'+i))) > 0 })
	}
	for i := range streams - 1 {
		start(i)
	}
	a.Meter.Name("1")
	start(streams - 1)
	b := r.backend("b", "models", behave)
	mover := newMover(a, b)
	move, copies := mover.Copy, atomic.Int64{}
	mover.Copy = func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, relay.Reply, error) {
		copies.Add(1)
		return move(ctx, source, id, target, stop)
	}
	r.relay.Mover = mover
	r.announce(a, "models", true)
	time.Sleep(4 * time.Second)
	if allowed := int64(1*4*3/2 + 5); copies.Load() > allowed {
		t.Errorf("%d calls in 4 s to copy runs of an engine that takes 1 request a second; allowed are %d", copies.Load(), allowed)
	}
	close(release)
	for range streams {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func TestReplySaysLimit(t *testing.T) {
	tests := []struct {
		what   string
		status int
		reply  relay.Reply
		want   bool
	}{
		{"names none", http.StatusOK, relay.Reply{}, true},
		{"names none, client's error", http.StatusNotFound, relay.Reply{}, true},
		{"names none, failed", http.StatusInternalServerError, relay.Reply{}, false},
		{"names none, rejected", http.StatusServiceUnavailable, relay.Reply{NotRun: true}, false},
		{"names one, failed", http.StatusInternalServerError, relay.Reply{Limit: limit.Statement{Named: true, Rate: 1}}, true},
		{"names one, rejected", http.StatusServiceUnavailable, relay.Reply{NotRun: true, Limit: limit.Statement{Named: true, Rate: 1}}, true},
		{"another server", http.StatusMisdirectedRequest, relay.Reply{WrongInstance: true, Limit: limit.Statement{Named: true, Rate: 1}}, false},
	}
	for _, tt := range tests {
		if got := tt.reply.SaysLimit(tt.status); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.what, got, tt.want)
		}
	}
}
