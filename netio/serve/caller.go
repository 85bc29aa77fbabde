package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// ErrCallerDisconnected is the cause of a request context whose caller has left.
var ErrCallerDisconnected = eris.New("caller has gone")

// errTooLarge ends a connection whose request exceeds the limit.
var errTooLarge = eris.New("request exceeds the size limit")

type callerKey struct{}

// Caller is the other side of one request in progress.
type Caller struct {
	guard  *guard
	cancel context.CancelCauseFunc
	gone   atomic.Bool
}

// CallerOf returns the caller of a request that a Server handed to its
// handler.
func CallerOf(r *http.Request) *Caller {
	c, ok := r.Context().Value(callerKey{}).(*Caller)
	if !ok {
		return &Caller{}
	}
	return c
}

// Disconnected reports whether the caller has closed its connection or stopped
// reading for longer than the write timeout. The first time it is true the
// request's context ends with ErrCallerGone.
func (c *Caller) Disconnected() bool {
	if c.gone.Load() {
		return true
	}
	if c.guard == nil || c.guard.firstError() == nil && !c.guard.closedByPeer() {
		return false
	}
	c.gone.Store(true)
	if c.cancel != nil {
		c.cancel(ErrCallerDisconnected)
	}
	return true
}

func (c *Caller) begin() {
	if c.guard != nil {
		c.guard.received = 0
	}
}

// guard stands between nbhttp and a socket. It bounds the size of a request
// and the duration of a write, and keeps the first write error, which nbhttp
// drops.
type guard struct {
	*net.TCPConn
	owner        *nbhttp.Conn
	maxRequest   int
	writeTimeout time.Duration
	// received counts the bytes since the last request was handed over. Only
	// the reading goroutine touches it.
	received int

	mu  sync.Mutex
	err error
}

// Read implements net.Conn.
func (g *guard) Read(b []byte) (int, error) {
	n, err := g.TCPConn.Read(b)
	g.received += n
	if err == nil && g.received > g.maxRequest {
		g.refuse()
		n, err = 0, errTooLarge
	}
	if err != nil {
		// nbhttp finds its record of the connection by the socket.
		g.owner.Conn = g.TCPConn
	}
	return n, err
}

// refuse answers a request that is too large to be taken in.
func (g *guard) refuse() {
	const body = `{"error":{"code":"tooLarge","message":"request exceeds the size limit","outcome":"notRun"}}` + "\n"
	res := &http.Response{
		StatusCode:    http.StatusRequestEntityTooLarge,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          io.NopCloser(strings.NewReader(body)),
		ContentLength: int64(len(body)),
		Close:         true,
	}
	if res.Write(g) != nil {
		return
	}
	g.CloseWrite()
	g.discard()
}

// discard reads on for a short while, since closing a socket with unread data
// resets it and may take the answer along.
func (g *guard) discard() {
	const (
		wait = 500 * time.Millisecond
		most = 64 << 20
	)
	if g.SetReadDeadline(time.Now().Add(wait)) != nil {
		return
	}
	io.CopyN(io.Discard, g.TCPConn, most)
}

// Write implements net.Conn.
func (g *guard) Write(b []byte) (int, error) {
	if err := g.firstError(); err != nil {
		return 0, err
	}
	if g.writeTimeout > 0 {
		if err := g.SetWriteDeadline(time.Now().Add(g.writeTimeout)); err != nil {
			return 0, g.fail(err)
		}
	}
	n, err := g.TCPConn.Write(b)
	if err != nil {
		g.fail(err)
	}
	return n, err
}

func (g *guard) fail(err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil {
		g.err = err
	}
	return err
}

// firstError returns the write error after which nothing more is written: a
// later write would make a broken response look complete.
func (g *guard) firstError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// closedByPeer peeks at the socket: an end of file or an error means that
// nobody is left to read an answer.
func (g *guard) closedByPeer() bool {
	raw, err := g.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			closed = n == 0
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			closed = true
		}
	})
	return closed || err != nil
}

// Abort closes the connection to the caller at once, without an end to the
// response.
func (c *Caller) Abort() {
	if c.guard == nil {
		return
	}
	c.guard.fail(ErrCallerDisconnected)
	c.guard.TCPConn.Close()
}
