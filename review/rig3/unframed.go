package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["unframed"] = unframed }

// Figures of the engines of the case.
const (
	unframedSlots = 24
	// A queue is long from longQueue waiting requests on, until there are shortQueue. An engine
	// takes no connection beyond one for each slot while its queue is long.
	longQueue     = 12
	shortQueue    = 4
	unframedConns = 272
	runEvents     = 40
	runInterval   = 40 * time.Millisecond
	keptClients   = 84
)

// crowdedEngine is an engine whose queue may be long.
type crowdedEngine struct {
	*engine
	slots    chan struct{}
	waiting  atomic.Int64
	long     atomic.Bool
	resets   atomic.Int64
	mu       sync.Mutex
	complete map[string]bool
}

// admit reports whether a further connection is kept: max_conns of them, or fewer while the queue
// is long.
func (e *crowdedEngine) admit(open int) bool {
	limit := unframedConns
	switch waiting := e.waiting.Load(); {
	case waiting >= longQueue:
		e.long.Store(true)
	case waiting <= shortQueue:
		e.long.Store(false)
	}
	if e.long.Load() {
		limit = unframedSlots
	}
	if open < limit {
		return true
	}
	e.resets.Add(1)
	return false
}

// handle serves a stream once there is a slot. unframed leaves out the length and the chunks of its
// answer.
func (e *crowdedEngine) handle(unframed bool) func(x *exchange) bool {
	return func(x *exchange) bool {
		if x.req.Method == http.MethodPost && x.req.URL.Path == "/api/kv-move" {
			return x.answer(http.StatusServiceUnavailable, nil, nil)
		}
		e.waiting.Add(1)
		e.slots <- struct{}{}
		e.waiting.Add(-1)
		defer func() { <-e.slots }()
		x.run()
		fields := map[string]string{"Content-Type": "text/event-stream", "X-Server-Stamp": x.stamp()}
		if !unframed {
			fields["Transfer-Encoding"] = "chunked"
		}
		if _, err := x.conn.Write(x.head(http.StatusOK, fields)); err != nil {
			return false
		}
		for k := 1; k <= runEvents; k++ {
			time.Sleep(runInterval)
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", k, x.id())
			if !unframed {
				event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
			if _, err := x.conn.Write([]byte(event)); err != nil {
				return false
			}
		}
		if !unframed {
			if _, err := x.conn.Write([]byte("0\r\n\r\n")); err != nil {
				return false
			}
		}
		e.mu.Lock()
		e.complete[x.id()] = true
		e.mu.Unlock()
		x.e.rec.line("engine sent all", "engine", x.e.id, "id", x.id())
		return !unframed
	}
}

// unframed plays crowded engines whose answers end with their connection.
func unframed(c *cluster, trouble bool) (bool, error) {
	if err := c.start(3, 3); err != nil {
		return false, err
	}
	var engines []*crowdedEngine
	for i := range 2 {
		e := &crowdedEngine{slots: make(chan struct{}, unframedSlots), complete: map[string]bool{}}
		base, err := newEngine(c, "i-llm-"+strconv.Itoa(i+1), "advice-models", zoneName(i), unframedSlots, e.handle(trouble))
		if err != nil {
			return false, err
		}
		e.engine = base
		base.mu.Lock()
		base.admitConn = e.admit
		base.mu.Unlock()
		defer e.stop()
		engines = append(engines, e)
	}
	d := document{
		Version: 1, Limits: defaultLimits(), Tenants: []tenant{{Name: "t1", Keys: []string{"key-1"}}},
		Routes:   []route{{Name: "summary", Host: "app.example", Prefix: "/summary/", Kind: "stream", TimeoutMS: 39000, TargetMS: 1800, Service: "advice-models", Attempts: 1, GapMS: 180, Sticky: true}},
		Services: []service{llmService("advice-models")},
	}
	if err := c.configure(d, 15*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var all, whole, answered, otherwise, cut, planned atomic.Int64
	reloads := &reloadTimes{at: map[*vm]time.Time{}}
	end := time.Now().Add(25 * time.Second)
	done := func(a *attempt, r reply, kept bool) {
		all.Add(1)
		engineDone := false
		for _, e := range engines {
			e.mu.Lock()
			engineDone = engineDone || e.complete[a.id]
			e.mu.Unlock()
		}
		switch {
		case r.complete && r.status == http.StatusOK:
			whole.Add(1)
		case r.complete:
			answered.Add(1)
		case kept && engineDone:
			cut.Add(1)
			c.rec.line("closed without the end of an answer that the engine had sent whole", "id", a.id, "vm", a.vm.id)
			if reloads.covers(a.vm, a.sentAt) {
				planned.Add(1)
			}
		default:
			otherwise.Add(1)
		}
	}
	fronts := c.fronts()
	var clients sync.WaitGroup
	for i := range keptClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			next := func() *attempt { return newStream("/summary/2f", "279,160", 20*time.Second) }
			c.keptClient(fronts[i%len(fronts)], end, next, done, pauseAfter)
		})
	}
	time.Sleep(12 * time.Second)
	// One VM of three: the site's hup has a share of 0.6.
	reloads.add(fronts[0])
	c.signal(fronts[0], syscall.SIGHUP)
	clients.Wait()
	c.rec.verdict("streams %d, whole %d, answered with another status %d, failed otherwise %d; closed without the end of an answer that the engine had sent whole, on a kept connection %d (3 allowed), of these around a SIGHUP %d (0 allowed); connections that engines reset %d",
		all.Load(), whole.Load(), answered.Load(), otherwise.Load(), cut.Load(), planned.Load(), engines[0].resets.Load()+engines[1].resets.Load())
	return cut.Load() > 3 || planned.Load() > 0, nil
}

// pauseAfter returns how long a client waits after an answer: longer after a failure.
func pauseAfter(r reply) time.Duration {
	if r.complete && r.status == http.StatusOK {
		return 100 * time.Millisecond
	}
	return 500 * time.Millisecond
}

// reloadTimes holds when each VM got a SIGHUP.
type reloadTimes struct {
	mu sync.Mutex
	at map[*vm]time.Time
}

func (t *reloadTimes) add(v *vm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at[v] = time.Now()
}

// covers reports whether a request that ends now counts as one around the VM's SIGHUP: it was sent
// no later than config_apply_ms after it.
func (t *reloadTimes) covers(v *vm, sentAt time.Time) bool {
	const configApply = 2 * time.Second
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.at[v]
	return ok && !sentAt.After(at.Add(configApply))
}
