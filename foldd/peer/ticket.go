package peer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/ticket"
	"fuchsiafold.example/wire"
)

// Limits of sending tickets.
const (
	ticketTimeout = 300 * time.Millisecond
	outboxSize    = 4096
)

// post sends f's message to a VM, after those posted to it before. It reports
// false when too many wait.
func (s *Service) post(to netip.AddrPort, f func(wire.PeerServiceClient)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	box := s.outboxes[to]
	if box == nil {
		box = make(chan func(wire.PeerServiceClient), outboxSize)
		s.outboxes[to] = box
		go s.drain(to, box)
	}
	select {
	case box <- f:
		return true
	default:
		return false
	}
}

// outboxIdle is how long an outbox without messages is kept.
const outboxIdle = time.Minute

func (s *Service) drain(to netip.AddrPort, box chan func(wire.PeerServiceClient)) {
	c := wire.NewPeerServiceClient(s.http, "http://"+to.String(), s.Options())
	idle := time.NewTimer(outboxIdle)
	defer idle.Stop()
	for {
		select {
		case f := <-box:
			f(c)
			idle.Reset(outboxIdle)
		case <-idle.C:
			if s.closeBox(to, box) {
				return
			}
			idle.Reset(outboxIdle)
		}
	}
}

// closeBox forgets an outbox unless a message has come meanwhile.
func (s *Service) closeBox(to netip.AddrPort, box chan func(wire.PeerServiceClient)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(box) > 0 {
		return false
	}
	delete(s.outboxes, to)
	return true
}

// sendTickets hands a batch to a steward.
func (s *Service) sendTickets(to netip.AddrPort, steward ticket.SchedulerID, b *ticket.Batch) {
	req := toTickets(time.Now(), b)
	req.StewardEpoch = steward.Epoch
	ok := s.post(to, func(c wire.PeerServiceClient) {
		ctx, cancel := context.WithTimeout(context.Background(), ticketTimeout)
		defer cancel()
		if _, err := c.Tickets(ctx, connect.NewRequest(req)); err != nil {
			s.node.SchedulerLost(steward)
		}
	})
	if !ok {
		go s.node.SchedulerLost(steward)
	}
}

// sendDecisions hands decisions to an entry VM. If they do not get through, it
// is taken to have lost all its tickets here, and hands them in anew.
func (s *Service) sendDecisions(to member.Peer, list []ticket.Decision) {
	self := s.node.SchedulerID()
	req := &wire.DecisionsRequest{From: self.VM, FromEpoch: self.Epoch, Epoch: to.Epoch}
	for _, d := range list {
		req.Decisions = append(req.Decisions, &wire.TicketDecision{
			Id: d.ID, Backend: d.Backend, Priority: int32(d.Priority), Refused: d.Refused,
			Reason: uint32(d.Reason), RetryAfterMillis: uint64(d.RetryAfter.Milliseconds()),
		})
	}
	s.post(to.Addr, func(c wire.PeerServiceClient) {
		ctx, cancel := context.WithTimeout(context.Background(), ticketTimeout)
		defer cancel()
		if _, err := c.Decisions(ctx, connect.NewRequest(req)); err != nil {
			s.node.Count("stewards.decisionsLost", 1)
			s.node.DropPeerTickets(to.ID)
		}
	})
}

// Tickets implements wire.PeerServiceHandler.
func (s *Service) Tickets(ctx context.Context, req *connect.Request[wire.TicketsRequest]) (*connect.Response[wire.TicketsResponse], error) {
	if req.Msg.GetFrom() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoID)
	}
	if !s.node.ApplyTickets(fromTickets(time.Now(), req.Msg), req.Msg.GetStewardEpoch()) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errForgotten)
	}
	return connect.NewResponse(&wire.TicketsResponse{}), nil
}

// Decisions implements wire.PeerServiceHandler.
func (s *Service) Decisions(ctx context.Context, req *connect.Request[wire.DecisionsRequest]) (*connect.Response[wire.DecisionsResponse], error) {
	var list []ticket.Decision
	for _, d := range req.Msg.GetDecisions() {
		list = append(list, ticket.Decision{
			ID: d.GetId(), Backend: d.GetBackend(), Priority: int(d.GetPriority()), Refused: d.GetRefused(),
			Reason: sched.Reason(d.GetReason()), RetryAfter: time.Duration(d.GetRetryAfterMillis()) * time.Millisecond,
		})
	}
	from := ticket.SchedulerID{VM: req.Msg.GetFrom(), Epoch: req.Msg.GetFromEpoch()}
	s.node.ApplyDecisions(from, req.Msg.GetEpoch(), list)
	return connect.NewResponse(&wire.DecisionsResponse{}), nil
}

func toTicket(now time.Time, r *sched.Request) *wire.Ticket {
	return &wire.Ticket{
		Id: r.ID, Workspace: r.Workspace, Class: r.Class, Model: r.Model,
		FirstTokenMicros: uint64(r.Target.FirstToken.Microseconds()),
		TokenGapMicros:   uint64(r.Target.TokenGap.Microseconds()),
		CompletionMicros: uint64(r.Target.Completion.Microseconds()),
		Prompt:           uint64(r.PromptTokens), Prefix: r.Prefix, PrefixTokens: uint64(r.PrefixTokens),
		MaxTokens: uint64(r.MaxTokens), AgeMicros: uint64(max(0, now.Sub(r.Arrived).Microseconds())),
		Policy: r.Policy, Avoid: r.Avoid, Admitted: r.Admitted,
	}
}

func fromTicket(now time.Time, t *wire.Ticket) *sched.Request {
	micros := func(v uint64) time.Duration { return time.Duration(v) * time.Microsecond }
	return &sched.Request{
		ID: t.GetId(), Workspace: t.GetWorkspace(), Class: t.GetClass(), Model: t.GetModel(),
		Target: sched.Target{
			FirstToken: micros(t.GetFirstTokenMicros()),
			TokenGap:   micros(t.GetTokenGapMicros()),
			Completion: micros(t.GetCompletionMicros()),
		},
		PromptTokens: int(t.GetPrompt()), Prefix: t.GetPrefix(), PrefixTokens: int(t.GetPrefixTokens()),
		MaxTokens: int(t.GetMaxTokens()), Arrived: now.Add(-micros(t.GetAgeMicros())),
		Policy: t.GetPolicy(), Avoid: t.GetAvoid(), Admitted: t.GetAdmitted(),
	}
}

func toTickets(now time.Time, b *ticket.Batch) *wire.TicketsRequest {
	m := &wire.TicketsRequest{From: b.From, Epoch: b.Epoch, Reset_: b.Reset, Cancels: b.Cancels}
	for _, a := range b.Takeovers {
		t := toTicket(now, a.Request)
		t.Backend, t.Generated = a.Backend, uint64(a.Generated)
		m.Adopts = append(m.Adopts, t)
	}
	for _, r := range b.Submits {
		m.Submits = append(m.Submits, toTicket(now, r))
	}
	for _, p := range b.Progress {
		m.ProgressIds = append(m.ProgressIds, p.ID)
		m.ProgressGenerated = append(m.ProgressGenerated, uint64(p.Generated))
	}
	for _, f := range b.Finishes {
		m.Ends = append(m.Ends, &wire.TicketEnd{Id: f.ID, Generated: uint64(f.Generated), Result: uint32(f.Result)})
	}
	return m
}

func fromTickets(now time.Time, m *wire.TicketsRequest) *ticket.Batch {
	b := &ticket.Batch{From: m.GetFrom(), Epoch: m.GetEpoch(), Reset: m.GetReset_(), Cancels: m.GetCancels()}
	for _, t := range m.GetAdopts() {
		b.Takeovers = append(b.Takeovers, ticket.Takeover{Request: fromTicket(now, t), Backend: t.GetBackend(), Generated: int(t.GetGenerated())})
	}
	for _, t := range m.GetSubmits() {
		b.Submits = append(b.Submits, fromTicket(now, t))
	}
	for i, id := range m.GetProgressIds() {
		if i < len(m.GetProgressGenerated()) {
			b.Progress = append(b.Progress, ticket.Progress{ID: id, Generated: int(m.GetProgressGenerated()[i])})
		}
	}
	for _, e := range m.GetEnds() {
		b.Finishes = append(b.Finishes, ticket.Finish{ID: e.GetId(), Generated: int(e.GetGenerated()), Result: sched.Result(e.GetResult())})
	}
	return b
}
