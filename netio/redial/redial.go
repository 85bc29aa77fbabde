// Package redial provides an HTTP transport that does not try one dead connection after
// the other.
package redial

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport for calls to a few hosts. When a call over a reused
// connection fails, the cause may have broken the other idle connections too, with no
// sign of it: the transport closes them all, so that the next calls open new ones. The
// zero value is ready to use.
type Transport struct{ http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused.Store(i.Reused) }}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && reused.Load() {
		t.CloseIdleConnections()
	}
	return res, err
}
