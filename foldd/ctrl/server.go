// Package ctrl runs a control replica on a VM, and provides the client with
// which every VM calls the control replicas. A control VM is a VM with a control
// replica. The replicas of a deployment form the control group, which keeps the
// configuration, the leases and the idempotency keys in a replicated log.
package ctrl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/foldd/store"
)

// ErrStopped is returned by the methods of a Server whose replica has stopped, wrapped
// with the write that failed if that was the reason. The outcome of a command that was
// pending is unknown.
var ErrStopped = eris.New("control replica has stopped")

// Timing of a replica.
const (
	heartbeatInterval = 200 * time.Millisecond
	joinInterval      = 500 * time.Millisecond
	// callQueueSize limits the calls queued for the replica's goroutine.
	callQueueSize = 4096
)

// ServerConfig configures a Server. Check, OnConfigChange, OnEvacuations, Written, Count and Gauge may be nil,
// InitialMembers may be empty and Bootstrap false; the other fields are required.
type ServerConfig struct {
	VM         string
	Addr       netip.AddrPort
	DataFolder string
	// Peers returns the addresses of possible control VMs. It may include Addr.
	Peers func() []netip.AddrPort
	// InitialMembers lists the addresses of the voters of a new group. If the
	// folder is empty and Addr is in the list, the replica starts as a member
	// of that group. All initial members must be given the same list.
	InitialMembers []netip.AddrPort
	// Bootstrap starts a new group if the folder is empty and no other control
	// VM reports a group. If one does, New fails with ErrGroupExists.
	Bootstrap bool
	HTTP      *http.Client
	Options   connect.ClientOption
	Log       *logrus.Logger
	// Check returns an error for a configuration that must not be applied. If
	// it is nil, spec.Parse is the check.
	Check func(document []byte) error
	// OnConfigChange is called on the replica's goroutine when a newer
	// configuration has been committed. Revisions may be skipped.
	OnConfigChange func(revision uint64, document []byte)
	// OnEvacuations is called on the replica's goroutine when a newer set of evacuated
	// failure domains has been committed. Versions may be skipped.
	OnEvacuations func(evac.Set)
	// Written is called on the replica's goroutine after each write to the data folder
	// that began at the given time, with its error.
	Written func(begun time.Time, err error)
	// Count adds delta to the named counter.
	Count func(name string, delta int64)
	// Gauge sets the named gauge.
	Gauge func(name string, value int64)
}

// Server runs one control replica. It is returned by New and is safe for
// concurrent use.
type Server struct {
	conf     ServerConfig
	folder   *store.Folder
	identity store.Identity
	calls    chan func(now time.Time)
	stop     chan struct{}
	stopOnce sync.Once
	// writeErr is why the replica has stopped by itself. It is set before stop is closed
	// and must be read after that.
	writeErr error
	done     sync.WaitGroup
	// knownLeader is the leader that this replica knows, which may be itself, nil for none.
	knownLeader atomic.Pointer[raft.Member]

	// The fields below are used only on the replica's goroutine. Other
	// goroutines access them by calling do.
	rep        *repl.Replica
	lastCallID uint64
	pending    map[uint64]chan repl.Completion
	outboxes   map[netip.AddrPort]*outbox
	// senderAddrs holds the last sender address of each replica that has sent a
	// message.
	senderAddrs      map[string]netip.AddrPort
	notifiedRevision uint64
	// notifiedEvacuations is the version of the set that OnEvacuations was last called with.
	notifiedEvacuations uint64
	wasLeader           bool
	loggedGroup         groupView
	watch               groupWatch
	members             memberWatch
}

// New opens or creates the data folder and starts the replica. If the folder is
// empty, the error may be ErrNoGroup or ErrGroupExists; if it is damaged, the
// error wraps store.ErrCorrupt. The caller must call Close.
func New(c ServerConfig) (*Server, error) {
	if c.Count == nil {
		c.Count = func(string, int64) {}
	}
	if c.Gauge == nil {
		c.Gauge = func(string, int64) {}
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
	if c.OnEvacuations == nil {
		c.OnEvacuations = func(evac.Set) {}
	}
	if c.Written == nil {
		c.Written = func(time.Time, error) {}
	}
	folder, restored, err := openFolder(c)
	if err != nil {
		return nil, err
	}
	h := &Server{
		conf:        c,
		folder:      folder,
		identity:    folder.Identity(),
		calls:       make(chan func(time.Time), callQueueSize),
		stop:        make(chan struct{}),
		pending:     map[uint64]chan repl.Completion{},
		outboxes:    map[netip.AddrPort]*outbox{},
		senderAddrs: map[string]netip.AddrPort{},
	}
	o := raft.Options{ID: h.identity.ID, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), HeartbeatInterval: heartbeatInterval}
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

// Close stops the replica, waits for its goroutines to end and closes the data
// folder.
func (h *Server) Close() error {
	h.stopOnce.Do(func() { close(h.stop) })
	h.done.Wait()
	return h.folder.Close()
}

// run is the replica's goroutine. It runs all queued calls and then processes
// the replica's output, so that many calls share one sync to the disk. It ends at the
// first write that fails.
func (h *Server) run() {
	defer h.done.Done()
	defer func() { h.failPending(h.stoppedError()) }()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-h.stop:
			return
		case f := <-h.calls:
			f(time.Now())
		case <-t.C:
		}
		h.runQueuedCalls()
		h.rep.Tick(time.Now())
		if err := h.processOutput(); err != nil {
			h.conf.Log.WithError(err).Error("control replica stopped: writing to its data folder failed")
			h.stopOnce.Do(func() {
				h.writeErr = err
				close(h.stop)
			})
			// The replica's memory is ahead of its disk: nothing more may be written or sent.
			return
		}
		h.reportLeaderless(time.Now())
		h.reportMembers(time.Now())
		t.Reset(max(0, time.Until(h.rep.Due())))
	}
}

// stoppedError returns ErrStopped, with the write that failed if there is one. It must be
// called after stop is closed.
func (h *Server) stoppedError() error {
	if h.writeErr != nil {
		return fmt.Errorf("%w: %w", ErrStopped, h.writeErr)
	}
	return ErrStopped
}

// Stopped returns a channel that is closed when the replica stops, either by
// Close or because a write to its data folder failed.
func (h *Server) Stopped() <-chan struct{} { return h.stop }

// runQueuedCalls runs the queued calls without blocking, at most callQueueSize.
func (h *Server) runQueuedCalls() {
	for range callQueueSize {
		select {
		case f := <-h.calls:
			f(time.Now())
		default:
			return
		}
	}
}

// failPending completes all pending commands and reads with err.
func (h *Server) failPending(err error) {
	for id, ch := range h.pending {
		ch <- repl.Completion{ID: id, Err: err}
		delete(h.pending, id)
	}
}

// processOutput performs the replica's writes, sends its messages and completes
// pending commands and reads, until there is no more output. An error means that
// a write failed and the replica must stop.
func (h *Server) processOutput() error {
	for {
		out := h.rep.Output()
		if out.Empty() {
			break
		}
		h.logEvents(out.Events)
		h.logChanges(out.Changes)
		if !out.Write.Empty() {
			if err := h.write(out.Write); err != nil {
				return err
			}
			h.conf.Count("control.syncs", 1)
			h.rep.Persisted(out.Write)
		}
		for _, m := range out.Messages {
			h.enqueue(m)
		}
		for _, d := range out.Completions {
			if ch := h.pending[d.ID]; ch != nil {
				ch <- d
				delete(h.pending, d.ID)
			}
		}
	}
	h.notifyChanges()
	return nil
}

// write writes to the data folder and reports the result.
func (h *Server) write(w repl.Write) error {
	begun := time.Now()
	err := h.folder.Write(w)
	h.conf.Written(begun, err)
	return err
}

// notifyChanges reports a newly committed configuration or set of evacuated failure domains,
// and a change of leadership. The set comes first, so that no request is sent by a newer
// configuration without it.
func (h *Server) notifyChanges() {
	m := h.rep.Machine()
	if set := m.Evacuations(); set.Version > h.notifiedEvacuations {
		h.notifiedEvacuations = set.Version
		h.conf.OnEvacuations(set)
	}
	if m.Revision() > h.notifiedRevision {
		h.notifiedRevision = m.Revision()
		h.conf.OnConfigChange(m.Revision(), m.Document())
	}
	if leading := h.rep.IsLeader(); leading != h.wasLeader {
		h.wasLeader = leading
		h.conf.Count("control.leaderChanges", 1)
		h.conf.Log.WithFields(logrus.Fields{"replica": h.identity.ID, "leads": leading, "term": h.rep.Term()}).Info("control leadership changed")
	}
	h.recordGroup()
}

// do runs f on the replica's goroutine and waits until it has run. After an error
// f may still run later.
func (h *Server) do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case h.calls <- wrapped:
	case <-h.stop:
		return h.stoppedError()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-h.stop:
		return h.stoppedError()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitCompletion calls start on the replica's goroutine with a new call ID, and
// waits for the command or read that start submits under that ID to complete.
func (h *Server) awaitCompletion(ctx context.Context, start func(now time.Time, id uint64)) (repl.Completion, error) {
	ch := make(chan repl.Completion, 1)
	err := h.do(ctx, func(now time.Time) {
		h.lastCallID++
		h.pending[h.lastCallID] = ch
		start(now, h.lastCallID)
	})
	if err != nil {
		return repl.Completion{}, err
	}
	select {
	case d := <-ch:
		return d, d.Err
	case <-h.stop:
		return repl.Completion{}, h.stoppedError()
	case <-ctx.Done():
		return repl.Completion{}, ctx.Err()
	}
}

// Submit submits a command to the replicated log and returns its result once
// the command is committed and applied. After an error for which notCommitted is
// false, the command may still be committed.
func (h *Server) Submit(ctx context.Context, c state.Command) (state.Result, error) {
	d, err := h.awaitCompletion(ctx, func(now time.Time, id uint64) { h.rep.Submit(now, id, c) })
	if err != nil {
		return state.Result{}, err
	}
	return d.Result, nil
}

// Latest returns the newest committed configuration and set of evacuated failure domains by
// a linearizable read.
func (h *Server) Latest(ctx context.Context) (revision uint64, document []byte, evacuations evac.Set, err error) {
	if _, err := h.awaitCompletion(ctx, func(now time.Time, id uint64) { h.rep.Read(id) }); err != nil {
		return 0, nil, evac.Set{}, err
	}
	err = h.do(ctx, func(time.Time) {
		m := h.rep.Machine()
		revision, document, evacuations = m.Revision(), m.Document(), m.Evacuations()
	})
	return revision, document, evacuations, err
}

// Status returns the membership and the leader's VM as this replica knows them.
// leader is empty if the leader is unknown.
func (h *Server) Status(ctx context.Context) (members raft.Membership, leader string, err error) {
	err = h.do(ctx, func(time.Time) {
		members = h.rep.Membership()
		if l, ok := h.rep.Leader(); ok {
			leader = l.VM
		}
	})
	return members, leader, err
}

// Leader returns the address of the leader that this replica knows, which may be itself,
// and false if it knows none. It does not wait for the replica.
func (h *Server) Leader() (netip.AddrPort, bool) {
	leader := h.knownLeader.Load()
	switch {
	case leader == nil:
		return netip.AddrPort{}, false
	case leader.ID == h.identity.ID:
		return h.conf.Addr, true
	}
	return leader.Addr, leader.Addr.IsValid()
}

// leads reports whether this replica is the leader, as far as it knows. It does not wait
// for the replica.
func (h *Server) leads() bool {
	leader := h.knownLeader.Load()
	return leader != nil && leader.ID == h.identity.ID
}

// leaderAddr returns the leader's address. It is empty if the leader is unknown or
// is this replica.
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

// notCommitted reports whether err proves that the submitted command was not
// committed.
func notCommitted(err error) bool {
	return errors.Is(err, repl.ErrNotLeader) || errors.Is(err, repl.ErrReplaced)
}
