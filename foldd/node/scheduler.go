package node

import (
	"net/netip"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/ticket"
)

// schedulerFor returns the process that schedules a model, the zero ID if there
// is none. The caller holds the lock.
func (n *Node) schedulerFor(model string) ticket.SchedulerID {
	n.group.SetDraining(time.Now(), n.Draining())
	p, _ := n.group.Scheduler(time.Now(), model)
	return ticket.SchedulerID{VM: p.ID, Epoch: p.Epoch}
}

// SchedulerID returns the ID of this process as a scheduler. It takes no lock.
func (n *Node) SchedulerID() ticket.SchedulerID {
	return ticket.SchedulerID{VM: n.Settings.ID, Epoch: n.group.Self.Epoch}
}

// SetTransport sets the functions that send messages to other VMs: Gossip,
// SendTickets and SendDecisions.
func (n *Node) SetTransport(
	gossip func(to []netip.AddrPort),
	tickets func(to netip.AddrPort, scheduler ticket.SchedulerID, b *ticket.Batch),
	decisions func(to member.Peer, list []ticket.Decision),
) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Gossip = gossip
	n.SendTickets = tickets
	n.SendDecisions = decisions
}

// eachScheduler calls f for both schedulers of this VM: the one for the tickets of
// the failure domain, and the local one that is used while no other VM schedules.
// The caller holds the lock.
func (n *Node) eachScheduler(f func(s *sched.Scheduler)) {
	f(n.ticketServer.Scheduler)
	f(n.ticketClient.Local)
}

// tick runs the work that depends on time alone.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tickScheduled = false
	n.ticketServer.Expire(now)
	n.poll(now)
}

// scheduleTick schedules the next tick if requests wait or run and none is
// pending. The caller holds the lock.
func (n *Node) scheduleTick(now time.Time) {
	if n.tickScheduled || (len(n.waiters) == 0 && n.ticketServer.Tickets() == 0 && !n.ticketClient.Busy()) {
		return
	}
	n.tickScheduled = true
	n.Clock.At(now.Add(pollInterval), n.tick)
}

// poll delivers pending tickets and decisions, locally or to other VMs, and
// schedules the next tick. The caller holds the lock.
func (n *Node) poll(now time.Time) {
	n.deliver(now, n.ticketClient.Poll(now))
	for to, b := range n.ticketClient.Outgoing(now) {
		n.sendBatch(now, to, b)
	}
	for to, list := range n.ticketServer.Poll(now) {
		n.sendDecisions(now, to, list)
	}
	n.scheduleTick(now)
}

// sendBatch passes a batch to a scheduler, in this process or in another VM. The
// caller holds the lock.
func (n *Node) sendBatch(now time.Time, to ticket.SchedulerID, b *ticket.Batch) {
	if to == n.SchedulerID() {
		n.ticketServer.ApplyBatch(now, b)
		return
	}
	p, ok := n.group.Peer(to.VM)
	if !ok || n.SendTickets == nil {
		n.ticketClient.SchedulerLost(now, to)
		return
	}
	n.SendTickets(p.Addr, to, b)
}

// sendDecisions passes decisions to the VM that requested them, which may be this
// one. The caller holds the lock.
func (n *Node) sendDecisions(now time.Time, to string, list []ticket.Decision) {
	if to == n.Settings.ID {
		n.deliver(now, n.ticketClient.ApplyDecisions(now, n.SchedulerID(), list))
		return
	}
	if p, ok := n.group.Peer(to); ok && n.SendDecisions != nil {
		n.SendDecisions(p, list)
	}
}

// ApplyTickets applies a batch that another VM sent to the process with an epoch.
// It returns false, and applies nothing, if that is not this process or if the
// VM's earlier tickets were lost here.
func (n *Node) ApplyTickets(b *ticket.Batch, epoch uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if epoch != n.group.Self.Epoch {
		return false
	}
	now := time.Now()
	ok := n.ticketServer.ApplyBatch(now, b)
	n.poll(now)
	return ok
}

// DropPeerTickets drops the tickets of a VM to which a decision could not be
// delivered. The VM's next batch is rejected, so that it submits its requests again.
func (n *Node) DropPeerTickets(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.ticketServer.Forget(now, vm)
	n.poll(now)
}

// ApplyDecisions applies the decisions that a scheduler sent to the process with
// an epoch. It ignores them if that is not this process.
func (n *Node) ApplyDecisions(from ticket.SchedulerID, epoch uint64, list []ticket.Decision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if epoch != n.group.Self.Epoch {
		return
	}
	now := time.Now()
	n.deliver(now, n.ticketClient.ApplyDecisions(now, from, list))
	n.poll(now)
}

// SchedulerLost records that a batch could not be delivered to a scheduler. Its
// requests move to the local scheduler for a while.
func (n *Node) SchedulerLost(id ticket.SchedulerID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Count("schedulers.lost", 1)
	now := time.Now()
	n.ticketClient.SchedulerLost(now, id)
	n.poll(now)
}

// deliver sends decisions to the requests that wait for them. The caller holds the
// lock.
func (n *Node) deliver(now time.Time, list []ticket.Decision) {
	for _, d := range list {
		ch := n.waiters[d.ID]
		delete(n.waiters, d.ID)
		if ch != nil {
			ch <- n.toDecision(now, d)
		}
	}
}

// toDecision converts a scheduler's decision. If this VM does not know the chosen
// engine, it ends the ticket and rejects the request. The caller holds the lock.
func (n *Node) toDecision(now time.Time, d ticket.Decision) Decision {
	if d.Refused {
		return Decision{Refused: true, Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
	b, ok := n.table.Get(d.Backend)
	if !ok {
		// The scheduler chose an engine that this VM does not know yet or has
		// already removed.
		n.ticketClient.Finish(now, d.ID, sched.Rejected)
		return Decision{Refused: true, Reason: sched.ReasonNoBackend, RetryAfter: time.Second}
	}
	return Decision{Backend: d.Backend, Addr: b.Addr, Priority: d.Priority}
}

// Decision is the outcome of a queued request: dispatch to a backend server, or
// rejection.
type Decision struct {
	Backend  string
	Addr     netip.AddrPort
	Priority int
	// Refused reports that the request is rejected, for Reason.
	Refused    bool
	Reason     sched.Reason
	RetryAfter time.Duration
}

// SchedulerFor returns the ID of the VM that schedules a model, empty if there is
// none.
func (n *Node) SchedulerFor(model string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.schedulerFor(model).VM
}

// Tickets returns the number of requests, of all VMs, that this VM schedules.
func (n *Node) Tickets() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ticketServer.Tickets()
}
