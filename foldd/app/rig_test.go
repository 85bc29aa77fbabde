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

// alphaKey and betaKey are the keys of the workspaces "alpha" and "beta".
const (
	alphaKey = "key-alpha"
	betaKey  = "key-beta"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testConfig returns the configuration that the entry VMs of these tests apply.
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
	}`, spec.HashKey(alphaKey), spec.HashKey(betaKey))
	d, err := spec.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	return d
}

// quietLog returns a logger that discards its output.
func quietLog() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// startEntry starts an entry VM with testConfig applied. edit, if not nil,
// changes its settings first.
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

// startControlVM starts an entry VM that is also the only member of a control
// group, and waits until its replica is the leader.
func startControlVM(t testing.TB, id string) *app.App {
	t.Helper()
	a := startEntry(t, id, func(s *conf.Settings) {
		s.Control = &conf.Control{DataFolder: t.TempDir(), Bootstrap: true}
	})
	waitFor(t, "the control replica to become leader", func() bool { return counter(a, "control.leaderChanges") > 0 })
	return a
}

// fastParams returns the parameters of an engine whose steps take about 2 ms.
func fastParams() model.Params {
	return model.Params{
		StepBase:       2 * time.Millisecond,
		StepPerSeq:     time.Microsecond,
		StepPerKTok:    time.Microsecond,
		PrefillPerKTok: time.Millisecond,
	}
}

// startEngine starts a stand-in engine that announces itself to the entry VMs,
// and waits until they know it.
func startEngine(t testing.TB, id string, entries ...*app.App) *host.Engine {
	t.Helper()
	return startEngineWith(t, host.Config{ID: id}, entries...)
}

// startEngineWith is startEngine with fields of the configuration that are not the
// same for all engines of these tests.
func startEngineWith(t testing.TB, c host.Config, entries ...*app.App) *host.Engine {
	t.Helper()
	c.Addr, c.Service, c.Model, c.Domain = loopback, "advice-models", "advice-7b", "a"
	c.Params, c.Interval, c.Log = fastParams(), 50*time.Millisecond, quietLog()
	for _, e := range entries {
		c.Entries = append(c.Entries, e.Addrs().Backends)
	}
	e, err := host.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	for _, a := range entries {
		waitFor(t, "engine "+c.ID+" to be known", func() bool { _, ok := a.Node.Backend(c.ID); return ok })
	}
	return e
}

// startService starts a stand-in plain service that announces itself to the entry
// VM, and waits until the VM knows it.
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

// waitTimeout bounds every wait of these tests. It affects only how long a test
// takes to fail.
const waitTimeout = 20 * time.Second

// waitFor polls ok until it returns true, and fails the test after waitTimeout.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// callerRequest is a request of a caller. An empty method is POST, an empty path
// that of completions, and an empty key alphaKey.
type callerRequest struct {
	method string
	path   string
	key    string
	class  string
	body   string
	header map[string]string
	// client sends the request; nil means http.DefaultClient.
	client *http.Client
}

func (a callerRequest) send(t testing.TB, to *app.App) *http.Response {
	t.Helper()
	return a.sendContext(t, context.Background(), to)
}

func (a callerRequest) sendContext(t testing.TB, ctx context.Context, to *app.App) *http.Response {
	t.Helper()
	if a.method == "" {
		a.method = http.MethodPost
	}
	if a.path == "" {
		a.path = "/v1/completions"
	}
	if a.key == "" {
		a.key = alphaKey
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

// smallBufferClient returns a client with a small receive buffer, so that the
// server's writes block soon after the caller stops reading.
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

// generationRequest returns a request for an answer of n tokens.
func generationRequest(class string, n int, stream bool) callerRequest {
	body := fmt.Sprintf(`{"model":"advice-7b","prompt":"Notes. [len=%d]","stream":%t}`, n, stream)
	return callerRequest{class: class, body: body}
}

// answerSummary is the summary of the generation in the last event of an answer.
type answerSummary struct {
	Outcome string `json:"outcome"`
	Tokens  int    `json:"tokens"`
	CRC32C  string `json:"crc32c"`
}

type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Fold  *answerSummary `json:"fold"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Tokens  int    `json:"tokens"`
	} `json:"error"`
}

// answer is an answer as received by the caller.
type answer struct {
	text        string
	events      int
	lastEventID string
	summary     *answerSummary
	// errorCode is the code of the error event, or empty if there was none.
	errorCode string
	done      bool
	err       error
}

// readAnswer reads the answer in res. It calls stop, if not nil, after each event
// and returns early when stop returns true.
func readAnswer(res *http.Response, stop func(*answer) bool) *answer {
	r := &answer{}
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			r.err = err
			return r
		}
		r.addEvent(ev)
		if stop != nil && stop(r) {
			return r
		}
	}
	return r
}

// addEvent adds an event to the answer.
func (r *answer) addEvent(ev sse.Event) {
	r.lastEventID = ev.LastEventID
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
		r.summary = e.Fold
	}
	if e.Error != nil {
		r.errorCode = e.Error.Code
	}
}

// checkCompleteAnswer fails unless text has the tokens 1 to n of one generation,
// each once and in order, and the summary f matches it.
func checkCompleteAnswer(t testing.TB, text string, f *answerSummary, n int) {
	t.Helper()
	checkTokens(t, text, n)
	if f == nil {
		t.Fatal("got no summary event, want one")
	}
	if want := fmt.Sprintf("%08x", deliv.Checksum(0, text)); f.Tokens != n || f.Outcome != "done" || f.CRC32C != want {
		t.Fatalf("got summary %+v, want done, %d tokens, checksum %s", *f, n, want)
	}
}

// checkTokens fails unless text has the tokens 1 to n of one generation, each once
// and in order.
func checkTokens(t testing.TB, text string, n int) {
	t.Helper()
	tokens := strings.Fields(text)
	if len(tokens) != n {
		t.Fatalf("got %d tokens, want %d", len(tokens), n)
	}
	generation, _, _ := strings.Cut(tokens[0], ".")
	for i, got := range tokens {
		if want := fmt.Sprintf("%s.%d", generation, i+1); got != want {
			t.Fatalf("token %d is %q, want %q", i+1, got, want)
		}
	}
}

// shortWriteTimeout is the smallest write timeout that the settings allow.
const shortWriteTimeout = strict.Duration(100 * time.Millisecond)

// counter returns the value of the VM's counter of this name.
func counter(a *app.App, name string) int64 {
	return metrics.GetOrRegisterCounter(name, a.Node.Metrics).Count()
}
