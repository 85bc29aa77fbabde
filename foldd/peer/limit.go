package peer

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/wire"
)

// requestPermit asks another VM for a permit to send a request to a server of a service.
func (s *Service) requestPermit(ctx context.Context, to member.Peer, service string, q limit.Request) (limit.Reply, error) {
	res, err := s.client.Permit(toVM(traffic.With(ctx, traffic.Permit), to.Addr), connect.NewRequest(&wire.PermitRequest{
		From: q.From, Service: service, Limit: toRateLimit(q.Entry), Used: uint32(q.Used),
	}))
	if err != nil {
		return limit.Reply{}, fmt.Errorf("request permit from %s: %w", to.ID, err)
	}
	return limit.Reply{
		Granted: res.Msg.GetGranted(), RetryAfter: micros(res.Msg.GetWaitMicros()), Share: res.Msg.GetShare(),
		NotIssuer: res.Msg.GetNotIssuer(), Issuer: res.Msg.GetIssuer(), Entry: fromRateLimit(res.Msg.GetLimit()),
	}, nil
}

// Permit implements wire.PeerServiceHandler.
func (s *Service) Permit(ctx context.Context, req *connect.Request[wire.PermitRequest]) (*connect.Response[wire.PermitResponse], error) {
	m := req.Msg
	if m.GetFrom() == "" || m.GetLimit().GetBackend() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoID)
	}
	r := s.node.HandlePermit(m.GetService(), limit.Request{From: m.GetFrom(), Entry: fromRateLimit(m.GetLimit()), Used: int(m.GetUsed())})
	return connect.NewResponse(&wire.PermitResponse{
		Granted: r.Granted, WaitMicros: uint64(max(r.RetryAfter, 0) / time.Microsecond), Share: r.Share,
		NotIssuer: r.NotIssuer, Issuer: r.Issuer, Limit: toRateLimit(r.Entry),
	}), nil
}

func toRateLimit(e limit.Entry) *wire.RateLimit {
	return &wire.RateLimit{Backend: e.ID, Epoch: e.Epoch, Version: e.Version, PerSecond: float64(e.Rate), Doubted: e.Doubted, Ended: e.Ended}
}

func fromRateLimit(m *wire.RateLimit) limit.Entry {
	return limit.Entry{
		Server: limit.Server{ID: m.GetBackend(), Epoch: m.GetEpoch()}, Version: m.GetVersion(), Rate: limit.Rate(m.GetPerSecond()),
		Doubted: m.GetDoubted(), Ended: m.GetEnded(),
	}
}

func toRateLimits(list []limit.Entry) []*wire.RateLimit {
	var out []*wire.RateLimit
	for _, e := range list {
		out = append(out, toRateLimit(e))
	}
	return out
}

// receiveRateLimits applies the limits that a VM knows.
func (s *Service) receiveRateLimits(from string, list []*wire.RateLimit) {
	for _, m := range list {
		s.node.ReceiveLimit(fromRateLimit(m), from)
	}
}
