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

// testNode returns a VM that knows one engine of the service models.
func testNode(t *testing.T) *Node {
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

// TestSteadyLoadIsToldAgain keeps one request under way that never changes: the
// VM that places for all is told of it again and again, since it believes no
// account for long.
func TestSteadyLoadIsToldAgain(t *testing.T) {
	n := testNode(t)
	var told atomic.Int32
	n.RequestPlacement = func(_ context.Context, _ member.Peer, a PlacementRequest) (PlacementResponse, error) {
		if a.Request == nil && a.Loads["e"].Requests == 1 {
			told.Add(1)
		}
		return PlacementResponse{Backend: "e"}, nil
	}
	// Of many names one has a higher hash than this VM's.
	for _, id := range []string{"b", "c", "d", "f", "g", "h", "i", "j", "k", "l"} {
		n.ReceivePeer(member.Peer{ID: id, Epoch: 1, ServesCallers: true})
	}
	if _, ok := n.Place(context.Background(), "models", place.Request{Run: place.Run{ID: 1, BaseTokens: 10}}); !ok {
		t.Fatal("no place")
	}
	n.CountForward("models")
	for deadline := time.Now().Add(20 * time.Second); told.Load() < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("told %d times", told.Load())
		}
	}
}

// TestCutDomainIsAskedOnce leaves the questions to a failure domain that is cut
// off without an answer: after the first, another domain's VM places.
func TestCutDomainIsAskedOnce(t *testing.T) {
	n := testNode(t)
	var asked []string
	n.RequestPlacement = func(ctx context.Context, to member.Peer, a PlacementRequest) (PlacementResponse, error) {
		asked = append(asked, to.Domain)
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
			t.Fatal("no place")
		}
	}
	cut := 0
	for _, domain := range asked {
		if domain == "cut" {
			cut++
		}
	}
	if cut != 1 {
		t.Errorf("asked %v: the domain that is cut off %d times, want once", asked, cut)
	}
}
