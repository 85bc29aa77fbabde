package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in of a back end, as the users' pages describe it.
type engine struct {
	rec                     *recorder
	id, service, zone, addr string
	slots                   int
	// work is how long a plain request takes. events and gap describe a stream, if events is
	// above zero.
	work   time.Duration
	events int
	gap    time.Duration

	// control returns the addresses of the nodes that serve control, in the order in which the
	// engine tries them.
	control func() []string

	server *http.Server
	stop   context.CancelFunc
	done   context.Context

	mu      sync.Mutex
	leaving bool
	// state is that of the heartbeats, "ready" if it is empty.
	state   string
	seq     int
	beating bool
	runs    []run
}

// run is a request that the engine began to work on.
type run struct {
	id, from string
	at       time.Time
	whole    bool
}

const heartbeat = 1200 * time.Millisecond

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.done, e.stop, e.beating = ctx, cancel, true
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go e.server.Serve(l)
	go e.beatLoop(ctx)
	return nil
}

// exit ends the engine as the end of its process would.
func (e *engine) exit() {
	if e.done.Err() != nil {
		return
	}
	e.stop()
	e.server.Close()
	e.rec.log("engine %s exits", e.id)
}

func (e *engine) beatLoop(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		e.mu.Lock()
		beating := e.beating
		e.mu.Unlock()
		if beating {
			e.beat()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// beat sends one heartbeat: to the next node if one does not acknowledge it within a second.
func (e *engine) beat() {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.state != "" {
		state = e.state
	}
	body := mustJSON(map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "cold_left_ms": 0, "seq": e.seq,
	})
	e.mu.Unlock()
	for _, node := range e.control() {
		if call(http.MethodPut, "http://"+node+"/api/instances/"+e.id, body) == nil {
			return
		}
	}
}

// call makes one call to the system, which must be answered with 2xx within a second.
func call(method, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := oneShot.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// oneShot is a client that uses each connection once.
var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (e *engine) runsCopy() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	e.mu.Lock()
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/healthz":
		h.Set("X-Instance-Id", e.id)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	io.Copy(io.Discard, r.Body)
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	e.mu.Lock()
	e.runs = append(e.runs, run{id: id, from: from, at: time.Now()})
	n := len(e.runs) - 1
	e.mu.Unlock()
	e.rec.log("engine %s (zone %s) runs request %s", e.id, e.zone, id)
	h.Set("X-Server-Stamp", "stamp-"+e.id+"-"+id)
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if e.events > 0 {
		h.Set("Content-Type", "text/event-stream")
		h.Set("X-Weight-Versions", "1")
		for i := 1; i <= e.events; i++ {
			select {
			case <-time.After(e.gap):
			case <-r.Context().Done():
				return
			case <-e.done.Done():
				return
			}
			if time.Now().After(deadline) {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
			w.(http.Flusher).Flush()
		}
	} else {
		select {
		case <-time.After(e.work):
		case <-e.done.Done():
			return
		}
		fmt.Fprintf(w, "answer to %s\n", id)
	}
	e.mu.Lock()
	e.runs[n].whole = true
	e.mu.Unlock()
}
