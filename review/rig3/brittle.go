package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["brittle"] = brittle }

// Figures of the case.
const (
	usualQueue   = 24
	brittleQueue = 2
	// brittleRejects is the number of requests that a brittle engine may turn away in a second.
	brittleRejects = 5
	brittleBack    = 3 * time.Second
	// brittleUsual is the load in requests a second: 60% of what the engines can work on.
	brittleUsual = 180.0
	burstFactor  = 1.7
)

// brittleState is shared by the engines of the service.
type brittleState struct {
	mu sync.Mutex
	// saysAt is when the engines began to say that they are brittle, zero before.
	saysAt time.Time
	falls  int
}

// brittleEngine is the room of one engine.
type brittleEngine struct {
	state    *brittleState
	mu       sync.Mutex
	inside   int
	rejected []time.Time
}

// fields returns the header fields of each answer, and how many requests may wait.
func (s *brittleState) fields(now time.Time) (map[string]string, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.saysAt.IsZero():
		return nil, usualQueue, false
	case now.Sub(s.saysAt) < contactTime:
		return map[string]string{"Server-Brittle": strconv.Itoa(brittleRejects)}, usualQueue, false
	}
	return map[string]string{"Server-Brittle": strconv.Itoa(brittleRejects)}, brittleQueue, true
}

// handle serves one request, or turns it away for want of room, after which a brittle engine may
// fall over.
func (b *brittleEngine) handle(slots chan struct{}) func(x *exchange) bool {
	return func(x *exchange) bool {
		fields, queue, falls := b.state.fields(time.Now())
		b.mu.Lock()
		if b.inside >= bookingSlots+queue {
			now := time.Now()
			b.rejected = append(b.rejected, now)
			for len(b.rejected) > 0 && now.Sub(b.rejected[0]) > time.Second {
				b.rejected = b.rejected[1:]
			}
			over := falls && len(b.rejected) > brittleRejects
			if over {
				b.rejected = nil
			}
			b.mu.Unlock()
			all := map[string]string{"X-Not-Run": "1"}
			for name, value := range fields {
				all[name] = value
			}
			kept := x.answer(http.StatusServiceUnavailable, all, nil)
			if over {
				b.state.mu.Lock()
				b.state.falls++
				b.state.mu.Unlock()
				x.e.rec.line("engine falls over", "engine", x.e.id, "inside", b.inside)
				x.e.crash(brittleBack)
			}
			return kept
		}
		b.inside++
		b.mu.Unlock()
		defer func() {
			b.mu.Lock()
			b.inside--
			b.mu.Unlock()
		}()
		slots <- struct{}{}
		defer func() { <-slots }()
		x.run()
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(bookingWork)))
		return x.answer(http.StatusOK, fields, make([]byte, 800))
	}
}

// brittle plays two bursts while the engines of a service say that they are brittle.
func brittle(c *cluster, trouble bool) (bool, error) {
	if err := c.start(3, 3); err != nil {
		return false, err
	}
	state := &brittleState{}
	var engines []*engine
	for i := range 3 {
		b := &brittleEngine{state: state}
		e, err := newEngine(c, "i-book-"+strconv.Itoa(i+1), "booking-app", zoneName(i), bookingSlots, b.handle(make(chan struct{}, bookingSlots)))
		if err != nil {
			return false, err
		}
		defer e.stop()
		engines = append(engines, e)
	}
	d := document{
		Version: 1, Limits: defaultLimits(), Tenants: []tenant{{Name: "t1", Keys: []string{"key-1"}}},
		Routes: []route{
			{Name: "record", Host: "app.example", Prefix: "/record/", Kind: "unsafe", TimeoutMS: 4000, TargetMS: 300, Priority: 2, Service: "booking-app", Attempts: 1},
			{Name: "lookup", Host: "app.example", Prefix: "/lookup/", Kind: "safe", TimeoutMS: 4000, TargetMS: 300, Priority: 2, Service: "booking-app", Attempts: 2},
		},
		Services: []service{{Name: "booking-app", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}},
	}
	if err := c.configure(d, 15*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var lost, refused, served, all atomic.Int64
	one := func(v *vm) {
		all.Add(1)
		a := newAttempt(http.MethodGet, "app.example", "/lookup/2f", "key-1", 4*time.Second)
		if rand.Float64() < 0.7 {
			a = newAttempt(http.MethodPost, "app.example", "/record/2f", "key-1", 4*time.Second)
			a.body = make([]byte, 600)
		}
		r := a.send(c.rec, v)
		ran := 0
		for _, e := range engines {
			ran += e.runs(a.id)
		}
		switch {
		case r.status == http.StatusOK:
			served.Add(1)
		case r.status == http.StatusServiceUnavailable:
			refused.Add(1)
		case ran > 0:
			lost.Add(1)
		}
	}
	load(c, brittleUsual, 6*time.Second, one)
	if trouble {
		c.rec.line("engines are brittle from now on")
		state.mu.Lock()
		state.saysAt = time.Now()
		state.mu.Unlock()
	}
	load(c, brittleUsual, 5*time.Second, one)
	state.mu.Lock()
	calm := state.falls
	state.mu.Unlock()
	for range 2 {
		c.rec.line("burst")
		load(c, brittleUsual*burstFactor, 3*time.Second, one)
		load(c, brittleUsual, 8*time.Second, one)
	}
	time.Sleep(5 * time.Second)
	state.mu.Lock()
	falls := state.falls
	state.mu.Unlock()
	bound := 2 + float64(len(engines))/10
	c.rec.verdict("falls %d (%d before the bursts), allowed %.1f; requests %d, served %d, refused %d, begun at an engine and lost %d", falls, calm, bound, all.Load(), served.Load(), refused.Load(), lost.Load())
	return float64(falls) > bound, nil
}
