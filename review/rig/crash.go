package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = crashCase }

const (
	// crashEngines is the number of engines in the case of a crash: one of them is at
	// most 0.17 of them.
	crashEngines = 6
	// crashDown is how long the engine that crashes is down.
	crashDown = 4500 * time.Millisecond
	// crashClients is the number of requests under way when it crashes. Half of them may
	// run only once.
	crashClients = 24
	// halfTime is the time between the two halves of an answer.
	halfTime = 400 * time.Millisecond
)

// crashCase checks that an answer that ends early because its engine has crashed does
// not look complete.
func crashCase(w *world, trouble bool) error {
	fronts, err := smallWorld(w, 2, streamConfig)
	if err != nil {
		return err
	}
	for i := range crashEngines {
		if _, err := w.startEngine(crashOptions(i + 1)); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	crashed := w.procs[0]
	if trouble {
		time.AfterFunc(halfTime/2, func() {
			w.rec.add("platform", "engine %s crashes", crashed.id)
			crashed.kill()
		})
	}
	var mu sync.Mutex
	var wrong []string
	served := 0
	var wg sync.WaitGroup
	for i := range crashClients {
		wg.Go(func() {
			a, id := w.oddRequest(fronts[i%2], i)
			mu.Lock()
			defer mu.Unlock()
			if a.err != nil || a.status/100 != 2 {
				return
			}
			served++
			if !a.whole(id) {
				wrong = append(wrong, id)
			}
		})
	}
	wg.Wait()
	if trouble {
		time.Sleep(crashDown)
		if _, err := w.startEngine(crashOptions(crashEngines + 1)); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	for i := range crashEngines {
		w.recordEngine(fmt.Sprintf("i-%d", i+1))
	}
	w.rec.add("client", "%d requests were sent, %d were answered with success", crashClients, served)
	switch {
	case served == 0:
		return fmt.Errorf("no request was served")
	case trouble && strings.Count(w.engineLog(crashed.id), "runs ") == 0:
		return fmt.Errorf("the engine that crashed ran no request")
	case len(wrong) > 0:
		return fmt.Errorf("%w: %d of %d successes hold only the first half of the engine's answer: %s", errBroken, len(wrong), served, strings.Join(wrong, " "))
	case !trouble && served != crashClients:
		return fmt.Errorf("%w: without a disruption, %d of %d were served", errBroken, served, crashClients)
	}
	return nil
}

func crashOptions(n int) engineOptions {
	return engineOptions{ID: fmt.Sprintf("i-%d", n), Service: "app", Zone: fmt.Sprintf("zone-%d", n%3+1), Work: 60 * time.Millisecond, Pause: halfTime}
}

// oddRequest sends a request whose answer has neither a length nor chunks.
func (w *world) oddRequest(v *vm, n int) (answer, string) {
	r := clientRequest{method: "POST", path: "/record/1" + oddPlainSuffix, id: fmt.Sprintf("cccccccc%08x", n), deadline: 4 * time.Second, body: "reminder"}
	if n%4 > 1 {
		r.method, r.path, r.body = http.MethodGet, "/lookup/1"+oddPlainSuffix, ""
	}
	c, err := w.dial(v)
	if err != nil {
		return answer{err: err}, r.id
	}
	defer c.close()
	return c.do(r), r.id
}

// whole reports whether an answer is the whole long answer of its engine.
func (a answer) whole(id string) bool {
	engine, _, _ := strings.Cut(a.header.Get("X-Server-Stamp"), ".")
	return a.body == longAnswer(engine, id)
}
