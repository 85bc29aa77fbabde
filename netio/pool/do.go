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

// Request is one request for a backend server.
type Request struct {
	Addr   netip.AddrPort
	Method string
	// URI is the path and query as they go on the wire.
	URI  string
	Host string
	// Header goes out without Host, Content-Length and Transfer-Encoding, which
	// the pool sets.
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to the request; nil takes any. A
	// server may send an answer to an earlier request once more.
	Matches func(http.Header) bool
}

// Response is an answer whose body is still to be read. The caller closes
// Body; a close before the end breaks the connection, by which most servers
// stop the request.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64
	Body   io.ReadCloser
}

// errNotMine is the end of a connection that holds only answers of others.
var errNotMine = eris.New("connection bears only answers to other requests")

const (
	// inlineBody is the size up to which a body is written before the answer is
	// read; while a longer one is written the server may answer.
	inlineBody = 8 << 10
	// maxSkipped is the number of answers to other requests that are skipped.
	maxSkipped = 4
	// maxSkippedBody bounds the body of a skipped answer in bytes.
	maxSkippedBody = 8 << 20
)

// Do sends a request and returns the head of its answer. The error, if any, is
// an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, _, err := p.get(ctx, r.Addr)
	if err != nil {
		return nil, &Error{Err: err}
	}
	x := &exchange{pool: p, conn: c, request: r}
	x.release = context.AfterFunc(ctx, func() { c.Close() })
	res, err := x.run()
	if err != nil {
		x.end(false)
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return nil, &Error{Sent: x.sent, ResponseStarted: x.began, Err: err}
	}
	return res, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	release func() bool
	// written gets the end of a write that goes on while the answer is read.
	written chan error
	sent    bool
	began   bool
	body    io.ReadCloser
	reuse   bool
	ended   bool
}

func (x *exchange) run() (*Response, error) {
	x.sent = true
	head := x.request.head()
	if len(x.request.Body) <= inlineBody {
		if _, err := x.conn.Write(append(head, x.request.Body...)); err != nil {
			return nil, fmt.Errorf("send request: %w", err)
		}
	} else {
		x.written = make(chan error, 1)
		go func() {
			_, err := x.conn.Write(append(head, x.request.Body...))
			x.written <- err
		}()
	}
	return x.receive()
}

// head returns the request's line and header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	exclude := map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}
	// A bytes.Buffer takes every write.
	_ = r.Header.WriteSubset(&b, exclude)
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads heads until one belongs to the request.
func (x *exchange) receive() (*Response, error) {
	for range maxSkipped {
		res, err := http.ReadResponse(x.conn.read, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if x.request.Matches != nil && !x.request.Matches(res.Header) {
			if err := skip(res); err != nil {
				return nil, err
			}
			continue
		}
		x.began = true
		x.body = res.Body
		x.reuse = !res.Close
		x.conn.keep = keepTime(res.Header)
		return &Response{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Body: (*body)(x)}, nil
	}
	return nil, errNotMine
}

// skip reads past an answer to another request.
func skip(res *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBody))
	if err != nil {
		return fmt.Errorf("skip answer: %w", err)
	}
	if res.Close || n == maxSkippedBody {
		return errNotMine
	}
	return nil
}

// keepTime returns how long a server says it keeps a connection unused.
func keepTime(h http.Header) time.Duration {
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

// end gives the connection back, or closes it if the answer is not whole or
// the server wants no more.
func (x *exchange) end(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	current := x.release()
	if whole && current && x.reuse && x.writeDone() && x.conn.read.Buffered() == 0 {
		x.pool.put(x.conn)
		return
	}
	x.conn.Close()
}

// writeDone reports whether the whole request has been written.
func (x *exchange) writeDone() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// body is the body of an answer.
type body exchange

// Read implements io.Reader. It returns io.EOF only for a whole body.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
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
