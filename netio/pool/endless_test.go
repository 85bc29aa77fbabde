package pool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
)

const (
	// maxAllocated bounds the memory in bytes that a response may take before its body is
	// read.
	maxAllocated = 4 << 20
	// maxReceived bounds what is read of an endless response in bytes: a response to another
	// request is skipped up to 8 MiB, and the test reads 1 MiB of a body.
	maxReceived = 10 << 20
)

// meteredConn is a connection that fails once more than maxReceived bytes were read.
type meteredConn struct {
	net.Conn
	received int
}

var errReadTooMuch = errors.New("more was read than any response may have")

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.received += n; c.received > maxReceived {
		return n, errReadTooMuch
	}
	return n, err
}

// TestEndlessHead guards against a response whose head has no end and takes memory until
// the process is killed.
func TestEndlessHead(t *testing.T) {
	for _, part := range origin.EndlessParts() {
		t.Run(string(part), func(t *testing.T) {
			s := startServer(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Endless: part} })
			p := &pool.Pool{Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				var d net.Dialer
				c, err := d.DialContext(ctx, "tcp", addr.String())
				return &meteredConn{Conn: c}, err
			}}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			res, err := p.Do(t.Context(), newRequest(s, http.MethodGet, "1", nil))
			if err == nil {
				const some = 1 << 20
				_, err = io.Copy(io.Discard, io.LimitReader(res.Body, some))
				res.Body.Close()
			}
			runtime.ReadMemStats(&after)
			if took := after.TotalAlloc - before.TotalAlloc; took > maxAllocated {
				t.Errorf("took %d bytes, want at most %d", took, maxAllocated)
			}
			if errors.Is(err, errReadTooMuch) {
				t.Errorf("the response was read without end: %v", err)
			}
		})
	}
}

// TestLargeHeadsAreRead checks that the limit counts for each head anew, on a connection
// that is reused.
func TestLargeHeadsAreRead(t *testing.T) {
	value := strings.Repeat("x", 40<<10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Large", value) }))
	t.Cleanup(s.Close)
	p := &pool.Pool{}
	for range 3 {
		res, err := p.Do(context.Background(), &pool.Request{Addr: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), Method: http.MethodGet, URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		if res.Header.Get("X-Large") != value {
			t.Fatal("the header did not come whole")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
	}
}
