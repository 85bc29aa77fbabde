package oper

import (
	"context"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiafold.example/fold/trial"
	"fuchsiafold.example/wire"
)

// Compare implements wire.OperatorServiceHandler.
func (o *Service) Compare(ctx context.Context, req *connect.Request[wire.CompareRequest]) (*connect.Response[wire.CompareResponse], error) {
	res := &wire.CompareResponse{}
	var encodeErr error
	o.Node.Measures(func(m *trial.Measures) {
		a, err := toArm(m)
		if err != nil {
			encodeErr = err
			return
		}
		res.Arms = append(res.Arms, a)
	})
	if encodeErr != nil {
		return nil, connect.NewError(connect.CodeInternal, encodeErr)
	}
	return connect.NewResponse(res), nil
}

// toArm returns the wire form of the measures of one policy.
func toArm(m *trial.Measures) (*wire.Arm, error) {
	gaps, err := m.TokenGaps.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	firstTokens, err := m.FirstToken.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	a := &wire.Arm{Policy: m.Policy, Requests: uint64(m.Requests), Preemptions: uint64(m.Preemptions), Gaps: gaps, First: firstTokens}
	for _, s := range m.Buckets {
		a.Slices = append(a.Slices, &wire.TrialSlice{Number: s.Index, Requests: uint64(s.Requests), StallMicros: uint64(s.Stall.Microseconds())})
	}
	return a, nil
}
