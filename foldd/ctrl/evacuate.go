package ctrl

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/wire"
)

// Evacuate implements wire.ControlServiceHandler.
func (h *Server) Evacuate(ctx context.Context, req *connect.Request[wire.EvacuateRequest]) (*connect.Response[wire.EvacuateResponse], error) {
	m := req.Msg
	r, err := h.Submit(ctx, state.Command{Evacuate: &state.Evacuate{Domain: m.GetDomain(), Undo: m.GetUndo(), Ordered: time.UnixMilli(int64(m.GetUnixMillis()))}})
	if err != nil {
		return nil, h.connectError(ctx, err)
	}
	if r.Error != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.New(r.Error))
	}
	return connect.NewResponse(&wire.EvacuateResponse{Evacuations: ToEvacuations(r.Evacuations)}), nil
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

// ToEvacuations returns the wire form of a set, nil if there was never any order.
func ToEvacuations(s evac.Set) *wire.Evacuations {
	if s.Version == 0 {
		return nil
	}
	out := &wire.Evacuations{Version: s.Version}
	for _, d := range s.Domains {
		out.Domains = append(out.Domains, &wire.Evacuation{Domain: d.Name, Since: d.Since, SinceUnixMillis: uint64(d.Ordered.UnixMilli())})
	}
	return out
}

// FromEvacuations converts the wire form of a set.
func FromEvacuations(m *wire.Evacuations) evac.Set {
	s := evac.Set{Version: m.GetVersion()}
	for _, d := range m.GetDomains() {
		s.Domains = append(s.Domains, evac.Domain{Name: d.GetDomain(), Since: d.GetSince(), Ordered: time.UnixMilli(int64(d.GetSinceUnixMillis()))})
	}
	return s
}
