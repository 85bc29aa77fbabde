package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/entry"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/pool"
)

// claims is a claim store that grants every claim after claimTime, and settles none
// before settle is closed.
type claims struct {
	claimTime time.Duration
	settle    chan struct{}
}

func (c claims) Claim(ctx context.Context, _ entry.Claim) (entry.ClaimState, entry.RecordedAnswer, error) {
	time.Sleep(c.claimTime)
	return entry.ClaimGranted, entry.RecordedAnswer{}, nil
}

func (c claims) Settle(ctx context.Context, _ entry.Claim, _ entry.Settlement, _ entry.RecordedAnswer) error {
	select {
	case <-c.settle:
		return nil
	case <-ctx.Done():
		return errors.New("no quorum")
	}
}

const routeTimeout = 3 * time.Second

// newHandler returns a handler with a route whose calls run at most once, and a
// service that answers after serviceTime.
func newHandler(t *testing.T, c claims, serviceTime time.Duration) *entry.Handler {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := conf.Parse([]byte(`{"id": "vm", "domain": "a", "handleKey": "0123456789abcdef", "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`))
	if err != nil {
		t.Fatal(err)
	}
	n := node.New(s, log)
	t.Cleanup(n.Clock.Stop)
	d, err := spec.Parse([]byte(`{
		"services": [{"name": "app", "kind": "plain"}],
		"routes": [{"path": "/remind", "methods": ["POST"], "service": "app", "idempotent": false, "timeout": "` + routeTimeout.String() + `"}],
		"classes": [{"name": "c", "target": {"completion": "1h"}}],
		"workspaces": [{"name": "w", "keySHA256": "` + spec.HashKey("key") + `"}],
	}`))
	if err != nil {
		t.Fatal(err)
	}
	n.ApplyIndex(spec.NewIndex(d, 1))
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(service.Close)
	n.ReceiveAnnouncement(member.Backend{ID: "s", Addr: netip.MustParseAddrPort(service.Listener.Addr().String()), Kind: spec.KindPlain, Service: "app", Domain: "a", Epoch: 1, Seq: 1})
	return &entry.Handler{Node: n, Claims: c, Transport: pool.Transport{Pool: entry.NewPool(time.Second)}}
}

// call sends a call and returns its status, its outcome and how long it took.
func call(h *entry.Handler, header ...string) (status int, outcome string, held time.Duration) {
	r := httptest.NewRequest(http.MethodPost, "/remind", strings.NewReader("nine"))
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Idempotency-Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	began := time.Now()
	h.ServeHTTP(w, r)
	return w.Code, w.Header().Get("Fold-Outcome"), time.Since(began)
}

// TestRefusalOfResendProvesNothing checks what a VM that is shutting down says of a
// call whose key it has not looked up.
func TestRefusalOfResendProvesNothing(t *testing.T) {
	h := newHandler(t, claims{}, 0)
	h.Node.Drain()
	for header, want := range map[string]string{"": "unknown", "true": "notRun"} {
		status, outcome, _ := call(h, "Fold-First-Send", header)
		if status != http.StatusServiceUnavailable || outcome != want {
			t.Errorf("first send %q: status %d, outcome %q; want 503, %q", header, status, outcome, want)
		}
	}
	if _, outcome, _ := call(h, "Idempotency-Key", ""); outcome != "notRun" {
		t.Errorf("without a key: outcome %q, want notRun", outcome)
	}
}

// TestUnreadableIdempotencyKeyIsRejected guards against a key that no message to the
// control group can carry.
func TestUnreadableIdempotencyKeyIsRejected(t *testing.T) {
	h := newHandler(t, claims{}, 0)
	if status, outcome, _ := call(h, "Idempotency-Key", "k\xff"); status != http.StatusBadRequest || outcome != "notRun" {
		t.Errorf("status %d, outcome %q, want 400, notRun", status, outcome)
	}
}

// TestCallIsNotHeldPastItsTimeout gives a call a claim that takes most of its timeout,
// a service that takes longer than the rest, and a claim that can't be settled.
func TestCallIsNotHeldPastItsTimeout(t *testing.T) {
	// heldBound is below the timeout and the claim's time together.
	const (
		claimTime = 2800 * time.Millisecond
		heldBound = 4800 * time.Millisecond
	)
	tests := []struct {
		name        string
		serviceTime time.Duration
		status      int
		outcome     string
	}{
		{"slow service", 2 * routeTimeout, http.StatusGatewayTimeout, "unknown"},
		{"settling stalls", 0, http.StatusOK, "done"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			status, outcome, held := call(newHandler(t, claims{claimTime: claimTime}, tt.serviceTime))
			if status != tt.status || outcome != tt.outcome {
				t.Errorf("status %d, outcome %q; want %d, %q", status, outcome, tt.status, tt.outcome)
			}
			if held > heldBound {
				t.Errorf("held for %v, want about %v", held, routeTimeout)
			}
		})
	}
}
