package main

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/wire"
)

// callTimeout bounds one call to a VM.
const callTimeout = 30 * time.Second

// client returns the client for the VM that the flags name.
func client(c *cli.Command) wire.OperatorServiceClient { return clientAt(c, c.String("addr")) }

// clientAt returns the client for the VM at an address.
func clientAt(c *cli.Command, addr string) wire.OperatorServiceClient {
	return wire.NewOperatorServiceClient(httpClient(), "http://"+addr, withToken(c))
}

// watcherAt returns the client for the metrics address of a VM.
func watcherAt(c *cli.Command, addr string) wire.WatchServiceClient {
	return wire.NewWatchServiceClient(httpClient(), "http://"+addr, withToken(c))
}

func httpClient() *http.Client { return &http.Client{Timeout: callTimeout} }

func withToken(c *cli.Command) connect.ClientOption {
	token := c.String("token")
	send := func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				req.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, req)
		}
	}
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(send))
}
