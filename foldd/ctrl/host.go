// Package ctrl runs a control replica on its VM, and is the client by which
// every VM reaches the control part.
package ctrl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// ErrStopped is returned once a replica no longer runs.
var ErrStopped = eris.New("control replica has stopped")

// Timing of a replica.
const (
	heartbeat    = 200 * time.Millisecond
	joinInterval = 500 * time.Millisecond
	// callQueue bounds the calls that wait for the replica's goroutine.
	callQueue = 4096
)

// ServerConfig describes a Host. All fields but Changed, Count and Check are set.
type ServerConfig struct {
	VM         string
	Addr       netip.AddrPort
	DataFolder string
	// Peers returns the addresses at which control VMs may be found.
	Peers func() []netip.AddrPort
	// InitialMembers lists the voters of the group that starts if the folder is empty
	// and Addr is one of them; all of them are given the same list.
	InitialMembers []netip.AddrPort
	// Bootstrap starts a new group if the folder is empty and no other control
	// VM knows of one.
	Bootstrap bool
	HTTP      *http.Client
	Options   connect.ClientOption
	Log       *logrus.Logger
	// Check refuses configurations that must not be decided; nil checks by
	// spec.Parse.
	Check func(document []byte) error
	// OnConfigChange is called with each configuration that is decided.
	OnConfigChange func(revision uint64, document []byte)
	// Count adds to a counter.
	Count func(name string, delta int64)
}

// Server runs one control replica. Make it with New.
type Server struct {
	conf     ServerConfig
	folder   *store.Folder
	identity store.Identity
	calls    chan func(now time.Time)
	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup

	// The fields below belong to the replica's goroutine.
	rep      *repl.Replica
	ids      uint64
	pending  map[uint64]chan repl.Completion
	outboxes map[netip.AddrPort]chan *wire.LogMessage
	// addrs holds where replicas were heard that the membership lacks.
	addrs    map[string]netip.AddrPort
	revision uint64
	leads    bool
	group    groupView
}

// New opens the data folder, or makes a new one, and starts the replica.
func New(c ServerConfig) (*Server, error) {
	if c.Count == nil {
		c.Count = func(string, int64) {}
	}
	if c.Check == nil {
		c.Check = func(document []byte) error {
			_, err := spec.Parse(document)
			return err
		}
	}
	if c.OnConfigChange == nil {
		c.OnConfigChange = func(uint64, []byte) {}
	}
	folder, restored, err := openFolder(c)
	if err != nil {
		return nil, err
	}
	h := &Server{
		conf:     c,
		folder:   folder,
		identity: folder.Identity(),
		calls:    make(chan func(time.Time), callQueue),
		stop:     make(chan struct{}),
		pending:  map[uint64]chan repl.Completion{},
		outboxes: map[netip.AddrPort]chan *wire.LogMessage{},
		addrs:    map[string]netip.AddrPort{},
	}
	o := raft.Options{ID: h.identity.ID, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), HeartbeatInterval: heartbeat}
	if h.rep, err = repl.New(time.Now(), repl.Options{Raft: o}, restored); err != nil {
		folder.Close()
		return nil, fmt.Errorf("start control replica: %w", err)
	}
	c.Log.WithFields(logrus.Fields{"replica": h.identity.ID, "group": h.identity.Group}).Info("control replica started")
	h.done.Add(2)
	go h.run()
	go h.joinLoop()
	return h, nil
}

// Close stops the replica.
func (h *Server) Close() error {
	h.stopOnce.Do(func() { close(h.stop) })
	h.done.Wait()
	return h.folder.Close()
}

// run is the replica's goroutine: it takes what has come in, then writes,
// sends and answers once for all of it.
func (h *Server) run() {
	defer h.done.Done()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-h.stop:
			h.fail(ErrStopped)
			return
		case f := <-h.calls:
			f(time.Now())
		case <-t.C:
		}
		h.drain()
		h.rep.Tick(time.Now())
		if err := h.pump(); err != nil {
			h.conf.Log.WithError(err).Error("control replica stops: its disk failed")
			h.stopOnce.Do(func() { close(h.stop) })
		}
		t.Reset(max(0, time.Until(h.rep.Due())))
	}
}

// Stopped is closed once the replica has stopped, by Close or since its disk
// failed.
func (h *Server) Stopped() <-chan struct{} { return h.stop }

func (h *Server) drain() {
	for range callQueue {
		select {
		case f := <-h.calls:
			f(time.Now())
		default:
			return
		}
	}
}

func (h *Server) fail(err error) {
	for id, ch := range h.pending {
		ch <- repl.Completion{ID: id, Err: err}
		delete(h.pending, id)
	}
}

// pump carries out what the replica asks for.
func (h *Server) pump() error {
	for {
		out := h.rep.Output()
		if out.Write.Empty() && len(out.Messages) == 0 && len(out.Completions) == 0 {
			break
		}
		if !out.Write.Empty() {
			if err := h.folder.Write(out.Write); err != nil {
				return err
			}
			h.conf.Count("control.syncs", 1)
			h.rep.Persisted(out.Write)
		}
		for _, m := range out.Messages {
			h.post(m)
		}
		for _, d := range out.Completions {
			if ch := h.pending[d.ID]; ch != nil {
				ch <- d
				delete(h.pending, d.ID)
			}
		}
	}
	h.tellChanges()
	return nil
}

func (h *Server) tellChanges() {
	m := h.rep.Machine()
	if m.Revision() > h.revision {
		h.revision = m.Revision()
		h.conf.OnConfigChange(m.Revision(), m.Document())
	}
	if leads := h.rep.IsLeader(); leads != h.leads {
		h.leads = leads
		h.conf.Count("control.leaderChanges", 1)
		h.conf.Log.WithFields(logrus.Fields{"replica": h.identity.ID, "leads": leads, "term": h.rep.Term()}).Info("control leadership changed")
	}
	h.tellGroup()
}

// tellGroup logs how the replica sees its group, whenever that changes.
func (h *Server) tellGroup() {
	leader, _ := h.rep.Leader()
	g := groupView{leader: leader.ID, term: h.rep.Term(), members: h.rep.MembershipIndex()}
	if g == h.group {
		return
	}
	h.group = g
	var voters, learners []string
	for _, m := range h.rep.Membership().Members {
		if m.Voter {
			voters = append(voters, m.ID)
		} else {
			learners = append(learners, m.ID)
		}
	}
	h.conf.Log.WithFields(logrus.Fields{
		"replica": h.identity.ID, "leader": g.leader, "term": g.term, "membershipIndex": g.members, "lastIndex": h.rep.LastIndex(),
		"voters": voters, "learners": learners,
	}).Info("control group changed")
}

// groupView is how a replica sees its group.
type groupView struct {
	leader string
	term   uint64
	// members is the log index of the membership.
	members uint64
}

// do runs f on the replica's goroutine and returns when it has run.
func (h *Server) do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case h.calls <- wrapped:
	case <-h.stop:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-h.stop:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wait starts a command or a read on the replica's goroutine and waits for
// its end.
func (h *Server) wait(ctx context.Context, start func(now time.Time, id uint64)) (repl.Completion, error) {
	ch := make(chan repl.Completion, 1)
	err := h.do(ctx, func(now time.Time) {
		h.ids++
		h.pending[h.ids] = ch
		start(now, h.ids)
	})
	if err != nil {
		return repl.Completion{}, err
	}
	select {
	case d := <-ch:
		return d, d.Err
	case <-h.stop:
		return repl.Completion{}, ErrStopped
	case <-ctx.Done():
		return repl.Completion{}, ctx.Err()
	}
}

// Submit has a command decided and returns its result.
func (h *Server) Submit(ctx context.Context, c state.Command) (state.Result, error) {
	d, err := h.wait(ctx, func(now time.Time, id uint64) { h.rep.Submit(now, id, c) })
	if err != nil {
		return state.Result{}, err
	}
	return d.Result, nil
}

// Latest returns the newest configuration that is decided.
func (h *Server) Latest(ctx context.Context) (revision uint64, document []byte, err error) {
	if _, err := h.wait(ctx, func(now time.Time, id uint64) { h.rep.Read(id) }); err != nil {
		return 0, nil, err
	}
	err = h.do(ctx, func(time.Time) {
		revision, document = h.rep.Machine().Revision(), h.rep.Machine().Document()
	})
	return revision, document, err
}

// Status returns the replicas and the leader as this replica sees them.
func (h *Server) Status(ctx context.Context) (members raft.Membership, leader string, err error) {
	err = h.do(ctx, func(time.Time) {
		members = h.rep.Membership()
		if l, ok := h.rep.Leader(); ok {
			leader = l.VM
		}
	})
	return members, leader, err
}

// leaderAddr returns where the leader takes calls, if it is known.
func (h *Server) leaderAddr(ctx context.Context) string {
	var addr string
	err := h.do(ctx, func(time.Time) {
		if l, ok := h.rep.Leader(); ok && l.ID != h.identity.ID {
			addr = l.Addr.String()
		}
	})
	if err != nil {
		return ""
	}
	return addr
}

// notDecided reports whether err proves that a command was not decided here.
func notDecided(err error) bool {
	return errors.Is(err, repl.ErrNotLeader) || errors.Is(err, repl.ErrReplaced)
}
