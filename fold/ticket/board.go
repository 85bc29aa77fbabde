package ticket

import (
	"time"

	"fuchsiafold.example/fold/sched"
)

// orphanLife is how long a steward keeps the requests of an entry VM that it
// no longer hears.
const orphanLife = 5 * time.Second

// owner is one request as its entry VM knows it.
type owner struct {
	from string
	id   uint64
}

// guest is one entry VM.
type guest struct {
	epoch uint64
	heard time.Time
	// ids holds the steward's ID of each request of the entry VM.
	ids map[uint64]uint64
}

// Server is the steward's side: one scheduler for the tickets of all entry
// VMs. Make it with NewBoard.
type Server struct {
	// Scheduler decides. Its backend servers are told to it directly.
	Scheduler *sched.Scheduler
	guests    map[string]*guest
	owners    map[uint64]owner
	// forgotten holds the entry VMs that are still to be told that their
	// tickets are lost here.
	forgotten map[string]bool
	nextID    uint64
}

// NewServer returns a board without tickets.
func NewServer(s *sched.Scheduler) *Server {
	return &Server{Scheduler: s, guests: map[string]*guest{}, owners: map[uint64]owner{}, forgotten: map[string]bool{}}
}

// Heartbeat says that an entry VM is there. One that has started again has none of
// its earlier requests.
func (b *Server) Heartbeat(now time.Time, from string, epoch uint64) {
	g := b.guests[from]
	if g != nil && g.epoch != epoch {
		b.drop(now, from)
		g = nil
	}
	if g == nil {
		g = &guest{epoch: epoch, ids: map[uint64]uint64{}}
		b.guests[from] = g
	}
	g.heard = now
}

// Forget drops the tickets of an entry VM that a decision did not reach. Its
// next batch is refused, so that it hands its requests in anew.
func (b *Server) Forget(now time.Time, from string) {
	if b.guests[from] != nil {
		b.drop(now, from)
	}
	b.forgotten[from] = true
}

// ApplyBatch takes in a batch. It returns false if the entry VM's earlier tickets
// were lost here, and takes in nothing then.
func (b *Server) ApplyBatch(now time.Time, m *Batch) bool {
	if b.forgotten[m.From] {
		delete(b.forgotten, m.From)
		return false
	}
	if m.Reset && b.guests[m.From] != nil {
		b.drop(now, m.From)
	}
	b.Heartbeat(now, m.From, m.Epoch)
	g := b.guests[m.From]
	for _, a := range m.Takeovers {
		b.Scheduler.TakeOver(now, b.own(m.From, g, a.Request), a.Backend, a.Generated)
	}
	for _, r := range m.Submits {
		b.Scheduler.Submit(now, b.own(m.From, g, r))
	}
	for _, id := range m.Cancels {
		b.end(now, g, id, func(id uint64) {
			b.Scheduler.Cancel(now, id)
			b.Scheduler.Finish(now, id, sched.Cancelled)
		})
	}
	for _, p := range m.Progress {
		if id, ok := g.ids[p.ID]; ok {
			b.Scheduler.Progress(now, id, p.Generated)
		}
	}
	for _, f := range m.Finishes {
		b.end(now, g, f.ID, func(id uint64) {
			b.Scheduler.Progress(now, id, f.Generated)
			b.Scheduler.Finish(now, id, f.Result)
		})
	}
	return true
}

// own returns the request under an ID of the steward's.
func (b *Server) own(from string, g *guest, r *sched.Request) *sched.Request {
	b.nextID++
	mine := *r
	mine.ID = b.nextID
	g.ids[r.ID] = mine.ID
	b.owners[mine.ID] = owner{from: from, id: r.ID}
	return &mine
}

func (b *Server) end(now time.Time, g *guest, id uint64, do func(id uint64)) {
	mine, ok := g.ids[id]
	if !ok {
		return
	}
	do(mine)
	delete(g.ids, id)
	delete(b.owners, mine)
}

// Poll returns what is decided, by entry VM.
func (b *Server) Poll(now time.Time) map[string][]Decision {
	dispatches, refusals := b.Scheduler.Poll(now)
	if len(dispatches)+len(refusals) == 0 {
		return nil
	}
	out := map[string][]Decision{}
	for _, d := range dispatches {
		o := b.owners[d.Request.ID]
		out[o.from] = append(out[o.from], Decision{ID: o.id, Backend: d.Backend, Priority: d.Priority})
	}
	for _, r := range refusals {
		o := b.owners[r.Request.ID]
		out[o.from] = append(out[o.from], Decision{ID: o.id, Refused: true, Reason: r.Reason, RetryAfter: r.RetryAfter})
		delete(b.owners, r.Request.ID)
		delete(b.guests[o.from].ids, o.id)
	}
	return out
}

// Expire drops the requests of entry VMs that are no longer heard.
func (b *Server) Expire(now time.Time) {
	for from, g := range b.guests {
		if now.Sub(g.heard) > orphanLife {
			b.drop(now, from)
		}
	}
}

func (b *Server) drop(now time.Time, from string) {
	for _, mine := range b.guests[from].ids {
		b.Scheduler.Cancel(now, mine)
		b.Scheduler.Finish(now, mine, sched.Cancelled)
		delete(b.owners, mine)
	}
	delete(b.guests, from)
}

// Tickets returns the number of requests on the board.
func (b *Server) Tickets() int { return len(b.owners) }
