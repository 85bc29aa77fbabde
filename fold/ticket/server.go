package ticket

import (
	"time"

	"fuchsiafold.example/fold/sched"
)

// entryVMTimeout is how long a Server keeps the requests of an entry VM from
// which it receives nothing.
const entryVMTimeout = 5 * time.Second

// owner identifies a request by its entry VM and the ID that the entry VM uses.
type owner struct {
	from string
	id   uint64
}

// entryVM is the server's state for one entry VM.
type entryVM struct {
	epoch    uint64
	lastSeen time.Time
	// localIDs maps the entry VM's request IDs to the scheduler's request IDs.
	localIDs map[uint64]uint64
}

// Server is the scheduling VM's side: one scheduler for the tickets of all
// entry VMs. Create it with NewServer. It is not safe for concurrent use.
type Server struct {
	// Scheduler schedules the tickets. Backend server updates are passed to it
	// directly, not through the Server.
	Scheduler *sched.Scheduler
	entryVMs  map[string]*entryVM
	owners    map[uint64]owner
	// forgotten holds the entry VMs whose tickets Forget has dropped. ApplyBatch
	// does not apply the next batch of each, which tells the VM to submit its
	// requests again.
	forgotten map[string]bool
	lastID    uint64
}

// NewServer returns a server without tickets.
func NewServer(s *sched.Scheduler) *Server {
	return &Server{Scheduler: s, entryVMs: map[string]*entryVM{}, owners: map[uint64]owner{}, forgotten: map[string]bool{}}
}

// Heartbeat records that an entry VM is alive. If its process has restarted,
// which the epoch shows, its earlier requests are dropped.
func (s *Server) Heartbeat(now time.Time, from string, epoch uint64) {
	vm := s.entryVMs[from]
	if vm != nil && vm.epoch != epoch {
		s.dropEntryVM(now, from)
		vm = nil
	}
	if vm == nil {
		vm = &entryVM{epoch: epoch, localIDs: map[uint64]uint64{}}
		s.entryVMs[from] = vm
	}
	vm.lastSeen = now
}

// Forget drops the tickets of an entry VM that could not be sent a decision.
// The next batch of the entry VM is not applied, so that it submits its requests
// again.
func (s *Server) Forget(now time.Time, from string) {
	if s.entryVMs[from] != nil {
		s.dropEntryVM(now, from)
	}
	s.forgotten[from] = true
}

// ApplyBatch applies a batch. If the earlier tickets of the entry VM were
// dropped by Forget, it applies nothing and returns false.
func (s *Server) ApplyBatch(now time.Time, m *Batch) bool {
	if s.forgotten[m.From] {
		delete(s.forgotten, m.From)
		return false
	}
	if m.Reset && s.entryVMs[m.From] != nil {
		s.dropEntryVM(now, m.From)
	}
	s.Heartbeat(now, m.From, m.Epoch)
	vm := s.entryVMs[m.From]
	for _, a := range m.Takeovers {
		s.Scheduler.TakeOver(now, s.register(m.From, vm, a.Request), a.Backend, a.Generated)
	}
	for _, r := range m.Submits {
		s.Scheduler.Submit(now, s.register(m.From, vm, r))
	}
	for _, id := range m.Cancels {
		s.endTicket(now, vm, id, func(id uint64) {
			s.Scheduler.Cancel(now, id)
			s.Scheduler.Finish(now, id, sched.Cancelled)
		})
	}
	for _, p := range m.Progress {
		if id, ok := vm.localIDs[p.ID]; ok {
			s.Scheduler.Progress(now, id, p.Generated)
		}
	}
	for _, f := range m.Finishes {
		s.endTicket(now, vm, f.ID, func(id uint64) {
			s.Scheduler.Progress(now, id, f.Generated)
			s.Scheduler.Finish(now, id, f.Result)
		})
	}
	return true
}

// register returns a copy of the request under a new ID of the scheduler.
func (s *Server) register(from string, vm *entryVM, r *sched.Request) *sched.Request {
	s.lastID++
	local := *r
	local.ID = s.lastID
	vm.localIDs[r.ID] = local.ID
	s.owners[local.ID] = owner{from: from, id: r.ID}
	return &local
}

func (s *Server) endTicket(now time.Time, vm *entryVM, id uint64, apply func(id uint64)) {
	localID, ok := vm.localIDs[id]
	if !ok {
		return
	}
	apply(localID)
	delete(vm.localIDs, id)
	delete(s.owners, localID)
}

// Poll returns the decisions that are due, by entry VM.
func (s *Server) Poll(now time.Time) map[string][]Decision {
	dispatches, refusals := s.Scheduler.Poll(now)
	if len(dispatches)+len(refusals) == 0 {
		return nil
	}
	out := map[string][]Decision{}
	for _, d := range dispatches {
		o := s.owners[d.Request.ID]
		out[o.from] = append(out[o.from], Decision{ID: o.id, Backend: d.Backend, Priority: d.Priority})
	}
	for _, r := range refusals {
		o := s.owners[r.Request.ID]
		out[o.from] = append(out[o.from], Decision{ID: o.id, Refused: true, Reason: r.Reason, RetryAfter: r.RetryAfter})
		delete(s.owners, r.Request.ID)
		delete(s.entryVMs[o.from].localIDs, o.id)
	}
	return out
}

// Expire drops the requests of entry VMs that have sent nothing for
// entryVMTimeout.
func (s *Server) Expire(now time.Time) {
	for from, vm := range s.entryVMs {
		if now.Sub(vm.lastSeen) > entryVMTimeout {
			s.dropEntryVM(now, from)
		}
	}
}

func (s *Server) dropEntryVM(now time.Time, from string) {
	for _, localID := range s.entryVMs[from].localIDs {
		s.Scheduler.Cancel(now, localID)
		s.Scheduler.Finish(now, localID, sched.Cancelled)
		delete(s.owners, localID)
	}
	delete(s.entryVMs, from)
}

// Tickets returns the number of tickets that the server holds, waiting or
// dispatched.
func (s *Server) Tickets() int { return len(s.owners) }
