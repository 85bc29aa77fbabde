package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { scenarios["promise"] = promise }

// Figures of the site's booking-app and of its disruption srv_grey.
const (
	greyFor   = 6500 * time.Millisecond
	greyShare = 0.4
	// promiseEngines is the number of engines, one of which is grey: a share of 0.125.
	promiseEngines = 8
	promisePerSec  = 40.0
)

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// promise plays an engine that fails part of its requests, after it has worked on them, with a 503
// of its own that doesn't say that the request has not run.
func promise(c *cluster, trouble bool) (bool, error) {
	if err := c.start(3, 3); err != nil {
		return false, err
	}
	var grey atomic.Bool
	var engines []*engine
	for i := range promiseEngines {
		slots := make(chan struct{}, bookingSlots)
		e, err := newEngine(c, "i-book-"+strconv.Itoa(i+1), "booking-app", zoneName(i), bookingSlots, func(x *exchange) bool {
			slots <- struct{}{}
			defer func() { <-slots }()
			x.run()
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(bookingWork)))
			if grey.Load() && x.e.id == "i-book-1" && rand.Float64() < greyShare {
				return x.answer(http.StatusServiceUnavailable, map[string]string{"X-Server-Stamp": x.stamp()}, []byte("the calendar's store did not answer"))
			}
			return x.answer(http.StatusOK, nil, make([]byte, 800))
		})
		if err != nil {
			return false, err
		}
		defer e.stop()
		engines = append(engines, e)
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
	time.Sleep(4 * time.Second)
	var all, refused, recordedTwice atomic.Int64
	ran := func(a *attempt) bool {
		n := 0
		for _, e := range engines {
			n += e.runs(a.id)
		}
		return n > 0
	}
	one := func(v *vm) {
		all.Add(1)
		first := newAttempt(http.MethodPost, "app.example", "/record/2f", "key-1", 4*time.Second)
		first.body = []byte("reminder " + first.id)
		r := first.send(c.rec, v)
		if !isPromise(r.status) {
			return
		}
		if !ran(first) {
			return
		}
		refused.Add(1)
		c.rec.line("refused, but has run", "id", first.id, "status", r.status)
		// The client retries an unsafe request after a promise, once, with an ID of its own.
		wait, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(wait * float64(time.Second)))
		second := newAttempt(http.MethodPost, "app.example", "/record/2f", "key-1", 4*time.Second-r.took)
		second.body = first.body
		second.send(c.rec, v)
		if ran(second) {
			recordedTwice.Add(1)
			c.rec.line("the same reminder ran twice", "first", first.id, "second", second.id)
		}
	}
	load(c, promisePerSec, 3*time.Second, one)
	if trouble {
		c.rec.line("one engine fails part of its requests from now on")
		grey.Store(true)
	}
	load(c, promisePerSec, greyFor, one)
	grey.Store(false)
	load(c, promisePerSec, 3*time.Second, one)
	time.Sleep(5 * time.Second)
	c.rec.verdict("requests %d; answered with a promise although they had run: %d; reminders that ran twice as clients believed the promise: %d", all.Load(), refused.Load(), recordedTwice.Load())
	return refused.Load() > 0, nil
}
