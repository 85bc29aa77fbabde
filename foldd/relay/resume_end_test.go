package relay_test

import (
	"net/http"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

// TestQuarantineEndsResumption guards against a request that is sent on though its loss has put
// its prompt in quarantine, and that is reported as not run.
func TestQuarantineEndsResumption(t *testing.T) {
	r := startVM(t)
	for i := range 2 {
		r.crash(i, origin.Behaviour{Crash: true})
		time.Sleep(600 * time.Millisecond)
	}
	behave := respondWith(origin.Behaviour{CrashUnanswered: true})
	servers := []*origin.Server{r.backend("a", "models", behave), r.backend("b", "models", behave)}
	res, err := r.send(http.MethodPost, "/short/x", "9", "prompt", "Fold-Prompt-Parts", "bad:10,own9:10")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusBadGateway || res.Header.Get("Fold-Outcome") != "unknown" || runs("9", servers...) != 1 {
		t.Errorf("status %d, outcome %q, %d runs; want 502 after one", res.StatusCode, res.Header.Get("Fold-Outcome"), runs("9", servers...))
	}
}

// TestConnectionClosedBeforeNextServer guards against two engines at work on one request: the
// second does not answer before the connections to the first are closed.
func TestConnectionClosedBeforeNextServer(t *testing.T) {
	r := startVM(t)
	var servers []*origin.Server
	failing := failsFirst(origin.Behaviour{Status: http.StatusInternalServerError, Body: "error"})
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
}
