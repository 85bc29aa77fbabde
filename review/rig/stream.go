package main

import (
	"fmt"
	"time"
)

// streamConfig is a configuration with a route for streams and two for plain
// requests.
const streamConfig = `{"version":7,"routes":[
{"name":"r-stream","host":"a.example","path_prefix":"/draft/","kind":"stream","timeout_ms":39000,"slo_ms":1800,"priority":0,"service":"models","attempts":1,"public":false,"sticky":true,"can_resume":false,"gap_target_ms":180},
{"name":"r-unsafe","host":"a.example","path_prefix":"/record/","kind":"unsafe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"app","attempts":1,"public":false,"sticky":false,"can_resume":false,"gap_target_ms":0},
{"name":"r-safe","host":"a.example","path_prefix":"/lookup/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"app","attempts":2,"public":false,"sticky":false,"can_resume":false,"gap_target_ms":0}],
"services":[{"name":"models","health_path":"/healthz","max_conns":272,"protocol":"h1","tls":false,"engine":{"slots":24,"kv_capacity":34314,"kv_token_bytes":262144,"link_mbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}`

// smallWorld starts three control VMs and some front VMs, in three zones, applies
// the configuration and waits until the front VMs are ready.
func smallWorld(w *world, count int, config string) (fronts []*vm, err error) {
	for i := range 3 {
		v := w.addVM(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i+1), true)
		w.seeds = append(w.seeds, v.addr(portOperators))
	}
	for i := range count {
		fronts = append(fronts, w.addVM(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("zone-%d", i%3+1), false))
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	if err := w.applyConfig(7, []byte(config), 15*time.Second, w.vms[:3]...); err != nil {
		return nil, err
	}
	return fronts, waitFor("front VMs ready", 10*time.Second, func() bool {
		for _, v := range fronts {
			if !v.ready() {
				return false
			}
		}
		return true
	})
}

const streamEvents = 120

// streamRequest returns a request for a stream.
func streamRequest(id, path string) clientRequest {
	return clientRequest{method: "POST", path: path, id: id, deadline: 39 * time.Second, body: "prompt", header: map[string]string{
		"X-Model": "m", "X-Token-Count": "360,480", "X-Prompt-Prefix": "5c1e07a2:79,91bd3f06:281",
	}}
}
