package pool

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Request is one request to a backend server.
type Request struct {
	Addr   netip.AddrPort
	Method string
	// URI is the path and query of the request line, already escaped.
	URI  string
	Host string
	// Header is sent without its Host, Content-Length and Transfer-Encoding
	// fields. The pool sets Host and Content-Length itself.
	Header http.Header
	Body   []byte
	// Close opens a connection for the request alone, and tells the server so.
	Close bool
	// Framed rejects responses that end with their connection. The beginning of a message may
	// be a message too, so that such a response proves nothing.
	Framed bool
	// Matches reports whether a response with the given status and header belongs to
	// the request; nil accepts every response. It is needed because a server may
	// repeat the response to an earlier request, or send bytes that belong to none.
	Matches func(status int, h http.Header) bool
	// Admit, if not nil, is called once there is a connection, before the first byte is
	// sent. If it returns an error, nothing is sent.
	Admit func(context.Context) error
	// OnTrailer, if not nil, is called with the trailer fields, if there are any, once the
	// body has been read to its end.
	OnTrailer func(http.Header)
}

// Response is a response whose body has not been read yet. The caller must close
// Body. Closing it before the end closes the connection, which makes most
// servers stop the request.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Framing says what marks the end of Body.
	Framing Framing
	Body    io.ReadCloser
	// Informational holds the headers of the informational (1xx) responses before it.
	Informational []http.Header
	// Skipped is the number of responses before it that did not match the request.
	Skipped int
}

// errNoMatchingResponse reports a connection that delivered only responses to
// other requests, up to the limits on the responses that are skipped.
var errNoMatchingResponse = eris.New("connection bears only answers to other requests")

// errUnframed is returned for a response that ends with its connection.
var errUnframed = eris.New("the response has neither a length nor chunks")

const (
	// maxInlineBody is the size in bytes up to which a body is written before
	// the response is read. A longer body is written concurrently, since the
	// server may respond before it has read all of it.
	maxInlineBody = 8 << 10
	// maxJoinedBody is the size in bytes of the part of a body that is written together
	// with the head.
	maxJoinedBody = 64 << 10
	// maxSkipped bounds the number of responses read while waiting for the one
	// that matches the request. Informational (1xx) responses count too.
	maxSkipped = 4
	// maxSkippedBody bounds the body of a skipped response in bytes.
	maxSkippedBody = 8 << 20
)

// Do sends a request and returns its response once the header has arrived. It
// sends the request at most once. If ctx ends before the body has been read, the
// connection is closed. The error, if any, is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.Admit != nil {
		if err := r.Admit(ctx); err != nil {
			p.put(c)
			return nil, &Error{Err: err}
		}
	}
	c.sent.Store(0)
	c.head.received = 0
	c.takeReader()
	x := &exchange{pool: p, conn: c, request: r, ctx: ctx}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	res, err := x.run()
	if err != nil {
		x.end(false)
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return nil, &Error{Sent: x.sent, ResponseStarted: x.responseStarted, Reused: c.reused, Err: err}
	}
	return res, nil
}

// connect returns the connection for a request.
func (p *Pool) connect(ctx context.Context, r *Request) (*conn, error) {
	if r.Close {
		return p.dial(ctx, r.Addr)
	}
	return p.get(ctx, r.Addr)
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	ctx     context.Context
	// stop detaches the connection from the request's context. It reports false
	// if the end of the context has already closed the connection.
	stop func() bool
	// sent and responseStarted are as in Error.
	sent            bool
	responseStarted bool
	body            io.ReadCloser
	// response is the response that body belongs to.
	response *http.Response
	// reuse is set if the server keeps the connection open after the response.
	reuse bool
	// ended is set by end.
	ended bool
}

func (x *exchange) run() (*Response, error) {
	x.sent = true
	head := x.request.head()
	if len(x.request.Body) <= maxInlineBody {
		if _, err := x.conn.Write(append(head, x.request.Body...)); err != nil {
			return nil, fmt.Errorf("send request: %w", err)
		}
	} else {
		x.startUpload(head)
	}
	return x.receive()
}

// writeLong writes a request with a long body, of which it copies only the beginning.
func (x *exchange) writeLong(head []byte) error {
	body := x.request.Body
	n := min(len(body), maxJoinedBody)
	if _, err := x.conn.Write(append(head, body[:n]...)); err != nil || n == len(body) {
		return err
	}
	_, err := x.conn.Write(body[n:])
	return err
}

// head returns the request line and the header fields as sent.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	exclude := map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": r.Close}
	// A write to a bytes.Buffer does not fail.
	_ = r.Header.WriteSubset(&b, exclude)
	if r.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads responses until one matches the request.
func (x *exchange) receive() (*Response, error) {
	var informational []http.Header
	skipped := 0
	for range maxSkipped {
		res, err := x.conn.readHead(x.request.Method)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		matches := x.request.Matches == nil || x.request.Matches(res.StatusCode, res.Header)
		if res.StatusCode < http.StatusOK {
			if matches {
				informational = append(informational, res.Header)
			}
			continue
		}
		if !matches {
			if err := skip(res); err != nil {
				return nil, err
			}
			skipped++
			continue
		}
		x.responseStarted = true
		if x.request.Framed && framingOf(res) == CloseDelimited {
			return nil, errUnframed
		}
		x.body, x.response = res.Body, res
		x.reuse = !res.Close && !x.request.Close
		x.conn.keepAlive = keepAliveTimeout(res.Header)
		return &Response{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Framing: framingOf(res), Body: (*body)(x), Informational: informational, Skipped: skipped}, nil
	}
	return nil, errNoMatchingResponse
}

// skip discards the body of a response to another request. It returns an error
// if no further response can be read from the connection.
func skip(res *http.Response) error {
	if res.Close {
		return errNoMatchingResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBody))
	if err != nil {
		return fmt.Errorf("skip answer: %w", err)
	}
	if n == maxSkippedBody {
		return errNoMatchingResponse
	}
	return nil
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, or zero
// if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// end returns the connection to the pool if the response is complete and the
// connection can be reused, and closes it otherwise. Calls after the first do
// nothing.
func (x *exchange) end(complete bool) {
	if x.ended {
		return
	}
	x.ended = true
	connOpen := x.stop()
	if x.pool.OnExchange != nil {
		x.pool.OnExchange(x.ctx, Usage{Sent: x.conn.sent.Load(), Received: x.conn.head.received})
	}
	if complete && connOpen && x.reuse && x.conn.upload.written() && !x.conn.hasUnread() {
		x.pool.put(x.conn)
		return
	}
	x.conn.Close()
}

// body is the body of the response of an exchange.
type body exchange

// Read implements io.Reader. It returns io.EOF only at the end of a complete body,
// or after Close; a truncated body ends with an *Error.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		if malformed := checkTrailer(b.response.Trailer); malformed != nil {
			err = fmt.Errorf("malformed response: %w", malformed)
		}
	}
	switch {
	case err == io.EOF:
		if b.request.OnTrailer != nil && len(b.response.Trailer) > 0 {
			b.request.OnTrailer(b.response.Trailer)
		}
		(*exchange)(b).end(true)
	case err != nil:
		(*exchange)(b).end(false)
		err = &Error{Sent: true, ResponseStarted: true, Err: fmt.Errorf("read answer: %w", err)}
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	(*exchange)(b).end(false)
	return nil
}
