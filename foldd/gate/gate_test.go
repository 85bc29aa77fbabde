package gate_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/gate"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/netio/pool"
)

func newNode(t *testing.T) *node.Node {
	t.Helper()
	s, err := conf.Parse([]byte(`{"id": "vm", "domain": "a", "handleKey": "0123456789abcdef", "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(s, log)
	t.Cleanup(n.Clock.Stop)
	return n
}

// TestNothingIsSentWithoutPermit sends requests to a server that names a limit until one
// is denied.
func TestNothingIsSentWithoutPermit(t *testing.T) {
	var m meter.Meter
	m.Name("0.1")
	s := httptest.NewServer(m.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	t.Cleanup(s.Close)
	addr := strings.TrimPrefix(s.URL, "http://")
	b := member.Backend{ID: "s", Addr: netip.MustParseAddrPort(addr), Service: "app"}
	transport := gate.New(newNode(t), pool.Transport{Pool: &pool.Pool{}})
	for i := range 3 {
		before := m.Count()
		req, err := http.NewRequestWithContext(gate.WithBackend(t.Context(), b, node.FirstSend), http.MethodGet, s.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := transport.RoundTrip(req)
		var denied *limit.DeniedError
		switch {
		case err == nil:
			res.Body.Close()
		case !errors.As(err, &denied):
			t.Fatal(err)
		case denied.RetryAfter <= 0 || m.Count() != before:
			t.Errorf("request %d: %+v, %d requests sent; want a time to come back, and none", i, denied, m.Count()-before)
		default:
			return
		}
	}
	t.Error("no request was denied")
}

func TestRequestWithoutBackendIsNotSent(t *testing.T) {
	transport := gate.New(newNode(t), pool.Transport{Pool: &pool.Pool{}})
	req := httptest.NewRequest(http.MethodGet, "http://127.0.0.1:1/", nil)
	if _, err := transport.RoundTrip(req); err == nil || strings.Contains(err.Error(), "refused") {
		t.Errorf("error %v, want one of a request that names no backend server", err)
	}
}

// TestOrderWhileConnecting guards against a request that is sent because the order to evacuate
// its server came in force while the connection was opened.
func TestOrderWhileConnecting(t *testing.T) {
	var received atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer s.Close()
	n := newNode(t)
	set := evac.Set{}.Add("b", time.Unix(1, 0))
	transport := gate.New(n, pool.Transport{Pool: &pool.Pool{OnDial: func(context.Context) { n.ApplyEvacuations(set, "") }}})
	send := func(p node.Purpose) error {
		b := member.Backend{ID: "e", Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Service: "s", Domain: "b", Epoch: 1}
		req, err := http.NewRequestWithContext(gate.WithBackend(t.Context(), b, p), http.MethodGet, s.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := transport.RoundTrip(req)
		if err == nil {
			res.Body.Close()
		}
		return err
	}
	var denied *limit.DeniedError
	if err := send(node.FirstSend); !errors.As(err, &denied) || denied.Cause != limit.Evacuated || received.Load() != 0 {
		t.Errorf("error %v, %d requests received; want the evacuation and none", err, received.Load())
	}
	if err := send(node.CancelRun); err != nil || received.Load() != 1 {
		t.Errorf("error %v, %d requests received; want a run to be canceled there", err, received.Load())
	}
}

// TestOrderWhileResending guards against a request that is sent again over another idle
// connection, because the server closed the first one without a response, after the order to
// evacuate the server came in force.
func TestOrderWhileResending(t *testing.T) {
	var received atomic.Int64
	var both sync.WaitGroup
	both.Add(2)
	n := newNode(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/idle":
			both.Done()
			both.Wait()
		case "/lost":
			if received.Add(1) > 1 {
				return
			}
			n.ApplyEvacuations(evac.Set{}.Add("b", time.Unix(1, 0)), "")
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			c.Close()
		}
	}))
	defer s.Close()
	b := member.Backend{ID: "e", Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Service: "s", Domain: "b", Epoch: 1}
	transport := gate.New(n, pool.Transport{Pool: &pool.Pool{}})
	send := func(path string) error {
		req, err := http.NewRequestWithContext(gate.WithBackend(t.Context(), b, node.FirstSend), http.MethodGet, s.URL+path, nil)
		if err != nil {
			return err
		}
		res, err := transport.RoundTrip(req)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	// Two requests at once leave two idle connections.
	var idle sync.WaitGroup
	for range 2 {
		idle.Go(func() {
			if err := send("/idle"); err != nil {
				t.Error(err)
			}
		})
	}
	idle.Wait()
	if err := send("/lost"); err == nil || received.Load() != 1 {
		t.Errorf("error %v, %d requests received; want an error, and none after the order", err, received.Load())
	}
}
