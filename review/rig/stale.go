package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["stale"] = staleCase }

const (
	// staleFronts is the number of front VMs in each of the zones with a control VM, and
	// farFronts that in the zone without one.
	staleFronts = 11
	farFronts   = 7
	// downTime is how long the VMs that lose power are down: 6 of 40, at most 0.16.
	downTime = 3500 * time.Millisecond
	// configDelay is the time from the loss of power to the next configuration.
	configDelay = 150 * time.Millisecond
	// configApplyBound is the bound config_apply_ms of the site.
	configApplyBound = 2000 * time.Millisecond
	// applyMargin is how much later than that bound the first request is sent.
	applyMargin = 50 * time.Millisecond
	// probeTime is how long requests on the changed route are sent after the bound.
	probeTime = 500 * time.Millisecond
	// settleTime is the time between the start of the VMs that were down and the next
	// round. staleRounds is the number of rounds.
	settleTime  = 3200 * time.Millisecond
	staleRounds = 13
)

// staleCase checks that a front VM that runs and is connected does not act by an old
// configuration while other VMs of its zone are down.
func staleCase(w *world, trouble bool) error {
	fronts, far, err := staleWorld(w)
	if err != nil {
		return err
	}
	for _, service := range staleServices {
		for _, zone := range []string{"zone-1", "zone-2"} {
			if _, err := w.startEngine(engineOptions{ID: service + "-" + zone, Service: service, Zone: zone, Work: 20 * time.Millisecond}); err != nil {
				return err
			}
		}
	}
	time.Sleep(4 * time.Second)
	survivor := far[farFronts-1]
	w.rec.add("case", "%d front VMs run; %s stays up all the time", len(fronts)+len(far), survivor.name)
	for round := range staleRounds {
		if err := w.staleRound(round, far, survivor, trouble); err != nil {
			return err
		}
	}
	return nil
}

// staleWorld starts three control VMs, each in a zone with other front VMs, and some
// front VMs in a fourth zone.
func staleWorld(w *world) (fronts, far []*vm, err error) {
	for i := range 3 {
		v := w.addVM(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i+1), true)
		w.seeds = append(w.seeds, v.addr(portOperators))
	}
	for i := range 3 * staleFronts {
		fronts = append(fronts, w.addVM(fmt.Sprintf("front-%d-%d", i%3+1, i/3+1), fmt.Sprintf("zone-%d", i%3+1), false))
	}
	for i := range farFronts {
		far = append(far, w.addVM(fmt.Sprintf("front-4-%d", i+1), "zone-4", false))
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return nil, nil, err
		}
	}
	if err := w.applyConfig(7, movedRoute(7), 20*time.Second, w.vms[:3]...); err != nil {
		return nil, nil, err
	}
	return fronts, far, waitFor("front VMs ready", 20*time.Second, func() bool {
		for _, v := range w.vms[3:] {
			if !v.ready() {
				return false
			}
		}
		return true
	})
}

// staleServices are the services between which a route is moved.
var staleServices = [2]string{"app", "other"}

// staleRound takes the other VMs of the survivor's zone down, sends a configuration
// that moves a route to another service, and checks that the survivor obeys it in time.
func (w *world) staleRound(round int, far []*vm, survivor *vm, trouble bool) error {
	down := far[:farFronts-1]
	if trouble {
		w.rec.add("platform", "round %d: %d VMs of zone-4 lose power for %v", round+1, len(down), downTime)
		for _, v := range down {
			v.kill()
		}
	}
	lost := time.Now()
	time.Sleep(configDelay)
	version := uint64(8 + round)
	if err := w.applyConfig(version, movedRoute(version), 2*time.Second, w.vms[0], w.vms[1], w.vms[2]); err != nil {
		return err
	}
	acked := time.Now()
	time.Sleep(time.Until(acked.Add(configApplyBound + applyMargin)))
	late, err := w.probeRoute(survivor, version, acked)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(lost.Add(downTime)))
	if trouble {
		if err := startAll(down); err != nil {
			return err
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: %s had %d requests run by the old service that were sent later than config_apply_ms after the acknowledgement of version %d", errBroken, survivor.name, late, version)
	}
	time.Sleep(settleTime)
	return nil
}

// probeRoute sends requests on the route that version has moved, and returns how many
// the old service has run.
func (w *world) probeRoute(v *vm, version uint64, acked time.Time) (late int, err error) {
	for i := 0; time.Since(acked) < configApplyBound+probeTime; i++ {
		c, err := w.dial(v)
		if err != nil {
			return 0, err
		}
		r := clientRequest{method: http.MethodGet, path: "/lookup/1", id: fmt.Sprintf("eeee%04x%08x", version, i), deadline: 4 * time.Second}
		sent := time.Since(acked)
		a := c.do(r)
		c.close()
		if strings.HasPrefix(a.header.Get("X-Server-Stamp"), staleServices[(version+1)%2]+"-") {
			late++
			w.rec.add("client", "%s was run by the old service, sent %v after the acknowledgement", r.id, sent.Round(time.Millisecond))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return late, nil
}

// movedRoute returns a configuration whose version decides which service the route of
// lookups goes to.
func movedRoute(version uint64) []byte {
	body := strings.Replace(streamConfig, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1)
	body = strings.Replace(body, `{"name":"app",`, `{"name":"other","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false},
{"name":"app",`, 1)
	route := `{"name":"r-safe","host":"a.example","path_prefix":"/lookup/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"`
	return []byte(strings.Replace(body, route+"app", route+staleServices[version%2], 1))
}

// startAll starts VMs at the same time.
func startAll(vms []*vm) error {
	var wg sync.WaitGroup
	errs := make([]error, len(vms))
	for i, v := range vms {
		wg.Go(func() { errs[i] = v.start() })
	}
	wg.Wait()
	return errors.Join(errs...)
}
