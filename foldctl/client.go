package main

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/wire"
)

// callTimeout is the timeout of one call to a VM.
const callTimeout = 30 * time.Second

// client returns a client for the VM given by the flag addr.
func client(c *cli.Command) wire.OperatorServiceClient { return clientAt(c, c.String("addr")) }

// clientAt returns a client for the VM with the given operator address.
func clientAt(c *cli.Command, addr string) wire.OperatorServiceClient {
	return wire.NewOperatorServiceClient(httpClient(), "http://"+addr, withToken(c))
}

// watchClientAt returns a client for the VM with the given metrics address.
func watchClientAt(c *cli.Command, addr string) wire.WatchServiceClient {
	return wire.NewWatchServiceClient(httpClient(), "http://"+addr, withToken(c))
}

func httpClient() *http.Client { return &http.Client{Timeout: callTimeout} }

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
