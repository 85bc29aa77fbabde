package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["foreign"] = foreignCase }

// configApply is later than the bound config_apply_ms of the site, 2.5 s.
const configApply = 3 * time.Second

// foreignBody is a heartbeat of another writer: it names a service that the
// configuration doesn't have.
const foreignBody = `{"service":"other","addr":"%s:9","zone":"zone-1","version":"v1","slots":24,"state":"ready","cold_left_ms":0,"seq":%d}`

// foreignCase checks that configurations still come into force at the front VMs while
// another writer sends heartbeats whose ID can't be read.
func foreignCase(w *world, trouble bool) error {
	fronts, err := smallWorld(w, 2, streamConfig)
	if err != nil {
		return err
	}
	if _, err := w.startEngine(engineOptions{ID: "i-p", Service: "app", Zone: "zone-1", Work: 20 * time.Millisecond}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		go w.foreignBeats()
		time.Sleep(6 * time.Second)
	}
	body := strings.Replace(streamConfig, `"version":7`, `"version":8`, 1)
	body = strings.Replace(body, `{"name":"r-safe"`, `{"name":"r-new","host":"a.example","path_prefix":"/new/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"app","attempts":2,"public":false,"sticky":false,"can_resume":false,"gap_target_ms":0},
{"name":"r-safe"`, 1)
	if err := w.applyConfig(8, []byte(body), 10*time.Second, w.vms[:3]...); err != nil {
		return err
	}
	acked := time.Now()
	time.Sleep(configApply)
	late := 0
	for i := range 40 {
		v := fronts[i%2]
		c, err := w.dial(v)
		if err != nil {
			return err
		}
		r := clientRequest{method: "GET", path: "/new/1", id: fmt.Sprintf("eeeeeeee%08x", i), deadline: 4 * time.Second}
		a := c.do(r)
		c.close()
		if a.status == http.StatusNotFound {
			late++
			w.rec.add("client", "%s at %s: 404, %v after the acknowledgement", r.id, v.name, time.Since(acked).Round(time.Millisecond))
		}
		time.Sleep(100 * time.Millisecond)
	}
	if late > 0 {
		return fmt.Errorf("%w: %d of 40 requests on a route of version 8 got 404 later than config_apply_ms after its acknowledgement", errBroken, late)
	}
	return nil
}

// foreignBeats sends heartbeats of another writer to one VM after the other.
func (w *world) foreignBeats() {
	addr := w.ip()
	for i := 0; ; i++ {
		v := w.vms[i%len(w.vms)]
		url := "http://" + v.addr(portOperators) + "/api/instances/i-%FF%FE"
		req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(fmt.Sprintf(foreignBody, addr, i+1)))
		if err != nil {
			return
		}
		status, text := w.call(req)
		w.rec.add("foreign", "PUT /api/instances/i-%%FF%%FE at %s: %d %s", v.name, status, text)
		time.Sleep(beatInterval)
	}
}
