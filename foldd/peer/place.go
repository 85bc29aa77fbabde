package peer

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/wire"
)

// askPlace asks another VM to place a request, or only tells it a load.
func (s *Service) askPlace(ctx context.Context, to member.Peer, a node.PlaceAsk) (node.PlaceAnswer, error) {
	req := &wire.PlaceRequest{From: a.From, Service: a.Service}
	for id, l := range a.Loads {
		req.Loads = append(req.Loads, &wire.EngineLoad{
			Backend: id, Requests: uint32(l.Requests), Tokens: uint64(l.Tokens), PrefillTokens: uint64(l.Prefill),
		})
	}
	if w := a.Want; w != nil {
		req.Want = &wire.PlaceWant{
			Tokens: uint64(w.Tokens), PromptTokens: uint64(w.Prompt), Avoid: w.Avoid, Domain: w.Domain,
		}
		if c := w.Copy; c != nil {
			req.Want.CopySource, req.Want.CopyMicros = c.Source, uint64(c.Time.Microseconds())
		}
	}
	c := wire.NewPeerServiceClient(s.http, "http://"+to.Addr.String(), s.Options())
	res, err := c.Place(ctx, connect.NewRequest(req))
	if err != nil {
		return node.PlaceAnswer{}, fmt.Errorf("ask %s for a place: %w", to.ID, err)
	}
	return node.PlaceAnswer{Backend: res.Msg.GetBackend(), Wait: time.Duration(res.Msg.GetWaitMicros()) * time.Microsecond, Full: res.Msg.GetFull()}, nil
}

// Place implements wire.PeerServiceHandler.
func (s *Service) Place(ctx context.Context, req *connect.Request[wire.PlaceRequest]) (*connect.Response[wire.PlaceResponse], error) {
	m := req.Msg
	a := node.PlaceAsk{From: m.GetFrom(), Service: m.GetService(), Loads: map[string]place.Load{}}
	if a.From == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoID)
	}
	for _, l := range m.GetLoads() {
		a.Loads[l.GetBackend()] = place.Load{
			Requests: int(l.GetRequests()), Tokens: int(l.GetTokens()), Prefill: int(l.GetPrefillTokens()),
		}
	}
	if w := m.GetWant(); w != nil {
		a.Want = &place.Want{
			Tokens: int(w.GetTokens()), Prompt: int(w.GetPromptTokens()), Avoid: w.GetAvoid(), Domain: w.GetDomain(),
		}
		if w.GetCopySource() != "" {
			a.Want.Copy = &place.Copy{Source: w.GetCopySource(), Time: time.Duration(w.GetCopyMicros()) * time.Microsecond}
		}
	}
	answer := s.node.PlaceFor(a)
	return connect.NewResponse(&wire.PlaceResponse{Backend: answer.Backend, WaitMicros: uint64(answer.Wait.Microseconds()), Full: answer.Full}), nil
}
