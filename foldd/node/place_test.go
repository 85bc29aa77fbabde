package node

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
)

// testNode returns a node that knows one engine of the service "models".
func testNode(t testing.TB) *Node {
	t.Helper()
	s, err := conf.Parse([]byte(`{"id": "vm", "domain": "a", "handleKey": "0123456789abcdef", "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := New(s, log)
	t.Cleanup(n.Clock.Stop)
	d, err := spec.Parse([]byte(`{
		"services": [{"name": "models", "kind": "plain", "engine": {"memoryTokens": 1000}}],
		"forwards": [{"host": "h", "prefix": "/", "kind": "stream", "timeout": "1s", "services": [{"service": "models", "part": 1}]}],
	}`))
	if err != nil {
		t.Fatal(err)
	}
	n.ApplyIndex(spec.NewIndex(d, 1))
	n.ReceiveAnnouncement(member.Backend{ID: "e", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Kind: spec.KindPlain, Service: "models", Epoch: 1, Seq: 1})
	return n
}

// TestUnchangedLoadIsReportedPeriodically keeps one request in progress whose load
// does not change. It must be reported to the placement VM repeatedly, since a
// load report expires there.
func TestUnchangedLoadIsReportedPeriodically(t *testing.T) {
	n := testNode(t)
	var reports atomic.Int32
	n.RequestPlacement = func(_ context.Context, _ member.Peer, req PlacementRequest) (PlacementResponse, error) {
		if req.Request == nil && req.Loads["e"].Requests == 1 {
			reports.Add(1)
		}
		return PlacementResponse{Backend: "e"}, nil
	}
	// With this many IDs, one has a higher hash than this VM's, so that another
	// VM is the placement VM.
	for _, id := range []string{"b", "c", "d", "f", "g", "h", "i", "j", "k", "l"} {
		n.ReceivePeer(member.Peer{ID: id, Epoch: 1, ServesCallers: true})
	}
	if _, ok := n.Place(context.Background(), "models", place.Request{Run: place.Run{ID: 1, BaseTokens: 10}}); !ok {
		t.Fatal("Place found no backend server")
	}
	n.CountForward("models")
	for deadline := time.Now().Add(20 * time.Second); reports.Load() < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d load reports in 20 s, want at least 2", reports.Load())
		}
	}
}

// TestUnreachableDomainIsTriedOnce lets placement requests to an unreachable
// failure domain time out. After the first timeout no other VM of that domain may
// be asked; a VM of another domain places the requests.
func TestUnreachableDomainIsTriedOnce(t *testing.T) {
	n := testNode(t)
	var tried []string
	n.RequestPlacement = func(ctx context.Context, to member.Peer, req PlacementRequest) (PlacementResponse, error) {
		tried = append(tried, to.Domain)
		if to.Domain == "cut" {
			<-ctx.Done()
			return PlacementResponse{}, ctx.Err()
		}
		return PlacementResponse{Backend: "e"}, nil
	}
	for i := range 20 {
		n.ReceivePeer(member.Peer{ID: fmt.Sprint("cut", i), Domain: "cut", Epoch: 1, ServesCallers: true})
	}
	n.ReceivePeer(member.Peer{ID: "near", Domain: "near", Epoch: 1, ServesCallers: true})
	for i := range 10 {
		if _, ok := n.Place(t.Context(), "models", place.Request{Run: place.Run{ID: uint64(i + 1), BaseTokens: 10}}); !ok {
			t.Fatal("Place found no backend server")
		}
	}
	count := 0
	for _, domain := range tried {
		if domain == "cut" {
			count++
		}
	}
	if count != 1 {
		t.Errorf("placement requests went to domains %v: got %d to the unreachable one, want 1", tried, count)
	}
}
