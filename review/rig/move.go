package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["move"] = moveCase }

const (
	// moveEngines is the number of model engines in the case of a stopped run: one that
	// leaves is at most 0.13 of them.
	moveEngines = 8
	// shortStreams is the number of short streams beside the long one, and minRuns the
	// number of requests of the engine that leaves of which one answer may be lost.
	shortStreams = 240
	minRuns      = 20
	// shortInterval is the time between two short streams. They and the move take less
	// than 4 s.
	shortInterval = 8 * time.Millisecond
)

// moveCase checks that a stream whose run was stopped for a move, and was not
// continued, doesn't look complete.
func moveCase(w *world, trouble bool) error {
	fronts, err := smallWorld(w, 2, streamConfig)
	if err != nil {
		return err
	}
	for i := range moveEngines {
		o := engineOptions{ID: fmt.Sprintf("i-%d", i+1), Service: "models", Zone: "zone-1", Events: streamEvents, Gap: 50 * time.Millisecond, LoseMoveAnswer: true}
		if _, err := w.startEngine(o); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	c, err := w.dial(fronts[0])
	if err != nil {
		return err
	}
	defer c.close()
	r := streamRequest("aaaaaaaa00000000", oddPath)
	if err := c.send(r); err != nil {
		return err
	}
	result := make(chan answer, 1)
	go func() { result <- c.receive(r) }()
	served := w.sendShort(fronts)
	w.rec.add("client", "%d of %d short streams were served whole", served, shortStreams)
	var at *engineProc
	for _, p := range w.procs {
		if strings.Contains(w.engineLog(p.id), "runs "+r.id) {
			at = p
		}
	}
	if at == nil {
		return fmt.Errorf("the stream did not begin")
	}
	if trouble {
		w.rec.add("platform", "engine %s leaves", at.id)
		at.leave()
	}
	got := <-result
	ids := events(got.body)
	w.rec.add("client", "%s: %s, %d events", r.id, got, len(ids))
	time.Sleep(500 * time.Millisecond)
	w.recordEngine(at.id)
	runs := strings.Count(w.engineLog(at.id), "runs ")
	w.rec.add("case", "%s ran %d requests", at.id, runs)
	for i, n := range ids {
		if n != i+1 {
			return fmt.Errorf("%w: event %d stands in place %d", errBroken, n, i+1)
		}
	}
	switch {
	case got.status != http.StatusOK:
		return fmt.Errorf("the stream was not served: %v", got)
	case trouble && runs < minRuns:
		return fmt.Errorf("%s ran only %d requests: one lost answer is too much", at.id, runs)
	case trouble && !strings.Contains(w.engineLog(at.id), "is lost"):
		return fmt.Errorf("the run was not moved")
	case got.err == nil && len(ids) < streamEvents:
		return fmt.Errorf("%w: the stream ended as complete after %d of %d events", errBroken, len(ids), streamEvents)
	case !trouble && len(ids) != streamEvents:
		return fmt.Errorf("%w: without a disruption, %d of %d events came", errBroken, len(ids), streamEvents)
	}
	return nil
}

// sendShort sends short streams to the front VMs and returns how many were served
// whole.
func (w *world) sendShort(fronts []*vm) int {
	var wg sync.WaitGroup
	var served atomic.Int32
	for i := range shortStreams {
		wg.Go(func() {
			c, err := w.dial(fronts[i%len(fronts)])
			if err != nil {
				return
			}
			defer c.close()
			a := c.do(streamRequest(fmt.Sprintf("aaaaaaaa%08x", i+1), shortPath))
			if a.err == nil && len(events(a.body)) == shortEvents {
				served.Add(1)
			}
		})
		time.Sleep(shortInterval)
	}
	wg.Wait()
	return int(served.Load())
}
