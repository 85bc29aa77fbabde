// Package gate keeps HTTP requests to backend servers within what the servers say of
// themselves in their responses, such as a rate limit.
package gate

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/relay"
)

// errNoBackend reports a request whose context names no backend server.
var errNoBackend = eris.New("the request is for no backend server")

// Transport sends a request once there is a permit for it, and records what the response
// says of its server. The context of a request must be one of WithBackend.
// Without a permit, nothing is sent and the error is a *limit.DeniedError.
type Transport struct {
	Node *node.Node
	Base http.RoundTripper
}

// New returns a Transport over base. If base opens connections with a DialContext, a request
// is checked again once its connection is open, which may take long, and each time that it
// gets an idle one: base sends a request again if the server closes the connection.
func New(n *node.Node, base http.RoundTripper) *Transport {
	if t, ok := base.(*http.Transport); ok && t.DialContext != nil {
		dial := t.DialContext
		t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if to, ok := ctx.Value(targetKey{}).(target); ok {
				if err := n.CheckSend(to.backend, to.purpose); err != nil {
					c.Close()
					return nil, err
				}
			}
			return &conn{Conn: c}, nil
		}
	}
	return &Transport{Node: n, Base: base}
}

// conn is a connection of a Transport that New has returned.
type conn struct {
	net.Conn
	// current is the request that the connection is used for, nil before the first.
	current atomic.Pointer[sending]
}

// sending is the state of a request that is sent.
type sending struct {
	// refused is why the request may not be written to its connection, nil if it may. It is
	// set before the request is written.
	refused atomic.Pointer[error]
	// written is set once a byte of the request was written to any connection.
	written atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	s := c.current.Load()
	if s == nil {
		return c.Conn.Write(b)
	}
	if err := s.refused.Load(); err != nil {
		return 0, *err
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		s.written.Store(true)
	}
	return n, err
}

// target is the backend server of a request, and why the request is sent.
type target struct {
	backend member.Backend
	purpose node.Purpose
}

type targetKey struct{}

// WithBackend returns a context for a request to a backend server.
func WithBackend(ctx context.Context, b member.Backend, p node.Purpose) context.Context {
	return context.WithValue(ctx, targetKey{}, target{backend: b, purpose: p})
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	to, ok := r.Context().Value(targetKey{}).(target)
	if !ok {
		closeBody(r)
		return nil, errNoBackend
	}
	if _, err := t.Node.AcquirePermit(r.Context(), to.backend, to.purpose); err != nil {
		closeBody(r)
		return nil, err
	}
	var informational []http.Header
	var s sending
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			s.refused.Store(nil)
			if err := t.Node.CheckSend(to.backend, to.purpose); err != nil {
				s.refused.Store(&err)
			}
			c.current.Store(&s)
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			informational = append(informational, http.Header(h))
			return nil
		},
	})
	res, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		if denied := (*limit.DeniedError)(nil); errors.As(err, &denied) && s.written.Load() {
			// The server may have begun the request, which a DeniedError would rule out.
			err = eris.Errorf("the connection was lost, and the request not sent again: %v", denied)
		}
		return nil, err
	}
	codec := relay.DefaultCodec()
	reply := codec.ParseReply(res.StatusCode, res.Header)
	relay.ObserveResponse(t.Node, to.backend, &codec, res.StatusCode, reply, informational)
	res.Body = &trailerReader{ReadCloser: res.Body, response: res, observe: func(h http.Header) {
		relay.ObserveFields(t.Node, to.backend, &codec, reply, h)
	}}
	return res, nil
}

// trailerReader reads the body of a response, and calls observe with its trailer.
type trailerReader struct {
	io.ReadCloser
	response *http.Response
	observe  func(http.Header)
}

// Read implements io.Reader.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF && len(t.response.Trailer) > 0 {
		t.observe(t.response.Trailer)
	}
	return n, err
}

// closeBody closes the body of a request that is not sent.
func closeBody(r *http.Request) {
	if r.Body != nil {
		r.Body.Close()
	}
}
