package peer

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/ticket"
	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/wire"
)

// Limits on the calls that carry tickets and decisions: the timeout of each call,
// and the number of calls queued for each VM.
const (
	ticketTimeout = 300 * time.Millisecond
	outboxSize    = 4096
)

// enqueue queues a call to a VM. Calls to the same VM are sent one after the other,
// in order. It returns false, and drops the call, if the queue is full.
func (s *Service) enqueue(to netip.AddrPort, send func(context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	outbox := s.outboxes[to]
	if outbox == nil {
		outbox = make(chan func(context.Context), outboxSize)
		s.outboxes[to] = outbox
		go s.runOutbox(to, outbox)
	}
	select {
	case outbox <- send:
		return true
	default:
		return false
	}
}

// outboxIdle is how long an outbox without calls is kept.
const outboxIdle = time.Minute

// runOutbox sends the calls queued for a VM until the outbox has been idle for
// outboxIdle.
func (s *Service) runOutbox(to netip.AddrPort, outbox chan func(context.Context)) {
	ctx := toVM(traffic.With(context.Background(), traffic.Tickets), to)
	idle := time.NewTimer(outboxIdle)
	defer idle.Stop()
	for {
		select {
		case send := <-outbox:
			send(ctx)
			idle.Reset(outboxIdle)
		case <-idle.C:
			if s.closeOutbox(to, outbox) {
				return
			}
			idle.Reset(outboxIdle)
		}
	}
}

// closeOutbox removes an outbox and returns true, unless a call has been queued in
// the meantime.
func (s *Service) closeOutbox(to netip.AddrPort, outbox chan func(context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(outbox) > 0 {
		return false
	}
	delete(s.outboxes, to)
	return true
}

// sendTickets queues a batch for a scheduler. If the batch cannot be queued or
// delivered, it reports the scheduler as lost to the node.
func (s *Service) sendTickets(to netip.AddrPort, scheduler ticket.SchedulerID, b *ticket.Batch) {
	req := toTickets(time.Now(), b)
	req.StewardEpoch = scheduler.Epoch
	ok := s.enqueue(to, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
		defer cancel()
		if _, err := s.client.Tickets(ctx, connect.NewRequest(req)); err != nil {
			s.node.SchedulerLost(scheduler)
		}
	})
	if !ok {
		go s.node.SchedulerLost(scheduler)
	}
}

// sendDecisions queues decisions for an entry VM. If they cannot be delivered, all
// tickets of that VM are dropped here, and it submits its requests again.
func (s *Service) sendDecisions(to member.Peer, list []ticket.Decision) {
	self := s.node.SchedulerID()
	req := &wire.DecisionsRequest{From: self.VM, FromEpoch: self.Epoch, Epoch: to.Epoch}
	for _, d := range list {
		req.Decisions = append(req.Decisions, &wire.TicketDecision{
			Id: d.ID, Backend: d.Backend, Priority: int32(d.Priority), Refused: d.Refused,
			Reason: uint32(d.Reason), RetryAfterMillis: uint64(d.RetryAfter.Milliseconds()),
		})
	}
	s.enqueue(to.Addr, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
		defer cancel()
		if _, err := s.client.Decisions(ctx, connect.NewRequest(req)); err != nil {
			s.node.Count("schedulers.decisionsLost", 1)
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
		return nil, connect.NewError(connect.CodeFailedPrecondition, errTicketsLost)
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
	for _, takeover := range b.Takeovers {
		t := toTicket(now, takeover.Request)
		t.Backend, t.Generated = takeover.Backend, uint64(takeover.Generated)
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
