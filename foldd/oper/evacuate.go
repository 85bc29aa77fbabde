package oper

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"fuchsiafold.example/foldd/ctrl"
	"fuchsiafold.example/wire"
)

// Evacuate implements wire.OperatorServiceHandler.
func (o *Service) Evacuate(ctx context.Context, req *connect.Request[wire.EvacuateRequest]) (*connect.Response[wire.EvacuateResponse], error) {
	if o.Control == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoControl)
	}
	res, err := o.Control.Evacuate(ctx, req.Msg)
	if errors.Is(err, ctrl.ErrNoQuorum) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}
