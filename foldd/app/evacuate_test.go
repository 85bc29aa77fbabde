package app_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/oper"
	"fuchsiafold.example/wire"
)

// orderEvacuation gives an order at a VM until it is acknowledged.
func orderEvacuation(t *testing.T, at *app.App, domain string, undo bool) {
	t.Helper()
	waitFor(t, "the order to be acknowledged", func() bool {
		_, err := oper.Evacuate(t.Context(), at.Node, at.ControlClient(), &wire.EvacuateRequest{Domain: domain, Undo: undo})
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

// leaderlessControl is a control VM that knows no leader until the time in ready.
type leaderlessControl struct {
	wire.UnimplementedControlServiceHandler
	ready time.Time
}

// Latest implements wire.ControlServiceHandler.
func (c *leaderlessControl) Latest(context.Context, *connect.Request[wire.ConfigRequest]) (*connect.Response[wire.ConfigResponse], error) {
	if time.Now().Before(c.ready) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("no leader"))
	}
	return connect.NewResponse(&wire.ConfigResponse{Evacuations: &wire.Evacuations{Version: 1, Domains: []*wire.Evacuation{{Domain: "b", Since: 1}}}}), nil
}

// TestStartDuringElection guards against a VM that sends requests right after its start because
// its first query ended early: one control VM knew no leader yet, and the other was silent.
func TestStartDuringElection(t *testing.T) {
	t.Parallel()
	mux := http.NewServeMux()
	mux.Handle(wire.NewControlServiceHandler(&leaderlessControl{ready: time.Now().Add(500 * time.Millisecond)}))
	control := httptest.NewServer(mux)
	t.Cleanup(control.Close)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	vm := startEntry(t, "vm", func(s *conf.Settings) {
		s.ControlVMs = []netip.AddrPort{netip.MustParseAddrPort(control.Listener.Addr().String()), netip.MustParseAddrPort(silent.Addr().String())}
	})
	if !vm.Node.Evacuated("b") {
		t.Error("the VM has started without the order")
	}
}

// TestOwnInterfaceWaitsForFirstQuery guards against generations that count as failed at their
// engines, and calls whose outcome is reported as unknown, because they waited for the first
// query of a VM that has just started longer than an engine may take to respond, or than the
// call may take.
func TestOwnInterfaceWaitsForFirstQuery(t *testing.T) {
	t.Parallel()
	vm := startEntry(t, "vm", nil)
	startEngine(t, "e1", vm)
	startService(t, "s1", vm)
	vm.Node.HoldSends()
	generation := make(chan *answer, 1)
	go func() {
		res := generationRequest("summary", 3, true).send(t, vm)
		defer res.Body.Close()
		generation <- readAnswer(res, nil)
	}()
	// The call may take 2 s.
	call := callerRequest{method: http.MethodGet, path: "/lookup"}.send(t, vm)
	call.Body.Close()
	if call.StatusCode != http.StatusServiceUnavailable || call.Header.Get("Fold-Outcome") != "notRun" {
		t.Errorf("call: status %d, %v; want 503, not run", call.StatusCode, call.Header)
	}
	vm.Node.ReleaseSends()
	if a := <-generation; a.err != nil || a.summary == nil || a.summary.Outcome != "done" {
		t.Errorf("the generation ended with %+v, error %v", a.summary, a.err)
	}
	if n := counter(vm, "engine.failedStarts"); n != 0 {
		t.Errorf("%d failed starts of generations, want none", n)
	}
}
