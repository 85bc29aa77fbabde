package main

import (
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["digits"] = digits }

// Figures of the case.
const (
	// needRate is what an engine in need takes, in requests a second: ten in three seconds.
	needRate      = 10.0 / 3
	needPerSecond = 60.0
	needFor       = 20 * time.Second
	limitWindow   = 4 * time.Second
	// passedOnFor is the time since a VM has passed on an answer with the limit from which on its
	// requests count.
	passedOnFor = 500 * time.Millisecond
)

// needyEngine records the arrivals at an engine that names a limit.
type needyEngine struct {
	mu        sync.Mutex
	inNeed    bool
	firstName time.Time
	arrivals  []needyArrival
}

type needyArrival struct {
	at time.Time
	id string
}

// limitText is the limit as the engine writes it: the shortest decimal number that reads back as
// the same value. LIMIT_TEXT sets another text.
func limitText() string {
	if text := os.Getenv("LIMIT_TEXT"); text != "" {
		return text
	}
	return strconv.FormatFloat(needRate, 'f', -1, 64)
}

// fields notes an arrival and returns the header fields of its answer.
func (n *needyEngine) fields(x *exchange) map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, needyArrival{time.Now(), x.id()})
	if !n.inNeed {
		return nil
	}
	if n.firstName.IsZero() {
		n.firstName = time.Now()
	}
	return map[string]string{"Server-Limit": limitText()}
}

// worst returns the largest number of counted arrivals in a window that begins later than
// contact_ms after the limit was first named.
func (n *needyEngine) worst(counts func(a needyArrival) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.firstName.IsZero() {
		return 0
	}
	var at []time.Time
	for _, a := range n.arrivals {
		if a.at.After(n.firstName.Add(contactTime)) && counts(a) {
			at = append(at, a.at)
		}
	}
	most := 0
	for i, first := range at {
		k := 0
		for k < len(at)-i && at[i+k].Sub(first) <= limitWindow {
			k++
		}
		most = max(most, k)
	}
	return most
}

// passedOn holds when each VM first passed on an answer with the limit, and which VM got each
// attempt.
type passedOn struct {
	mu   sync.Mutex
	at   map[*vm]time.Time
	sent map[string]*vm
}

func (p *passedOn) begin(a *attempt, v *vm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[a.id] = v
}

func (p *passedOn) end(v *vm, r reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.header.Get("Server-Limit") != "" && p.at[v].IsZero() {
		p.at[v] = time.Now()
	}
}

// counts reports whether the arrival came from a VM that had passed on an answer with the limit
// half a second before or earlier.
func (p *passedOn) counts(a needyArrival) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.at[p.sent[a.id]]
	return ok && a.at.Sub(at) >= passedOnFor
}

// digits plays an engine that names a rate limit which is no short decimal number.
func digits(c *cluster, trouble bool) (bool, error) {
	if err := c.start(3, 3); err != nil {
		return false, err
	}
	needy := &needyEngine{}
	for i := range 3 {
		slots := make(chan struct{}, bookingSlots)
		e, err := newEngine(c, "i-book-"+strconv.Itoa(i+1), "booking-app", zoneName(i), bookingSlots, func(x *exchange) bool {
			var fields map[string]string
			if x.e.id == "i-book-1" {
				fields = needy.fields(x)
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			x.run()
			time.Sleep(bookingWork)
			return x.answer(http.StatusOK, fields, make([]byte, 800))
		})
		if err != nil {
			return false, err
		}
		defer e.stop()
	}
	d := document{
		Version: 1, Limits: defaultLimits(), Tenants: []tenant{{Name: "t1", Keys: []string{"key-1"}}},
		Routes:   []route{{Name: "record", Host: "app.example", Prefix: "/record/", Kind: "unsafe", TimeoutMS: 4000, TargetMS: 300, Priority: 2, Service: "booking-app", Attempts: 1}},
		Services: []service{{Name: "booking-app", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}},
	}
	if err := c.configure(d, 15*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	passed := &passedOn{at: map[*vm]time.Time{}, sent: map[string]*vm{}}
	var all, ok atomic.Int64
	one := func(v *vm) {
		all.Add(1)
		a := newAttempt(http.MethodPost, "app.example", "/record/2f", "key-1", 4*time.Second)
		a.body = make([]byte, 600)
		passed.begin(a, v)
		r := a.send(c.rec, v)
		passed.end(v, r)
		if r.status == http.StatusOK {
			ok.Add(1)
		}
	}
	load(c, needPerSecond, 3*time.Second, one)
	if trouble {
		c.rec.line("one engine names a limit from now on", "Server-Limit", limitText())
		needy.mu.Lock()
		needy.inNeed = true
		needy.mu.Unlock()
	}
	load(c, needPerSecond, needFor, one)
	time.Sleep(5 * time.Second)
	worst := needy.worst(passed.counts)
	bound := 1.5*needRate*limitWindow.Seconds() + 5
	c.rec.verdict("requests %d, served %d; most arrivals in 4 s at the engine that names Server-Limit %s: %d, allowed %.1f", all.Load(), ok.Load(), limitText(), worst, bound)
	return float64(worst) > bound, nil
}
