package pool_test

import (
	"net/http"
	"testing"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
)

// badStatusLines are status lines that HTTP does not allow, or of a response that no request
// of the pool asks for.
var badStatusLines = []string{
	"HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.0 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 020 OK", "HTTP/1.1 099 OK",
	"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 2_0 OK",
	"HTTP/1.1 0x0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1", "", " ",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K",
	"HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200\x00 OK", "HTTP/1.1\x01 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	"HTTP/1.11 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1 101 Switching Protocols",
}

// TestBadStatusLineIsAnError guards against a response whose status is none, such as 000, that
// is passed on, is taken for an informational one, or holds the request until it times out.
func TestBadStatusLineIsAnError(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nFold-Request-Id: 1\r\nContent-Length: 4\r\n\r\nbody"
	for _, line := range badStatusLines {
		head := line + "\r\nFold-Request-Id: 1\r\n"
		for place, text := range map[string]string{
			"with a body":            head + "Content-Length: 4\r\n\r\nbody",
			"empty":                  head + "Content-Length: 0\r\n\r\n",
			"no length":              head + "\r\nbody",
			"before a sound one":     head + "\r\n" + sound,
			"after an informational": "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
			"after another's":        "HTTP/1.1 200 OK\r\nFold-Request-Id: another\r\nContent-Length: 4\r\n\r\nbody" + head + "Content-Length: 4\r\n\r\nbody",
		} {
			t.Run(line+", "+place, func(t *testing.T) { checkBroken(t, origin.Behaviour{Raw: text, Drop: place == "no length"}) })
		}
	}
}

// TestUnusualStatusLinesAreRead guards sound responses: what HTTP allows in a status line is
// passed on.
func TestUnusualStatusLinesAreRead(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 200 All is well": 200, "HTTP/1.1 299 \xe4\tb": 299, "HTTP/1.0 200 OK": 200,
		"HTTP/1.1 599 x": 599, "HTTP/1.1 418 000": 418, "HTTP/1.1 199 x\r\n\r\nHTTP/1.1 202 y": 202, "HTTP/1.2 200 OK": 200, "HTTP/1.9 200 OK": 200,
	} {
		t.Run(line, func(t *testing.T) {
			s := startServer(t, func(*http.Request) origin.Behaviour {
				return origin.Behaviour{Raw: line + "\r\nFold-Request-Id: 1\r\nContent-Length: 4\r\n\r\nbody"}
			})
			if status, body, err := doInTime(&pool.Pool{}, newRequest(s, http.MethodPost, "1", nil)); status != want || body != "body" || err != nil {
				t.Errorf("status %d, body %q, error %v", status, body, err)
			}
		})
	}
}
