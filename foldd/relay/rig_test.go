package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

// testVM is a VM that forwards requests to fake backend servers.
type testVM struct {
	t     *testing.T
	node  *node.Node
	relay *relay.Relay
	addr  string
	// failed counts the log lines about attempts that failed.
	failed *atomic.Int64
}

// countHook counts the log lines with a message.
type countHook struct {
	message string
	count   *atomic.Int64
}

func (h countHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h countHook) Fire(e *logrus.Entry) error {
	if e.Message == h.message {
		h.count.Add(1)
	}
	return nil
}

// failedAttempts returns the number of attempts at a backend server that failed.
func (r *testVM) failedAttempts() int64 { return r.failed.Load() }

const configDocument = `{
	"services": [
		{"name": "app", "kind": "plain"},
		{"name": "models", "kind": "plain", "engine": {"slots": 4, "memoryTokens": 100000, "eventTokens": 4, "moves": true}},
	],
	"forwards": [
		{"name": "read", "host": "h.example", "prefix": "/read/", "kind": "safe", "timeout": "2s", "attempts": 2, "services": [{"service": "app", "part": 1}]},
		{"name": "deep", "host": "h.example", "prefix": "/read/deep/", "kind": "safe", "timeout": "2s", "services": [{"service": "app", "part": 1}], "public": true},
		{"name": "write", "host": "h.example", "prefix": "/write/", "kind": "unsafe", "timeout": "2s", "services": [{"service": "app", "part": 1}]},
		{"name": "brief", "host": "h.example", "prefix": "/brief/", "kind": "unsafe", "timeout": "150ms", "services": [{"service": "app", "part": 1}]},
		{"name": "short", "host": "h.example", "prefix": "/short/", "kind": "stream", "timeout": "20s", "target": {"firstToken": "500ms"}, "attempts": 2, "resumable": true, "services": [{"service": "models", "part": 1}]},
		{"name": "draft", "host": "h.example", "prefix": "/draft/", "kind": "stream", "timeout": "20s", "services": [{"service": "models", "part": 1}]},
	],
	"maxBody": 4096,
	"workspaces": [{"name": "w", "keySHA256": %q, "rank": 3}],
}`

// maxServedBody bounds the bodies of requests in bytes, whatever the configuration says.
const maxServedBody = 16 << 20

// startVM starts a VM with configDocument in force and no backend servers.
func startVM(t *testing.T) *testVM {
	t.Helper()
	s, err := conf.Parse([]byte(`{
		"id": "vm", "domain": "a", "handleKey": "0123456789abcdef",
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
		"retry": {"share": 0.2, "reserve": 320},
		"limits": {"drainTimeout": "10s", "backendLease": "1m"},
	}`))
	if err != nil {
		t.Fatal(err)
	}
	var failed atomic.Int64
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(countHook{message: "attempt at a backend server failed", count: &failed})
	n := node.New(s, log)
	t.Cleanup(n.Clock.Stop)
	d, err := spec.Parse(fmt.Appendf(nil, configDocument, spec.HashKey("key")))
	if err != nil {
		t.Fatal(err)
	}
	n.ApplyIndex(spec.NewIndex(d, 1))
	x := &relay.Relay{Node: n, Pool: &pool.Pool{}, Peers: relay.NewPeerPool(), Codec: relay.DefaultCodec()}
	n.BackendChanged = x.BackendChanged
	server, err := serve.New(serve.Config{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Handler: x, MaxBody: maxServedBody, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return &testVM{t: t, node: n, relay: x, addr: server.Addr().String(), failed: &failed}
}

// backend starts a fake backend server of a service and announces it to the VM.
func (r *testVM) backend(id, service string, behave func(r *http.Request) origin.Behaviour) *origin.Server {
	r.t.Helper()
	s, err := origin.New(id, behave)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(s.Close)
	r.announce(s, service, false)
	return s
}

// announce sends the VM an announcement of a server. One with leaving set is
// newer than one without.
func (r *testVM) announce(s *origin.Server, service string, leaving bool) {
	seq := uint64(1)
	if leaving {
		seq = 2
	}
	r.node.ReceiveAnnouncement(member.Backend{ID: s.ID, Addr: s.Addr(), Kind: spec.KindPlain, Service: service, Domain: "a", Epoch: 1, Seq: seq, Leaving: leaving})
}

// send sends a request as a caller. The pairs of names and values in header are
// set on top of a request ID and the workspace key.
func (r *testVM) send(method, path, id, body string, header ...string) (*http.Response, error) {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.addr+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Fold-Request-Id", id)
	req.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
}

// sendAndRead sends a request and reads the complete response.
func (r *testVM) sendAndRead(method, path, id, body string, header ...string) (status int, text string, err error) {
	r.t.Helper()
	res, err := r.send(method, path, id, body, header...)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// respondWith returns a handler that treats every request in the same way.
func respondWith(b origin.Behaviour) func(*http.Request) origin.Behaviour {
	return func(*http.Request) origin.Behaviour { return b }
}

// waitTimeout bounds every wait of these tests. A passing test does not depend
// on it.
const waitTimeout = 20 * time.Second

// waitFor waits until ok returns true and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// sendRaw sends text on a new connection to the VM and returns the connection and
// a reader of the responses.
func (r *testVM) sendRaw(text string) (net.Conn, *bufio.Reader) {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}
