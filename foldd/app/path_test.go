package app_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"fuchsiafold.example/foldd/conf"
)

func TestStreamedAnswer(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generationRequest("summary", 60, true).send(t, a)
	r := readAnswer(res, nil)
	checkCompleteAnswer(t, r.text, r.summary, 60)
	if !r.done || r.err != nil {
		t.Fatalf("got done %t, error %v; want true, no error", r.done, r.err)
	}
}

func TestNonStreamedAnswer(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generationRequest("draft", 50, false).send(t, a)
	var e event
	if err := json.NewDecoder(res.Body).Decode(&e); err != nil {
		t.Fatal(err)
	}
	checkCompleteAnswer(t, e.Choices[0].Text, e.Fold, 50)
}

// TestConcurrentAnswersAreNotMixed requests many answers of different lengths at
// once and checks that each caller gets the answer to its request.
func TestConcurrentAnswersAreNotMixed(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	const callers = 40
	got := make([]*answer, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { got[i] = readAnswer(generationRequest("summary", 10+i, true).send(t, a), nil) })
	}
	wg.Wait()
	for i, r := range got {
		checkCompleteAnswer(t, r.text, r.summary, 10+i)
	}
}

func TestBadRequests(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	big := make([]byte, a.Node.Settings.Limits.MaxBody+1)
	for i := range big {
		big[i] = 'x'
	}
	tests := []struct {
		name    string
		request callerRequest
		status  int
		code    string
	}{
		{"unknown key", callerRequest{key: "nobody", class: "summary", body: `{}`}, http.StatusUnauthorized, "unauthorized"},
		{"invalid JSON", callerRequest{class: "summary", body: `{"model":`}, http.StatusBadRequest, "badRequest"},
		{"empty prompt", callerRequest{class: "summary", body: `{"model":"advice-7b"}`}, http.StatusBadRequest, "badRequest"},
		{"negative tokens", callerRequest{class: "summary", body: `{"model":"advice-7b","prompt":"x","max_tokens":-1}`}, http.StatusBadRequest, "badRequest"},
		{"unknown class", callerRequest{class: "nothing", body: `{"model":"advice-7b","prompt":"x"}`}, http.StatusBadRequest, "unknownClass"},
		{"unknown model", callerRequest{class: "summary", body: `{"model":"other","prompt":"x"}`}, http.StatusNotFound, "unknownModel"},
		{"unknown route", callerRequest{method: "GET", path: "/nowhere"}, http.StatusNotFound, "unknownRoute"},
		{"wrong method", callerRequest{method: "DELETE", path: "/lookup/1"}, http.StatusMethodNotAllowed, "unknownRoute"},
		{"too large", callerRequest{class: "summary", body: string(big)}, http.StatusRequestEntityTooLarge, "tooLarge"},
		{"far too large", callerRequest{class: "summary", body: string(big) + string(big)}, http.StatusRequestEntityTooLarge, "tooLarge"},
		{"malformed event ID", callerRequest{header: map[string]string{"Last-Event-ID": "abc"}}, http.StatusBadRequest, "badHandle"},
		{"forged handle", callerRequest{header: map[string]string{"Last-Event-ID": "QUJDREVGR0hJSktMTU5PUFFSU1RVVldYWVo:3:0"}}, http.StatusBadRequest, "badHandle"},
		{"no idempotency key", callerRequest{path: "/remind", body: "x"}, http.StatusBadRequest, "idempotencyKeyNeeded"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := tt.request.send(t, a)
			var e event
			if err := json.NewDecoder(res.Body).Decode(&e); err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != tt.status || e.Error == nil || e.Error.Code != tt.code || e.Error.Outcome != "notRun" {
				t.Errorf("got status %d, error %+v; want %d, %s, notRun", res.StatusCode, e.Error, tt.status, tt.code)
			}
		})
	}
	r := readAnswer(generationRequest("summary", 5, true).send(t, a), nil)
	checkCompleteAnswer(t, r.text, r.summary, 5)
}

// TestLargeBodiesShareMemory guards against bodies of callers that together exceed the memory
// of the VM: while one is being received, another one finds none, and usual requests go on.
func TestLargeBodiesShareMemory(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", func(s *conf.Settings) { s.Limits.BodyMemory = s.Limits.MaxBody })
	startEngine(t, "e1", a)
	size := a.Node.Settings.Limits.MaxBody
	c, err := net.Dial("tcp", a.Addrs().Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /lookup/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
	large := callerRequest{class: "summary", body: strings.Repeat("x", size)}
	waitFor(t, "a large body to be rejected", func() bool {
		res := large.send(t, a)
		return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != ""
	})
	r := readAnswer(generationRequest("summary", 5, true).send(t, a), nil)
	checkCompleteAnswer(t, r.text, r.summary, 5)
	c.Close()
	waitFor(t, "memory to be free again", func() bool { return large.send(t, a).StatusCode == http.StatusBadRequest })
}

func TestNoEngine(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	res := generationRequest("summary", 5, true).send(t, a)
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || res.Header.Get("Fold-Outcome") != "notRun" {
		t.Fatalf("got status %d, header %v; want 503, a Retry-After, outcome notRun", res.StatusCode, res.Header)
	}
}

func TestPlainCall(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startService(t, "s1", a)
	res := callerRequest{method: "GET", path: "/lookup/seat?row=3"}.send(t, a)
	var got struct {
		Workspace string `json:"workspace"`
		Path      string `json:"path"`
	}
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Workspace != "alpha" || got.Path != "/lookup/seat" {
		t.Fatalf("service received %+v, want workspace alpha, path /lookup/seat", got)
	}
}
