package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
)

// TestColdServerKeepsStartRate guards against requests that reach a cold server beyond its
// start rate, that fail because of it while another server takes them, and that it still
// lacks once it is warm. If it is the only server, requests are rejected at once.
func TestColdServerKeepsStartRate(t *testing.T) {
	t.Parallel()
	const requests, rate, cold = 200, 25, 3 * time.Second
	r := startVM(t)
	document := strings.Replace(fmt.Sprintf(configDocument, spec.HashKey("key")), `"name": "app", "kind": "plain"`, fmt.Sprintf(`"name": "app", "kind": "plain", "coldStart": {"rate": %d, "duration": "1s"}`, rate), 1)
	d, err := spec.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	r.node.ApplyIndex(spec.NewIndex(d, 2))
	behave := respondWith(origin.Behaviour{Body: "ok"})
	a, err := origin.New("a", behave)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	a.Meter = &meter.Meter{}
	begun := time.Now()
	r.node.ReceiveAnnouncement(member.Backend{ID: "a", Addr: a.Addr(), Kind: spec.KindPlain, Service: "app", Domain: "a", Epoch: 1, Seq: 1, ColdFor: cold})
	send := func(path string, counts map[int]int) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				status, _, err := r.sendAndRead(http.MethodGet, path, fmt.Sprint(path, i), "")
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
			})
		}
		all.Wait()
	}
	alone := map[int]int{}
	send("/read/alone", alone)
	if alone[http.StatusOK]+alone[http.StatusServiceUnavailable] != requests || alone[http.StatusServiceUnavailable] == 0 {
		t.Errorf("responses %v at a cold server alone, want some 200 and the rest 503", alone)
	}
	r.backend("b", "app", behave)
	both := map[int]int{}
	send("/read/both", both)
	if both[http.StatusOK] != requests {
		t.Errorf("responses %v with a warm server, want 200 to all", both)
	}
	if most := a.Meter.Count(); time.Since(begun) < cold && float64(most) > (1.5*rate+5)*cold.Seconds() {
		t.Errorf("a cold server got %d requests", most)
	}
	before := a.Meter.Count()
	time.Sleep(time.Until(begun.Add(cold)))
	send("/read/warm", map[int]int{})
	if got := a.Meter.Count() - before; got < requests/4 {
		t.Errorf("a warm server beside another one got %d of %d requests", got, requests)
	}
}
