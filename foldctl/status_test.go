package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"fuchsiafold.example/wire"
)

func sampleStatus() *wire.StatusResponse {
	return &wire.StatusResponse{
		Self:     &wire.Peer{Id: "entry-1", Domain: "a", ConfigRevision: 7},
		Peers:    []*wire.Peer{{Id: "entry-2", Domain: "b", ConfigRevision: 6, Draining: true}},
		Services: []*wire.ServiceStatus{{Service: "models", PlacedBy: "entry-2", Requests: 40, Repeats: 3, RepeatsLeft: 5, Issuer: "entry-3", Backends: []*wire.BackendView{{Backend: "e1", Domain: "a", NewsMillis: 320, Avoided: true, Limit: &wire.RateLimit{Backend: "e1", PerSecond: 5.2}, Load: &wire.EngineLoad{Requests: 2, PrefillTokens: 900}}}}},
		Errors:   []*wire.ErrorCount{{Code: "overload", Count: 12}},
	}
}

func TestWriteStatus(t *testing.T) {
	var out bytes.Buffer
	if err := writeStatus(&out, sampleStatus(), nil); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"VM entry-1 in a: revision 7",
		"entry-2  b       6         draining",
		"service models: 40 requests and 3 retries in the window, 5 retries remaining, placed by entry-2, permits issued by entry-3",
		"e1              a       2               900                   320            avoided limited to 5.2/s",
		"overload    12",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got no line with %q in:\n%s", want, out.String())
		}
	}
}

func TestWriteJSON(t *testing.T) {
	var out bytes.Buffer
	if err := writeJSON(&out, sampleStatus(), nil); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Services []struct {
			Service  string
			Backends []struct{ Backend string }
		}
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Services) != 1 || got.Services[0].Service != "models" || got.Services[0].Backends[0].Backend != "e1" {
		t.Errorf("got %+v", got)
	}
}

// TestColdServerInStatus guards against a status without what slows a server down.
func TestColdServerInStatus(t *testing.T) {
	b := &wire.BackendView{Backend: "e1", ColdMillis: 800, StartRate: 25}
	if got, want := backendState(b), "cold for 800 ms at 25/s"; got != want {
		t.Errorf("state %q, want %q", got, want)
	}
	if got := backendState(&wire.BackendView{Backend: "e1"}); got != "" {
		t.Errorf("state %q of a warm server, want none", got)
	}
}
