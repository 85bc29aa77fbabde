package ctrl

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/wire"
)

// errNotStarted is the answer of a VM whose replica does not run.
var errNotStarted = eris.New("no control replica runs on this VM")

// Gate passes calls to a Host once there is one. The zero value is ready to
// use.
type Gate struct{ host atomic.Pointer[Host] }

// Open lets calls through to h.
func (g *Gate) Open(h *Host) { g.host.Store(h) }

// Host returns the replica, or nil while none runs.
func (g *Gate) Host() *Host { return g.host.Load() }

func through[Q, R any](ctx context.Context, g *Gate, req *connect.Request[Q], call func(wire.ControlServiceHandler) (*connect.Response[R], error)) (*connect.Response[R], error) {
	h := g.host.Load()
	if h == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotStarted)
	}
	return call(h.Handler())
}

// Claim implements wire.ControlServiceHandler.
func (g *Gate) Claim(ctx context.Context, req *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return through(ctx, g, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.ClaimResponse], error) {
		return h.Claim(ctx, req)
	})
}

// Settle implements wire.ControlServiceHandler.
func (g *Gate) Settle(ctx context.Context, req *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
	return through(ctx, g, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.SettleResponse], error) {
		return h.Settle(ctx, req)
	})
}

// Apply implements wire.ControlServiceHandler.
func (g *Gate) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	return through(ctx, g, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.ApplyResponse], error) {
		return h.Apply(ctx, req)
	})
}

// Lease implements wire.ControlServiceHandler.
func (g *Gate) Lease(ctx context.Context, req *connect.Request[wire.LeaseRequest]) (*connect.Response[wire.LeaseResponse], error) {
	return through(ctx, g, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.LeaseResponse], error) {
		return h.Lease(ctx, req)
	})
}

// Latest implements wire.ControlServiceHandler.
func (g *Gate) Latest(ctx context.Context, req *connect.Request[wire.ConfigRequest]) (*connect.Response[wire.ConfigResponse], error) {
	return through(ctx, g, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.ConfigResponse], error) {
		return h.Latest(ctx, req)
	})
}

// Step implements wire.ControlServiceHandler.
func (g *Gate) Step(ctx context.Context, req *connect.Request[wire.StepRequest]) (*connect.Response[wire.StepResponse], error) {
	return through(ctx, g, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.StepResponse], error) {
		return h.Step(ctx, req)
	})
}

// Join implements wire.ControlServiceHandler.
func (g *Gate) Join(ctx context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	return through(ctx, g, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.JoinResponse], error) {
		return h.Join(ctx, req)
	})
}
