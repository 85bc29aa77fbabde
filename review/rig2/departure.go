package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	drainTime = 2 * time.Second
	// lingerTime is how long an engine serves on after drainTime.
	lingerTime = 1300 * time.Millisecond
	// departureRounds is how often it is tried: the machine may have told another one before it
	// loses power.
	departureRounds = 3
)

// departure: an engine that leaves sends DELETE to a front machine, which acknowledges it and
// loses power right after that. The engine is then still used.
func departure(e *env) (int, error) {
	f, err := newFleet(e.rec, "tas-south", 134, bounds{
		"contact_ms": 3000, "ack_ms": 4000, "drain_ms": drainTime.Milliseconds(), "grace_s": 8, "config_apply_ms": 2000,
		"retry_budget": 0.2, "budget_window_s": 10, "budget_slack": 54,
	})
	if err != nil {
		return failed, err
	}
	f.oneCore = os.Getenv("CORES") != "all"
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
	op := &operator{rec: e.rec, nodes: []string{fronts[0].addr(portControl), fronts[1].addr(portControl)}}
	if _, err := op.order(http.MethodPut, "/api/config", streamConfig(1, false), 15*time.Second); err != nil {
		return failed, err
	}
	// One engine leaves in each round, the last one stays.
	var engines []*engine
	for i := range departureRounds + 1 {
		z := zones[i%2]
		g := &engine{rec: e.rec, id: fmt.Sprintf("i-%d", i+1), service: "models", zone: z, addr: fmt.Sprintf("%s.%d:%d", f.network, 101+i, portEngine), slots: 24, events: 60, gap: 50 * time.Millisecond}
		g.control = func() []string { return f.seeds }
		if err := g.start(); err != nil {
			return failed, err
		}
		defer g.exit()
		engines = append(engines, g)
	}
	if err := awaitReady(f, 10*time.Second); err != nil {
		return failed, err
	}
	for i := range departureRounds {
		// Longer than contact_ms since the last start: all machines are in touch.
		time.Sleep(6 * time.Second)
		e.rec.log("round %d", i+1)
		late, err := e.depart(fronts, engines[i], i+1)
		if err != nil {
			return failed, err
		}
		if late > 0 {
			return broken, nil
		}
		if !e.trouble {
			continue
		}
		if err := f.start(fronts[2]); err != nil {
			return failed, err
		}
	}
	return held, nil
}

// depart lets an engine leave by the last of the front machines, which is killed with the
// disruption. It returns how many requests the others sent to the engine too late.
func (e *env) depart(fronts []*machine, leaver *engine, round int) (late int, err error) {
	const streams = 8
	lost, others := fronts[2], fronts[:2]
	leaver.mu.Lock()
	leaver.leaving, leaver.beating = true, false
	leaver.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	e.rec.log("engine %s sends DELETE to %s", leaver.id, lost.name)
	if err := callThenSignal(http.MethodDelete, lost.addr(portControl), "/api/instances/"+leaver.id, lost.cmd.Process.Pid, e.trouble); err != nil {
		return 0, err
	}
	acked := time.Now()
	e.rec.log("%s acknowledged it", lost.name)
	if e.trouble {
		e.rec.log("%s killed right after that", lost.name)
		<-lost.exited
	}
	from := acked.Add(drainTime)
	time.Sleep(time.Until(from.Add(300 * time.Millisecond)))
	answers := make(chan answer, streams)
	for i := range streams {
		m := others[i%2]
		go func() {
			answers <- request{node: m.addr(portFront), host: "models.example", path: "/draft/1", id: fmt.Sprintf("d%d-%d", round, i), deadline: 20 * time.Second, body: "x",
				header: map[string]string{"X-Model": "m", "X-Token-Count": "300,240", "X-Prompt-Prefix": fmt.Sprintf("%x:300", 1000*round+i)}}.send(e.rec)
		}()
	}
	time.Sleep(time.Until(from.Add(lingerTime)))
	leaver.exit()
	cut := 0
	for range streams {
		if a := <-answers; a.err != nil || a.status != http.StatusOK {
			cut++
		}
	}
	for _, r := range leaver.runsCopy() {
		if r.at.After(from) {
			late++
		}
	}
	e.rec.log("%d requests reached the engine later than %v after the acknowledgement; %d of %d streams were cut or refused", late, drainTime, cut, streams)
	if !e.trouble && cut > 0 {
		return 0, errors.New("streams were cut without the disruption")
	}
	return late, nil
}

// streamConfig is a configuration with one route of kind stream.
func streamConfig(version int, moves bool) []byte {
	return mustJSON(map[string]any{
		"version": version,
		"routes":  []any{map[string]any{"name": "r-draft", "host": "models.example", "path_prefix": "/draft/", "kind": "stream", "timeout_ms": 39000, "slo_ms": 1800, "priority": 0, "service": "models", "attempts": 1, "public": true, "sticky": true, "can_resume": false, "gap_target_ms": 180}},
		"services": []any{map[string]any{"name": "models", "health_path": "/healthz", "max_conns": 272, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 24, "kv_capacity": 34314, "kv_token_bytes": 262144, "link_mbps": 38000.0, "moves": moves, "backups": false, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	})
}
