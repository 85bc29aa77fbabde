// Package repl combines the replicated log of package raft and the state machine
// of package state into one replica of the control group. It does no input or
// output of its own: its owner sends messages, writes to the disk and passes in
// the time.
package repl

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/state"
)

// ErrNotLeader is returned by a replica that is not the leader. Another replica
// may accept the command.
var ErrNotLeader = raft.ErrNotLeader

// ErrReplaced is returned for a command that will never be applied, because
// another leader has committed a different entry at its index.
var ErrReplaced = errors.New("command was replaced by another leader's")

// ErrTooLarge is returned for a command that is larger than state.MaxCommandBytes. It is
// not added to the log: a message to the other replicas could not hold it.
var ErrTooLarge = errors.New("command is too large")

// Defaults of Options.
const (
	// DefaultSnapshotEvery is the default number of log entries between snapshots.
	DefaultSnapshotEvery = 4096
	// DefaultSnapshotBytes is the default size in bytes of the log between snapshots.
	DefaultSnapshotBytes = 4 << 20
)

// recordBytes is an upper bound, in bytes, of what a record of the log takes on the disk
// besides its entries, and an entry besides its data.
const recordBytes = 64

// Options configures a Replica. A snapshot is taken once one of its limits is reached.
type Options struct {
	Raft raft.Options
	// SnapshotEvery is the number of log entries between snapshots. Zero means
	// DefaultSnapshotEvery.
	SnapshotEvery int
	// SnapshotBytes is the size in bytes of the log between snapshots, without entries
	// that are not applied yet. If the last snapshot is larger, its size is the limit.
	// Zero means DefaultSnapshotBytes.
	SnapshotBytes int
}

// Completion reports the result of a command, or that a read may be answered.
type Completion struct {
	ID     uint64
	Result state.Result
	// Err is set if the command or read failed. Result is then the zero value.
	Err error
}

// Write is the data that must be written and synced to the disk atomically. It either
// replaces all that was written before, or adds to it.
type Write struct {
	// Replace is the whole state of the replica: nothing that was written before is
	// kept. It is nil if the Write adds to the state on the disk. The other fields are
	// zero if it is set.
	Replace *raft.PersistentState
	// HardState replaces the hard state, unless it is nil.
	HardState *raft.HardState
	// Entries replace the log from the index of the first of them on.
	Entries []raft.Entry
}

// Empty reports whether there is nothing to write.
func (w Write) Empty() bool { return w.Replace == nil && w.HardState == nil && len(w.Entries) == 0 }

// lastEntry returns the last entry that is written, and false if there is none.
func (w Write) lastEntry() (raft.Entry, bool) {
	entries := w.Entries
	if w.Replace != nil {
		entries = w.Replace.Entries
	}
	if len(entries) == 0 {
		return raft.Entry{}, false
	}
	return entries[len(entries)-1], true
}

// Output is the work that a Replica hands to its owner, to be done in the order
// of the fields.
type Output struct {
	Write       Write
	Messages    []raft.Message
	Completions []Completion
	// Events and Changes are for the log.
	Events  []raft.Event
	Changes []MemberChange
}

// Empty reports whether there is no work.
func (o Output) Empty() bool {
	return o.Write.Empty() && len(o.Messages) == 0 && len(o.Completions) == 0 && len(o.Events) == 0 && len(o.Changes) == 0
}

// pendingCommand is a command in the log that has not completed yet.
type pendingCommand struct {
	id   uint64
	term uint64
}

// Replica is one replica of the control group. Create it with New. It is not
// safe for concurrent use.
type Replica struct {
	opts    Options
	node    *raft.Node
	machine state.Machine
	// applied is the index of the last entry applied to the machine.
	applied uint64
	// snapshotIndex is the index of the last entry that the snapshot covers, and
	// snapshotBytes the size of the snapshot in bytes.
	snapshotIndex uint64
	snapshotBytes int
	// logBytes is the size in bytes of the log on the disk without the entries that are
	// not applied yet, which is what the next snapshot discards.
	logBytes int
	// pending holds the commands proposed on this replica, by log index.
	pending map[uint64]pendingCommand
	// reads holds the confirmed reads whose index is not applied yet.
	reads       []raft.Read
	completions []Completion
	// changes holds the changes of the membership that Output has not returned yet.
	changes []MemberChange
	// lastSubmit is when the last command was proposed on this replica, in term
	// lastSubmitTerm.
	lastSubmit     time.Time
	lastSubmitTerm uint64
	// lastLeaderSeen is the last tick at which a leader was known, or the time
	// of the start.
	lastLeaderSeen time.Time
	// previousLeader is the other replica that led last, as far as this one knows.
	previousLeader contact
}

// contact is when a replica was last heard of.
type contact struct {
	id string
	at time.Time
}

// New returns a replica that continues from the state restored from its disk.
func New(now time.Time, o Options, restored raft.PersistentState) (*Replica, error) {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	p := &Replica{opts: o, node: raft.New(now, o.Raft, restored), pending: map[uint64]pendingCommand{}, lastLeaderSeen: now}
	if err := p.machine.Restore(restored.Snapshot.Data); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	p.applied = restored.Snapshot.Index
	p.noteSnapshot(restored.Snapshot)
	return p, nil
}

// Machine returns the state machine with the entries applied on this replica. The
// caller must not modify it.
func (p *Replica) Machine() *state.Machine { return &p.machine }

// IsLeader reports whether the replica is the leader.
func (p *Replica) IsLeader() bool { return p.node.Role() == raft.Leader }

// Leader returns the leader, or false if it is unknown.
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

// HardState returns the current term and vote.
func (p *Replica) HardState() raft.HardState { return p.node.HardState() }

// Tick advances the replica's time. The leader also repairs the membership.
func (p *Replica) Tick(now time.Time) {
	p.node.Tick(now)
	if p.node.Leader() != "" {
		p.lastLeaderSeen = now
	}
	if p.IsLeader() {
		p.repair(now)
	}
}

// NeedsJoin reports whether the replica must ask to join the group: it is not a
// member, or it has had no leader for so long that it may have been removed.
func (p *Replica) NeedsJoin(now time.Time) bool {
	_, isMember := p.Membership().Get(p.opts.Raft.ID)
	return !isMember || now.Sub(p.lastLeaderSeen) >= noLeaderTimeout
}

// Due returns the time at which Tick has work to do next.
func (p *Replica) Due() time.Time { return p.node.Due() }

// Step handles a message from another replica.
func (p *Replica) Step(now time.Time, m raft.Message) {
	p.node.Step(now, m)
	if m.From == p.node.Leader() || m.From == p.previousLeader.id {
		p.previousLeader = contact{id: m.From, at: now}
	}
}

// DeliveryFailed reports that entries or a snapshot for another replica were lost on the way.
func (p *Replica) DeliveryFailed(id string) { p.node.DeliveryFailed(id) }

// Submit proposes a command. Output returns its Completion under the given ID,
// if this replica learns the outcome. There is none for a command whose entry is
// covered by a snapshot from another leader.
func (p *Replica) Submit(now time.Time, id uint64, c state.Command) {
	p.setElapsed(now, &c)
	data, err := encodeCommand(c)
	if err != nil {
		p.completions = append(p.completions, Completion{ID: id, Err: fmt.Errorf("encode command: %w", err)})
		return
	}
	index, term, err := p.node.Propose(data)
	if err != nil {
		p.completions = append(p.completions, Completion{ID: id, Err: err})
		return
	}
	p.pending[index] = pendingCommand{id: id, term: term}
}

// LogEvacuations returns the set of evacuated failure domains after all commands of the log, also
// those that are not committed yet. A command that the leader proposes now finds this set, if it
// is ever committed.
func (p *Replica) LogEvacuations() evac.Set {
	set := p.machine.Evacuations()
	for _, e := range p.node.LogAfter(p.applied) {
		if e.Kind == raft.KindCommand {
			set = state.EvacuationsAfter(set, e.Data)
		}
	}
	return set
}

// encodeCommand returns an encoded command, or an error that wraps ErrTooLarge.
func encodeCommand(c state.Command) ([]byte, error) {
	if s := c.Settle; s != nil && s.Answer != nil && len(s.Answer.Body) > state.MaxAnswerBytes {
		// The state would not keep the answer.
		c.Settle = &state.Settle{Workspace: s.Workspace, Key: s.Key, Nonce: s.Nonce, Unknown: true}
	}
	data, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(data) > state.MaxCommandBytes {
		return nil, fmt.Errorf("%d bytes, want at most %d: %w", len(data), state.MaxCommandBytes, ErrTooLarge)
	}
	return data, nil
}

// setElapsed sets c.Elapsed to the time since the previous command proposed on
// this replica in the same term. It is zero for the first command of a term.
func (p *Replica) setElapsed(now time.Time, c *state.Command) {
	if p.lastSubmitTerm == p.node.Term() {
		c.Elapsed = now.Sub(p.lastSubmit)
	}
	p.lastSubmit = now
	p.lastSubmitTerm = p.node.Term()
}

// Read starts a linearizable read. Once Output returns a Completion with its ID
// and without an error, the read is answered from Machine.
func (p *Replica) Read(id uint64) { p.node.ReadIndex(id) }

// Output returns the pending work. Each item is returned once.
func (p *Replica) Output() Output {
	p.node.Flush()
	r := p.node.Ready()
	out := Output{Messages: r.Messages, Events: r.Events, Write: Write{HardState: r.HardState, Entries: r.Entries}}
	if r.Snapshot != nil {
		out.Write = p.replaceAll(*r.Snapshot)
		p.install(r.Snapshot)
	}
	if !out.Write.Empty() {
		p.logBytes += recordBytes
	}
	for _, e := range r.Committed {
		p.apply(e)
	}
	for _, id := range r.FailedReads {
		p.completions = append(p.completions, Completion{ID: id, Err: ErrNotLeader})
	}
	p.reads = append(p.reads, r.Reads...)
	p.completeReads()
	p.compact(&out.Write)
	out.Completions, p.completions = p.completions, nil
	out.Changes, p.changes = p.changes, nil
	return out
}

// Persisted reports that a Write is synced.
func (p *Replica) Persisted(w Write) {
	if last, ok := w.lastEntry(); ok {
		p.node.Persisted(last.Index, last.Term)
	}
}

// install replaces the state by a snapshot from the leader.
func (p *Replica) install(s *raft.Snapshot) {
	if err := p.machine.Restore(s.Data); err != nil {
		panic(fmt.Sprintf("repl: restore snapshot %d from the leader: %v", s.Index, err))
	}
	p.applied = s.Index
	p.noteSnapshot(*s)
	// The snapshot does not show whether pending commands up to its index were
	// applied, so they get no Completion.
	for index := range p.pending {
		if index <= s.Index {
			delete(p.pending, index)
		}
	}
}

// apply applies a committed entry and completes the command that was proposed at
// its index, if there is one.
func (p *Replica) apply(e raft.Entry) {
	p.applied = e.Index
	p.logBytes += recordBytes + len(e.Data)
	var result state.Result
	if e.Kind == raft.KindCommand {
		result = p.machine.Apply(e.Data)
	}
	cmd, ok := p.pending[e.Index]
	if !ok {
		return
	}
	delete(p.pending, e.Index)
	if cmd.term != e.Term {
		p.completions = append(p.completions, Completion{ID: cmd.id, Err: ErrReplaced})
		return
	}
	p.completions = append(p.completions, Completion{ID: cmd.id, Result: result})
}

// completeReads completes the reads whose index is applied.
func (p *Replica) completeReads() {
	waiting := p.reads[:0]
	for _, r := range p.reads {
		if r.Index > p.applied {
			waiting = append(waiting, r)
			continue
		}
		p.completions = append(p.completions, Completion{ID: r.ID})
	}
	p.reads = waiting
}

// compact replaces the log by a snapshot once one is due, and sets w to write both.
func (p *Replica) compact(w *Write) {
	if !p.snapshotDue() {
		return
	}
	data, err := p.machine.Snapshot()
	if err != nil {
		panic(fmt.Sprintf("repl: take snapshot: %v", err))
	}
	s, ok := p.node.Compact(p.applied, data)
	if !ok {
		return
	}
	p.noteSnapshot(s)
	*w = p.replaceAll(s)
}

// snapshotDue reports whether the log has reached one of its limits, and a snapshot would
// shorten it.
func (p *Replica) snapshotDue() bool {
	if p.applied <= p.snapshotIndex {
		return false
	}
	return p.node.LogSize() >= p.opts.SnapshotEvery || p.logBytes >= max(p.opts.SnapshotBytes, p.snapshotBytes)
}

// noteSnapshot records that s is the last snapshot, and that the log begins anew after it.
func (p *Replica) noteSnapshot(s raft.Snapshot) {
	p.snapshotIndex, p.snapshotBytes, p.logBytes = s.Index, len(s.Data), 0
}

// replaceAll returns the Write that replaces the state on the disk by the snapshot s, the
// log after it and the current hard state.
func (p *Replica) replaceAll(s raft.Snapshot) Write {
	return Write{Replace: &raft.PersistentState{HardState: p.node.HardState(), Snapshot: s, Entries: p.node.Log()}}
}
