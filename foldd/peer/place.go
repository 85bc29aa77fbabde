package peer

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/wire"
)

// askPlace asks another VM to place a request, or only tells it a load.
func (s *Service) askPlace(ctx context.Context, to member.Peer, a node.PlacementRequest) (node.PlacementResponse, error) {
	c := wire.NewPeerServiceClient(s.http, "http://"+to.Addr.String(), s.Options())
	res, err := c.Place(ctx, connect.NewRequest(placeRequest(a)))
	if err != nil {
		return node.PlacementResponse{}, fmt.Errorf("ask %s for a place: %w", to.ID, err)
	}
	return node.PlacementResponse{
		Backend: res.Msg.GetBackend(), CopyDelay: micros(res.Msg.GetWaitMicros()), Full: res.Msg.GetFull(), RetryAfter: micros(res.Msg.GetBackMicros()),
	}, nil
}

// Place implements wire.PeerServiceHandler.
func (s *Service) Place(ctx context.Context, req *connect.Request[wire.PlaceRequest]) (*connect.Response[wire.PlaceResponse], error) {
	a := placeAsk(req.Msg)
	if a.From == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoID)
	}
	answer := s.node.HandlePlacement(a)
	return connect.NewResponse(&wire.PlaceResponse{
		Backend: answer.Backend, WaitMicros: uint64(answer.CopyDelay.Microseconds()), Full: answer.Full, BackMicros: uint64(answer.RetryAfter.Microseconds()),
	}), nil
}

func placeRequest(a node.PlacementRequest) *wire.PlaceRequest {
	m := &wire.PlaceRequest{From: a.From, Service: a.Service}
	for id, l := range a.Loads {
		m.Loads = append(m.Loads, loadMessage(id, l))
	}
	for _, g := range a.LengthSamples {
		m.Growth = append(m.Growth, &wire.RunGrowth{Group: groupMessage(g.Group), From: uint64(g.From), To: uint64(g.To), Ended: g.Ended})
	}
	if w := a.Request; w != nil {
		m.Want = &wire.PlaceWant{Run: runMessage(w.Run), PromptTokens: uint64(w.PromptTokens), Avoid: w.Exclude, Domain: w.Domain, WithinMicros: uint64(w.FirstTokenBudget.Microseconds())}
		if c := w.Copy; c != nil {
			m.Want.CopySource, m.Want.CopyMicros = c.Source, uint64(c.Duration.Microseconds())
		}
	}
	return m
}

func placeAsk(m *wire.PlaceRequest) node.PlacementRequest {
	a := node.PlacementRequest{From: m.GetFrom(), Service: m.GetService(), Loads: map[string]place.Load{}}
	for _, l := range m.GetLoads() {
		load := place.Load{Requests: int(l.GetRequests()), PrefillTokens: int(l.GetPrefillTokens())}
		for _, r := range l.GetRuns() {
			load.Runs = append(load.Runs, runOf(r))
		}
		a.Loads[l.GetBackend()] = load
	}
	for _, g := range m.GetGrowth() {
		a.LengthSamples = append(a.LengthSamples, place.LengthSample{Group: groupOf(g.GetGroup()), From: int(g.GetFrom()), To: int(g.GetTo()), Ended: g.GetEnded()})
	}
	if w := m.GetWant(); w != nil {
		a.Request = &place.Request{
			Run: runOf(w.GetRun()), PromptTokens: int(w.GetPromptTokens()), Exclude: w.GetAvoid(), Domain: w.GetDomain(),
			FirstTokenBudget: micros(w.GetWithinMicros()),
		}
		if w.GetCopySource() != "" {
			a.Request.Copy = &place.Copy{Source: w.GetCopySource(), Duration: micros(w.GetCopyMicros())}
		}
	}
	return a
}

func loadMessage(backend string, l place.Load) *wire.EngineLoad {
	m := &wire.EngineLoad{Backend: backend, Requests: uint32(l.Requests), PrefillTokens: uint64(l.PrefillTokens)}
	for _, r := range l.Runs {
		m.Runs = append(m.Runs, runMessage(r))
	}
	return m
}

// ToServiceStatus returns the message for a view of a service.
func ToServiceStatus(v node.ServiceView) *wire.ServiceStatus {
	m := &wire.ServiceStatus{
		Service: v.Service, PlacedBy: v.PlacedBy,
		Requests: uint64(v.Requests), Repeats: uint64(v.Retries), RepeatsLeft: uint64(v.RetriesRemaining),
	}
	for _, b := range v.Backends {
		m.Backends = append(m.Backends, &wire.BackendView{
			Backend: b.ID, Domain: b.Domain, Leaving: b.Leaving, Avoided: b.BackedOff,
			NewsMillis: uint64(max(b.Age, 0).Milliseconds()), Load: loadMessage(b.ID, b.Load),
		})
	}
	return m
}

func runMessage(r place.Run) *wire.EngineRun {
	return &wire.EngineRun{Id: r.ID, Group: groupMessage(r.Group), Held: uint64(r.BaseTokens), Made: uint64(r.Generated), Most: uint64(r.MaxTokens)}
}

func runOf(m *wire.EngineRun) place.Run {
	return place.Run{ID: m.GetId(), Group: groupOf(m.GetGroup()), BaseTokens: int(m.GetHeld()), Generated: int(m.GetMade()), MaxTokens: int(m.GetMost())}
}

func groupMessage(g learn.Group) *wire.RunGroup {
	return &wire.RunGroup{Workspace: g.Workspace, Class: g.Class, Model: g.Model}
}

func groupOf(m *wire.RunGroup) learn.Group {
	return learn.Group{Workspace: m.GetWorkspace(), Class: m.GetClass(), Model: m.GetModel()}
}

func micros(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
