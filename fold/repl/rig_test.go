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

// group runs replicas over a faulty network in virtual time, the same way for
// the same seed.
type group struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	timers  timer.Service
	servers map[string]*server
	vms     []string
	// cut holds the pairs of VMs, from and to, between which messages are lost.
	cut     map[[2]string]bool
	lossy   float64
	clients map[uint64]func(repl.Completion)
	ids     uint64
	joins   int
	every   int
}

// server is one VM with its disk and, while it is up, its replica.
type server struct {
	vm     string
	id     string
	disk   *disk
	rep    *repl.Replica
	frozen time.Time
	inbox  []raft.Message
}

// disk is what a replica has synced; nil when it was lost.
type disk struct {
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

func (d *disk) write(w repl.Write) {
	if w.HardState != nil {
		d.hard = *w.HardState
	}
	if w.Snapshot != nil {
		d.snapshot, d.entries = *w.Snapshot, nil
	}
	if len(w.Entries) == 0 {
		return
	}
	keep := int(w.Entries[0].Index - d.snapshot.Index - 1)
	d.entries = append(d.entries[:keep:keep], w.Entries...)
}

// newRig makes VMs without disks.
func newRig(t *testing.T, seed uint64, n, snapshotEvery int) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), every: snapshotEvery,
		servers: map[string]*server{}, cut: map[[2]string]bool{}, clients: map[uint64]func(repl.Completion){},
	}
	for i := range n {
		vm := fmt.Sprintf("vm%d", i+1)
		g.vms = append(g.vms, vm)
		g.servers[vm] = &server{vm: vm}
	}
	return g
}

func newGroup(t *testing.T, seed uint64, n, snapshotEvery int) *group {
	g := newRig(t, seed, n, snapshotEvery)
	first := g.servers[g.vms[0]]
	first.id = first.vm + "#1"
	boot := raft.Bootstrap(member(first))
	first.disk = &disk{hard: boot.HardState, snapshot: boot.Snapshot}
	for _, vm := range g.vms {
		g.start(vm)
		g.tick(vm)
	}
	g.runUntil(20*time.Second, func() bool { return g.voters() == n })
	if g.voters() != n {
		t.Fatalf("seed %d: %d of %d voters after the start", seed, g.voters(), n)
	}
	return g
}

func member(s *server) raft.Member {
	return raft.Member{ID: s.id, VM: s.vm, Addr: netip.MustParseAddrPort("127.0.0.1:" + strings.TrimPrefix(s.vm, "vm"))}
}

func (g *group) after(d time.Duration, do func()) {
	g.timers.At(g.now.Add(d), func(time.Time) { do() })
}

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

// start brings a VM's process up from what its disk holds.
func (g *group) start(vm string) {
	s := g.servers[vm]
	if s.disk == nil {
		g.joins++
		s.id = fmt.Sprintf("%s#%d", vm, g.joins+1)
		s.disk = &disk{}
	}
	rep, err := repl.New(g.now, repl.Options{
		Raft:          raft.Options{ID: s.id, Random: rand.New(rand.NewPCG(g.random.Uint64(), 2))},
		SnapshotEvery: g.every,
	}, raft.PersistentState{HardState: s.disk.hard, Snapshot: s.disk.snapshot, Entries: slices.Clone(s.disk.entries)})
	if err != nil {
		g.t.Fatal(err)
	}
	s.rep = rep
}

// kill ends a VM's process; what was not synced is lost.
func (g *group) kill(vm string) {
	s := g.servers[vm]
	s.rep = nil
	s.inbox = nil
	s.frozen = time.Time{}
}

const tickInterval = 50 * time.Millisecond

func (g *group) tick(vm string) {
	g.after(tickInterval, func() { g.tick(vm) })
	s := g.servers[vm]
	if s.rep == nil || g.now.Before(s.frozen) {
		return
	}
	for _, m := range s.inbox {
		s.rep.Step(g.now, m)
	}
	s.inbox = nil
	s.rep.Tick(g.now)
	if s.rep.NeedsJoin(g.now) {
		g.join(s)
	}
	g.pump(s)
}

// join asks every VM that is reachable to take the replica in.
func (g *group) join(s *server) {
	for _, vm := range g.vms {
		o := g.servers[vm]
		if o.rep == nil || g.cut[[2]string{s.vm, vm}] || g.now.Before(o.frozen) {
			continue
		}
		if o.rep.Join(member(s)) == nil {
			g.pump(o)
			return
		}
	}
}

// pump carries out what a replica asks for.
func (g *group) pump(s *server) {
	for {
		out := s.rep.Output()
		if out.Write.Empty() && len(out.Messages) == 0 && len(out.Completions) == 0 {
			return
		}
		s.disk.write(out.Write)
		s.rep.Persisted(out.Write)
		for _, m := range out.Messages {
			g.deliver(s.vm, m)
		}
		for _, d := range out.Completions {
			g.finish(s, d)
		}
	}
}

func (g *group) deliver(from string, m raft.Message) {
	to := m.To[:len("vmN")]
	if g.cut[[2]string{from, to}] || g.random.Float64() < g.lossy {
		return
	}
	copies := 1
	if g.random.Float64() < g.lossy {
		copies = 2
	}
	for range copies {
		g.after(g.delay(), func() {
			s := g.servers[to]
			if s.rep == nil || s.id != m.To || g.cut[[2]string{from, to}] {
				return
			}
			if g.now.Before(s.frozen) {
				s.inbox = append(s.inbox, m)
				return
			}
			s.rep.Step(g.now, m)
			g.pump(s)
		})
	}
}

// delay is half a millisecond, now and then much more.
func (g *group) delay() time.Duration {
	d := 500*time.Microsecond + time.Duration(g.random.Int64N(int64(time.Millisecond)))
	if g.random.Float64() < g.lossy {
		d += time.Duration(g.random.Int64N(int64(3 * time.Second)))
	}
	return d
}

func (g *group) finish(s *server, d repl.Completion) {
	f := g.clients[d.ID]
	delete(g.clients, d.ID)
	if f != nil {
		f(d)
	}
}

// submit sends a command to a VM; done is called at most once.
func (g *group) submit(vm string, c state.Command, done func(*server, repl.Completion)) {
	s := g.servers[vm]
	if s.rep == nil || g.now.Before(s.frozen) {
		return
	}
	g.ids++
	id := g.ids
	g.clients[id] = func(d repl.Completion) { done(s, d) }
	s.rep.Submit(g.now, id, c)
	g.pump(s)
}

func (g *group) read(vm string, done func(*server, repl.Completion)) {
	s := g.servers[vm]
	if s.rep == nil || g.now.Before(s.frozen) {
		return
	}
	g.ids++
	id := g.ids
	g.clients[id] = func(d repl.Completion) { done(s, d) }
	s.rep.Read(id)
	g.pump(s)
}

func (g *group) leader() *server {
	for _, vm := range g.vms {
		if s := g.servers[vm]; s.rep != nil && s.rep.IsLeader() {
			return s
		}
	}
	return nil
}

// voters returns the number of voters that are up, as the leader sees it.
func (g *group) voters() int {
	l := g.leader()
	if l == nil {
		return 0
	}
	n := 0
	for _, m := range l.rep.Membership().Members {
		s := g.servers[m.VM]
		if m.Voter && s.rep != nil && s.id == m.ID {
			n++
		}
	}
	return n
}

// isolate cuts a VM from all others, in one or both directions.
func (g *group) isolate(vm string, in, out bool) {
	for _, o := range g.vms {
		if o == vm {
			continue
		}
		if in {
			g.cut[[2]string{o, vm}] = true
		}
		if out {
			g.cut[[2]string{vm, o}] = true
		}
	}
}

func (g *group) heal() { g.cut = map[[2]string]bool{} }
