package soak

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/anishathalye/porcupine"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/wire"
)

const (
	// applyTimeout bounds one call that applies a configuration.
	applyTimeout = 3 * time.Second
	// changeGap is the longest pause of an operator between two changes.
	changeGap = time.Second
	// inForceBound is the time in which an accepted configuration must be in force at
	// every VM that is left alone.
	inForceBound = 5 * time.Second
	// watchInterval is the time between two looks at a VM.
	watchInterval = 200 * time.Millisecond
	// historyTimeout bounds the check of the history.
	historyTimeout = 30 * time.Second
)

// change is a change of the configuration. Its name is that of a class that nobody uses, and
// pad the size in bytes of a comment that hardly compresses.
type change struct {
	name string
	pad  int
	// old is set if a program of a version without the newer settings may read the document.
	old bool
}

// document returns the configuration of a soak.
func (c change) document() []byte {
	pad := make([]byte, c.pad/2)
	rand.NewChaCha8(sha256.Sum256([]byte(c.name))).Read(pad)
	resumable := `, "resumable": true, "attempts": 2`
	coldStart := fmt.Sprintf(`, "coldStart": {"rate": %d, "duration": %q}`, coldRate, coldTime)
	if c.old {
		resumable, coldStart = "", ""
	}
	return fmt.Appendf(nil, `{ // %x
		"classes": [{"name": "summary", "target": {"firstToken": "5s", "tokenGap": "200ms"}}, {"name": %q, "target": {"completion": "1h"}}],
		"services": [
			{"name": %q, "kind": "engine", "models": [%q]},
			{"name": %q, "kind": "plain"},
			{"name": %q, "kind": "plain", "engine": {"slots": 16, "memoryTokens": 100000, "eventTokens": 4}},
			{"name": %q, "kind": "plain"},
			{"name": %q, "kind": "plain", "engine": {"slots": 16, "memoryTokens": 100000, "eventTokens": 4}},
			{"name": %q, "kind": "plain"%s},
		],
		"routes": [{"path": "/remind", "methods": ["POST"], "service": %q, "idempotent": false, "timeout": "2s"}],
		"forwards": [
			{"name": "draft", "host": %q, "prefix": "/draft/", "kind": "stream", "timeout": "10s", "services": [{"service": %q, "part": 1}]},
			{"name": "write", "host": %q, "prefix": "/write/", "kind": "unsafe", "timeout": "2s", "services": [{"service": %q, "part": 1}]},
			{"name": "lookup", "host": %q, "prefix": "/lookup/", "kind": "unsafe", "timeout": "2s", "services": [{"service": %q, "part": 1}]},
			{"name": "note", "host": %q, "prefix": "/note/", "kind": "stream", "timeout": "10s"%s, "services": [{"service": %q, "part": 1}]},
		],
		"workspaces": [{"name": "w", "keySHA256": %q}],
	}`, pad, c.name, serviceEngines, modelName, serviceOnce, serviceDrafts, serviceWrites, serviceNotes, serviceCold, coldStart, serviceOnce,
		forwardHost, serviceDrafts, forwardHost, serviceWrites, forwardHost, serviceCold, forwardHost, resumable, serviceNotes, spec.HashKey(workspaceKey))
}

// applyInput and applyOutput are an operation of the history of changes.
type applyInput struct{ base uint64 }

type applyOutput struct {
	// unknown is set if no VM gave a clear answer: the change may or may not be made.
	unknown  bool
	conflict bool
	revision uint64
}

// configModel is the sequential specification: one server that accepts a change on its
// newest revision, and nothing else. first is the revision at the start.
func configModel(first uint64) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{first} },
		Step: func(state, input, output any) []any {
			revision, in, out := state.(uint64), input.(applyInput), output.(applyOutput)
			accepted := in.base == revision
			switch {
			case out.unknown && accepted:
				return []any{revision, revision + 1}
			case out.unknown, out.conflict && !accepted:
				return []any{revision}
			case !out.conflict && accepted && out.revision == revision+1:
				return []any{revision + 1}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// operators changes the configuration and watches what is in force.
type operators struct {
	world    *world
	findings *findings

	mu      sync.Mutex
	history []porcupine.Operation
	// accepted holds when each revision was accepted.
	accepted map[uint64]time.Time
}

// newest returns the newest revision accepted before a time.
func (o *operators) newest(before time.Time) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := uint64(0)
	for revision, at := range o.accepted {
		if at.Before(before) {
			newest = max(newest, revision)
		}
	}
	return newest
}

// change makes changes until ctx ends. Operators race with each other.
func (o *operators) change(ctx context.Context, operator int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(operator)))
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.Float64()*float64(changeGap)))
		vm := r.IntN(len(o.world.vms))
		status, err := o.world.vms[vm].status(ctx)
		if err != nil {
			continue
		}
		o.apply(ctx, operator, vm, status.GetSelf().GetConfigRevision(), change{name: fmt.Sprintf("op%d-%d", operator, n)})
	}
}

// apply sends a change to one VM after another until one gives a clear answer, or ctx
// ends, and adds it to the history. It returns the answer.
func (o *operators) apply(ctx context.Context, operator, vm int, base uint64, c change) applyOutput {
	op := porcupine.Operation{ClientId: operator, Input: applyInput{base: base}, Call: time.Now().UnixNano(), Return: math.MaxInt64}
	out := applyOutput{unknown: true}
	for i := 0; ctx.Err() == nil; i++ {
		res, err := o.applyAt(ctx, o.world.vms[(vm+i)%len(o.world.vms)], base, c)
		if err == nil {
			out = applyOutput{conflict: res.GetConflict(), revision: res.GetRevision()}
			op.Return = time.Now().UnixNano()
			break
		}
		sleep(ctx, 50*time.Millisecond)
	}
	op.Output = out
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, op)
	if !out.unknown && !out.conflict {
		o.accepted[out.revision] = time.Now()
	}
	return out
}

func (o *operators) applyAt(ctx context.Context, v *vm, base uint64, c change) (*wire.ApplyResponse, error) {
	c.old = o.world.old != ""
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	res, err := v.client.Apply(ctx, connect.NewRequest(&wire.ApplyRequest{BaseRevision: base, ChangeId: c.name, Document: c.document()}))
	if err != nil {
		return nil, fmt.Errorf("apply at %s: %w", v.id, err)
	}
	return res.Msg, nil
}

// checkHistory checks the history of changes against the model.
func (o *operators) checkHistory(first uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch porcupine.CheckOperationsTimeout(configModel(first), o.history, historyTimeout) {
	case porcupine.Illegal:
		o.findings.add(ConfigHistory, "", "%d changes have no order in which one server would have answered so", len(o.history))
	case porcupine.Unknown:
		o.findings.add(ConfigHistory, "", "%d changes could not be checked within %v", len(o.history), historyTimeout)
	}
}

func (o *operators) quorumSince(t time.Time) bool { return o.world.quorumSince(t) }

// quorumSince reports whether all control VMs but one were left alone since a time. Without
// a quorum, a VM that has started again can't know what was accepted.
func (w *world) quorumSince(t time.Time) bool {
	calm := 0
	for _, v := range w.vms[:min(controlCount, len(w.vms))] {
		if v.calmSince(t) {
			calm++
		}
	}
	return calm >= controlCount-1
}

// watcher checks what one VM shows of its configuration.
type watcher struct {
	operators *operators
	vm        *vm
	// incarnation and revision are those of the last look.
	incarnation int
	revision    uint64
	// setVersion is the version of the set of evacuated domains of the last look.
	setVersion uint64
}

func (o *operators) watch(ctx context.Context, v *vm) {
	w := watcher{operators: o, vm: v}
	for ctx.Err() == nil {
		began := time.Now()
		incarnation := v.currentIncarnation()
		status, err := v.status(ctx)
		if err == nil && incarnation == v.currentIncarnation() {
			w.checkEvacuations(began, incarnation, status.GetEvacuations())
			w.check(began, incarnation, status.GetSelf().GetConfigRevision())
		}
		sleep(ctx, watchInterval)
	}
}

// check checks a revision that was read at a time from an incarnation of the VM.
func (w *watcher) check(at time.Time, incarnation int, revision uint64) {
	o := w.operators
	if incarnation == w.incarnation && revision < w.revision {
		o.findings.add(ConfigForward, "", "%s went back from revision %d to %d", w.vm.id, w.revision, revision)
	}
	w.incarnation, w.revision = incarnation, revision
	since := at.Add(-inForceBound)
	if want := o.newest(since); revision < want && w.vm.calmSince(since) && o.quorumSince(since) {
		o.findings.add(ConfigForward, "", "%s has revision %d in force %v after %d was accepted", w.vm.id, revision, inForceBound, want)
	}
}
