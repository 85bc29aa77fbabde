package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// brittleEngine is a back end of a plain service with slots and a queue. While it is brittle it
// says so in all its answers, lets nobody wait, and falls over once it has turned more than limit
// requests away within a second.
type brittleEngine struct {
	engine
	queue int
	limit int

	bmu     sync.Mutex
	brittle bool
	// strictFrom is when it begins to let nobody wait, and may fall over.
	strictFrom time.Time
	downTill   time.Time
	busy       int
	waiting    int
	turned     []time.Time
	falls      int
	fallConns  chan struct{}
	room       chan struct{}
}

const downFor = 3 * time.Second

func (b *brittleEngine) listen() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.bmu.Lock()
	b.fallConns, b.busy, b.waiting, b.turned = make(chan struct{}), 0, 0, nil
	b.room = make(chan struct{}, b.slots)
	b.bmu.Unlock()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.server.Serve(l)
	return nil
}

func (b *brittleEngine) begin() error {
	if err := b.listen(); err != nil {
		return err
	}
	b.beating = true
	b.newLife()
	return nil
}

// newLife gives the engine a new id, as each start does, and lets it announce itself.
func (b *brittleEngine) newLife() {
	b.mu.Lock()
	b.id, b.seq = fmt.Sprintf("i-%08x", rand.Uint32()), 0
	b.mu.Unlock()
	stop := make(chan struct{})
	b.bmu.Lock()
	down := b.fallConns
	b.bmu.Unlock()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			b.beat()
			select {
			case <-down:
				return
			case <-stop:
				return
			case <-t.C:
			}
		}
	}()
}

// turnAway records a rejected request, and lets the engine fall over if they are too many.
func (b *brittleEngine) turnAway() {
	now := time.Now()
	b.bmu.Lock()
	defer b.bmu.Unlock()
	b.turned = append(b.turned, now)
	for len(b.turned) > 0 && now.Sub(b.turned[0]) > time.Second {
		b.turned = b.turned[1:]
	}
	if !b.brittle || now.Before(b.strictFrom) || len(b.turned) <= b.limit || now.Before(b.downTill) {
		return
	}
	b.falls++
	b.downTill = now.Add(downFor)
	b.rec.log("engine %s falls over: it has turned %d requests away within a second", b.id, len(b.turned))
	close(b.fallConns)
	go func() {
		b.server.Close()
		time.Sleep(downFor)
		if b.listen() == nil {
			b.newLife()
			b.rec.log("engine %s is back (another id)", b.id)
		}
	}()
}

func (b *brittleEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	b.bmu.Lock()
	if b.brittle {
		h.Set("Server-Brittle", fmt.Sprint(b.limit))
	}
	queue := b.queue
	if b.brittle && time.Now().After(b.strictFrom) {
		queue = 0
	}
	down, room := b.fallConns, b.room
	full := b.busy+b.waiting >= b.slots+queue
	if !full {
		b.waiting++
	}
	b.bmu.Unlock()
	io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	self := b.id
	b.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != self {
		b.release(full, false)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		b.turnAway()
		return
	}
	select {
	case room <- struct{}{}:
	case <-down:
		return
	}
	b.bmu.Lock()
	b.waiting--
	b.busy++
	b.bmu.Unlock()
	b.mu.Lock()
	b.runs = append(b.runs, run{id: id, at: time.Now()})
	b.mu.Unlock()
	defer func() {
		<-room
		b.release(false, true)
	}()
	select {
	case <-time.After(b.work):
	case <-down:
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Server-Stamp", "stamp-"+id)
	fmt.Fprintf(w, "answer to %s\n", id)
}

func (b *brittleEngine) release(full, began bool) {
	b.bmu.Lock()
	defer b.bmu.Unlock()
	switch {
	case full:
	case began:
		b.busy--
	default:
		b.waiting--
	}
}

// brittle: the engines of a service say that they are brittle while many users come at once.
func brittle(e *env) (int, error) {
	const (
		contact = 3 * time.Second
		perS    = 160
		burst   = 1.7
		burstS  = 3
		limit   = 8
	)
	f, err := newFleet(e.rec, "tas-south", 134, bounds{
		"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
		"retry_budget": 0.2, "budget_window_s": 10, "budget_slack": 54,
	})
	if err != nil {
		return failed, err
	}
	defer f.stopAll()
	zones := []string{"hobart-a", "hobart-b", "kingston-c"}
	for i, z := range zones {
		f.addMachine("core", z, 11+i)
	}
	var fronts []*machine
	for i, z := range zones {
		fronts = append(fronts, f.addMachine("front", z, 21+i))
	}
	if err := f.startAll(); err != nil {
		return failed, err
	}
	control := []string{f.seeds[0], f.seeds[1], f.seeds[2]}
	op := &operator{rec: e.rec, nodes: control}
	if _, err := op.order(http.MethodPut, "/api/config", plainConfig(1), 15*time.Second); err != nil {
		return failed, err
	}
	var engines []*brittleEngine
	for i, z := range zones {
		g := &brittleEngine{queue: 24, limit: limit}
		g.rec, g.service, g.zone, g.slots, g.work = e.rec, "desk", z, 6, 60*time.Millisecond
		g.addr = fmt.Sprintf("%s.%d:%d", f.network, 101+i, portEngine)
		g.control = func() []string { return control }
		if err := g.begin(); err != nil {
			return failed, err
		}
		engines = append(engines, g)
	}
	if err := awaitReady(f, 10*time.Second); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	load := func(rate float64, d time.Duration) {
		end := time.Now().Add(d)
		for i := 0; time.Now().Before(end); i++ {
			m := fronts[rand.IntN(len(fronts))]
			wg.Go(func() {
				r, err := http.NewRequest(http.MethodPost, "http://"+m.addr(portFront)+"/post/1", nil)
				if err != nil {
					return
				}
				r.Host = "desk.example"
				r.Header.Set("X-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
				r.Header.Set("X-Deadline-Ms", "1500")
				key := "closed without an answer"
				if res, err := client.Do(r); err == nil {
					io.Copy(io.Discard, res.Body)
					res.Body.Close()
					key = fmt.Sprintf("status %d", res.StatusCode)
				}
				mu.Lock()
				ends[key]++
				mu.Unlock()
			})
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		}
	}
	for _, g := range engines {
		g.bmu.Lock()
		g.brittle, g.strictFrom = e.trouble, time.Now().Add(contact)
		g.bmu.Unlock()
	}
	e.rec.log("load of %d requests a second; the engines say that they are brittle: %t", perS, e.trouble)
	load(perS, contact+time.Second)
	wg.Wait()
	e.rec.log("so far: %v", ends)
	e.rec.log("%v times as many for %d s", burst, burstS)
	load(perS*burst, burstS*time.Second)
	load(perS, 4*time.Second)
	wg.Wait()
	falls := 0
	for _, g := range engines {
		g.bmu.Lock()
		falls += g.falls
		g.bmu.Unlock()
	}
	bound := 2 + float64(len(engines))/10
	e.rec.log("answers: %v; the engines fell over %d times, the bound is %.1f", ends, falls, bound)
	if float64(falls) > bound {
		return broken, nil
	}
	return held, nil
}
