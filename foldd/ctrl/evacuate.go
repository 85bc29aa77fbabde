package ctrl

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/wire"
)

// Evacuate implements wire.ControlServiceHandler.
func (h *Server) Evacuate(ctx context.Context, req *connect.Request[wire.EvacuateRequest]) (*connect.Response[wire.EvacuateResponse], error) {
	m := req.Msg
	if !h.leads() {
		return nil, h.connectError(ctx, h.refusal())
	}
	r, err := h.Submit(ctx, state.Command{Evacuate: &state.Evacuate{Domain: m.GetDomain(), Undo: m.GetUndo(), Ordered: time.UnixMilli(int64(m.GetUnixMillis()))}})
	if err != nil {
		return nil, h.connectError(ctx, err)
	}
	if r.Error != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.New(r.Error))
	}
	return connect.NewResponse(&wire.EvacuateResponse{Evacuations: peer.ToEvacuations(r.Evacuations)}), nil
}

// Evacuate submits an order about an evacuation and returns the set of evacuated failure
// domains once it is committed.
func (c *Client) Evacuate(ctx context.Context, req *wire.EvacuateRequest) (*wire.EvacuateResponse, error) {
	ctx, cancel := c.operatorContext(ctx)
	defer cancel()
	return callForOperator(ctx, c, 0, func(ctx context.Context, s wire.ControlServiceClient) (*connect.Response[wire.EvacuateResponse], error) {
		return s.Evacuate(ctx, connect.NewRequest(req))
	})
}
