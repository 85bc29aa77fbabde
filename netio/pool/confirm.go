package pool

import (
	"context"
	"net/netip"
	"time"
)

// steadyTime is how long a connection must stay open to show that its server's process has not
// ended, and how long after a connection that was closed sooner a further one is opened: as a
// process ends, its connections may be closed before its listener.
const steadyTime = 20 * time.Millisecond

// Confirm opens a connection to a server, and returns an error unless that shows that the
// server's process has not ended. The error, if any, is an *Error.
//
// It shows so if the server keeps the connection open for steadyTime. A server that closes or
// resets it sooner may be ending, or have no room for a further connection. The listener of a
// process that ends is closed within steadyTime, so that a second connection is refused;
// one that is accepted shows that the process runs, whatever becomes of it. full is set then.
func (p *Pool) Confirm(ctx context.Context, addr netip.AddrPort) (full bool, err error) {
	c, err := p.dialListener(ctx, addr)
	if err != nil {
		return false, &Error{Err: err}
	}
	steady, err := p.staysOpen(ctx, c)
	if err != nil {
		return false, &Error{Err: err}
	}
	if steady {
		return false, nil
	}
	if c, err = p.dialListener(ctx, addr); err != nil {
		return false, &Error{Err: err}
	}
	if c != nil {
		c.Close()
	}
	return true, nil
}

// dialListener opens a connection to a server, and returns an error unless its listener accepts
// it. The connection is nil if the server has reset it since.
func (p *Pool) dialListener(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	c, err := p.dial(ctx, addr)
	if ResetByServer(err) {
		return nil, nil
	}
	return c, err
}

// staysOpen waits for steadyTime, and reports whether a new connection, which may be nil, is
// still open. If it is, it is kept for the next request.
func (p *Pool) staysOpen(ctx context.Context, c *conn) (bool, error) {
	var err error
	select {
	case <-time.After(steadyTime):
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	switch {
	case c == nil:
		return false, err
	case err != nil || c.checkIdle() != nil:
		c.Close()
		return false, err
	}
	p.put(c)
	return true, nil
}
