package pool_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
)

// TestResetDuringUploadIsNotComplete guards against a response with neither a length nor chunks
// that looks complete though the server has reset the connection while the request's body was
// still being written: the kernel reports a reset only once, to a write or to a read.
func TestResetDuringUploadIsNotComplete(t *testing.T) {
	upload := bytes.Repeat([]byte("u"), 16<<20)
	for _, tt := range []struct {
		name      string
		behaviour origin.Behaviour
	}{
		{"at once", origin.Behaviour{}},
		{"at once, body unread", origin.Behaviour{StopReading: true}},
		{"later", origin.Behaviour{ResetAfter: 2 * time.Millisecond}},
		{"later, body unread", origin.Behaviour{ResetAfter: 2 * time.Millisecond, StopReading: true}},
		{"failure status", origin.Behaviour{ResetAfter: time.Millisecond, Status: http.StatusInternalServerError}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := tt.behaviour
			b.ResetEarly, b.CloseDelimited, b.Body, b.TruncateAt = true, true, "part of a response", 4
			s := startServer(t, func(r *http.Request) origin.Behaviour {
				if r.Header.Get("Fold-Request-Id") == "first" {
					return origin.Behaviour{}
				}
				return b
			})
			for i := range 60 {
				p := &pool.Pool{}
				if i%2 == 1 {
					// The connection was used before.
					if _, _, err := do(t, p, newRequest(s, http.MethodPost, "first", nil)); err != nil {
						t.Fatal(err)
					}
				}
				if status, body, err := do(t, p, newRequest(s, http.MethodPost, "1", upload)); err == nil {
					t.Errorf("exchange %d: status %d, body %q, no error", i, status, body)
				}
			}
		})
	}
}

// TestEarlyResponseIsComplete guards sound servers that answer before they have read the
// request's body: a response that ends with its connection is complete if the server has closed
// it, also if it never reads the rest.
func TestEarlyResponseIsComplete(t *testing.T) {
	upload := bytes.Repeat([]byte("u"), 16<<20)
	for name, b := range map[string]origin.Behaviour{
		"reads the body afterwards": {RespondEarly: true, HalfClose: true},
		"never reads the body":      {RespondEarly: true, HalfClose: true, StopReading: true},
		"length":                    {RespondEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			b.Body, b.CloseDelimited = "a whole response", b.HalfClose
			s := startServer(t, func(*http.Request) origin.Behaviour { return b })
			for range 10 {
				if status, body, err := do(t, &pool.Pool{}, newRequest(s, http.MethodPost, "1", upload)); err != nil || body != b.Body {
					t.Errorf("status %d, body %q, error %v; want the whole response", status, body, err)
				}
			}
		})
	}
}
