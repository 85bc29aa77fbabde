package relay_test

import (
	"net/http"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

// TestConnectionClosedBeforeNextServer guards against two engines at work on one request: the
// second does not answer before the connections to the first are closed.
func TestConnectionClosedBeforeNextServer(t *testing.T) {
	for name, first := range map[string]origin.Behaviour{
		"server error": {Status: http.StatusInternalServerError, Body: "error"},
		"silence":      {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := startVM(t)
			if first.Hang {
				r.node.Settings.Retry.Hedge = 0.2
			}
			var servers []*origin.Server
			failing := failsFirst(first)
			behave := func(q *http.Request) origin.Behaviour {
				b := failing(q)
				if b.Events > 0 {
					waitFor(t, "the connection to the first server to be closed", func() bool {
						return servers[0].OpenConnections()+servers[1].OpenConnections() == 1
					})
				}
				return b
			}
			servers = []*origin.Server{r.backend("e1", "models", behave), r.backend("e2", "models", behave)}
			status, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
			if status != http.StatusOK || err != nil || body != allEvents() || runs("1", servers...) != 2 {
				t.Errorf("status %d, error %v, body %q, %d runs; want each event once after two", status, err, body, runs("1", servers...))
			}
		})
	}
}

// TestHedge guards against hedged requests where none are allowed: without the setting, for
// another forward, for an engine that has sent an event, without a budget and at the last attempt.
func TestHedge(t *testing.T) {
	slow := func(*http.Request) origin.Behaviour {
		return origin.Behaviour{Events: 2, Delay: 400 * time.Millisecond}
	}
	slowGap := func(*http.Request) origin.Behaviour {
		return origin.Behaviour{Events: 2, Gap: 1200 * time.Millisecond}
	}
	tests := []struct {
		name, path string
		share      float64
		behave     func(*http.Request) origin.Behaviour
		reserve    float64
		want       int
	}{
		{"on", "/short/x", 0.2, slow, 320, 2},
		{"off", "/short/x", 0, slow, 320, 1},
		{"not resumable", "/draft/x", 0.2, slow, 320, 1},
		{"first event in time", "/short/x", 4, slowGap, 320, 1},
		{"without a budget", "/short/x", 0.2, slow, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startVM(t)
			r.node.Settings.Retry.Hedge, r.node.Settings.Retry.Reserve, r.node.Settings.Retry.Share = tt.share, tt.reserve, 0.001
			servers := []*origin.Server{r.backend("e1", "models", tt.behave), r.backend("e2", "models", tt.behave), r.backend("e3", "models", tt.behave)}
			_, body, err := r.sendAndRead(http.MethodPost, tt.path, "1", "prompt")
			if err != nil || body != origin.Event(1)+origin.Event(2) {
				t.Errorf("error %v, body %q; want both events", err, body)
			}
			if n := runs("1", servers...); n != tt.want {
				t.Errorf("%d runs, want %d", n, tt.want)
			}
		})
	}
}
