// Package pool sends HTTP/1.1 requests to backend servers over a pool of
// persistent connections. It never resends a request, skips responses that
// belong to earlier requests, and distinguishes a complete response from a
// truncated one.
package pool

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Default values of the fields of a Pool.
const (
	DefaultDialTimeout = 300 * time.Millisecond
	DefaultIdleTimeout = 2 * time.Second
	DefaultMaxIdle     = 32
	// DefaultMaxIdleTotal covers 100 new connections a second that each stay idle for
	// DefaultIdleTimeout and the time until the next Sweep, every 5 s in foldd, with some to
	// spare beside the servers that get requests all the time.
	DefaultMaxIdleTotal = 1024
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
	// Reused is set if the request got a connection that was idle.
	Reused bool
	Err    error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns e.Err.
func (e *Error) Unwrap() error { return e.Err }

// WasSent reports whether a byte of a request that failed with err may have reached its server.
func WasSent(err error) bool {
	var pe *Error
	return !errors.As(err, &pe) || pe.Sent
}

// Usage is what one request and its responses took on the connection in bytes, heads included.
type Usage struct{ Sent, Received int64 }

// Pool holds idle connections to backend servers. The zero value is ready to
// use. A Pool is safe for concurrent use.
type Pool struct {
	// DialTimeout bounds the time to open a connection. IdleTimeout bounds the
	// time that a connection stays idle. MaxIdle bounds the number of idle
	// connections to each server, and MaxIdleTotal that to all servers: beyond it, the
	// connection that was idle the longest is closed. Zero selects the default.
	DialTimeout  time.Duration
	IdleTimeout  time.Duration
	MaxIdle      int
	MaxIdleTotal int
	// Dial, if not nil, opens connections in place of TCP ones.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// OnDial, if not nil, is called after each connection that is opened, with the context
	// of the call that has opened it.
	OnDial func(ctx context.Context)
	// OnExchange, if not nil, is called at the end of each exchange, with the context of
	// its request.
	OnExchange func(ctx context.Context, u Usage)

	// mu protects the fields below. idle holds the idle connections to each server, with the
	// last used one at the end, and byAge those to all servers, in the same order.
	mu    sync.Mutex
	idle  map[netip.AddrPort][]*conn
	byAge list.List
}

// readers holds read buffers. An idle connection has none, since a VM may have over a thousand
// idle connections.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// conn is one connection. It is owned by one exchange, or by the pool while idle.
type conn struct {
	net.Conn
	addr netip.AddrPort
	// sent is the number of bytes written for the current exchange.
	sent atomic.Int64
	// upload is the write of the current request, nil if it was written before its response
	// is read.
	upload *upload
	// head bounds what reader reads from the connection.
	head headLimit
	// reader is nil while the connection is idle.
	reader    *bufio.Reader
	idleSince time.Time
	// reused is set once the connection has been idle.
	reused bool
	// inAge is the connection's element of Pool.byAge while it is idle.
	inAge *list.Element
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
	conns := p.idle[addr]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns[len(conns)-1] = nil
		conns = conns[:len(conns)-1]
		p.idle[addr] = conns
		p.byAge.Remove(c.inAge)
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

// put makes c idle, or closes it if the server has MaxIdle idle connections. It closes the
// connection that was idle the longest if there are more than MaxIdleTotal.
func (p *Pool) put(c *conn) {
	c.releaseReader()
	c.upload = nil
	c.reused = true
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*conn{}
	}
	conns := p.idle[c.addr]
	if len(conns) >= orDefault(p.MaxIdle, DefaultMaxIdle) {
		c.Close()
		return
	}
	p.idle[c.addr] = append(conns, c)
	c.inAge = p.byAge.PushBack(c)
	if p.byAge.Len() > orDefault(p.MaxIdleTotal, DefaultMaxIdleTotal) {
		p.closeOldest()
	}
}

// closeOldest closes the connection that was idle the longest. It is the first one of its
// server. The caller holds the lock.
func (p *Pool) closeOldest() {
	c := p.byAge.Remove(p.byAge.Front()).(*conn)
	c.Close()
	conns := slices.Delete(p.idle[c.addr], 0, 1)
	p.idle[c.addr] = conns
	if len(conns) == 0 {
		delete(p.idle, c.addr)
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAge.Len()
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

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		p.byAge.Remove(c.inAge)
		c.Close()
	}
	delete(p.idle, addr)
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			c.Close()
		}
	}
	clear(p.idle)
	p.byAge.Init()
}

// Sweep closes the connections whose idle time has exceeded the limit at now.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < p.lifetime(c) {
				kept = append(kept, c)
				continue
			}
			p.byAge.Remove(c.inAge)
			c.Close()
		}
		clear(conns[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	open := p.dialTCP
	if p.Dial != nil {
		open = p.Dial
	}
	nc, err := open(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if p.OnDial != nil {
		p.OnDial(ctx)
	}
	c := &conn{Conn: nc, addr: addr}
	c.head.r = c
	return c, nil
}

func (p *Pool) dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout: orDefault(p.DialTimeout, DefaultDialTimeout),
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return d.DialContext(ctx, "tcp", addr.String())
}

// takeReader gives the connection a read buffer, for an exchange.
func (c *conn) takeReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(&c.head)
}

// releaseReader returns the read buffer, which must be empty. Nothing may read from it any more.
func (c *conn) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// Read implements net.Conn. It returns io.EOF only if the server has closed the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if cause := c.lost(); cause != nil {
			err = fmt.Errorf("connection lost while the request was sent: %w", cause)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
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
// the socket, if there is one, without blocking.
func (c *conn) checkIdle() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
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
