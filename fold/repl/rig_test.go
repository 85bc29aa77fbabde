package repl_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/fold/timer"
)

// group runs replicas over an unreliable network in virtual time. Runs with the
// same seed are identical.
type group struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	timers  timer.Service
	servers map[string]*server
	vms     []string
	// blocked holds the pairs of VMs (sender, receiver) between which all
	// messages are lost.
	blocked          map[[2]string]bool
	faultRate        float64
	callbacks        map[uint64]func(repl.Completion)
	lastID           uint64
	newDisks         int
	snapshotInterval int
	// spreadTicks makes the VMs tick independently of each other, instead of at the same
	// times.
	spreadTicks bool
	// leaders holds the ID of the replica that led in each term.
	leaders map[uint64]string
}

// server is one VM. disk is nil if it was lost or never existed, and replica is
// nil while the VM is down. Until frozenUntil the replica does not run, and
// messages collect in inbox.
type server struct {
	vm          string
	id          string
	disk        *disk
	replica     *repl.Replica
	frozenUntil time.Time
	inbox       []raft.Message
	// crash says when the VM is killed by itself.
	crash crashPoint
	// promised is the hard state when the replica last sent messages.
	promised raft.HardState
}

// crashPoint is a moment of a write to the disk.
type crashPoint int

const (
	noCrash crashPoint = iota
	// beforeWrite: the next write is lost with what follows it.
	beforeWrite
	// afterWrite: the next write is synced, and what follows it is lost.
	afterWrite
)

// disk holds the synced state of a replica. A Write survives whole or not at all, as in a
// data folder of package store.
type disk struct{ state raft.PersistentState }

// write applies a Write atomically.
func (d *disk) write(w repl.Write) {
	if w.Replace != nil {
		d.state = *w.Replace
		return
	}
	if w.HardState != nil {
		d.state.HardState = *w.HardState
	}
	if len(w.Entries) == 0 {
		return
	}
	keep := int(w.Entries[0].Index - d.state.Snapshot.Index - 1)
	d.state.Entries = append(d.state.Entries[:keep:keep], w.Entries...)
}

// restore returns what a replica that starts reads.
func (d *disk) restore() raft.PersistentState {
	restored := d.state
	restored.Entries = slices.Clone(d.state.Entries)
	return restored
}

// newEmptyGroup returns a group of n VMs that have no disks and are down.
func newEmptyGroup(t *testing.T, seed uint64, n, snapshotEvery int) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), snapshotInterval: snapshotEvery,
		servers: map[string]*server{}, blocked: map[[2]string]bool{}, callbacks: map[uint64]func(repl.Completion){},
		leaders: map[uint64]string{},
	}
	for i := range n {
		vm := fmt.Sprintf("vm%d", i+1)
		g.vms = append(g.vms, vm)
		g.servers[vm] = &server{vm: vm}
	}
	return g
}

// newGroup bootstraps a group on the first of n VMs, and returns it once all of
// them have joined as voters.
func newGroup(t *testing.T, seed uint64, n, snapshotEvery int) *group {
	g := newEmptyGroup(t, seed, n, snapshotEvery)
	first := g.servers[g.vms[0]]
	first.id = first.vm + "#1"
	boot := raft.Bootstrap(member(first))
	first.disk = &disk{boot}
	for _, vm := range g.vms {
		g.start(vm)
		g.tick(vm)
	}
	g.runUntil(20*time.Second, func() bool { return g.liveVoters() == n })
	if g.liveVoters() != n {
		t.Fatalf("seed %d: %d live voters after the start, want %d", seed, g.liveVoters(), n)
	}
	return g
}

// member returns the server's replica as a member without a vote.
func member(s *server) raft.Member {
	return raft.Member{ID: s.id, VM: s.vm, Addr: netip.MustParseAddrPort("127.0.0.1:" + strings.TrimPrefix(s.vm, "vm"))}
}

// after calls do once d has passed.
func (g *group) after(d time.Duration, do func()) {
	g.timers.At(g.now.Add(d), func(time.Time) { do() })
}

// runUntil advances the time by limit, or less if stop returns true earlier. A
// nil stop never does.
func (g *group) runUntil(limit time.Duration, stop func() bool) {
	end := g.now.Add(limit)
	for {
		if stop != nil && stop() {
			return
		}
		next, ok := g.timers.Next()
		if !ok || next.After(end) {
			break
		}
		g.now = next
		g.timers.Advance(next)
	}
	g.now = end
}

// start starts a VM's replica from its disk. A VM without a disk gets an empty
// one with a new ID.
func (g *group) start(vm string) {
	s := g.servers[vm]
	if s.disk == nil {
		g.newDisks++
		s.id = fmt.Sprintf("%s#%d", vm, g.newDisks+1)
		s.disk = &disk{}
		s.promised = raft.HardState{}
	}
	rep, err := repl.New(g.now, repl.Options{
		Raft:          raft.Options{ID: s.id, Random: rand.New(rand.NewPCG(g.random.Uint64(), 2))},
		SnapshotEvery: g.snapshotInterval,
	}, s.disk.restore())
	if err != nil {
		g.t.Fatal(err)
	}
	s.replica = rep
	g.checkPromise(s)
}

// checkPromise fails the test if a replica that starts has forgotten its term or its vote.
func (g *group) checkPromise(s *server) {
	h, promised := s.replica.HardState(), s.promised
	if h.Term < promised.Term || (h.Term == promised.Term && promised.Vote != "" && h.Vote != promised.Vote) {
		g.t.Errorf("%s starts with %+v, but it has sent messages with %+v", s.id, h, promised)
	}
}

// checkLeader fails the test if two replicas lead in the same term.
func (g *group) checkLeader(s *server) {
	if !s.replica.IsLeader() {
		return
	}
	term := s.replica.Term()
	if other, ok := g.leaders[term]; ok && other != s.id {
		g.t.Errorf("%s and %s both lead in term %d", other, s.id, term)
	}
	g.leaders[term] = s.id
}

// kill stops a VM's replica, which loses all state that is not on its disk.
func (g *group) kill(vm string) {
	s := g.servers[vm]
	s.replica = nil
	s.crash = noCrash
	s.inbox = nil
	s.frozenUntil = time.Time{}
}

const tickInterval = 50 * time.Millisecond

// tick delivers the messages that arrived while the VM was frozen, ticks its
// replica, and schedules the next tick.
func (g *group) tick(vm string) {
	next := tickInterval
	if g.spreadTicks {
		next -= time.Duration(g.random.Int64N(int64(tickInterval)))
	}
	g.after(next, func() { g.tick(vm) })
	s := g.servers[vm]
	if s.replica == nil || g.now.Before(s.frozenUntil) {
		return
	}
	for _, m := range s.inbox {
		s.replica.Step(g.now, m)
	}
	s.inbox = nil
	s.replica.Tick(g.now)
	if s.replica.NeedsJoin(g.now) {
		g.join(s)
	}
	g.processOutput(s)
}

// join asks the reachable VMs, one after the other, to let the replica join,
// until one of them accepts.
func (g *group) join(s *server) {
	for _, vm := range g.vms {
		o := g.servers[vm]
		if o.replica == nil || g.blocked[[2]string{s.vm, vm}] || g.now.Before(o.frozenUntil) {
			continue
		}
		if o.replica.Join(member(s)) == nil {
			g.processOutput(o)
			return
		}
	}
}

// processOutput writes, sends and completes what a replica outputs, until there
// is nothing left.
func (g *group) processOutput(s *server) {
	for {
		out := s.replica.Output()
		if out.Empty() {
			return
		}
		for _, e := range out.Events {
			if e.Kind.Violation() {
				g.t.Errorf("%s: %v: %+v", s.id, e.Kind, e)
			}
		}
		if !out.Write.Empty() && !g.write(s, out.Write) {
			return
		}
		g.checkLeader(s)
		if len(out.Messages) > 0 {
			s.promised = s.replica.HardState()
		}
		for _, m := range out.Messages {
			g.send(s.vm, m)
		}
		for _, d := range out.Completions {
			g.complete(s, d)
		}
	}
}

// write writes to a VM's disk, and reports whether the VM has survived that.
func (g *group) write(s *server, w repl.Write) bool {
	crash := s.crash
	if crash != beforeWrite {
		s.disk.write(w)
	}
	if crash != noCrash {
		g.kill(s.vm)
		return false
	}
	s.replica.Persisted(w)
	return true
}

// send delivers a message after a delay. Depending on faultRate, it may lose or
// duplicate it.
func (g *group) send(from string, m raft.Message) {
	to := m.To[:len("vmN")]
	if g.blocked[[2]string{from, to}] || g.random.Float64() < g.faultRate {
		return
	}
	copies := 1
	if g.random.Float64() < g.faultRate {
		copies = 2
	}
	for range copies {
		g.after(g.delay(), func() {
			s := g.servers[to]
			if s.replica == nil || s.id != m.To || g.blocked[[2]string{from, to}] {
				return
			}
			if g.now.Before(s.frozenUntil) {
				s.inbox = append(s.inbox, m)
				return
			}
			s.replica.Step(g.now, m)
			g.processOutput(s)
		})
	}
}

// delay returns a random delay of 0.5 to 1.5 ms, or up to 3 s more with a
// probability of faultRate.
func (g *group) delay() time.Duration {
	d := 500*time.Microsecond + time.Duration(g.random.Int64N(int64(time.Millisecond)))
	if g.random.Float64() < g.faultRate {
		d += time.Duration(g.random.Int64N(int64(3 * time.Second)))
	}
	return d
}

// complete passes a completion to the operation's callback, at most once.
func (g *group) complete(s *server, d repl.Completion) {
	f := g.callbacks[d.ID]
	delete(g.callbacks, d.ID)
	if f != nil {
		f(d)
	}
}

// submit sends a command to a VM. It calls done at most once, and never if the
// VM is down or frozen.
func (g *group) submit(vm string, c state.Command, done func(*server, repl.Completion)) {
	s := g.servers[vm]
	if s.replica == nil || g.now.Before(s.frozenUntil) {
		return
	}
	g.lastID++
	id := g.lastID
	g.callbacks[id] = func(d repl.Completion) { done(s, d) }
	s.replica.Submit(g.now, id, c)
	g.processOutput(s)
}

// read starts a read on a VM. It calls done like submit.
func (g *group) read(vm string, done func(*server, repl.Completion)) {
	s := g.servers[vm]
	if s.replica == nil || g.now.Before(s.frozenUntil) {
		return
	}
	g.lastID++
	id := g.lastID
	g.callbacks[id] = func(d repl.Completion) { done(s, d) }
	s.replica.Read(id)
	g.processOutput(s)
}

// leader returns the first VM that regards itself as the leader, or nil.
func (g *group) leader() *server {
	for _, vm := range g.vms {
		if s := g.servers[vm]; s.replica != nil && s.replica.IsLeader() {
			return s
		}
	}
	return nil
}

// liveVoters returns the number of voters in the leader's membership whose VM is
// up, or zero without a leader.
func (g *group) liveVoters() int {
	l := g.leader()
	if l == nil {
		return 0
	}
	n := 0
	for _, m := range l.replica.Membership().Members {
		s := g.servers[m.VM]
		if m.Voter && s.replica != nil && s.id == m.ID {
			n++
		}
	}
	return n
}

// isolate blocks the messages from all other VMs to a VM (in), from it to them
// (out), or both.
func (g *group) isolate(vm string, in, out bool) {
	for _, o := range g.vms {
		if o == vm {
			continue
		}
		if in {
			g.blocked[[2]string{o, vm}] = true
		}
		if out {
			g.blocked[[2]string{vm, o}] = true
		}
	}
}

// heal removes all partitions.
func (g *group) heal() { g.blocked = map[[2]string]bool{} }
