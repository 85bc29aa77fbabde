// Package pool sends HTTP/1.1 requests to backend servers on connections that
// it keeps. It never sends a request twice, skips answers that belong to
// earlier requests, and tells a whole answer from one that was cut off.
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

// Defaults of a Pool.
const (
	DefaultDialTimeout = 300 * time.Millisecond
	DefaultIdleTimeout = 2 * time.Second
	DefaultMaxIdle     = 32
)

// Timing by which a connection that went silent is noticed.
const (
	probeIdle     = 2 * time.Second
	probeInterval = 2 * time.Second
	probeCount    = 3
	// userTimeout is how long sent data and probes may stay unacknowledged. A
	// link that is cut for a few seconds does not end a stream.
	userTimeout = 8 * time.Second
)

const readBuffer = 4 << 10

// errNotIdle marks a kept connection that the server has closed, or on which it
// has sent what nobody asked for.
var errNotIdle = eris.New("connection was closed, or bears bytes that belong to no request")

// Error is a request without a whole answer.
type Error struct {
	// Sent is set once a byte of the request may have reached the server.
	Sent bool
	// ResponseStarted is set when a part of the answer arrived.
	ResponseStarted bool
	Err             error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps connections. The zero value is ready to use.
type Pool struct {
	// DialTimeout bounds the time to open a connection, IdleTimeout the time
	// that one is kept unused, MaxIdle their number for each server. Zero takes
	// the default.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int
	// OnDial is called for each connection that is opened; it may be nil.
	OnDial func()

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// conn is one connection. It belongs to one request or to the pool.
type conn struct {
	*net.TCPConn
	addr  netip.AddrPort
	read  *bufio.Reader
	since time.Time
	// keep is how long the server keeps the connection unused, zero if it does
	// not say.
	keep time.Duration
}

func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// get returns a kept connection or opens one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort) (c *conn, kept bool, err error) {
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		if c.checkIdle() == nil {
			return c, true, nil
		}
		c.Close()
	}
	c, err = p.dial(ctx, addr)
	return c, false, err
}

func (p *Pool) take(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[addr]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if now.Sub(c.since) < p.lifetime(c) {
			return c
		}
		c.Close()
	}
	delete(p.idle, addr)
	return nil
}

// lifetime returns how long a connection is kept, with room for a request on
// its way when the server closes.
func (p *Pool) lifetime(c *conn) time.Duration {
	limit := or(p.IdleTimeout, DefaultIdleTimeout)
	if c.keep > 0 {
		limit = min(limit, c.keep*3/4)
	}
	return limit
}

func (p *Pool) put(c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*conn{}
	}
	list := p.idle[c.addr]
	if len(list) >= or(p.MaxIdle, DefaultMaxIdle) {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// CloseIdle closes the connections that are kept to a server.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes connections that were unused for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.since) < p.lifetime(c) {
				keep = append(keep, c)
				continue
			}
			c.Close()
		}
		p.idle[addr] = keep
		if len(keep) == 0 {
			delete(p.idle, addr)
		}
	}
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{
		Timeout: or(p.DialTimeout, DefaultDialTimeout),
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
	return &conn{TCPConn: tcp, addr: addr, read: bufio.NewReaderSize(tcp, readBuffer)}, nil
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

func setUserTimeout(network, address string, raw syscall.RawConn) error {
	var fail error
	err := raw.Control(func(fd uintptr) {
		fail = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, fail)
}

// checkIdle reports why a kept connection can't be used, if it can't.
func (c *conn) checkIdle() error {
	if c.read.Buffered() > 0 {
		return errNotIdle
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var state error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EAGAIN {
			state = errNotIdle
		}
	})
	return errors.Join(err, state)
}
