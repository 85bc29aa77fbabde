package app_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/oper"
)

// orderEvacuation gives an order at a VM until it is acknowledged.
func orderEvacuation(t *testing.T, at *app.App, domain string, undo bool) {
	t.Helper()
	waitFor(t, "the order to be acknowledged", func() bool {
		_, err := oper.Evacuate(t.Context(), at.Node, at.ControlClient(), domain, undo)
		return err == nil
	})
}

// TestOwnInterfaceObeysEvacuation guards against generations and calls of the system's own
// interface at evacuated servers, and against generations in progress there that end. They are
// rejected as not run, with a time to come back, and served again once the order is revoked.
func TestOwnInterfaceObeysEvacuation(t *testing.T) {
	t.Parallel()
	vm := startControlVM(t, "vm")
	startEngine(t, "e1", vm)
	startService(t, "s1", vm)
	running := generationRequest("summary", 400, true).send(t, vm)
	defer running.Body.Close()
	begun := make(chan struct{})
	ended := make(chan *answer, 1)
	go func() {
		first := true
		ended <- readAnswer(running, func(a *answer) bool {
			if first {
				close(begun)
				first = false
			}
			return false
		})
	}()
	<-begun
	orderEvacuation(t, vm, "a", false)
	requests := map[string]callerRequest{"generation": generationRequest("summary", 3, true), "call": {method: http.MethodGet, path: "/lookup"}}
	for name, q := range requests {
		res := q.send(t, vm)
		res.Body.Close()
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, %v; want 503, not run, with Retry-After", name, res.StatusCode, res.Header)
		}
	}
	if a := <-ended; a.err != nil || a.summary == nil || a.summary.Outcome != "done" {
		t.Errorf("the generation in progress ended with %+v, error %v", a.summary, a.err)
	}
	orderEvacuation(t, vm, "a", true)
	for name, q := range requests {
		res := q.send(t, vm)
		if name == "generation" {
			readAnswer(res, nil)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			t.Errorf("%s after the order was revoked: status %d", name, res.StatusCode)
		}
	}
}

// TestStartingVMKnowsOrders guards against a VM that was down while an order was given and
// sends requests before it knows of it: one that reaches the control group knows the order
// when its start has ended, one that does not learns of it from another VM.
func TestStartingVMKnowsOrders(t *testing.T) {
	t.Parallel()
	control := startControlVM(t, "vm")
	orderEvacuation(t, control, "b", false)
	near := startEntry(t, "near", func(s *conf.Settings) { s.ControlVMs = []netip.AddrPort{control.Addrs().Peers} })
	if !near.Node.Evacuated("b") {
		t.Error("the VM has started without the order")
	}
	unreachable := unusedAddr(t)
	cutOff := startEntry(t, "cut", func(s *conf.Settings) {
		s.ControlVMs = []netip.AddrPort{unreachable}
		s.Peers = []netip.AddrPort{near.Addrs().Peers}
	})
	waitFor(t, "the VM that is cut off from control to learn of the order", func() bool { return cutOff.Node.Evacuated("b") })
	if set := near.Node.Evacuations(); set.Version != 1 || len(set.Domains) != 1 || time.Since(set.Domains[0].Ordered) > waitTimeout {
		t.Errorf("set %+v", set)
	}
}

// TestStartAsksAgain guards against a VM that could not reach the control group at its start,
// has no other VM to learn from, and never asks again.
func TestStartAsksAgain(t *testing.T) {
	t.Parallel()
	addr := unusedAddr(t)
	vm := startEntry(t, "early", func(s *conf.Settings) { s.ControlVMs = []netip.AddrPort{addr} })
	control := startControlVM(t, "vm")
	orderEvacuation(t, control, "b", false)
	vm.Node.SetSeeds(nil, []netip.AddrPort{control.Addrs().Peers})
	waitFor(t, "the VM to learn of the order", func() bool { return vm.Node.Evacuations().Version == 1 })
	if vm.Node.ApplyEvacuations(evac.Set{Version: 1}, "x") {
		t.Error("an older set was applied")
	}
}
