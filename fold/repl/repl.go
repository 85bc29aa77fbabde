// Package repl joins the replicated log and the state machine into one
// replica of the control part, without input or output. Its owner carries
// messages, writes to the disk and tells the time.
package repl

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/state"
)

// ErrNotLeader is returned by the replica that can't decide; another one may.
var ErrNotLeader = raft.ErrNotLeader

// ErrReplaced is returned for a command that is proved never to be applied.
var ErrReplaced = errors.New("command was replaced by another leader's")

// DefaultSnapshotEvery is the number of log entries between snapshots.
const DefaultSnapshotEvery = 4096

// Options describes a Replica.
type Options struct {
	Raft raft.Options
	// SnapshotEvery takes DefaultSnapshotEvery when zero.
	SnapshotEvery int
}

// Completion is the end of a command or a read.
type Completion struct {
	ID     uint64
	Result state.Result
	// Err is set when there is no result.
	Err error
}

// Write is what has to be synced to the disk at once, all or nothing.
type Write struct {
	HardState *raft.HardState
	// Snapshot replaces all that was written before; Entries are then the
	// whole log after it.
	Snapshot *raft.Snapshot
	Entries  []raft.Entry
}

// Empty reports whether there is nothing to write.
func (w Write) Empty() bool { return w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0 }

// Output is what a Replica asks its owner to do, in the order of the fields.
type Output struct {
	Write       Write
	Messages    []raft.Message
	Completions []Completion
}

// waiting is a command that is in the log and not yet decided.
type waiting struct {
	id   uint64
	term uint64
}

// Replica is one replica. Make it with New. It is not safe for concurrent use.
type Replica struct {
	opts    Options
	node    *raft.Node
	hard    raft.HardState
	machine state.Machine
	// applied is the last entry that the machine has taken.
	applied uint64
	// waiting holds the commands proposed here by their log index.
	waiting map[uint64]waiting
	// reads holds the reads that wait for their index to be applied.
	reads []raft.Read
	done  []Completion
	// stamped is when the last command of term stampTerm was proposed here.
	stamped   time.Time
	stampTerm uint64
	// led is when the replica last knew a leader, or started.
	led time.Time
}

// New returns a replica that goes on from what its disk holds.
func New(now time.Time, o Options, r raft.PersistentState) (*Replica, error) {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	p := &Replica{opts: o, node: raft.New(now, o.Raft, r), hard: r.HardState, waiting: map[uint64]waiting{}, led: now}
	if err := p.machine.Restore(r.Snapshot.Data); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	p.applied = r.Snapshot.Index
	return p, nil
}

// Machine returns the state as it is applied here. It is read-only.
func (p *Replica) Machine() *state.Machine { return &p.machine }

// IsLeader reports whether the replica is the leader.
func (p *Replica) IsLeader() bool { return p.node.Role() == raft.Leader }

// Leader returns the leader, if it is known.
func (p *Replica) Leader() (raft.Member, bool) {
	return p.node.Membership().Get(p.node.Leader())
}

// Membership returns the membership in force.
func (p *Replica) Membership() raft.Membership { return p.node.Membership() }

// MembershipIndex returns the log index of the membership in force.
func (p *Replica) MembershipIndex() uint64 { return p.node.MembershipIndex() }

// LastIndex returns the index of the last entry of the log.
func (p *Replica) LastIndex() uint64 { return p.node.LastIndex() }

// Term returns the current term.
func (p *Replica) Term() uint64 { return p.node.Term() }

// Tick tells the time.
func (p *Replica) Tick(now time.Time) {
	p.node.Tick(now)
	if p.node.Leader() != "" {
		p.led = now
	}
	if p.IsLeader() {
		p.repair()
	}
}

// NeedsJoin reports whether the replica has to ask to be taken in: it is no
// member, or it has heard no leader for so long that it may be one no longer.
func (p *Replica) NeedsJoin(now time.Time) bool {
	_, in := p.Membership().Get(p.opts.Raft.ID)
	return !in || now.Sub(p.led) >= leaderSilence
}

// Due returns when Tick has something to do next.
func (p *Replica) Due() time.Time { return p.node.Due() }

// Step takes a message from another replica.
func (p *Replica) Step(now time.Time, m raft.Message) { p.node.Step(now, m) }

// Submit proposes a command. Its end comes in Output.Done under the ID, if
// this replica learns of it.
func (p *Replica) Submit(now time.Time, id uint64, c state.Command) {
	p.stamp(now, &c)
	data, err := json.Marshal(c)
	if err != nil {
		p.done = append(p.done, Completion{ID: id, Err: fmt.Errorf("encode command: %w", err)})
		return
	}
	index, term, err := p.node.Propose(data)
	if err != nil {
		p.done = append(p.done, Completion{ID: id, Err: err})
		return
	}
	p.waiting[index] = waiting{id: id, term: term}
}

// stamp sets the time that passed here since the last command.
func (p *Replica) stamp(now time.Time, c *state.Command) {
	if p.stampTerm == p.node.Term() {
		c.Elapsed = now.Sub(p.stamped)
	}
	p.stamped = now
	p.stampTerm = p.node.Term()
}

// Read asks for a linearizable read; once its ID is done without an error the
// Machine shows the state to answer from.
func (p *Replica) Read(id uint64) { p.node.ReadIndex(id) }

// Output returns what has to be done.
func (p *Replica) Output() Output {
	p.node.Flush()
	r := p.node.Ready()
	out := Output{Messages: r.Messages, Write: Write{HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries}}
	if r.HardState != nil {
		p.hard = *r.HardState
	}
	if r.Snapshot != nil {
		p.install(r.Snapshot)
	}
	for _, e := range r.Committed {
		p.apply(e)
	}
	for _, id := range r.FailedReads {
		p.done = append(p.done, Completion{ID: id, Err: ErrNotLeader})
	}
	p.reads = append(p.reads, r.Reads...)
	p.answerReads()
	p.compact(&out.Write)
	out.Completions, p.done = p.done, nil
	return out
}

// Persisted says that a Write is synced.
func (p *Replica) Persisted(w Write) {
	if n := len(w.Entries); n > 0 {
		last := w.Entries[n-1]
		p.node.Persisted(last.Index, last.Term)
	}
}

func (p *Replica) install(s *raft.Snapshot) {
	if err := p.machine.Restore(s.Data); err != nil {
		panic(fmt.Sprintf("repl: snapshot %d of the leader: %v", s.Index, err))
	}
	p.applied = s.Index
	// Whether commands below the snapshot were applied is not known here.
	for index := range p.waiting {
		if index <= s.Index {
			delete(p.waiting, index)
		}
	}
}

func (p *Replica) apply(e raft.Entry) {
	p.applied = e.Index
	var result state.Result
	if e.Kind == raft.KindCommand {
		result = p.machine.Apply(e.Data)
	}
	w, ok := p.waiting[e.Index]
	if !ok {
		return
	}
	delete(p.waiting, e.Index)
	if w.term != e.Term {
		p.done = append(p.done, Completion{ID: w.id, Err: ErrReplaced})
		return
	}
	p.done = append(p.done, Completion{ID: w.id, Result: result})
}

func (p *Replica) answerReads() {
	keep := p.reads[:0]
	for _, r := range p.reads {
		if r.Index > p.applied {
			keep = append(keep, r)
			continue
		}
		p.done = append(p.done, Completion{ID: r.ID})
	}
	p.reads = keep
}

// compact replaces the log by a snapshot once it is long.
func (p *Replica) compact(w *Write) {
	if p.node.LogSize() < p.opts.SnapshotEvery {
		return
	}
	data, err := p.machine.Snapshot()
	if err != nil {
		panic(fmt.Sprintf("repl: %v", err))
	}
	s, ok := p.node.Compact(p.applied, data)
	if !ok {
		return
	}
	h := p.hard
	*w = Write{HardState: &h, Snapshot: &s, Entries: p.node.Log()}
}
