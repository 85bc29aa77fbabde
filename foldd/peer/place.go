package peer

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/wire"
)

// requestPlacement sends a load report to another VM, and requests a placement
// from it if req.Request is set.
func (s *Service) requestPlacement(ctx context.Context, to member.Peer, req node.PlacementRequest) (node.PlacementResponse, error) {
	kind := traffic.LoadReport
	if req.Request != nil {
		kind = traffic.PlacementRequest
	}
	res, err := s.client.Place(toVM(traffic.With(ctx, kind), to.Addr), connect.NewRequest(toPlaceRequest(req)))
	if err != nil {
		return node.PlacementResponse{}, fmt.Errorf("request placement from %s: %w", to.ID, err)
	}
	return node.PlacementResponse{
		Backend: res.Msg.GetBackend(), CopyDelay: micros(res.Msg.GetWaitMicros()), Full: res.Msg.GetFull(), Crowded: res.Msg.GetCrowded(), RetryAfter: micros(res.Msg.GetBackMicros()),
	}, nil
}

// Place implements wire.PeerServiceHandler.
func (s *Service) Place(ctx context.Context, req *connect.Request[wire.PlaceRequest]) (*connect.Response[wire.PlaceResponse], error) {
	p := fromPlaceRequest(req.Msg)
	if p.From == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoID)
	}
	if p.Request == nil {
		traffic.SetKind(ctx, traffic.LoadReport)
	}
	res := s.node.HandlePlacement(p)
	return connect.NewResponse(&wire.PlaceResponse{
		Backend: res.Backend, WaitMicros: uint64(res.CopyDelay.Microseconds()), Full: res.Full, Crowded: res.Crowded, BackMicros: uint64(res.RetryAfter.Microseconds()),
	}), nil
}

func toPlaceRequest(req node.PlacementRequest) *wire.PlaceRequest {
	m := &wire.PlaceRequest{From: req.From, Service: req.Service}
	for id, l := range req.Loads {
		m.Loads = append(m.Loads, toEngineLoad(id, l))
	}
	for _, sample := range req.LengthSamples {
		m.Growth = append(m.Growth, &wire.RunGrowth{Group: toRunGroup(sample.Group), From: uint64(sample.From), To: uint64(sample.To), Ended: sample.Ended})
	}
	if r := req.Request; r != nil {
		m.Want = &wire.PlaceWant{Run: toEngineRun(r.Run), PromptTokens: uint64(r.PromptTokens), Avoid: r.Exclude, Domain: r.Domain, Scope: r.Scope, WithinMicros: uint64(r.FirstTokenBudget.Microseconds())}
		if c := r.Copy; c != nil {
			m.Want.CopySource, m.Want.CopyMicros = c.Source, uint64(c.Duration.Microseconds())
			m.Want.CopyDomain, m.Want.MayStay = c.Domain, c.MayStay
		}
	}
	return m
}

func fromPlaceRequest(m *wire.PlaceRequest) node.PlacementRequest {
	req := node.PlacementRequest{From: m.GetFrom(), Service: m.GetService(), Loads: map[string]place.Load{}}
	for _, l := range m.GetLoads() {
		load := place.Load{
			Requests: int(l.GetRequests()), PrefillTokens: int(l.GetPrefillTokens()),
			MaxGap: micros(l.GetMaxGapMicros()), MaxGapAge: micros(l.GetMaxGapAgeMicros()),
		}
		for _, r := range l.GetRuns() {
			load.Runs = append(load.Runs, fromEngineRun(r))
		}
		req.Loads[l.GetBackend()] = load
	}
	for _, g := range m.GetGrowth() {
		req.LengthSamples = append(req.LengthSamples, place.LengthSample{Group: fromRunGroup(g.GetGroup()), From: int(g.GetFrom()), To: int(g.GetTo()), Ended: g.GetEnded()})
	}
	if w := m.GetWant(); w != nil {
		req.Request = &place.Request{
			Run: fromEngineRun(w.GetRun()), PromptTokens: int(w.GetPromptTokens()), Exclude: w.GetAvoid(), Domain: w.GetDomain(), Scope: w.GetScope(),
			FirstTokenBudget: micros(w.GetWithinMicros()),
		}
		if w.GetCopySource() != "" {
			req.Request.Copy = &place.Copy{
				Source: w.GetCopySource(), Domain: cmp.Or(w.GetCopyDomain(), w.GetDomain()),
				Duration: micros(w.GetCopyMicros()), MayStay: w.GetMayStay(),
			}
		}
	}
	return req
}

func toEngineLoad(backend string, l place.Load) *wire.EngineLoad {
	m := &wire.EngineLoad{
		Backend: backend, Requests: uint32(l.Requests), PrefillTokens: uint64(l.PrefillTokens),
		MaxGapMicros: uint64(l.MaxGap.Microseconds()), MaxGapAgeMicros: uint64(l.MaxGapAge.Microseconds()),
	}
	for _, r := range l.Runs {
		m.Runs = append(m.Runs, toEngineRun(r))
	}
	return m
}

// ToServiceStatus returns the wire form of a view of a service.
func ToServiceStatus(v node.ServiceView) *wire.ServiceStatus {
	m := &wire.ServiceStatus{
		Service: v.Service, PlacedBy: v.PlacedBy, Issuer: v.Issuer,
		Requests: uint64(v.Requests), Repeats: uint64(v.Retries), RepeatsLeft: uint64(v.RetriesRemaining),
	}
	for _, b := range v.Backends {
		view := &wire.BackendView{
			Backend: b.ID, Domain: b.Domain, Leaving: b.Leaving, Avoided: b.BackedOff,
			NewsMillis: uint64(max(b.Age, 0).Milliseconds()), Load: toEngineLoad(b.ID, b.Load),
			ColdMillis: toColdMillis(b.ColdFor), StartRate: b.StartRate,
		}
		if !b.Limit.Ended {
			view.Limit = toRateLimit(b.Limit)
		}
		m.Backends = append(m.Backends, view)
	}
	return m
}

func toEngineRun(r place.Run) *wire.EngineRun {
	return &wire.EngineRun{
		Id: r.ID, Group: toRunGroup(r.Group), Held: uint64(r.BaseTokens), Made: uint64(r.Generated), Most: uint64(r.MaxTokens),
		GapMicros: uint64(r.GapTarget.Microseconds()), EventTokens: uint32(r.EventTokens), Late: r.Late,
	}
}

func fromEngineRun(m *wire.EngineRun) place.Run {
	return place.Run{
		ID: m.GetId(), Group: fromRunGroup(m.GetGroup()), BaseTokens: int(m.GetHeld()), Generated: int(m.GetMade()), MaxTokens: int(m.GetMost()),
		GapTarget: micros(m.GetGapMicros()), EventTokens: int(m.GetEventTokens()), Late: m.GetLate(),
	}
}

func toRunGroup(g learn.Group) *wire.RunGroup {
	return &wire.RunGroup{Workspace: g.Workspace, Class: g.Class, Model: g.Model}
}

func fromRunGroup(m *wire.RunGroup) learn.Group {
	return learn.Group{Workspace: m.GetWorkspace(), Class: m.GetClass(), Model: m.GetModel()}
}

func micros(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
