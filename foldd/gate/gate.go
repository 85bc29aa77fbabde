// Package gate keeps HTTP requests to backend servers within what the servers say of
// themselves in their responses, such as a rate limit.
package gate

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/netio/pool"
)

// errNoBackend reports a request whose context names no backend server.
var errNoBackend = eris.New("the request is for no backend server")

// Transport sends a request once there is a permit for it, and records what the response
// says of its server. The context of a request must be one of WithBackend.
// Without a permit, nothing is sent and the error is a *limit.DeniedError.
type Transport struct {
	node *node.Node
	base pool.Transport
}

// New returns a Transport over base. A request is checked again once it has a connection,
// which may take long to open.
func New(n *node.Node, base pool.Transport) *Transport {
	return &Transport{node: n, base: base}
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
	if _, err := t.node.AcquirePermit(r.Context(), to.backend, to.purpose); err != nil {
		closeBody(r)
		return nil, err
	}
	res, informational, err := t.base.Send(r, func(context.Context) error { return t.node.CheckSend(to.backend, to.purpose) })
	if err != nil {
		return nil, err
	}
	codec := relay.DefaultCodec()
	reply := codec.ParseReply(res.StatusCode, res.Header)
	relay.ObserveResponse(t.node, to.backend, &codec, res.StatusCode, reply, informational)
	res.Body = &trailerReader{ReadCloser: res.Body, response: res, observe: func(h http.Header) {
		relay.ObserveFields(t.node, to.backend, &codec, reply, h)
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
