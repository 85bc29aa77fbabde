package pool_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
)

// fieldLines are lines of a head that are no header field. The response they stand in is whole
// otherwise, but for those that hide its framing.
var fieldLines = map[string]string{
	"blank in a name":             "X-Bad Name: 1",
	"blank before the colon":      "X-Bad : 1",
	"tab before the colon":        "X-Bad\t: 1",
	"blank before a name":         " X-Bad: 1",
	"tab before a name":           "\tX-Bad: 1",
	"line of blanks":              "  ",
	"NUL in a name":               "X-\x00Bad: 1",
	"control byte in a name":      "X-\x01Bad: 1",
	"control byte before a name":  "\x0bX-Bad: 1",
	"escape in a name":            "\x1b[31mX-Bad: 1",
	"DEL in a name":               "X-Bad\x7f: 1",
	"carriage return in a name":   "X-\rBad: 1",
	"byte over 127 in a name":     "X-B\xe4d: 1",
	"delimiter in a name":         "X-(Bad): 1",
	"empty name":                  ": 1",
	"no colon":                    "X-Bad",
	"length with a blank":         "Content-Length : 4",
	"length in two words":         "Content Length: 4",
	"length with a control byte":  "Content-Length\x02: 4",
	"chunks with a blank":         "Transfer-Encoding : chunked",
	"folded length":               " Content-Length: 4",
	"NUL in a value":              "X-Bad: a\x00b",
	"control byte in a value":     "X-Bad: a\x01b",
	"DEL in a value":              "X-Bad: a\x7fb",
	"carriage return in a value":  "X-Bad: a\rb",
	"carriage returns at the end": "X-Bad: a\r",
	"two lengths":                 "Content-Length: 10\r\nContent-Length: 4",
	"signed length":               "Content-Length: +4",
	"length of two words":         "Content-Length: 1 0",
	"unknown coding":              "Transfer-Encoding: identity",
}

// hidesFraming reports whether a line stands in place of the field that states the framing.
func hidesFraming(name string) bool {
	return strings.Contains(name, "length") || strings.Contains(name, "chunks") || strings.Contains(name, "coding")
}

// responsesWith returns responses to the request with the ID 1 that have a line in their head:
// as the first, a middle or the last field, and in an informational response.
func responsesWith(name, line string) map[string]string {
	const id, start = "Fold-Request-Id: 1\r\n", "HTTP/1.1 200 OK\r\n"
	line += "\r\n"
	length, body := "Content-Length: 10\r\n", "whole body"
	if hidesFraming(name) {
		length = ""
	}
	responses := map[string]string{
		"first":   start + line + id + length + "\r\n" + body,
		"middle":  start + id + line + length + "\r\n" + body,
		"last":    start + id + length + line + "\r\n" + body,
		"failure": "HTTP/1.1 503 Service Unavailable\r\n" + id + line + length + "\r\n" + body,
	}
	if !hidesFraming(name) {
		responses["informational"] = "HTTP/1.1 103 Early Hints\r\n" + id + line + "\r\n" + start + id + "Content-Length: 10\r\n\r\n" + body
	}
	return responses
}

// TestMalformedFieldIsAnError guards against a head with a line that is no header field: it was
// passed on, or hid the framing, so that other bytes became the body.
func TestMalformedFieldIsAnError(t *testing.T) {
	for name, line := range fieldLines {
		for place, text := range responsesWith(name, line) {
			t.Run(name+", "+place, func(t *testing.T) { checkBroken(t, origin.Behaviour{Raw: text, Drop: hidesFraming(name)}) })
		}
	}
}

// checkBroken checks that a response is an error, on a new connection and on one that was used
// before, and that no request follows it on its connection.
func checkBroken(t *testing.T, broken origin.Behaviour) {
	t.Helper()
	s := startServer(t, func(r *http.Request) origin.Behaviour {
		if r.Header.Get("Fold-Request-Id") == "1" {
			return broken
		}
		return origin.Behaviour{Body: "hello"}
	})
	for _, used := range []bool{false, true} {
		p := &pool.Pool{}
		if used {
			if _, _, err := do(t, p, newRequest(s, http.MethodPost, "0", nil)); err != nil {
				t.Fatal(err)
			}
		}
		before := s.Accepted()
		if status, body, err := doInTime(p, newRequest(s, http.MethodPost, "1", nil)); err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("connection used before: %t: status %d, body %q, error %v; want one at once", used, status, body, err)
		}
		if status, body, err := do(t, p, newRequest(s, http.MethodPost, "2", nil)); err != nil || body != "hello" {
			t.Errorf("next request: status %d, body %q, error %v", status, body, err)
		}
		if used && s.Accepted() == before {
			t.Error("the next request was sent on the same connection")
		}
	}
}

// doInTime sends a request and reads the response, for at most two seconds.
func doInTime(p *pool.Pool, r *pool.Request) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return doContext(ctx, p, r)
}

// TestMalformedTrailerIsAnError is the case of a line in a trailer.
func TestMalformedTrailerIsAnError(t *testing.T) {
	for _, line := range []string{"X-Bad Name: 1", "X-Bad : 1", "X-\x01Bad: 1", "X-Bad: a\x00b", "X-Bad", ": 1"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			checkBroken(t, origin.Behaviour{Raw: "HTTP/1.1 200 OK\r\nFold-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + line + "\r\n\r\n"})
		})
	}
}

// TestChunksInOldVersionAreAnError guards against chunks of a response of HTTP/1.0, which has
// none, that become the body together with their sizes.
func TestChunksInOldVersionAreAnError(t *testing.T) {
	checkBroken(t, origin.Behaviour{Raw: "HTTP/1.0 200 OK\r\nFold-Request-Id: 1\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n5\r\nhello\r\n0\r\n\r\n"})
}

// TestUnusualHeadsAreRead guards sound responses: what HTTP allows in a head is passed on.
func TestUnusualHeadsAreRead(t *testing.T) {
	long := strings.Repeat("v", 10<<10)
	for name, lines := range map[string]string{
		"empty value":             "X-Odd:",
		"blanks around a value":   "X-Odd: \t a \t ",
		"tab in a value":          "X-Odd: a\tb",
		"bytes over 127":          "X-Odd: \xe4\xff",
		"colons in a value":       "X-Odd: a: b::",
		"all delimiters allowed":  "!#$%&'*+-.^_`|~09azAZ: 1",
		"lower case":              "x-odd: 1",
		"same length twice":       "Content-Length: 5\r\nContent-Length: 5",
		"value over a buffer":     "X-Odd: " + long,
		"many fields":             strings.TrimSuffix(strings.Repeat("X-Odd: 1\r\n", 1000), "\r\n"),
		"name over a buffer":      strings.Repeat("n", 5<<10) + ": 1",
		"line feed alone":         "X-Odd: 1\nX-Even: 2",
		"digits alone as a name":  "123: 4",
		"continuation characters": "X-Odd: a;b=\"c d\", e",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(r *http.Request) origin.Behaviour {
				id := r.Header.Get("Fold-Request-Id")
				return origin.Behaviour{Raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nFold-Request-Id: " + id + "\r\n" + lines + "\r\nContent-Length: 5\r\n\r\nhello"}
			})
			p := &pool.Pool{}
			for _, id := range []string{"1", "2"} {
				if status, body, err := do(t, p, newRequest(s, http.MethodPost, id, nil)); err != nil || status != http.StatusOK || body != "hello" {
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
			}
			if s.Accepted() != 1 {
				t.Errorf("%d connections, want the first one reused", s.Accepted())
			}
		})
	}
}
