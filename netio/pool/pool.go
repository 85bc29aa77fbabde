// Package pool sends HTTP/1.1 requests to backend servers over a pool of
// persistent connections. It never resends a request, skips responses that
// belong to earlier requests, and distinguishes a complete response from a
// truncated one.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Default values of the fields of a Pool.
const (
	DefaultDialTimeout = 300 * time.Millisecond
	DefaultIdleTimeout = 2 * time.Second
	DefaultMaxIdle     = 32
)

// TCP keep-alive and timeout settings that detect a dead connection.
const (
	probeIdle     = 2 * time.Second
	probeInterval = 2 * time.Second
	probeCount    = 3
	// userTimeout is how long sent data and keep-alive probes may stay
	// unacknowledged. It is long enough that a network partition of a few
	// seconds does not end a stream.
	userTimeout = 8 * time.Second
)

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 4 << 10

// errNotIdle reports an idle connection that the server has closed, or on which
// it has sent data without a request.
var errNotIdle = eris.New("idle connection was closed or has unread data")

// Error reports a request that got no complete response.
type Error struct {
	// Sent is set if any byte of the request may have reached the server.
	Sent bool
	// ResponseStarted is set if the header of the response has arrived.
	ResponseStarted bool
	Err             error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns e.Err.
func (e *Error) Unwrap() error { return e.Err }

// Pool holds idle connections to backend servers. The zero value is ready to
// use. A Pool is safe for concurrent use.
type Pool struct {
	// DialTimeout bounds the time to open a connection. IdleTimeout bounds the
	// time that a connection stays idle. MaxIdle bounds the number of idle
	// connections to each server. Zero selects the default.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int
	// OnDial, if not nil, is called after each connection that is opened.
	OnDial func()

	// mu protects idle, the idle connections to each server, with the last used one
	// at the end.
	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// conn is one connection. It is owned by one exchange, or by the pool while idle.
type conn struct {
	*net.TCPConn
	addr netip.AddrPort
	// head bounds what reader reads from the connection.
	head      headLimit
	reader    *bufio.Reader
	idleSince time.Time
	// keepAlive is how long the server keeps an idle connection open, from its
	// Keep-Alive header; zero if the server does not state it.
	keepAlive time.Duration
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// get returns an idle connection or opens a new one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if c.checkIdle() == nil {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, addr)
}

// takeIdle removes the last used idle connection to a server from the pool and
// returns it, or nil if there is none. It closes those that were idle for too long.
func (p *Pool) takeIdle(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[addr]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if now.Sub(c.idleSince) < p.lifetime(c) {
			return c
		}
		c.Close()
	}
	delete(p.idle, addr)
	return nil
}

// lifetime returns how long c may stay idle. It is a quarter shorter than the
// server's own timeout, so that a request does not cross with the server's
// close of the connection.
func (p *Pool) lifetime(c *conn) time.Duration {
	limit := orDefault(p.IdleTimeout, DefaultIdleTimeout)
	if c.keepAlive > 0 {
		limit = min(limit, c.keepAlive*3/4)
	}
	return limit
}

// put makes c idle, or closes it if the server has MaxIdle idle connections.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*conn{}
	}
	list := p.idle[c.addr]
	if len(list) >= orDefault(p.MaxIdle, DefaultMaxIdle) {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// Probe opens a connection to a server, which then waits for a request. The error, if
// any, is an *Error.
func (p *Pool) Probe(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return &Error{Err: err}
	}
	p.put(c)
	return nil
}

// steadyTime is how long a connection must stay open to show that its server's process has not
// ended: as a process ends, its connections may be closed before its listener.
const steadyTime = 20 * time.Millisecond

// Confirm opens a connection to a server, and returns an error unless the server keeps it
// open for some time. The error, if any, is an *Error.
func (p *Pool) Confirm(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return &Error{Err: err}
	}
	select {
	case <-time.After(steadyTime):
	case <-ctx.Done():
		c.Close()
		return &Error{Err: context.Cause(ctx)}
	}
	if err := c.checkIdle(); err != nil {
		c.Close()
		return &Error{Err: err}
	}
	p.put(c)
	return nil
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes the connections whose idle time has exceeded the limit at now.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < p.lifetime(c) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{
		Timeout: orDefault(p.DialTimeout, DefaultDialTimeout),
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	tcp := nc.(*net.TCPConn)
	c := &conn{TCPConn: tcp, addr: addr, head: headLimit{r: tcp}}
	c.reader = bufio.NewReaderSize(&c.head, readBufferSize)
	return c, nil
}

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

func setUserTimeout(network, address string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// checkIdle returns an error if an idle connection cannot be reused. It peeks at
// the socket without blocking.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errNotIdle
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EAGAIN {
			peekErr = errNotIdle
		}
	})
	return errors.Join(err, peekErr)
}
