package node

import (
	"net/netip"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/ticket"
)

// steward returns the process that schedules a model. The caller holds the
// lock.
func (n *Node) steward(model string) ticket.SchedulerID {
	n.group.Self.Draining = n.Draining()
	p, _ := n.group.Scheduler(time.Now(), model)
	return ticket.SchedulerID{VM: p.ID, Epoch: p.Epoch}
}

// SchedulerID names this process as a steward. It takes no lock.
func (n *Node) SchedulerID() ticket.SchedulerID {
	return ticket.SchedulerID{VM: n.Settings.ID, Epoch: n.group.Self.Epoch}
}

// SetTransport sets the transport to the other VMs.
func (n *Node) SetTransport(
	spread func(to []netip.AddrPort),
	tickets func(to netip.AddrPort, steward ticket.SchedulerID, b *ticket.Batch),
	decisions func(to member.Peer, list []ticket.Decision),
) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Gossip = spread
	n.SendTickets = tickets
	n.SendDecisions = decisions
}

// eachSched tells something to both schedulers: that of the tickets of the
// failure domain, and the one that stands in for a steward.
func (n *Node) eachSched(tell func(s *sched.Scheduler)) {
	tell(n.board.Scheduler)
	tell(n.desk.Local)
}

func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ticking = false
	n.board.Expire(now)
	n.poll(now)
}

// arm makes a tick due while requests wait or run. The caller holds the lock.
func (n *Node) arm(now time.Time) {
	if n.ticking || (len(n.waiters) == 0 && n.board.Tickets() == 0 && !n.desk.Busy()) {
		return
	}
	n.ticking = true
	n.Clock.At(now.Add(pollInterval), n.tick)
}

// poll carries tickets and decisions to where they belong, until nothing is
// left to carry. The caller holds the lock.
func (n *Node) poll(now time.Time) {
	n.tell(now, n.desk.Poll(now))
	for to, b := range n.desk.Outgoing(now) {
		n.sendBatch(now, to, b)
	}
	for to, list := range n.board.Poll(now) {
		n.sendDecisions(now, to, list)
	}
	n.arm(now)
}

func (n *Node) sendBatch(now time.Time, to ticket.SchedulerID, b *ticket.Batch) {
	if to == n.SchedulerID() {
		n.board.ApplyBatch(now, b)
		return
	}
	p, ok := n.group.Peer(to.VM)
	if !ok || n.SendTickets == nil {
		n.desk.SchedulerLost(now, to)
		return
	}
	n.SendTickets(p.Addr, to, b)
}

func (n *Node) sendDecisions(now time.Time, to string, list []ticket.Decision) {
	if to == n.Settings.ID {
		n.tell(now, n.desk.ApplyDecisions(now, n.SchedulerID(), list))
		return
	}
	if p, ok := n.group.Peer(to); ok && n.SendDecisions != nil {
		n.SendDecisions(p, list)
	}
}

// ApplyTickets takes a batch that another VM has for the process of an epoch. It
// returns false if that is not this one, or if the VM's tickets were lost here.
func (n *Node) ApplyTickets(b *ticket.Batch, epoch uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if epoch != n.group.Self.Epoch {
		return false
	}
	now := time.Now()
	ok := n.board.ApplyBatch(now, b)
	n.poll(now)
	return ok
}

// DropPeerTickets drops the tickets of a VM that a decision did not reach.
func (n *Node) DropPeerTickets(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.board.Forget(now, vm)
	n.poll(now)
}

// ApplyDecisions takes the decisions of a steward for the process of an epoch.
func (n *Node) ApplyDecisions(from ticket.SchedulerID, epoch uint64, list []ticket.Decision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if epoch != n.group.Self.Epoch {
		return
	}
	now := time.Now()
	n.tell(now, n.desk.ApplyDecisions(now, from, list))
	n.poll(now)
}

// SchedulerLost says that a batch did not get through to a steward.
func (n *Node) SchedulerLost(steward ticket.SchedulerID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Count("stewards.lost", 1)
	now := time.Now()
	n.desk.SchedulerLost(now, steward)
	n.poll(now)
}

// tell hands decisions to the requests that wait for them.
func (n *Node) tell(now time.Time, list []ticket.Decision) {
	for _, d := range list {
		ch := n.waiters[d.ID]
		delete(n.waiters, d.ID)
		if ch != nil {
			ch <- n.verdict(now, d)
		}
	}
}

func (n *Node) verdict(now time.Time, d ticket.Decision) Decision {
	if d.Refused {
		return Decision{Refused: true, Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
	b, ok := n.table.Get(d.Backend)
	if !ok {
		// The steward knows an engine that this VM does not, or no longer.
		n.desk.Finish(now, d.ID, sched.Rejected)
		return Decision{Refused: true, Reason: sched.ReasonNoBackend, RetryAfter: time.Second}
	}
	return Decision{Backend: d.Backend, Addr: b.Addr, Priority: d.Priority}
}

// Decision is what became of a request that waited: a place or a refusal.
type Decision struct {
	Backend  string
	Addr     netip.AddrPort
	Priority int
	// Refused is set when the request is refused, for Reason.
	Refused    bool
	Reason     sched.Reason
	RetryAfter time.Duration
}

// SchedulerFor returns the VM that schedules a model.
func (n *Node) SchedulerFor(model string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.steward(model).VM
}

// Tickets returns the number of requests that this VM schedules.
func (n *Node) Tickets() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.board.Tickets()
}
