// Package gate keeps HTTP requests to backend servers within the rate limits that the
// servers name in their responses.
package gate

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/relay"
)

// errNoBackend reports a request whose context names no backend server.
var errNoBackend = eris.New("the request is for no backend server")

// Transport sends a request once there is a permit for it, and records what the response
// says of its server's rate limit. The context of a request must be one of WithBackend.
// Without a permit, nothing is sent and the error is a *limit.DeniedError.
type Transport struct {
	Node *node.Node
	Base http.RoundTripper
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
	res, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	codec := relay.DefaultCodec()
	if reply := codec.ParseReply(res.StatusCode, res.Header); reply.SaysLimit(res.StatusCode) {
		t.Node.ObserveLimit(to.backend, reply.Limit)
	}
	return res, nil
}

// closeBody closes the body of a request that is not sent.
func closeBody(r *http.Request) {
	if r.Body != nil {
		r.Body.Close()
	}
}
