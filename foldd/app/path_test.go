package app_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
)

func TestStreamedAnswer(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generation("summary", 60, true).send(t, a)
	r := read(res, nil)
	checkWhole(t, r.text, r.fold, 60)
	if !r.done || r.err != nil {
		t.Fatalf("done %t, error %v", r.done, r.err)
	}
}

func TestWholeAnswer(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	res := generation("draft", 50, false).send(t, a)
	var e event
	if err := json.NewDecoder(res.Body).Decode(&e); err != nil {
		t.Fatal(err)
	}
	checkWhole(t, e.Choices[0].Text, e.Fold, 50)
}

// TestAnswersToTheirOwnCallers runs many answers of different lengths at
// once: each caller gets its own.
func TestAnswersToTheirOwnCallers(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startEngine(t, "e1", a)
	startEngine(t, "e2", a)
	const callers = 40
	got := make([]*received, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { got[i] = read(generation("summary", 10+i, true).send(t, a), nil) })
	}
	wg.Wait()
	for i, r := range got {
		checkWhole(t, r.text, r.fold, 10+i)
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
		name   string
		ask    ask
		status int
		code   string
	}{
		{"unknown key", ask{key: "nobody", class: "summary", body: `{}`}, http.StatusUnauthorized, "unauthorized"},
		{"invalid JSON", ask{class: "summary", body: `{"model":`}, http.StatusBadRequest, "badRequest"},
		{"empty prompt", ask{class: "summary", body: `{"model":"advice-7b"}`}, http.StatusBadRequest, "badRequest"},
		{"negative tokens", ask{class: "summary", body: `{"model":"advice-7b","prompt":"x","max_tokens":-1}`}, http.StatusBadRequest, "badRequest"},
		{"unknown class", ask{class: "nothing", body: `{"model":"advice-7b","prompt":"x"}`}, http.StatusBadRequest, "unknownClass"},
		{"unknown model", ask{class: "summary", body: `{"model":"other","prompt":"x"}`}, http.StatusNotFound, "unknownModel"},
		{"unknown route", ask{method: "GET", path: "/nowhere"}, http.StatusNotFound, "unknownRoute"},
		{"wrong method", ask{method: "DELETE", path: "/lookup/1"}, http.StatusMethodNotAllowed, "unknownRoute"},
		{"too large", ask{class: "summary", body: string(big)}, http.StatusRequestEntityTooLarge, "tooLarge"},
		{"far too large", ask{class: "summary", body: string(big) + string(big)}, http.StatusRequestEntityTooLarge, "tooLarge"},
		{"malformed event ID", ask{header: map[string]string{"Last-Event-ID": "abc"}}, http.StatusBadRequest, "badHandle"},
		{"forged handle", ask{header: map[string]string{"Last-Event-ID": "QUJDREVGR0hJSktMTU5PUFFSU1RVVldYWVo:3:0"}}, http.StatusBadRequest, "badHandle"},
		{"no idempotency key", ask{path: "/remind", body: "x"}, http.StatusBadRequest, "idempotencyKeyNeeded"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := tt.ask.send(t, a)
			var e event
			if err := json.NewDecoder(res.Body).Decode(&e); err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != tt.status || e.Error == nil || e.Error.Code != tt.code || e.Error.Outcome != "notRun" {
				t.Errorf("status %d, error %+v; want %d, %s, notRun", res.StatusCode, e.Error, tt.status, tt.code)
			}
		})
	}
	r := read(generation("summary", 5, true).send(t, a), nil)
	checkWhole(t, r.text, r.fold, 5)
}

func TestNoEngine(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	res := generation("summary", 5, true).send(t, a)
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || res.Header.Get("Fold-Outcome") != "notRun" {
		t.Fatalf("status %d, header %v", res.StatusCode, res.Header)
	}
}

func TestPlainCall(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	startService(t, "s1", a)
	res := ask{method: "GET", path: "/lookup/seat?row=3"}.send(t, a)
	var got struct {
		Workspace string `json:"workspace"`
		Path      string `json:"path"`
	}
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Workspace != "alpha" || got.Path != "/lookup/seat" {
		t.Fatalf("the service saw %+v", got)
	}
}
