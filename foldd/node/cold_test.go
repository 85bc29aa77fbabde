package node

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/spec"
)

// coldNode returns a node that knows the warm engine "e" and the cold engine "c" of a service
// with a start rate of 25.
func coldNode(t testing.TB) *Node {
	t.Helper()
	n := testNode(t)
	d, err := spec.Parse([]byte(`{
		"services": [{"name": "models", "kind": "plain", "engine": {"memoryTokens": 1000}, "coldStart": {"rate": 25, "duration": "1s"}}],
		"forwards": [{"host": "h", "prefix": "/", "kind": "stream", "timeout": "1s", "services": [{"service": "models", "part": 1}]}],
	}`))
	if err != nil {
		t.Fatal(err)
	}
	n.ApplyIndex(spec.NewIndex(d, 2))
	n.ReceiveAnnouncement(coldServer())
	return n
}

func coldServer() member.Backend {
	return member.Backend{ID: "c", Addr: netip.MustParseAddrPort("127.0.0.1:2"), Kind: spec.KindPlain, Service: "models", Epoch: 1, Seq: 1, ColdFor: time.Minute}
}

// usePermits takes the permits for a cold server until there is none.
func usePermits(t *testing.T, n *Node) *limit.DeniedError {
	t.Helper()
	for range 100 {
		_, err := n.AcquirePermit(t.Context(), coldServer(), FirstSend)
		if denied := (*limit.DeniedError)(nil); errors.As(err, &denied) {
			return denied
		}
	}
	t.Fatal("100 requests at once get a permit for a cold server")
	return nil
}

// TestColdServerWithoutPermitIsWithheld guards against requests that wait for a cold server
// while another one takes them, and against requests that are held when none does.
func TestColdServerWithoutPermitIsWithheld(t *testing.T) {
	n := coldNode(t)
	usePermits(t, n)
	r := place.Request{Run: place.Run{BaseTokens: 10}}
	for range 10 {
		if c, ok := n.Place(context.Background(), "models", r); !ok || c.Server.ID != "e" {
			t.Fatalf("choice %+v, want the warm server", c)
		}
	}
	r.Exclude = []string{"e"}
	c, ok := n.Place(context.Background(), "models", r)
	if !ok || !c.Limited || c.RetryAfter <= 0 || c.RetryAfter > 5*time.Second {
		t.Errorf("choice %+v, want a rejection with the time of a permit", c)
	}
}

// TestColdServerIsNoCopyTarget guards against copies and moves that take the permits of a
// cold server, or reach it without one.
func TestColdServerIsNoCopyTarget(t *testing.T) {
	n := coldNode(t)
	r := place.Request{Run: place.Run{ID: 1, BaseTokens: 10}, Copy: &place.Copy{Source: "e"}, Exclude: []string{"e"}}
	if c, ok := n.Place(context.Background(), "models", r); ok && !c.Limited {
		t.Errorf("a copy goes to the cold server: %+v", c)
	}
	if denied := usePermits(t, n); denied.Cause != limit.RateLimit {
		t.Errorf("denied by %v", denied.Cause)
	}
}

// TestWarmServersCostNothing guards against permits asked for, or counters raised, for servers
// that are not cold, whose service limits none, or whose new start is long ago.
func TestWarmServersCostNothing(t *testing.T) {
	n := testNode(t)
	n.RequestPermit = func(context.Context, member.Peer, string, limit.Request) (limit.Reply, error) {
		t.Error("a permit is asked for")
		return limit.Reply{}, nil
	}
	for i, id := range []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8"} {
		n.ReceivePeer(member.Peer{ID: id, Epoch: uint64(i + 1), ServesCallers: true})
	}
	n.ReceiveAnnouncement(coldServer())
	for range 100 {
		d, err := n.AcquirePermit(t.Context(), coldServer(), FirstSend)
		if err != nil || d.Verdict != limit.Free {
			t.Fatalf("decision %+v, error %v; want no limit without coldStart", d, err)
		}
	}
	for _, name := range []string{"cold.sent", "cold.denied", "backends.cold"} {
		if n.Metrics.Get(name) != nil {
			t.Errorf("counter %s is raised", name)
		}
	}
}

// TestColdServerInViews guards against a status that doesn't show why a server gets few
// requests.
func TestColdServerInViews(t *testing.T) {
	n := coldNode(t)
	views := n.ServiceViews()
	if len(views) != 1 || views[0].Issuer == "" {
		t.Fatalf("views %+v, want one with an issuer", views)
	}
	for _, b := range views[0].Backends {
		if cold := b.ID == "c"; (b.StartRate == 25) != cold || (b.ColdFor > 50*time.Second) != cold {
			t.Errorf("%s is shown as cold for %v at %v/s", b.ID, b.ColdFor, b.StartRate)
		}
	}
}

// TestIsolatedVM guards against a VM that restarts while it is cut off, knows no other VM and
// issues the whole start rate to itself.
func TestIsolatedVM(t *testing.T) {
	n := coldNode(t)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.controlSeeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}
	n.started = n.started.Add(-time.Hour)
	n.watchControl(time.Now())
	if v := n.limitView(time.Now(), "models"); !v.Isolated || v.StartRate != 25 {
		t.Errorf("view %+v of a VM that has reached no control VM, want it isolated", v)
	}
	n.group.ReceiveDirect(time.Now(), member.Peer{ID: "control", Epoch: 1, HasControlReplica: true})
	n.watchControl(time.Now())
	if v := n.limitView(time.Now(), "models"); v.Isolated {
		t.Errorf("view %+v of a VM that has reached a control VM", v)
	}
}

// TestRetryAfterEndsWithColdTime guards against callers that are told to come back long after
// the server is warm, as many were rejected before them.
func TestRetryAfterEndsWithColdTime(t *testing.T) {
	n := coldNode(t)
	b := coldServer()
	b.Seq, b.ColdFor = 2, 2*time.Second
	n.ReceiveAnnouncement(b)
	usePermits(t, n)
	for range 200 {
		if wait, limited := n.RejectLimited("models", []string{"e"}); !limited || wait <= 0 || wait > 2*time.Second {
			t.Fatalf("limited %t for %v, want it within the 2 s for which the server is cold", limited, wait)
		}
	}
}
