package pool_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
)

func start(t *testing.T, behave func(r *http.Request) origin.Behaviour) *origin.Server {
	t.Helper()
	s, err := origin.New("s", behave)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func request(s *origin.Server, method, id string, body []byte) *pool.Request {
	return &pool.Request{
		Addr: s.Addr(), Method: method, URI: "/x?y=1", Host: "h", Body: body, Header: http.Header{"Fold-Request-Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("Fold-Request-Id") == id },
	}
}

func do(t *testing.T, p *pool.Pool, r *pool.Request) (int, string, error) {
	t.Helper()
	res, err := p.Do(context.Background(), r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.Status, string(b), err
}

// TestAnswers takes answers of each kind that a server may give.
func TestAnswers(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	tests := []struct {
		name   string
		b      origin.Behaviour
		body   string
		whole  bool
		reused bool
	}{
		{"whole", origin.Behaviour{Body: "hello"}, "", true, true},
		{"empty", origin.Behaviour{}, "", true, true},
		{"an error of the server's own", origin.Behaviour{Status: 500, Body: "no"}, "", true, true},
		{"without a length", origin.Behaviour{Body: "hello", CloseDelimited: true}, "", true, false},
		{"without a length, reset", origin.Behaviour{Body: long, CloseDelimited: true, TruncateAt: 50_000, Reset: true}, "", false, false},
		{"cut", origin.Behaviour{Body: "hello", TruncateAt: 2}, "", false, false},
		{"behind another's answer", origin.Behaviour{Body: "hello", ExtraResponse: true}, "", true, true},
		{"before a long body was read", origin.Behaviour{Body: "hello", RespondEarly: true}, long, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, func(*http.Request) origin.Behaviour { return tt.b })
			p := &pool.Pool{}
			status, body, err := do(t, p, request(s, http.MethodPost, "1", []byte(tt.body)))
			if (err == nil) != tt.whole {
				t.Fatalf("status %d, %d bytes, error %v; want a whole answer: %t", status, len(body), err, tt.whole)
			}
			if tt.whole && body != tt.b.Body {
				t.Errorf("body %q, want %q", body, tt.b.Body)
			}
			if tt.body != "" {
				// Whether the rest of the body was out in time is the network's affair.
				return
			}
			if _, _, err := do(t, p, request(s, http.MethodPost, "2", nil)); tt.whole && err != nil {
				t.Fatal(err)
			}
			if reused := s.Accepted() == 1; reused != tt.reused {
				t.Errorf("%d connections, want the first one kept: %t", s.Accepted(), tt.reused)
			}
		})
	}
}

// TestNeverTwice lets a server run a request on a kept connection and end the
// connection without an answer. The standard transport sends such a request
// again by itself; the pool does not, since it may have run.
func TestNeverTwice(t *testing.T) {
	s := start(t, func(r *http.Request) origin.Behaviour {
		return origin.Behaviour{Body: "hello", Drop: r.Header.Get("Fold-Request-Id") == "2"}
	})
	p := &pool.Pool{}
	if _, _, err := do(t, p, request(s, http.MethodGet, "1", nil)); err != nil {
		t.Fatal(err)
	}
	_, _, err := do(t, p, request(s, http.MethodGet, "2", nil))
	var pe *pool.Error
	if !errors.As(err, &pe) || !pe.Sent {
		t.Errorf("error %v, want one that says that the request may have run", err)
	}
	if s.RunCount("2") != 1 || s.Accepted() != 1 {
		t.Errorf("the request ran %d times, on %d connections", s.RunCount("2"), s.Accepted())
	}
}

// TestRefusedConnection proves that nothing was sent.
func TestRefusedConnection(t *testing.T) {
	s := start(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{} })
	s.Close()
	_, _, err := do(t, &pool.Pool{}, request(s, http.MethodPost, "1", nil))
	var pe *pool.Error
	if !errors.As(err, &pe) || pe.Sent {
		t.Errorf("error %v, want one that says that nothing was sent", err)
	}
}

// TestCancelClosesConnection ends a request whose answer has not come: the
// server sees its connection close.
func TestCancelClosesConnection(t *testing.T) {
	s := start(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Events: 1 << 20, Gap: time.Millisecond} })
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool.Pool{}
	res, err := p.Do(ctx, request(s, http.MethodPost, "1", nil))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.Copy(io.Discard, res.Body); err == nil {
		t.Error("a cancelled answer looks whole")
	}
	for s.Running("1") {
		time.Sleep(time.Millisecond)
	}
}
