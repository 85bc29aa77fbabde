package oper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
)

// newUnheardNode returns a node that knows another VM, which none of its messages reaches, and a
// backend server s that is leaving.
func newUnheardNode(t *testing.T) *node.Node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(&conf.Settings{ID: "vm"}, log)
	t.Cleanup(n.Clock.Stop)
	n.ReceivePeer(member.Peer{ID: "other", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Epoch: 1, Seq: 1})
	return n
}

// announceLeaving announces a server as leaving and returns the status of the response.
func announceLeaving(ctx context.Context, n *node.Node) int {
	body := `{"id": "s", "addr": "127.0.0.1:9", "kind": "plain", "service": "app", "epoch": 1, "seq": 1, "leaving": true}`
	r := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)).WithContext(ctx)
	w := httptest.NewRecorder()
	BackendHandler(n).ServeHTTP(w, r)
	return w.Code
}

// TestAnnouncedDepartureIsNotAcknowledgedAlone guards against an announcement of the own interface
// that is acknowledged though no other VM knows that the server is leaving.
func TestAnnouncedDepartureIsNotAcknowledgedAlone(t *testing.T) {
	n := newUnheardNode(t)
	if status := announceLeaving(t.Context(), n); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if b, ok := n.Backend("s"); !ok || !b.Leaving {
		t.Errorf("server known: %t, as leaving: %t; want both", ok, b.Leaving)
	}
}

// TestDepartureGivenUpIsNotUnconfirmed guards against an alarm about the links between VMs because
// a server has closed the connection on which it said that it is leaving.
func TestDepartureGivenUpIsNotUnconfirmed(t *testing.T) {
	n := newUnheardNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	announceLeaving(ctx, n)
	if err := n.AwaitLeavingKnown(ctx, "s"); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want that of the context", err)
	}
	if c, ok := n.Metrics.Get("backends.leavingUnconfirmed").(metrics.Counter); ok && c.Count() != 0 {
		t.Errorf("%d departures counted as unconfirmed, want none", c.Count())
	}
}
