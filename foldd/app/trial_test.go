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

// TestTrialOnLiveTraffic checks that a trial splits the requests between two
// policies and measures each of them, and that the arrivals are recorded. The
// record has no text of prompts or answers.
func TestTrialOnLiveTraffic(t *testing.T) {
	t.Parallel()
	const requests = 60
	recordFile := filepath.Join(t.TempDir(), "trace.jsonl")
	a := startEntry(t, "a1", func(s *conf.Settings) { s.RecordFile = recordFile })
	startEngine(t, "e1", a)
	doc := testConfig()
	doc.Trial = &spec.Trial{A: spec.PolicyForecast, B: spec.PolicyNaive, Split: spec.SplitRequest}
	a.Node.ApplyIndex(spec.NewIndex(doc, 2))
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			r := readAnswer(generationRequest("summary", 12, true).send(t, a), nil)
			checkCompleteAnswer(t, r.text, r.summary, 12)
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
		t.Errorf("got arms %v, want 2 with at least a fifth of the requests each", arms)
	}
	a.Close()
	checkRecordFile(t, recordFile, requests)
}

// checkRecordFile fails unless the file at path contains the given number of
// arrivals, with the fields of the requests that the test sends.
func checkRecordFile(t *testing.T, path string, requests int) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := record.Read(f)
	if err != nil || len(lines) != requests {
		t.Fatalf("got %d lines, error %v; want one line for each request", len(lines), err)
	}
	for _, l := range lines {
		if l.Arrival.GeneratedTokens != 12 || l.Arrival.Class != "summary" || l.Arrival.Workspace != "alpha" {
			t.Fatalf("got arrival %+v, want 12 tokens, class summary, workspace alpha", l.Arrival)
		}
	}
}
