package app_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/tmaxmax/go-sse"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/foldfake/plain"
)

// testKey is the key of the workspace "alpha"; betaKey is that of "beta".
const (
	testKey = "key-alpha"
	betaKey = "key-beta"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func testConfig() *spec.Document {
	text := fmt.Sprintf(`{
		"policy": "naive",
		"classes": [
			{"name": "summary", "target": {"firstToken": "5s", "tokenGap": "60ms"}},
			{"name": "sticky", "target": {"firstToken": "5s"}, "resumeWindow": "20s"},
			{"name": "draft", "target": {"completion": "8h"}},
		],
		"services": [
			{"name": "advice-models", "kind": "engine", "models": ["advice-7b"]},
			{"name": "booking-app", "kind": "plain"},
		],
		"routes": [
			{"path": "/lookup", "methods": ["GET"], "service": "booking-app", "idempotent": true, "timeout": "2s"},
			{"path": "/remind", "methods": ["POST"], "service": "booking-app", "idempotent": false, "timeout": "2s"},
		],
		"workspaces": [{"name": "alpha", "keySHA256": %q}, {"name": "beta", "keySHA256": %q}],
	}`, spec.HashKey(testKey), spec.HashKey(betaKey))
	d, err := spec.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	return d
}

func quietLog() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// startEntry runs one entry VM. edit may change its settings.
func startEntry(t testing.TB, id string, edit func(*conf.Settings)) *app.App {
	t.Helper()
	s, err := conf.Parse([]byte(`{
		"id": "` + id + `", "domain": "a", "handleKey": "0123456789abcdef",
		"listen": {"callers": "127.0.0.1:0", "backends": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
		"limits": {"stallTimeout": "300ms", "connectTimeout": "500ms"},
	}`))
	if err != nil {
		t.Fatal(err)
	}
	if edit != nil {
		edit(s)
	}
	a, err := app.New(context.Background(), s, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	a.Node.ApplyIndex(spec.NewIndex(testConfig(), 1))
	return a
}

// startControl runs one entry VM that is also a group of one control replica.
func startControl(t testing.TB, id string) *app.App {
	t.Helper()
	a := startEntry(t, id, func(s *conf.Settings) {
		s.Control = &conf.Control{DataFolder: t.TempDir(), Bootstrap: true}
	})
	waitFor(t, "the control replica to lead", func() bool { return counter(a, "control.leaderChanges") > 0 })
	return a
}

// fastParams is an engine whose steps take about 2 ms.
func fastParams() model.Params {
	return model.Params{
		StepBase:       2 * time.Millisecond,
		StepPerSeq:     time.Microsecond,
		StepPerKTok:    time.Microsecond,
		PrefillPerKTok: time.Millisecond,
	}
}

// startEngine runs one stand-in engine that announces itself to the entries.
func startEngine(t testing.TB, id string, entries ...*app.App) *host.Engine {
	t.Helper()
	c := host.Config{
		ID: id, Addr: loopback, Service: "advice-models", Model: "advice-7b", Domain: "a",
		Params: fastParams(), Interval: 50 * time.Millisecond, Log: quietLog(),
	}
	for _, e := range entries {
		c.Entries = append(c.Entries, e.Addrs().Backends)
	}
	e, err := host.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	for _, a := range entries {
		waitFor(t, "engine "+id+" to be known", func() bool { _, ok := a.Node.Backend(id); return ok })
	}
	return e
}

// startService runs one stand-in plain service.
func startService(t testing.TB, id string, entry *app.App) *plain.Service {
	t.Helper()
	s, err := plain.New(plain.Config{
		ID: id, Addr: loopback, Service: "booking-app", Domain: "a",
		Entries: []netip.AddrPort{entry.Addrs().Backends}, Interval: 50 * time.Millisecond, Log: quietLog(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	waitFor(t, "service "+id+" to be known", func() bool { _, ok := entry.Node.Backend(id); return ok })
	return s
}

// patience bounds every wait of these tests. No verdict depends on it while
// the system does what it should.
const patience = 20 * time.Second

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ask is one request of a caller.
type ask struct {
	method string
	path   string
	key    string
	class  string
	body   string
	header map[string]string
	// client sends the request; nil means the default one.
	client *http.Client
}

func (a ask) send(t testing.TB, to *app.App) *http.Response {
	t.Helper()
	return a.sendContext(t, context.Background(), to)
}

func (a ask) sendContext(t testing.TB, ctx context.Context, to *app.App) *http.Response {
	t.Helper()
	if a.method == "" {
		a.method = http.MethodPost
	}
	if a.path == "" {
		a.path = "/v1/completions"
	}
	if a.key == "" {
		a.key = testKey
	}
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+to.Addrs().Callers.String()+a.path, bytes.NewReader([]byte(a.body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	if a.class != "" {
		req.Header.Set("Fold-Class", a.class)
	}
	for k, v := range a.header {
		req.Header.Set(k, v)
	}
	if a.client == nil {
		a.client = http.DefaultClient
	}
	res, err := a.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res
}

// smallBufferClient returns a client that takes in little by itself.
func smallBufferClient() *http.Client {
	const size = 64 << 10
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetReadBuffer(size)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// generation asks for an answer of n tokens.
func generation(class string, n int, stream bool) ask {
	body := fmt.Sprintf(`{"model":"advice-7b","prompt":"Notes. [len=%d]","stream":%t}`, n, stream)
	return ask{class: class, body: body}
}

// fold is the summary in the last event of an answer.
type fold struct {
	Outcome string `json:"outcome"`
	Tokens  int    `json:"tokens"`
	CRC32C  string `json:"crc32c"`
}

type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Fold  *fold `json:"fold"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Tokens  int    `json:"tokens"`
	} `json:"error"`
}

// received is an answer as its caller got it.
type received struct {
	text   string
	events int
	lastID string
	fold   *fold
	// fault is the code of the error event, empty if there was none.
	fault string
	done  bool
	err   error
}

// read takes in an answer; stop ends it early when it returns true.
func read(res *http.Response, stop func(*received) bool) *received {
	r := &received{}
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			r.err = err
			return r
		}
		r.take(ev)
		if stop != nil && stop(r) {
			return r
		}
	}
	return r
}

func (r *received) take(ev sse.Event) {
	r.lastID = ev.LastEventID
	if ev.Data == "[DONE]" {
		r.done = true
		return
	}
	var e event
	if err := json.Unmarshal([]byte(ev.Data), &e); err != nil {
		r.err = err
		return
	}
	for _, c := range e.Choices {
		r.text += c.Text
	}
	r.events++
	if e.Fold != nil {
		r.fold = e.Fold
	}
	if e.Error != nil {
		r.fault = e.Error.Code
	}
}

// checkWhole fails unless text is an answer of n tokens, each once, in order,
// from one generation, with a summary that says so.
func checkWhole(t testing.TB, text string, f *fold, n int) {
	t.Helper()
	checkTokens(t, text, n)
	if f == nil {
		t.Fatal("no summary event")
	}
	if want := fmt.Sprintf("%08x", deliv.Checksum(0, text)); f.Tokens != n || f.Outcome != "done" || f.CRC32C != want {
		t.Fatalf("summary %+v, want done, %d tokens, checksum %s", *f, n, want)
	}
}

func checkTokens(t testing.TB, text string, n int) {
	t.Helper()
	tokens := strings.Fields(text)
	if len(tokens) != n {
		t.Fatalf("%d tokens, want %d", len(tokens), n)
	}
	generation, _, _ := strings.Cut(tokens[0], ".")
	for i, got := range tokens {
		if want := fmt.Sprintf("%s.%d", generation, i+1); got != want {
			t.Fatalf("token %d is %q, want %q", i+1, got, want)
		}
	}
}

const conf100ms = strict.Duration(100 * time.Millisecond)

// counter returns a counter of a VM.
func counter(a *app.App, name string) int64 {
	return metrics.GetOrRegisterCounter(name, a.Node.Metrics).Count()
}
