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
	order := &state.Evacuate{Domain: m.GetDomain(), Undo: m.GetUndo(), Ordered: time.UnixMilli(int64(m.GetUnixMillis()))}
	r, outdated, err := h.submitEvacuate(ctx, order, m.IfVersion)
	if err != nil {
		return nil, h.connectError(ctx, err)
	}
	if r.Error != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.New(r.Error))
	}
	return connect.NewResponse(&wire.EvacuateResponse{Evacuations: peer.ToEvacuations(r.Evacuations), Outdated: outdated}), nil
}

// submitEvacuate submits an order. If ifVersion is not nil and not the version of the set that the
// order would change, the set is only read, and outdated is true.
//
// The leader compares the versions before it adds the order to the log, not each replica when it
// applies it: replicas of earlier versions would carry the order out and differ from the others.
func (h *Server) submitEvacuate(ctx context.Context, order *state.Evacuate, ifVersion *uint64) (r state.Result, outdated bool, err error) {
	// read is set if the set was read instead. It must not be used after an error: the replica may
	// still set it then.
	read := false
	d, err := h.awaitCompletion(ctx, func(now time.Time, id uint64) {
		if ifVersion != nil {
			set := h.rep.LogEvacuations()
			read = set.Version != *ifVersion && order.Changes(set)
		}
		if read {
			h.rep.Read(id)
			return
		}
		h.rep.Submit(now, id, state.Command{Evacuate: order})
	})
	if err != nil || !read {
		return d.Result, false, err
	}
	err = h.do(ctx, func(time.Time) { d.Result.Evacuations = h.rep.Machine().Evacuations() })
	if err != nil {
		return state.Result{}, false, err
	}
	return d.Result, true, nil
}

// Evacuate submits an order about an evacuation and returns the set of evacuated failure
// domains once it is committed, or has been found outdated.
func (c *Client) Evacuate(ctx context.Context, req *wire.EvacuateRequest) (*wire.EvacuateResponse, error) {
	ctx, cancel := c.operatorContext(ctx)
	defer cancel()
	return callForOperator(ctx, c, 0, func(ctx context.Context, s wire.ControlServiceClient) (*connect.Response[wire.EvacuateResponse], error) {
		return s.Evacuate(ctx, connect.NewRequest(req))
	})
}
