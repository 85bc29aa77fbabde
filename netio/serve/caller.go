package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// ErrCallerDisconnected is the cancellation cause of the context of a request
// whose caller has disconnected or has stopped reading.
var ErrCallerDisconnected = eris.New("caller disconnected")

// errTooLarge ends the connection of a request that exceeds the size limit.
var errTooLarge = eris.New("request exceeds the size limit")

type callerKey struct{}

// Caller is the client of one request in progress. The zero value never counts as
// disconnected.
type Caller struct {
	conn         *limitedConn
	cancel       context.CancelCauseFunc
	disconnected atomic.Bool
	// received is the size of the request in bytes, and written that of the response's body
	// so far. Only the goroutine of the handler uses written.
	received int
	written  int64
	// Tag is for the use of handlers: an inner one may say there what the request was, for
	// one that counts requests. Only the goroutine of the handler uses it.
	Tag int
}

// Received returns the size of the request in bytes, its head included.
func (c *Caller) Received() int64 { return int64(c.received) }

// Written returns the number of bytes that were written of the response's body.
func (c *Caller) Written() int64 { return c.written }

// CallerOf returns the caller of a request that a Server passed to its handler.
// For any other request it returns a zero Caller.
func CallerOf(r *http.Request) *Caller { return CallerIn(r.Context()) }

// CallerIn is like CallerOf, for the context of a request.
func CallerIn(ctx context.Context) *Caller {
	c, ok := ctx.Value(callerKey{}).(*Caller)
	if !ok {
		return &Caller{}
	}
	return c
}

// Disconnected reports whether the caller has closed its connection or has read
// nothing for longer than the write timeout. When it first returns true, it
// cancels the request's context with the cause ErrCallerDisconnected.
func (c *Caller) Disconnected() bool {
	if c.disconnected.Load() {
		return true
	}
	if c.conn == nil || c.conn.writeError() == nil && !c.conn.closedByPeer() {
		return false
	}
	c.disconnected.Store(true)
	if c.cancel != nil {
		c.cancel(ErrCallerDisconnected)
	}
	return true
}

// beginRequest resets the count of received bytes for the next request.
func (c *Caller) beginRequest() {
	if c.conn != nil {
		c.received = c.conn.received
		c.conn.keepMemory(max(c.conn.received-freeSize, 0))
		c.conn.received = 0
	}
}

// endRequest returns the memory of the request.
func (c *Caller) endRequest() {
	if c.conn != nil {
		c.conn.keepMemory(0)
	}
}

// limitedConn wraps the socket that nbhttp uses. It bounds the size of a request
// and the duration of a write, and keeps the first write error, because nbhttp
// discards it.
type limitedConn struct {
	*net.TCPConn
	nbConn       *nbhttp.Conn
	maxRequest   int
	writeTimeout time.Duration
	bodies       bodies
	log          *logrus.Logger
	// The fields below are used only by the goroutine that reads and runs the handler.
	// received counts the bytes read since the last request was passed to the
	// handler.
	received int
	// stated is the length that the request being read states, zero if it states none.
	stated int
	// held is the memory taken from bodies, for the request being read or in progress. It
	// is at least received less freeSize.
	held int
	// rejected is set once a request was rejected whose end is not certain.
	rejected bool

	// mu protects err, the first write error.
	mu  sync.Mutex
	err error
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.received == 0 {
		c.stated = statedLength(b[:n])
	}
	c.received += n
	if err == nil {
		err = c.checkSize()
	}
	if err != nil {
		n = 0
		c.keepMemory(0)
		// After a read error nbhttp looks up its state of the connection by the
		// unwrapped socket.
		c.nbConn.Conn = c.TCPConn
	}
	return n, err
}

// checkSize rejects a request that has become larger than the limit, or for which there is no
// memory, and returns the error that ends its connection.
func (c *limitedConn) checkSize() error {
	if c.received > c.maxRequest {
		return c.rejectTooLarge()
	}
	begun := time.Now()
	if c.takeMemory() {
		return nil
	}
	c.log.WithFields(logrus.Fields{
		"caller": c.RemoteAddr(), "stated": c.stated, "received": c.received, "waitMs": time.Since(begun).Milliseconds(),
	}).Warn("request rejected: no memory for its body beside those of other requests")
	c.reject(http.StatusServiceUnavailable, "overload", errNoMemory, bodyRetryAfter)
	return errNoMemory
}

// rejectTooLarge rejects a request that is larger than the limit, and returns the error that
// ends its connection.
func (c *limitedConn) rejectTooLarge() error {
	limit := c.maxRequest - maxHeader
	size := max(c.stated, c.received)
	err := fmt.Errorf("%w: %d bytes, limit %d", errTooLarge, size, limit)
	c.log.WithFields(logrus.Fields{"caller": c.RemoteAddr(), "stated": c.stated, "received": c.received, "limit": limit}).Warn("request rejected: larger than the size limit")
	c.reject(http.StatusRequestEntityTooLarge, "tooLarge", err, 0)
	return err
}

// rejection is the error of a response to a request that was not passed to the handler.
type rejection struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

func (r rejection) body() []byte {
	body, err := json.Marshal(map[string]rejection{"error": r})
	if err != nil {
		panic(err) // Strings can be marshalled.
	}
	return append(body, '\n')
}

// reject responds to a request that is not passed to the handler, and closes the connection
// for writing. Nothing that follows on the connection is a request. A retryAfter of zero is not
// sent.
func (c *limitedConn) reject(status int, code string, reason error, retryAfter time.Duration) {
	c.rejected = true
	defer c.setError(reason)
	body := rejection{Code: code, Message: reason.Error(), Outcome: "notRun"}.body()
	header := http.Header{"Content-Type": {"application/json"}}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	res := &http.Response{
		StatusCode:    status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Close:         true,
	}
	if res.Write(c) != nil {
		return
	}
	c.CloseWrite()
	c.discard()
}

// discard reads and drops incoming data for a limited time. Closing a socket that
// has unread data resets the connection, and the caller may lose the response.
func (c *limitedConn) discard() {
	const (
		timeout  = 500 * time.Millisecond
		maxBytes = 64 << 20
	)
	if c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	io.CopyN(io.Discard, c.TCPConn, maxBytes)
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	if err := c.writeError(); err != nil {
		return 0, err
	}
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, c.setError(err)
		}
	}
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.setError(err)
	}
	return n, err
}

func (c *limitedConn) setError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	return err
}

// writeError returns the first write error, or nil. Nothing more is written after
// it: a later write could make a truncated response look complete.
func (c *limitedConn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// closedByPeer peeks at the socket without blocking. It reports whether the peer
// has closed the connection (end of file) or the socket has failed, so that a
// response can no longer be delivered.
func (c *limitedConn) closedByPeer() bool {
	raw, err := c.SyscallConn()
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

// Abort closes the connection to the caller immediately and leaves the response
// unterminated, so that the caller can tell that it is truncated.
func (c *Caller) Abort() {
	if c.conn == nil {
		return
	}
	c.conn.setError(ErrCallerDisconnected)
	c.conn.TCPConn.Close()
}
