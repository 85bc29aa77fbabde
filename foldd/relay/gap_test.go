package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/origin"
)

// TestRunsReportGapsAndLateness guards against placement that knows nothing of gaps: a run
// states its gap target, the tokens of an event and whether it has missed a target, and its
// VM's load states the longest gap. A forward without a gap target states none of them.
func TestRunsReportGapsAndLateness(t *testing.T) {
	const gap = 120 * time.Millisecond
	for _, tt := range []struct {
		name, target string
		gapTarget    time.Duration
		late         bool
	}{
		{"gap over its target", `"target": {"firstToken": "1h", "tokenGap": "40ms"},`, 40 * time.Millisecond, true},
		{"late first event", `"target": {"firstToken": "100ms", "tokenGap": "1h"},`, time.Hour, true},
		{"on time", `"target": {"firstToken": "1h", "tokenGap": "1h"},`, time.Hour, false},
		{"no gap target", `"target": {"firstToken": "100ms"},`, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := startVM(t)
			text := fmt.Sprintf(configDocument, spec.HashKey("key"))
			d, err := spec.Parse([]byte(strings.Replace(text, `"name": "draft",`, `"name": "draft", `+tt.target, 1)))
			if err != nil {
				t.Fatal(err)
			}
			r.node.ApplyIndex(spec.NewIndex(d, 2))
			const events = 1 << 10
			e := r.backend("e", "models", func(*http.Request) origin.Behaviour {
				time.Sleep(gap)
				return origin.Behaviour{Events: events, Gap: gap}
			})
			res, err := r.send(http.MethodPost, "/draft/x", "1", "prompt", "Fold-Prompt-Tokens", "100", "Fold-Max-Tokens", "20000")
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			waitFor(t, "some events", func() bool { return e.EventsSent("1") > 3 })
			var l place.Load
			waitFor(t, "the events to be relayed", func() bool {
				l = r.node.Loads("models")["e"]
				return len(l.Runs) == 1 && l.Runs[0].Generated >= 8 && (l.MaxGap > 0) == (tt.gapTarget > 0)
			})
			run := l.Runs[0]
			if run.GapTarget != tt.gapTarget || run.Late != tt.late || (run.EventTokens == 4) != (tt.gapTarget > 0) {
				t.Errorf("got gap target %v, late %t, %d tokens an event; want %v, %t", run.GapTarget, run.Late, run.EventTokens, tt.gapTarget, tt.late)
			}
		})
	}
}
