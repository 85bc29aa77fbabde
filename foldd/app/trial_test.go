package app_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/wire"
)

// TestTrialOnLiveTraffic splits requests between two policies and measures
// each. What was served is recorded, without any text.
func TestTrialOnLiveTraffic(t *testing.T) {
	t.Parallel()
	const requests = 60
	trace := filepath.Join(t.TempDir(), "trace.jsonl")
	a := startEntry(t, "a1", func(s *conf.Settings) { s.RecordFile = trace })
	startEngine(t, "e1", a)
	doc := testConfig()
	doc.Trial = &spec.Trial{A: spec.PolicyForecast, B: spec.PolicyNaive, Split: spec.SplitRequest}
	a.Node.ApplyIndex(spec.NewIndex(doc, 2))
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			r := read(generation("summary", 12, true).send(t, a), nil)
			checkWhole(t, r.text, r.fold, 12)
		})
	}
	wg.Wait()
	c := wire.NewOperatorServiceClient(http.DefaultClient, "http://"+a.Addrs().Operators.String())
	var arms []*wire.Arm
	waitFor(t, "all requests to be measured", func() bool {
		res, err := c.Compare(context.Background(), connect.NewRequest(&wire.CompareRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		arms = res.Msg.GetArms()
		total := uint64(0)
		for _, m := range arms {
			total += m.GetRequests()
		}
		return total == requests
	})
	if len(arms) != 2 || arms[0].GetRequests() < requests/5 || arms[1].GetRequests() < requests/5 {
		t.Errorf("arms %v", arms)
	}
	a.Close()
	checkTrace(t, trace, requests)
}

func checkTrace(t *testing.T, name string, requests int) {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := record.Read(f)
	if err != nil || len(lines) != requests {
		t.Fatalf("%d lines, error %v", len(lines), err)
	}
	for _, l := range lines {
		if l.Arrival.GeneratedTokens != 12 || l.Arrival.Class != "summary" || l.Arrival.Workspace != "alpha" {
			t.Fatalf("arrival %+v", l.Arrival)
		}
	}
}
