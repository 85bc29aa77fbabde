package relay_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldfake/origin"
)

// promises are the statuses that tell callers that their request has not run, other than 421, which
// servers answer only to requests that they did not begin.
var promises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// TestFalsePromiseReachesNoCaller guards against requests that callers send again, and that run
// twice, as a server's own status after a run is passed on and tells callers that nothing ran.
func TestFalsePromiseReachesNoCaller(t *testing.T) {
	for _, status := range promises {
		for _, tt := range []struct {
			name, path, service string
			behaviour           origin.Behaviour
			runs                int
		}{
			{"plain", "/write/x", "app", origin.Behaviour{Status: status, Body: "failed"}, 1},
			{"plain, close-delimited", "/write/x", "app", origin.Behaviour{Status: status, Body: "failed", CloseDelimited: true}, 1},
			{"idempotent", "/read/x", "app", origin.Behaviour{Status: status, Body: "failed"}, 2},
			{"stream", "/draft/x", "models", origin.Behaviour{Status: status, Body: "failed"}, 1},
			{"stream, close-delimited", "/draft/x", "models", origin.Behaviour{Status: status, Body: "failed", CloseDelimited: true}, 1},
			{"resumable stream", "/short/x", "models", origin.Behaviour{Status: status, Body: "failed"}, 2},
		} {
			r := startVM(t)
			servers := []*origin.Server{r.backend("s1", tt.service, respondWith(tt.behaviour)), r.backend("s2", tt.service, respondWith(tt.behaviour))}
			res, err := r.send(http.MethodPost, tt.path, "1", "b")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if outcome := res.Header.Get(fault.HeaderOutcome); res.StatusCode != http.StatusBadGateway || outcome != "unknown" {
				t.Errorf("%s, status %d after a run: the caller got %d, outcome %q; want 502, unknown", tt.name, status, res.StatusCode, outcome)
			}
			if n := runs("1", servers...); n != tt.runs {
				t.Errorf("%s, status %d: the request ran %d times, want %d", tt.name, status, n, tt.runs)
			}
			r.checkIdle()
		}
	}
}

// TestProvedPromiseReachesCaller is the case beside TestFalsePromiseReachesNoCaller: what a server
// did not begin is still reported so, and its other statuses are passed on unchanged.
func TestProvedPromiseReachesCaller(t *testing.T) {
	for path, service := range map[string]string{"/write/x": "app", "/read/x": "app", "/draft/x": "models", "/short/x": "models"} {
		r := startVM(t)
		s := r.backend("s1", service, respondWith(origin.Behaviour{NotRun: true}))
		res, err := r.send(http.MethodPost, path, "1", "b")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if outcome := res.Header.Get(fault.HeaderOutcome); res.StatusCode != http.StatusServiceUnavailable || outcome != "notRun" || s.RunCount("1") != 0 {
			t.Errorf("%s, refused: the caller got %d, outcome %q, %d runs; want 503, notRun, none", path, res.StatusCode, outcome, s.RunCount("1"))
		}
		statuses := []int{http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}
		r = startVM(t)
		for _, id := range []string{"s1", "s2"} {
			r.backend(id, service, func(r *http.Request) origin.Behaviour {
				status, _ := strconv.Atoi(r.Header.Get("Fold-Request-Id"))
				return origin.Behaviour{Status: status, Body: "failed"}
			})
		}
		for _, status := range statuses {
			if got, body, err := r.sendAndRead(http.MethodPost, path, strconv.Itoa(status), "b"); got != status || body != "failed" || err != nil {
				t.Errorf("%s: the caller got %d, %q, %v; want %d, unchanged", path, got, body, err, status)
			}
		}
	}
}

// TestFalsePromiseIsRetried guards against an idempotent request that fails, though another
// server would have served it, because the status of the first one said that it did not run.
func TestFalsePromiseIsRetried(t *testing.T) {
	for _, status := range promises {
		for path, service := range map[string]string{"/read/x": "app", "/short/x": "models"} {
			r := startVM(t)
			behave := failsFirst(origin.Behaviour{Status: status})
			r.backend("s1", service, behave)
			r.backend("s2", service, behave)
			if got, _, err := r.sendAndRead(http.MethodPost, path, "1", "b"); got != http.StatusOK || err != nil {
				t.Errorf("%s, status %d of the first server: the caller got %d, %v; want 200", path, status, got, err)
			}
		}
	}
}
