package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/wire"
)

const (
	// callTimeout is the timeout of one call to a VM.
	callTimeout = 30 * time.Second
	// maxReply bounds what is read of a reply, in bytes. VMs send no larger ones.
	maxReply = 16 << 20
)

// client returns a client for the VM given by the flag addr.
func client(c *cli.Command) wire.OperatorServiceClient { return clientAt(c, c.String("addr")) }

// clientAt returns a client for the VM with the given operator address.
func clientAt(c *cli.Command, addr string) wire.OperatorServiceClient {
	return operatorClient(addr, withToken(c))
}

// operatorClient returns a client for the VM with the given operator address.
func operatorClient(addr string, o ...connect.ClientOption) wire.OperatorServiceClient {
	return wire.NewOperatorServiceClient(httpClient(), "http://"+addr, append(o, connect.WithReadMaxBytes(maxReply))...)
}

// watchClientAt returns a client for the VM with the given metrics address.
func watchClientAt(c *cli.Command, addr string) wire.WatchServiceClient {
	return wire.NewWatchServiceClient(httpClient(), "http://"+addr, withToken(c), connect.WithReadMaxBytes(maxReply))
}

// httpClient returns a client that checks replies as VMs do among each other.
func httpClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: resolver{pool.Transport{Pool: &pool.Pool{DialTimeout: callTimeout}, Framed: true}}}
}

// resolver makes calls to hosts that are given by name or by address.
type resolver struct{ base pool.Transport }

// RoundTrip implements http.RoundTripper.
func (t resolver) RoundTrip(r *http.Request) (*http.Response, error) {
	found, err := net.ResolveTCPAddr("tcp", r.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("address of a VM: %w", err)
	}
	addr := found.AddrPort()
	sent := r.Clone(r.Context())
	sent.URL.Host = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()).String()
	return t.base.RoundTrip(sent)
}

// withToken returns an option that sends the operator token with each call if
// the flag token is set.
func withToken(c *cli.Command) connect.ClientOption {
	token := c.String("token")
	addToken := func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				req.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, req)
		}
	}
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(addToken))
}
