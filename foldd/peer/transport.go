package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/netio/pool"
)

const (
	// maxIdlePerVM and maxIdle bound the idle connections to one VM and to all VMs, and
	// idleTimeout the time that one stays idle. Of a failure domain of 33 VMs each meets
	// each other VM every 16 s on average.
	maxIdlePerVM = 2
	maxIdle      = 256
	idleTimeout  = time.Minute
)

// newPool returns a pool of connections to other VMs, whose traffic is counted.
func newPool(counts *traffic.Counts) *pool.Pool {
	p := &pool.Pool{DialTimeout: callTimeout, IdleTimeout: idleTimeout, MaxIdle: maxIdlePerVM, MaxIdleTotal: maxIdle}
	counts.Observe(p, traffic.Other)
	return p
}

type addrKey struct{}

// toVM returns a context for a call of Service.client to the VM at addr.
func toVM(ctx context.Context, addr netip.AddrPort) context.Context {
	return context.WithValue(ctx, addrKey{}, addr)
}

// errNoAddr reports a call of Service.client without a context from toVM.
var errNoAddr = eris.New("call to a VM without an address")

// addressedClient sends a request to the address in its context. One generated client serves
// for all VMs by it: to create one for each call takes 11 kB and keeps no decompressors.
type addressedClient struct{ service *Service }

// Do implements connect.HTTPClient.
func (c addressedClient) Do(r *http.Request) (*http.Response, error) {
	addr, ok := r.Context().Value(addrKey{}).(netip.AddrPort)
	if !ok {
		return nil, errNoAddr
	}
	u, sent := *r.URL, *r
	u.Host = addr.String()
	sent.URL, sent.Host = &u, u.Host
	return c.service.http.Do(&sent)
}

// poolTransport makes calls over a pool. In contrast to http.Transport, an idle connection
// has no goroutines and no buffers, and no call is sent again.
type poolTransport struct{ pool *pool.Pool }

// RoundTrip implements http.RoundTripper.
func (t poolTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	addr, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("address of a VM: %w", err)
	}
	body, err := requestBody(r)
	if err != nil {
		return nil, err
	}
	res, err := t.pool.Do(r.Context(), &pool.Request{Addr: addr, Method: r.Method, URI: r.URL.RequestURI(), Host: r.URL.Host, Header: r.Header, Body: body})
	if err != nil {
		return nil, err
	}
	out := &http.Response{
		Status: fmt.Sprint(res.Status, " ", http.StatusText(res.Status)), StatusCode: res.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: res.Header, Body: res.Body, ContentLength: res.Length, Request: r,
	}
	if res.Framing == pool.Chunked {
		out.TransferEncoding = []string{"chunked"}
	}
	if res.Length == 0 {
		// Clients need not read an empty body; its end makes the connection idle.
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, fmt.Errorf("read empty reply: %w", err)
		}
		out.Body = http.NoBody
	}
	return out, nil
}

// requestBody reads the body of a request to a VM and closes it.
func requestBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer r.Body.Close()
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(min(r.ContentLength, MaxMessage)) + bytes.MinRead)
	}
	if _, err := b.ReadFrom(io.LimitReader(r.Body, MaxControlMessage+1)); err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	return b.Bytes(), nil
}
