package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["extra"] = extraCase }

const (
	// extraEngines is the number of engines in the case of extra bytes, of which one
	// sends them.
	extraEngines = 3
	// extraClients is the number of clients at the same time.
	extraClients = 16
	// loadTime is how long they send requests.
	loadTime = 5 * time.Second
)

// extraCase checks that bytes that belong to no request, which a faulty engine sends
// after a complete answer, never become the answer to a request.
func extraCase(w *world, trouble bool) error {
	fronts, err := smallWorld(w, 2, streamConfig)
	if err != nil {
		return err
	}
	for i := range extraEngines {
		o := engineOptions{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: fmt.Sprintf("zone-%d", i+1), Work: 60 * time.Millisecond, Extra: trouble && i == 0}
		if _, err := w.startEngine(o); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var wrong []string
	served, sent := 0, 0
	var wg sync.WaitGroup
	for i := range extraClients {
		wg.Go(func() {
			for end, n := time.Now().Add(loadTime), 0; time.Now().Before(end); n++ {
				a, id := w.plainRequest(fronts[i%2], i, n)
				mu.Lock()
				sent++
				if a.err == nil && a.status/100 == 2 {
					served++
					if !a.fromEngine(id) {
						wrong = append(wrong, id)
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	w.recordEngine("i-1")
	w.rec.add("client", "%d requests were sent, %d were answered with success", sent, served)
	log := w.engineLog("i-1") + w.engineLog("i-2") + w.engineLog("i-3")
	ran := 0
	for _, id := range wrong {
		ran += strings.Count(log, "runs "+id)
	}
	switch {
	case served == 0:
		return fmt.Errorf("no request was served")
	case len(wrong) > 0:
		return fmt.Errorf("%w: %d of %d successes bear no signature and are not the engine's answer; %d of these requests ran", errBroken, len(wrong), served, ran)
	case !trouble && served != sent:
		return fmt.Errorf("%w: without a disruption, %d of %d were served", errBroken, served, sent)
	}
	return nil
}

// plainRequest sends one request on a connection of its own, and returns the answer
// and the request's ID. Every other one may run once only.
func (w *world) plainRequest(v *vm, client, n int) (answer, string) {
	r := clientRequest{method: "POST", path: "/record/1", id: fmt.Sprintf("bbbb%04x%08x", client, n), deadline: 4 * time.Second, body: "reminder"}
	if n%2 == 1 {
		r.method, r.path, r.body = http.MethodGet, "/lookup/1", ""
	}
	c, err := w.dial(v)
	if err != nil {
		return answer{err: err}, r.id
	}
	defer c.close()
	return c.do(r), r.id
}

// fromEngine reports whether an answer is that of an engine to the request id.
func (a answer) fromEngine(id string) bool {
	engine, _, _ := strings.Cut(a.header.Get("X-Server-Stamp"), ".")
	return a.header.Get("X-Server-Stamp") == engine+"."+id && a.body == plainAnswer(engine, id)
}
