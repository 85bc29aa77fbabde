package ctrl

import (
	"context"
	"net/netip"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/wire"
)

// errNotStarted is returned to callers while no replica runs on this VM.
var errNotStarted = eris.New("no control replica runs on this VM")

// DeferredServer is a control service whose Server is set later. Until then,
// calls fail with FailedPrecondition. The zero value is ready to use. It is safe for
// concurrent use.
type DeferredServer struct{ server atomic.Pointer[Server] }

// SetServer makes server handle all later calls.
func (d *DeferredServer) SetServer(server *Server) { d.server.Store(server) }

// Server returns the server passed to SetServer, or nil if there is none.
func (d *DeferredServer) Server() *Server { return d.server.Load() }

// Leader returns the result of Leader of the current server, and false if there is none.
func (d *DeferredServer) Leader() (netip.AddrPort, bool) {
	h := d.server.Load()
	if h == nil {
		return netip.AddrPort{}, false
	}
	return h.Leader()
}

// delegate runs call with the handler of the current server.
func delegate[Q, R any](ctx context.Context, d *DeferredServer, req *connect.Request[Q], call func(wire.ControlServiceHandler) (*connect.Response[R], error)) (*connect.Response[R], error) {
	h := d.server.Load()
	if h == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotStarted)
	}
	return call(h.Handler())
}

// Claim implements wire.ControlServiceHandler.
func (d *DeferredServer) Claim(ctx context.Context, req *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.ClaimResponse], error) {
		return h.Claim(ctx, req)
	})
}

// Settle implements wire.ControlServiceHandler.
func (d *DeferredServer) Settle(ctx context.Context, req *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.SettleResponse], error) {
		return h.Settle(ctx, req)
	})
}

// Apply implements wire.ControlServiceHandler.
func (d *DeferredServer) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.ApplyResponse], error) {
		return h.Apply(ctx, req)
	})
}

// Lease implements wire.ControlServiceHandler.
func (d *DeferredServer) Lease(ctx context.Context, req *connect.Request[wire.LeaseRequest]) (*connect.Response[wire.LeaseResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.LeaseResponse], error) {
		return h.Lease(ctx, req)
	})
}

// Latest implements wire.ControlServiceHandler.
func (d *DeferredServer) Latest(ctx context.Context, req *connect.Request[wire.ConfigRequest]) (*connect.Response[wire.ConfigResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.ConfigResponse], error) {
		return h.Latest(ctx, req)
	})
}

// Step implements wire.ControlServiceHandler.
func (d *DeferredServer) Step(ctx context.Context, req *connect.Request[wire.StepRequest]) (*connect.Response[wire.StepResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.StepResponse], error) {
		return h.Step(ctx, req)
	})
}

// Join implements wire.ControlServiceHandler.
func (d *DeferredServer) Join(ctx context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.JoinResponse], error) {
		return h.Join(ctx, req)
	})
}

// Evacuate implements wire.ControlServiceHandler.
func (d *DeferredServer) Evacuate(ctx context.Context, req *connect.Request[wire.EvacuateRequest]) (*connect.Response[wire.EvacuateResponse], error) {
	return delegate(ctx, d, req, func(h wire.ControlServiceHandler) (*connect.Response[wire.EvacuateResponse], error) {
		return h.Evacuate(ctx, req)
	})
}
