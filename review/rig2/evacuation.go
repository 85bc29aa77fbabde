package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	evacuateTime = 5 * time.Second
	// freezeTime is how long a front machine stands still.
	freezeTime = 3500 * time.Millisecond
	// evacuationRounds is how often it is tried. The machine that wakes may notice first that the
	// caller of the order has gone.
	evacuationRounds = 10
)

// evacuation: a front machine freezes with an order to take an evacuation back in its socket. The
// operator sends that order to another machine, which acknowledges it, and then evacuates the zone
// again. When the frozen machine wakes, it carries out the old order.
func evacuation(e *env) (int, error) {
	f, err := newFleet(e.rec, "gulf-south", 112, bounds{
		"contact_ms": 4000, "ack_ms": 5000, "drain_ms": 2500, "grace_s": 8, "config_apply_ms": 2500, "evacuate_ms": evacuateTime.Milliseconds(),
		"retry_budget": 0.2, "budget_window_s": 10, "budget_slack": 162,
	})
	if err != nil {
		return failed, err
	}
	defer f.stopAll()
	zones := []string{"gs-a", "gs-b", "gs-c"}
	for i, z := range zones {
		f.addMachine("core", z, 11+i)
	}
	var fronts []*machine
	for i := range 10 {
		fronts = append(fronts, f.addMachine("front", zones[i%len(zones)], 21+i))
	}
	if err := f.startAll(); err != nil {
		return failed, err
	}
	// The last three front machines, one a zone, are never frozen. Only they get requests.
	frozen, calm := fronts[:7], fronts[7:]
	var engines []*engine
	for i, z := range zones {
		g := &engine{rec: e.rec, id: fmt.Sprintf("i-%s", z), service: "desk", zone: z, addr: fmt.Sprintf("%s.%d:%d", f.network, 101+i, portEngine), slots: 6, work: 20 * time.Millisecond}
		g.control = func() []string { return f.seeds }
		engines = append(engines, g)
	}
	op := &operator{rec: e.rec, nodes: []string{calm[0].addr(portControl), calm[1].addr(portControl)}}
	if _, err := op.order(http.MethodPut, "/api/config", plainConfig(1), 15*time.Second); err != nil {
		return failed, err
	}
	for _, g := range engines {
		if err := g.start(); err != nil {
			return failed, err
		}
		defer g.exit()
	}
	if err := awaitReady(f, 10*time.Second); err != nil {
		return failed, err
	}
	// Longer than contact_ms since the start: all machines are in touch.
	time.Sleep(6 * time.Second)
	if _, err := op.order(http.MethodPost, "/api/evacuate/gs-b", nil, 5*time.Second); err != nil {
		return failed, err
	}
	for i := range evacuationRounds {
		e.rec.log("round %d", i+1)
		acked, err := e.evacuateAgain(f, op, frozen[i%len(frozen)])
		if err != nil {
			return failed, err
		}
		// From evacuate_ms after the acknowledgement on, no request may reach the zone.
		from := acked.Add(evacuateTime)
		time.Sleep(time.Until(from.Add(100 * time.Millisecond)))
		for k := range 10 {
			request{node: calm[k%len(calm)].addr(portFront), host: "desk.example", path: "/post/1", id: fmt.Sprintf("e%02d-%d", i+1, k), deadline: 1500 * time.Millisecond, body: "x"}.send(e.rec)
		}
		count := 0
		for _, r := range engines[1].runsCopy() {
			if r.at.After(from) {
				count++
			}
		}
		e.rec.log("%d of 10 requests reached the evacuated zone gs-b later than %v after the acknowledgement, with no order since to take it back", count, evacuateTime)
		if count > 0 {
			return broken, nil
		}
	}
	return held, nil
}

// evacuateAgain takes the evacuation of a zone back, with the machine m asked first, and evacuates
// the zone again. It returns when that was acknowledged. With the disruption, m stands still from
// before the first order until freezeTime later.
func (e *env) evacuateAgain(f *fleet, op *operator, m *machine) (acked time.Time, err error) {
	if e.trouble {
		f.signal(m, syscall.SIGSTOP)
	}
	began := time.Now()
	back := &operator{rec: e.rec, nodes: append([]string{m.addr(portControl)}, op.nodes...)}
	if _, err = back.order(http.MethodDelete, "/api/evacuate/gs-b", nil, 5*time.Second); err == nil {
		time.Sleep(500 * time.Millisecond)
		acked, err = op.order(http.MethodPost, "/api/evacuate/gs-b", nil, 5*time.Second)
	}
	time.Sleep(time.Until(began.Add(freezeTime)))
	if e.trouble {
		f.signal(m, syscall.SIGCONT)
	}
	return acked, err
}

// plainConfig is a configuration with one route of kind unsafe to a plain service.
func plainConfig(version int) []byte {
	return mustJSON(map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "r-post", "host": "desk.example", "path_prefix": "/post/", "kind": "unsafe", "timeout_ms": 1500, "slo_ms": 150, "priority": 2, "service": "desk", "attempts": 1, "public": true, "sticky": false}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 430, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	})
}
