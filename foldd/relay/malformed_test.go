package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiafold.example/foldfake/origin"
)

// malformedHeads are responses with a head that HTTP does not allow, to the request with the
// ID %s.
var malformedHeads = map[string]string{
	"blank in a name":           "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nX-Bad Name: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank after a name":        "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nX-Bad : 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank before a name":       "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\n X-Bad: 1\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nX-\x01Bad: 1\r\nContent-Length: 4\r\n\r\nbody",
	"length with a blank":       "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nContent-Length : 4\r\n\r\nbody and more",
	"chunks with a blank":       "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank in a name, refusal":  "HTTP/1.1 503 Service Unavailable\r\nFold-Request-Id: %s\r\nFold-Not-Run: 1\r\nX-Bad Name: 1\r\nContent-Length: 0\r\n\r\n",
	"blank in a name, no ID":    "HTTP/1.1 200 OK\r\nFold-Request-Id %s: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a trailer's name": "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Bad Name: 1\r\n\r\n",
}

// respondRaw returns a handler that sends raw bytes, with the ID of the request in them. It
// closes the connection after a response whose header doesn't state the end of the body.
func respondRaw(text string) func(*http.Request) origin.Behaviour {
	framed := strings.Contains(text, "Content-Length:") || strings.Contains(text, "Transfer-Encoding:")
	return func(r *http.Request) origin.Behaviour {
		id := r.Header.Get("Fold-Request-Id")
		return origin.Behaviour{Raw: strings.ReplaceAll(text, "%s", id), Drop: !framed}
	}
}

// TestMalformedHeadReachesNoCaller guards against callers that get a response with a malformed
// head as one of their server, or are told that a request did not run that may have run.
func TestMalformedHeadReachesNoCaller(t *testing.T) {
	for name, text := range malformedHeads {
		for _, path := range []string{"/write/x", "/read/deep/x", "/draft/x"} {
			t.Run(name+path, func(t *testing.T) { checkReachesNoCaller(t, path, text) })
		}
	}
}

// checkReachesNoCaller checks what the caller of a path gets whose server sends a broken
// response, beside other cases.
func checkReachesNoCaller(t *testing.T, path, text string) {
	t.Helper()
	t.Parallel()
	r := startVM(t)
	lines := test.NewLocal(r.node.Log)
	app, models := r.backend("s1", "app", respondRaw(text)), r.backend("e1", "models", respondRaw(text))
	for i := range 2 {
		id := fmt.Sprint(i)
		status, body, err := r.sendAndRead(http.MethodPost, path, id, "b")
		if err == nil && status != http.StatusBadGateway {
			t.Errorf("status %d, body %q; want 502 or a broken stream", status, body)
		}
		if runs := app.RunCount(id) + models.RunCount(id); runs != 1 {
			t.Errorf("ran %d times, want once", runs)
		}
	}
	if r.failedAttempts() != 2 {
		t.Errorf("%d log lines about failed attempts, want 2", r.failedAttempts())
	}
	for _, line := range lines.AllEntries() {
		if line.Message == "attempt at a backend server failed" {
			checkNamesCause(t, line)
		}
	}
}

// checkNamesCause checks that a line names the request, the server, and a malformed response as
// what the server did.
func checkNamesCause(t *testing.T, line *logrus.Entry) {
	t.Helper()
	err, _ := line.Data[logrus.ErrorKey].(error)
	if line.Data["request"] == "" || line.Data["backend"] == "" || err == nil || !strings.Contains(err.Error(), "malformed response: ") {
		t.Errorf("line with %v, want the request, the server and a malformed response", line.Data)
	}
}

// TestMalformedHeadIsRetried checks that an idempotent request is sent to another server after
// a response with a malformed head.
func TestMalformedHeadIsRetried(t *testing.T) {
	for name, text := range malformedHeads {
		t.Run(name, func(t *testing.T) { checkRetried(t, text) })
	}
}

// checkRetried checks that an idempotent request whose first server sends a broken response is
// answered by the second one, beside other cases.
func checkRetried(t *testing.T, text string) {
	t.Helper()
	t.Parallel()
	r := startVM(t)
	a := r.backend("s1", "app", respondRaw(text))
	b := r.backend("s2", "app", respondWith(origin.Behaviour{Body: "whole"}))
	for i := 0; a.Accepted() == 0; i++ {
		status, body, err := r.sendAndRead(http.MethodPost, "/read/x", fmt.Sprint(i), "b")
		if status != http.StatusOK || body != "whole" || err != nil {
			t.Errorf("status %d, body %q, error %v; want the response of the other server", status, body, err)
		}
		if b.RunCount(fmt.Sprint(i)) != 1 {
			t.Error("the request did not reach the other server")
		}
	}
}

// badStatusLines are the beginnings of responses whose status is none.
var badStatusLines = []string{"HTTP/1.1 000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 700 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 101 OK"}

// TestBadStatusReachesNoCaller guards against callers that get a response whose status is none
// as one of their server, or wait for another one until their request times out.
func TestBadStatusReachesNoCaller(t *testing.T) {
	for _, line := range badStatusLines {
		for place, rest := range map[string]string{
			"whole": "Content-Length: 4\r\n\r\nbody", "refusal": "Fold-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "no length": "\r\nbody",
		} {
			text := line + "\r\nFold-Request-Id: %s\r\n" + rest
			for _, path := range []string{"/write/x", "/read/deep/x", "/draft/x"} {
				t.Run(line+", "+place+path, func(t *testing.T) { checkReachesNoCaller(t, path, text) })
			}
			t.Run(line+", "+place+", retried", func(t *testing.T) { checkRetried(t, text) })
		}
	}
}
