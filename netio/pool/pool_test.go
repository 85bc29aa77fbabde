package pool_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
)

func startServer(t *testing.T, behave func(r *http.Request) origin.Behaviour) *origin.Server {
	t.Helper()
	s, err := origin.New("s", behave)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newRequest(s *origin.Server, method, id string, body []byte) *pool.Request {
	return &pool.Request{
		Addr: s.Addr(), Method: method, URI: "/x?y=1", Host: "h", Body: body, Header: http.Header{"Fold-Request-Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Fold-Request-Id") == id },
	}
}

func do(t *testing.T, p *pool.Pool, r *pool.Request) (int, string, error) {
	t.Helper()
	return doContext(context.Background(), p, r)
}

func doContext(ctx context.Context, p *pool.Pool, r *pool.Request) (int, string, error) {
	res, err := p.Do(ctx, r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.Status, string(b), err
}

// TestResponses checks for each kind of response that a truncated one is reported
// as an error, and that a connection is reused only after a complete one.
func TestResponses(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	tests := []struct {
		name      string
		behaviour origin.Behaviour
		body      string
		complete  bool
		reused    bool
	}{
		{"complete", origin.Behaviour{Body: "hello"}, "", true, true},
		{"empty", origin.Behaviour{}, "", true, true},
		{"error status", origin.Behaviour{Status: 500, Body: "no"}, "", true, true},
		{"no content length", origin.Behaviour{Body: "hello", CloseDelimited: true}, "", true, false},
		{"no content length, connection reset", origin.Behaviour{Body: long, CloseDelimited: true, TruncateAt: 50_000, Reset: true}, "", false, false},
		{"truncated", origin.Behaviour{Body: "hello", TruncateAt: 2}, "", false, false},
		{"preceded by another request's response", origin.Behaviour{Body: "hello", ExtraResponse: true}, "", true, true},
		{"sent before a long request body was read", origin.Behaviour{Body: "hello", RespondEarly: true}, long, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, func(*http.Request) origin.Behaviour { return tt.behaviour })
			p := &pool.Pool{}
			status, body, err := do(t, p, newRequest(s, http.MethodPost, "1", []byte(tt.body)))
			if (err == nil) != tt.complete {
				t.Fatalf("status %d, %d bytes, error %v; want a complete response: %t", status, len(body), err, tt.complete)
			}
			if tt.complete && body != tt.behaviour.Body {
				t.Errorf("body %q, want %q", body, tt.behaviour.Body)
			}
			if tt.body != "" {
				// Whether the request body is written before the response ends
				// depends on the network, so reuse is not checked.
				return
			}
			if _, _, err := do(t, p, newRequest(s, http.MethodPost, "2", nil)); tt.complete && err != nil {
				t.Fatal(err)
			}
			if reused := s.Accepted() == 1; reused != tt.reused {
				t.Errorf("%d connections, want the first one reused: %t", s.Accepted(), tt.reused)
			}
		})
	}
}

// TestRequestIsNotResent lets a server run a request on a reused connection and
// close the connection without a response. net/http's Transport would resend
// such a request; the pool must not, because the request may have run.
func TestRequestIsNotResent(t *testing.T) {
	s := startServer(t, func(r *http.Request) origin.Behaviour {
		return origin.Behaviour{Body: "hello", Drop: r.Header.Get("Fold-Request-Id") == "2"}
	})
	p := &pool.Pool{}
	if _, _, err := do(t, p, newRequest(s, http.MethodGet, "1", nil)); err != nil {
		t.Fatal(err)
	}
	_, _, err := do(t, p, newRequest(s, http.MethodGet, "2", nil))
	var pe *pool.Error
	if !errors.As(err, &pe) || !pe.Sent {
		t.Errorf("error %v, want a *pool.Error with Sent set", err)
	}
	if s.RunCount("2") != 1 || s.Accepted() != 1 {
		t.Errorf("request ran %d times on %d connections, want once on one", s.RunCount("2"), s.Accepted())
	}
}

// TestRefusedConnectionSendsNothing checks that the error of a refused connection
// states that nothing was sent.
func TestRefusedConnectionSendsNothing(t *testing.T) {
	s := startServer(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{} })
	s.Close()
	_, _, err := do(t, &pool.Pool{}, newRequest(s, http.MethodPost, "1", nil))
	var pe *pool.Error
	if !errors.As(err, &pe) || pe.Sent {
		t.Errorf("error %v, want a *pool.Error with Sent unset", err)
	}
}

// TestCancelClosesConnection cancels a request in the middle of its response. The
// body must end with an error, and the server must see the connection close.
func TestCancelClosesConnection(t *testing.T) {
	s := startServer(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Events: 1 << 20, Gap: time.Millisecond} })
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool.Pool{}
	res, err := p.Do(ctx, newRequest(s, http.MethodPost, "1", nil))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.Copy(io.Discard, res.Body); err == nil {
		t.Error("reading the body of a cancelled request ended without an error")
	}
	for s.Running("1") {
		time.Sleep(time.Millisecond)
	}
}

// TestFraming checks how the end of each kind of response is marked.
func TestFraming(t *testing.T) {
	tests := []struct {
		behaviour origin.Behaviour
		want      pool.Framing
	}{
		{origin.Behaviour{Body: "hello"}, pool.ByLength},
		{origin.Behaviour{}, pool.ByLength},
		{origin.Behaviour{Events: 2}, pool.Chunked},
		{origin.Behaviour{Body: "hello", CloseDelimited: true}, pool.CloseDelimited},
		{origin.Behaviour{Events: 2, CloseDelimited: true}, pool.CloseDelimited},
	}
	for _, tt := range tests {
		s := startServer(t, func(*http.Request) origin.Behaviour { return tt.behaviour })
		res, err := (&pool.Pool{}).Do(context.Background(), newRequest(s, http.MethodPost, "1", nil))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.Framing != tt.want {
			t.Errorf("%+v: framing %v, want %v", tt.behaviour, res.Framing, tt.want)
		}
	}
}

// TestUnframedResponseIsRejected checks that a response which ends with its connection is an error
// for a request that wants none.
func TestUnframedResponseIsRejected(t *testing.T) {
	for _, tt := range []struct {
		behaviour origin.Behaviour
		accepted  bool
	}{
		{origin.Behaviour{Body: "hello"}, true},
		{origin.Behaviour{Events: 2}, true},
		{origin.Behaviour{Body: "hello", CloseDelimited: true}, false},
		{origin.Behaviour{Events: 2, CloseDelimited: true}, false},
	} {
		s := startServer(t, func(*http.Request) origin.Behaviour { return tt.behaviour })
		r := newRequest(s, http.MethodPost, "1", nil)
		r.Framed = true
		if _, _, err := do(t, &pool.Pool{}, r); (err == nil) != tt.accepted || err != nil && !pool.WasSent(err) {
			t.Errorf("%+v: error %v, want one: %t", tt.behaviour, err, !tt.accepted)
		}
	}
}

// TestProbe checks that a probe's connection serves the next request, and that a
// server that is gone can't be probed.
func TestProbe(t *testing.T) {
	s := startServer(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "hello"} })
	p := &pool.Pool{}
	if err := p.Probe(context.Background(), s.Addr()); err != nil {
		t.Fatal(err)
	}
	if _, _, err := do(t, p, newRequest(s, http.MethodPost, "1", nil)); err != nil || s.Accepted() != 1 {
		t.Errorf("error %v, %d connections; want one that the probe has opened", err, s.Accepted())
	}
	s.Close()
	p.CloseIdle(s.Addr())
	if err := p.Probe(context.Background(), s.Addr()); err == nil || pool.ClosedByPeer(err) {
		t.Errorf("probe of a server that is gone: error %v, want a refused connection", err)
	}
}

func TestClosedByPeer(t *testing.T) {
	for _, b := range []origin.Behaviour{{Drop: true}, {Body: "hello", TruncateAt: 2}, {Body: "hello", TruncateAt: 2, Reset: true}, {Crash: true}} {
		s := startServer(t, func(*http.Request) origin.Behaviour { return b })
		_, _, err := do(t, &pool.Pool{}, newRequest(s, http.MethodPost, "1", nil))
		if err == nil || !pool.ClosedByPeer(err) {
			t.Errorf("%+v: error %v, want one of a connection that the server closed", b, err)
		}
	}
	s := startServer(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Hang: true} })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := (&pool.Pool{}).Do(ctx, newRequest(s, http.MethodPost, "1", nil)); err == nil || pool.ClosedByPeer(err) {
		t.Errorf("timeout: error %v, want one that is none of the server's", err)
	}
}

// TestRequestThatIsNotAdmitted checks that nothing is sent of such a request, and that its
// connection serves the next one.
func TestRequestThatIsNotAdmitted(t *testing.T) {
	s := startServer(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "hello"} })
	p := &pool.Pool{}
	reason := errors.New("not now")
	r := newRequest(s, http.MethodPost, "1", nil)
	r.Admit = func(context.Context) error { return reason }
	_, err := p.Do(context.Background(), r)
	var pe *pool.Error
	if !errors.As(err, &pe) || pe.Sent || !errors.Is(err, reason) {
		t.Errorf("error %v, want the reason in a *pool.Error with Sent unset", err)
	}
	if _, _, err := do(t, p, newRequest(s, http.MethodPost, "2", nil)); err != nil || s.Accepted() != 1 || s.RunCount("1") != 0 {
		t.Errorf("error %v, %d connections, the first request ran %d times; want one connection that is used again", err, s.Accepted(), s.RunCount("1"))
	}
}

// TestLongBodyIsSentWhole guards against a body that is cut or repeated where its parts meet.
func TestLongBodyIsSentWhole(t *testing.T) {
	var got []byte
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, _ = io.ReadAll(r.Body)
	}))
	defer s.Close()
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 64 << 10, 64<<10 + 1, 3 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i % 251)
		}
		req := &pool.Request{Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body}
		res, err := new(pool.Pool).Do(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if !bytes.Equal(got, body) {
			t.Errorf("%d bytes arrived of %d, or others", len(got), size)
		}
	}
}
