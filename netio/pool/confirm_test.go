package pool_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/netio/pool"
)

// TestConfirm guards against a server that has no room for a connection and that counts as one
// whose process has ended, so that its whole responses are cut off, and the other way round.
func TestConfirm(t *testing.T) {
	reset := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
	tests := []struct {
		name string
		// before is called ahead of each connection, with its number from 1 on. An error that it
		// returns is that of the connection.
		before func(s *origin.Server, n int) error
		full   bool
		err    bool
		dials  int
	}{
		{"keeps the connection", func(*origin.Server, int) error { return nil }, false, false, 1},
		{"has ended", func(s *origin.Server, _ int) error { s.Close(); return nil }, false, true, 1},
		{"has no room", func(s *origin.Server, _ int) error { s.SetFull(true); return nil }, true, false, 2},
		{"has no room at first", func(s *origin.Server, n int) error { s.SetFull(n == 1); return nil }, true, false, 2},
		{"resets before the connection is known to be open", func(*origin.Server, int) error { return reset }, true, false, 2},
		{"ends after it has reset the connection", func(s *origin.Server, n int) error {
			s.SetFull(true)
			if n == 2 {
				s.Close()
			}
			return nil
		}, false, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "answer"} })
			dials := 0
			p := &pool.Pool{Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				dials++
				if err := tt.before(s, dials); err != nil {
					return nil, err
				}
				var d net.Dialer
				return d.DialContext(ctx, "tcp", addr.String())
			}}
			full, err := p.Confirm(t.Context(), s.Addr())
			if full != tt.full || (err != nil) != tt.err || dials != tt.dials {
				t.Errorf("full %t, error %v after %d connections; want %t, an error: %t, after %d", full, err, dials, tt.full, tt.err, tt.dials)
			}
			if kept := !tt.full && !tt.err; kept != (p.Idle() == 1) {
				t.Errorf("%d connections are kept for the next request, want one: %t", p.Idle(), kept)
			}
		})
	}
}
