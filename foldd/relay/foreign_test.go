package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/origin"
)

// foreignResponses are responses that belong to no request, or to an earlier one, as a faulty
// server sends them ahead of its true response.
var foreignResponses = map[string]string{
	"earlier refusal":              "HTTP/1.1 503 Service Unavailable\r\nFold-Request-Id: earlier\r\nFold-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"refusal without ID":           "HTTP/1.1 503 Service Unavailable\r\nFold-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"refusal of another server":    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	"success without ID":           "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign",
	"success without signature":    "HTTP/1.1 200 OK\r\nFold-Request-Id: unsigned\r\nContent-Length: 7\r\n\r\nforeign",
	"earlier success":              "HTTP/1.1 200 OK\r\nFold-Request-Id: earlier\r\nFold-Stamp: s\r\nContent-Length: 7\r\n\r\nforeign",
	"two refusals and a success":   "HTTP/1.1 503 Service Unavailable\r\nFold-Not-Run: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nFold-Not-Run: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
	"refusal that ends the stream": "HTTP/1.1 503 Service Unavailable\r\nFold-Not-Run: 1\r\nConnection: close\r\n\r\n",
}

// signedCodec returns the default codec for servers that repeat IDs and sign their successes.
// The stand-ins do so with the ID, but for "unsigned".
func signedCodec() relay.Codec {
	c := relay.DefaultCodec()
	parse := c.ParseReply
	c.ParseReply = func(status int, h http.Header) relay.Reply {
		r := parse(status, h)
		r.Signed = r.ID != "" && r.ID != "unsigned"
		return r
	}
	c.SignedReplies = true
	return c
}

// TestForeignResponsesAreNotBelieved guards against callers that get a response of no request,
// or are told that a request did not run that has run, and against its run at a second server.
func TestForeignResponsesAreNotBelieved(t *testing.T) {
	for name, before := range foreignResponses {
		for _, path := range []string{"/write/x", "/draft/x"} {
			t.Run(name+path, func(t *testing.T) {
				r := startVM(t)
				r.relay.Codec = signedCodec()
				service, events, want := "app", 0, "own"
				if path == "/draft/x" {
					service, events, want = "models", streamEvents, allEvents()
				}
				behave := func(req *http.Request) origin.Behaviour {
					b := origin.Behaviour{Body: "own", Events: events}
					if req.Header.Get("Fold-Request-Id") != "first" {
						b.Before = before
					}
					return b
				}
				first, second := r.backend("s1", service, behave), r.backend("s2", service, behave)
				if _, _, err := r.sendAndRead(http.MethodPost, path, "first", "b"); err != nil {
					t.Fatal(err)
				}
				for i := range 4 {
					id := fmt.Sprint("r", i)
					status, body, err := r.sendAndRead(http.MethodPost, path, id, "b")
					runs := first.RunCount(id) + second.RunCount(id)
					notRun := status == http.StatusServiceUnavailable
					if runs > 1 || notRun && runs > 0 {
						t.Errorf("status %d, ran %d times", status, runs)
					}
					if status == http.StatusOK && err == nil && body != want {
						t.Errorf("body %q, want %q", body, want)
					}
					if name != "refusal that ends the stream" && (status != http.StatusOK || err != nil) {
						t.Errorf("status %d, error %v; want the server's own response", status, err)
					}
				}
			})
		}
	}
}
