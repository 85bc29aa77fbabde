// Package redial provides an HTTP transport that does not try one dead connection after
// the other.
package redial

import (
	"errors"
	"net/http"

	"fuchsiafold.example/netio/pool"
)

// Transport is a pool.Transport for calls to a few hosts, which rejects responses that end with
// their connection. When a call over a reused connection fails, the cause may have broken the
// other idle connections too, with no sign of it: the transport closes them all, so that the
// next calls open new ones.
type Transport struct{ Pool *pool.Pool }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := pool.Transport{Pool: t.Pool, Framed: true}.RoundTrip(r)
	if failed := (*pool.Error)(nil); errors.As(err, &failed) && failed.Reused {
		t.Pool.CloseAllIdle()
	}
	return res, err
}
