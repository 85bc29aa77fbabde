package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
)

// evacuationNode returns a node of failure domain a with three engines each in the domains a
// and b, and the set in which b is evacuated.
func evacuationNode(t *testing.T) (*Node, evac.Set) {
	t.Helper()
	n := testNode(t)
	n.MarkBackendLeaving("e", 0)
	for i, domain := range []string{"a", "b", "a", "b", "a", "b"} {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10+i))
		n.ReceiveAnnouncement(member.Backend{ID: fmt.Sprint("e-", domain, i/2), Addr: addr, Kind: spec.KindPlain, Service: "models", Model: "m", MemoryTokens: 1000, Domain: domain, Epoch: 1, Seq: 1})
	}
	return n, evac.Set{}.Add("b", time.Unix(1, 0))
}

// evacuateAlso returns a set with another domain evacuated, too.
func evacuateAlso(s evac.Set, domain string) evac.Set { return s.Add(domain, time.Unix(2, 0)) }

// TestEvacuatedServersAreNotChosen guards against each sender of work that chooses a server:
// forwards placed locally and by the placement VM, copies, plain calls of the own interface.
func TestEvacuatedServersAreNotChosen(t *testing.T) {
	n, set := evacuationNode(t)
	n.ApplyEvacuations(set, "")
	moved := place.Request{Run: place.Run{ID: 9, BaseTokens: 10}, Exclude: []string{"e-a0"}, Domain: "b", Copy: &place.Copy{Source: "e-a0", Domain: "a"}}
	for i := range 40 {
		c, ok := n.Place(t.Context(), "models", place.Request{Run: place.Run{ID: uint64(i + 1), BaseTokens: 10}, Domain: "b"})
		if !ok || c.Server.Domain != "a" {
			t.Fatalf("forward: engine %q, %t", c.Server.ID, ok)
		}
		if c, ok = n.Place(t.Context(), "models", moved); !ok || c.Server.Domain != "a" {
			t.Fatalf("copy: engine %q, %t", c.Server.ID, ok)
		}
		r := place.Request{Run: place.Run{ID: uint64(100 + i), BaseTokens: 10}, Domain: "b"}
		if res := n.HandlePlacement(PlacementRequest{From: "old", Service: "models", Request: &r}); res.Backend[:3] != "e-a" {
			t.Fatalf("for a VM that doesn't know of the order: engine %q", res.Backend)
		}
		b, ok := n.AcquireBackend("models", nil)
		if !ok || b.Domain != "a" {
			t.Fatalf("plain call: server %q, %t", b.ID, ok)
		}
		n.ReleaseBackend(b.ID)
	}
	n.ApplyEvacuations(set.Remove("b"), "")
	if c, ok := n.Place(t.Context(), "models", place.Request{Run: place.Run{ID: 50, BaseTokens: 10}, Exclude: []string{"e-a0", "e-a1", "e-a2"}}); !ok || c.Server.Domain != "b" {
		t.Errorf("after the order was revoked: engine %q, %t", c.Server.ID, ok)
	}
}

// TestRunMayStayInEvacuatedDomain guards against a return that is forced on a run because the
// server that it runs at is evacuated, and against a choice of another server there.
func TestRunMayStayInEvacuatedDomain(t *testing.T) {
	n, set := evacuationNode(t)
	n.ApplyEvacuations(set, "")
	r := place.Request{Run: place.Run{ID: 9, BaseTokens: 10}, Domain: "a", Copy: &place.Copy{Source: "e-b0", Domain: "b", MayStay: true}}
	r.Exclude = []string{"e-a0", "e-a1", "e-a2"}
	if c, ok := n.Place(t.Context(), "models", r); !ok || c.Server.ID != "e-b0" {
		t.Errorf("engine %q, %t; want the run to stay", c.Server.ID, ok)
	}
}

// TestPlacementVMOfEarlierVersion guards against a placement VM that doesn't know of the
// order: it is told which servers not to choose, and its choice doesn't count if it does.
func TestPlacementVMOfEarlierVersion(t *testing.T) {
	var excluded, scopes []string
	n := largeGroup(t, func(_ member.Peer, r place.Request) (PlacementResponse, error) {
		excluded, scopes = r.Exclude, append(scopes, r.Scope)
		return PlacementResponse{Backend: "e-a"}, nil
	})
	n.ApplyEvacuations(evac.Set{}.Add("a", time.Unix(1, 0)), "")
	c, ok := n.Place(t.Context(), "models", modelRequest())
	if !ok || c.Server.Domain == "a" || !slices.Contains(excluded, "e-a") {
		t.Errorf("engine %q, %t; the placement VM was told to exclude %v", c.Server.ID, ok, excluded)
	}
}

// TestPlacementVMsOfEvacuatedDomainAreNotAsked guards against requests that wait for the
// placement VM of a domain that has no server for them.
func TestPlacementVMsOfEvacuatedDomainAreNotAsked(t *testing.T) {
	var scopes []string
	n := largeGroup(t, func(_ member.Peer, r place.Request) (PlacementResponse, error) {
		scopes = append(scopes, r.Scope)
		return PlacementResponse{Backend: "e-" + r.Scope, Crowded: true}, nil
	})
	// The engine that names no domain could be chosen in any scope.
	n.mu.Lock()
	n.table.Expire(time.Now().Add(time.Hour))
	n.mu.Unlock()
	for i, domain := range []string{"a", "b", "c"} {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10+i))
		n.ReceiveAnnouncement(member.Backend{ID: "e-" + domain, Addr: addr, Kind: spec.KindPlain, Service: "models", Domain: domain, Epoch: 2, Seq: 1})
	}
	n.ApplyEvacuations(evac.Set{}.Add("a", time.Unix(1, 0)), "")
	for range 5 {
		if c, ok := n.Place(t.Context(), "models", modelRequest()); !ok || c.Server.Domain == "a" {
			t.Errorf("engine %q, %t", c.Server.ID, ok)
		}
	}
	if slices.Contains(scopes, "a") {
		t.Errorf("asked the placement VMs of the domains %v", scopes)
	}
}

// TestNoServerLeft guards against requests that wait, or are told to come back because of a
// rate limit, when all servers of their service are evacuated.
func TestNoServerLeft(t *testing.T) {
	n, set := evacuationNode(t)
	n.ApplyEvacuations(evacuateAlso(set, "a"), "")
	if c, ok := n.Place(t.Context(), "models", place.Request{Run: place.Run{ID: 1, BaseTokens: 10}}); ok {
		t.Errorf("forward: choice %+v", c)
	}
	if b, ok := n.AcquireBackend("models", nil); ok {
		t.Errorf("plain call: server %q", b.ID)
	}
	if _, limited := n.RejectLimited("models", nil); limited {
		t.Error("the rejection is for a rate limit")
	}
	for id := range map[string]bool{"e-a0": true, "e-b0": true} {
		b, _ := n.Backend(id)
		for range 3 {
			n.ConnectFailed(b, errors.New("injected"))
		}
	}
	if n.CutOff("models") {
		t.Error("evacuated servers that can't be reached make this VM pass requests on")
	}
}

// TestPurposesObeyEvacuation checks which requests reach an evacuated server that was chosen
// before the order was in force: those that read on from a run, take it away or end it, and
// none that brings work.
func TestPurposesObeyEvacuation(t *testing.T) {
	for _, p := range purposes {
		n, set := evacuationNode(t)
		b, _ := n.Backend("e-b0")
		n.ApplyEvacuations(set, "")
		_, err := n.AcquirePermit(t.Context(), b, p)
		var denied *limit.DeniedError
		barred := errors.As(err, &denied) && denied.Cause == limit.Evacuated
		if want := p == FirstSend || p == Retry || p == Resume; barred != want || !want && err != nil {
			t.Errorf("%s: error %v, want one: %t", p, err, want)
		}
		if _, err := n.AcquirePermit(t.Context(), member.Backend{ID: b.ID, Addr: b.Addr}, p); (err != nil) != barred {
			t.Errorf("%s: error %v where only the address is known, want one: %t", p, err, barred)
		}
		if near, _ := n.Backend("e-a0"); n.CheckSend(near, Resume) != nil || n.CheckSend(b, Resume) == nil {
			t.Error("a copy to an evacuated server is allowed, or one to another server is not")
		}
	}
}

// TestServerThatIsNoLongerKnown guards against a request to an evacuated server that this VM
// has removed since it was chosen, and of which the request has kept only the address.
func TestServerThatIsNoLongerKnown(t *testing.T) {
	n, set := evacuationNode(t)
	gone := member.Backend{ID: "gone", Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	if _, err := n.AcquirePermit(t.Context(), gone, FirstSend); err != nil {
		t.Errorf("without an evacuation: %v", err)
	}
	n.ApplyEvacuations(set, "")
	var denied *limit.DeniedError
	if _, err := n.AcquirePermit(t.Context(), gone, FirstSend); !errors.As(err, &denied) || denied.Cause != limit.Evacuated {
		t.Errorf("error %v, want the evacuation", err)
	}
	if _, err := n.AcquirePermit(t.Context(), gone, CancelRun); err != nil {
		t.Errorf("a run there can't be canceled: %v", err)
	}
	n.ReceiveAnnouncement(member.Backend{ID: "none", Addr: gone.Addr, Kind: spec.KindPlain, Service: "models", Epoch: 1, Seq: 1})
	if _, err := n.AcquirePermit(t.Context(), member.Backend{ID: "none", Addr: gone.Addr}, FirstSend); err != nil {
		t.Errorf("a server that names no domain: %v", err)
	}
	n.ApplyEvacuations(set.Remove("b"), "")
	if _, err := n.AcquirePermit(t.Context(), gone, FirstSend); err != nil {
		t.Errorf("after the order was revoked: %v", err)
	}
}

// TestOrderWhilePermitIsAskedFor guards against a request that is sent because the order came
// in force after the first check.
func TestOrderWhilePermitIsAskedFor(t *testing.T) {
	n, set := evacuationNode(t)
	for i := range 10 {
		n.ReceivePeer(member.Peer{ID: fmt.Sprint("w", i), Epoch: 1, ServesCallers: true})
	}
	b, _ := n.Backend("e-b0")
	n.ObserveLimit(b, limit.Statement{Named: true, Rate: 5})
	asked := false
	n.RequestPermit = func(context.Context, member.Peer, string, limit.Request) (limit.Reply, error) {
		asked = true
		n.ApplyEvacuations(set, "")
		return limit.Reply{}, errors.New("injected")
	}
	_, err := n.AcquirePermit(t.Context(), b, FirstSend)
	var denied *limit.DeniedError
	if !asked || !errors.As(err, &denied) || denied.Cause != limit.Evacuated {
		t.Errorf("asked %t, error %v; want the evacuation", asked, err)
	}
}

// TestRequestsArePassedOnlyToVMsThatFollow guards against a request that another VM, which
// doesn't know of the order or is of an earlier version, sends to an evacuated server.
func TestRequestsArePassedOnlyToVMsThatFollow(t *testing.T) {
	n, set := evacuationNode(t)
	lagging := member.Peer{ID: "lagging", Domain: "a", Epoch: 1, ServesCallers: true}
	n.ReceivePeer(lagging)
	if p, ok := n.PickPeer("models", nil); !ok || p.ID != "lagging" {
		t.Fatalf("without an order: VM %q, %t", p.ID, ok)
	}
	n.ApplyEvacuations(set, "")
	if p, ok := n.PickPeer("models", nil); ok {
		t.Errorf("the request is passed to %s", p.ID)
	}
	lagging.Seq, lagging.EvacuationsVersion = 1, set.Version
	n.ReceivePeer(lagging)
	if _, ok := n.PickPeer("models", nil); !ok {
		t.Error("the request is not passed to a VM that has confirmed the order")
	}
}

// TestOlderSetIsIgnored guards against a VM that reverts to an older set.
func TestOlderSetIsIgnored(t *testing.T) {
	n, set := evacuationNode(t)
	newer := set.Remove("b")
	if !n.ApplyEvacuations(newer, "") || n.ApplyEvacuations(set, "x") || n.ApplyEvacuations(evac.Set{}, "x") {
		t.Error("an older set was applied, or a newer one was not")
	}
	if got := n.Evacuations(); got.Version != 2 || n.Self().EvacuationsVersion != 2 || n.OutgoingExchange(netip.AddrPort{}, true, false).Evacuations.Version != 2 {
		t.Errorf("set %+v in force", got)
	}
}

// TestEvacuatedServersAreNotProbed guards against probes of evacuated servers, and against
// servers that are never probed again after an order is revoked.
func TestEvacuatedServersAreNotProbed(t *testing.T) {
	n, set := evacuationNode(t)
	probed := make(chan string, 100)
	n.ProbeServer = func(b member.Backend) { probed <- b.ID }
	n.ApplyEvacuations(set, "")
	far, _ := n.Backend("e-b0")
	near, _ := n.Backend("e-a0")
	n.SuspectServer(far)
	n.SuspectServer(near)
	if got := <-probed; got != near.ID {
		t.Fatalf("probed %s, want %s", got, near.ID)
	}
	time.Sleep(20 * time.Millisecond)
	if len(probed) > 0 {
		t.Errorf("probed %s, which is evacuated", <-probed)
	}
	n.ApplyEvacuations(set.Remove("b"), "")
	n.SuspectServer(far)
	if got := <-probed; got != far.ID {
		t.Errorf("probed %s, want %s after the order was revoked", got, far.ID)
	}
}

// TestResumptionIsNotWaitedFor guards against a stopped run that waits for a permit which never
// comes.
func TestResumptionIsNotWaitedFor(t *testing.T) {
	n, set := evacuationNode(t)
	b, _ := n.Backend("e-b0")
	n.ApplyEvacuations(set, "")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := n.AwaitPermit(ctx, b, Resume); err == nil || ctx.Err() != nil {
		t.Errorf("error %v, want one before the timeout", err)
	}
}

// TestRejectionsAfterOrder guards against a time to retry that counts on the capacity of an
// evacuated domain.
func TestRejectionsAfterOrder(t *testing.T) {
	n, set := evacuationNode(t)
	full := func() time.Duration {
		c, ok := n.Place(t.Context(), "models", place.Request{Run: place.Run{ID: n.NextRunID(), BaseTokens: 5000}})
		if !ok || !c.Full {
			t.Fatalf("choice %+v, %t; want a rejection", c, ok)
		}
		return c.RetryAfter
	}
	for range 40 {
		r := place.Request{Run: place.Run{ID: n.NextRunID(), BaseTokens: 10}, Exclude: []string{"e-a0", "e-a1", "e-a2"}}
		if c, ok := n.Place(t.Context(), "models", r); !ok || c.Full {
			t.Fatalf("choice %+v, %t", c, ok)
		}
		n.EndPlacement("e-b0", r, place.Answered)
	}
	before := full()
	n.ApplyEvacuations(set, "")
	// The second rejection alone adds half a second, as long as the 40 placements count.
	if after := full(); after < before+time.Second {
		t.Errorf("retry after %v before the order and %v after it, want at least a second more", before, after)
	}
}

// TestSchedulerOfEarlierVersion guards against the choice of a scheduler that doesn't know of
// the order: the request names the evacuated engines to it.
func TestSchedulerOfEarlierVersion(t *testing.T) {
	n, set := evacuationNode(t)
	n.ApplyEvacuations(set, "")
	r := &sched.Request{ID: 1, Model: "m", PromptTokens: 10, Arrived: time.Now(), Avoid: []string{"e-b1"}}
	n.Submit(r)
	slices.Sort(r.Avoid)
	if !slices.Equal(r.Avoid, []string{"e-b0", "e-b1", "e-b2"}) {
		t.Errorf("the request avoids %v", r.Avoid)
	}
}

// TestSendsWaitForFirstQuery guards against a VM that sends requests after its start before
// it has asked the control group for orders.
func TestSendsWaitForFirstQuery(t *testing.T) {
	n, set := evacuationNode(t)
	n.HoldSends()
	far, _ := n.Backend("e-b0")
	near, _ := n.Backend("e-a0")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := n.AcquirePermit(ctx, near, FirstSend); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("before the query: error %v, want the end of the wait", err)
	}
	if _, err := n.AcquirePermit(t.Context(), near, CancelRun); err != nil {
		t.Errorf("a run can't be canceled before the query: %v", err)
	}
	results := make(chan error, 2)
	for _, b := range []member.Backend{far, near} {
		go func() {
			_, err := n.AcquirePermit(t.Context(), b, FirstSend)
			if b.ID == far.ID && err != nil || b.ID == near.ID {
				results <- err
				return
			}
			results <- errors.New("a request to an evacuated server was permitted")
		}()
	}
	n.ApplyEvacuations(set, "")
	n.ReleaseSends()
	n.ReleaseSends()
	for range 2 {
		err := <-results
		var denied *limit.DeniedError
		if err != nil && !errors.As(err, &denied) {
			t.Error(err)
		}
	}
}
