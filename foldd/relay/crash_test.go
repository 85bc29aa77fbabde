package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiafold.example/foldfake/origin"
)

func (r *testVM) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.node.Metrics).Count()
}

// crash starts an engine that crashes under the next request, and sends it one with
// the shared part "bad" and the given number.
func (r *testVM) crash(n int, b origin.Behaviour) {
	r.t.Helper()
	e := r.backend(fmt.Sprint("e", n), "models", respondWith(b))
	if status, _, err := r.sendAndRead(http.MethodPost, "/draft/x", fmt.Sprint(n), "", "Fold-Prompt-Parts", fmt.Sprintf("bad:10,own%d:10", n)); err == nil && status == http.StatusOK {
		r.t.Errorf("request %d was served", n)
	}
	e.Close()
	r.announce(e, "models", true)
}

// TestQuarantinedPromptIsRejected checks what callers get whose prompts crash engines.
func TestQuarantinedPromptIsRejected(t *testing.T) {
	r := startVM(t)
	for i := range 3 {
		r.crash(i, origin.Behaviour{Crash: true})
		time.Sleep(600 * time.Millisecond)
	}
	e := r.backend("last", "models", respondWith(origin.Behaviour{Events: streamEvents}))
	res, err := r.send(http.MethodPost, "/draft/x", "4", "", "Fold-Prompt-Parts", "bad:10,own4:10")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if res.StatusCode != http.StatusServiceUnavailable || err != nil || seconds < 60 || e.RunCount("4") != 0 {
		t.Errorf("status %d, Retry-After %q, %d runs; want 503, the time of the next trial, none", res.StatusCode, res.Header.Get("Retry-After"), e.RunCount("4"))
	}
	if status, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "5", "", "Fold-Prompt-Parts", "good:10,bad:10"); err != nil || status != http.StatusOK || body != allEvents() {
		t.Errorf("a request whose last part has the same ID: status %d, error %v; want 200", status, err)
	}
}

// TestPartOfManyIsQuarantined guards against a part that crashes engines and that is never found,
// because the prompts that have it have many parts, long IDs or large numbers.
func TestPartOfManyIsQuarantined(t *testing.T) {
	many := strings.Repeat("common:10,", 3) + strings.Join(slices.Repeat([]string{"c:1"}, 200), ",")
	long := strings.Repeat("f", 300)
	for _, bad := range []string{many + ",bad:10", "bad:10," + many, long + ":10", "bad:123456789012345678901234567890", "bad"} {
		r := startVM(t)
		parts := func(own int) string { return fmt.Sprintf("%s,own%d:10", bad, own) }
		r.backend("sound", "models", respondWith(origin.Behaviour{Events: streamEvents}))
		if status, _, err := r.sendAndRead(http.MethodPost, "/draft/x", "sound", "", "Fold-Prompt-Parts", many+",own:1"); status != http.StatusOK || err != nil {
			t.Fatalf("status %d, error %v", status, err)
		}
		r.node.MarkBackendLeaving("sound", 1)
		for i := range 3 {
			e := r.backend(fmt.Sprint("e", i), "models", respondWith(origin.Behaviour{Crash: true}))
			if status, _, err := r.sendAndRead(http.MethodPost, "/draft/x", fmt.Sprint(i), fmt.Sprint(i), "Fold-Prompt-Parts", parts(i)); err == nil && status == http.StatusOK {
				t.Errorf("request %d was served", i)
			}
			e.Close()
			r.announce(e, "models", true)
			time.Sleep(600 * time.Millisecond)
		}
		e := r.backend("last", "models", respondWith(origin.Behaviour{Events: streamEvents}))
		if status, _, err := r.sendAndRead(http.MethodPost, "/draft/x", "4", "4", "Fold-Prompt-Parts", parts(4)); status != http.StatusServiceUnavailable || err != nil || e.RunCount("4") != 0 {
			t.Errorf("%.40q...: status %d, error %v, %d runs; want 503, none", bad, status, err, e.RunCount("4"))
		}
		if status, _, err := r.sendAndRead(http.MethodPost, "/draft/x", "5", "5", "Fold-Prompt-Parts", many+",own:1"); status != http.StatusOK || err != nil {
			t.Errorf("%.40q...: a request without the part: status %d, error %v; want 200", bad, status, err)
		}
	}
}

// TestLossesThatAreNoCrashes ends runs in ways that say nothing of their prompts.
func TestLossesThatAreNoCrashes(t *testing.T) {
	t.Run("leaving engine", func(t *testing.T) {
		r := startVM(t)
		release := make(chan struct{})
		e := r.backend("e", "models", respondWith(origin.Behaviour{Events: 5, Hold: release, HoldAt: 1}))
		done := make(chan struct{})
		go func() {
			_, _, _ = r.sendAndRead(http.MethodPost, "/draft/x", "1", "", "Fold-Prompt-Parts", "p:10,own:10")
			close(done)
		}()
		waitFor(t, "the run", func() bool { return e.EventsSent("1") == 1 })
		r.announce(e, "models", true)
		e.Close()
		close(release)
		<-done
		if n := r.counter("poison.losses"); n != 0 {
			t.Errorf("%d losses were recorded, want none", n)
		}
	})
	t.Run("caller that leaves", func(t *testing.T) {
		r := startVM(t)
		e := r.backend("e", "models", respondWith(origin.Behaviour{Events: 1 << 20, Gap: 50 * time.Millisecond}))
		res, err := r.send(http.MethodPost, "/draft/x", "1", "", "Fold-Prompt-Parts", "p:10,own:10")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		waitFor(t, "the engine to stop", func() bool { return !e.Running("1") })
		waitFor(t, "the request to end", func() bool { return r.node.Streams() == 0 })
		if n := r.counter("poison.losses"); n != 0 {
			t.Errorf("%d losses were recorded, want none", n)
		}
	})
	t.Run("run that went on", func(t *testing.T) {
		r := startVM(t)
		r.backend("e", "models", respondWith(origin.Behaviour{Events: streamEvents, TruncateAt: 12}))
		_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "", "Fold-Prompt-Parts", "p:10,own:10")
		if err == nil || strings.Count(body, "id: ") != 11 {
			t.Errorf("error %v, body %q; want 11 events of a broken stream", err, body)
		}
		if n := r.counter("poison.losses"); n != 0 {
			t.Errorf("%d losses were recorded, want none", n)
		}
	})
}
