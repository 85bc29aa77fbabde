package sched

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
)

// engine is the scheduler's view of one backend server.
type engine struct {
	info member.Backend
	// own holds the requests that this scheduler has at the backend server.
	own map[uint64]*item
	// held is the memory of own in tokens: prompts and what was generated.
	held int
	// load is the last report, which described the server at loadAt.
	load   member.Load
	loadAt time.Time
	// others is the part of the last report that is not own.
	others  member.Load
	history history
	step    learn.StepTime
	forecast
	health
	prefixes prefixes
	// prefill is the size of the own prompts without a first token yet.
	prefill int
	// gap is the tightest token gap of own as of the last forecast.
	gap time.Duration
}

func newEngine(now time.Time, b member.Backend) *engine {
	e := &engine{info: b, own: map[uint64]*item{}}
	e.health.begin(now)
	return e
}

// report takes a load report that is as old as lag.
func (e *engine) report(now time.Time, l member.Load, lag time.Duration) {
	at := now.Add(-lag)
	if at.Before(e.loadAt) {
		return
	}
	e.load = l
	e.loadAt = at
	then := e.history.at(at)
	e.others = member.Load{
		Running:    max(0, l.Running+l.Waiting-then.count),
		MemoryUsed: max(0, l.MemoryUsed-then.held),
	}
	e.step.Observe(l.Running, l.MemoryUsed, l.StepTime)
	e.forecast.valid = false
}

func (e *engine) start(now time.Time, it *item) {
	it.engine = e
	it.dispatched = now
	it.lastToken = now
	e.own[it.ID] = it
	e.held += it.PromptTokens
	e.prefill += it.PromptTokens
	e.history.record(now, len(e.own), e.held)
	e.forecast.add(it)
	e.health.started(now, len(e.own))
	e.prefixes.assume(now, it.Prefix)
}

func (e *engine) firstToken(it *item) { e.prefill -= it.PromptTokens }

func (e *engine) progress(now time.Time, it *item, generated int) {
	e.held += generated - it.generated
	it.generated = generated
	it.lastToken = now
	e.health.progressed(now)
	e.history.record(now, len(e.own), e.held)
}

func (e *engine) finish(now time.Time, it *item, r Result) {
	delete(e.own, it.ID)
	if it.generated == 0 {
		e.prefill -= it.PromptTokens
	}
	e.held -= it.PromptTokens + it.generated
	it.engine = nil
	e.history.record(now, len(e.own), e.held)
	e.forecast.valid = false
	e.health.finished(now, r)
}

// usable reports whether the request may go to the backend server at all.
func (e *engine) usable(it *item) bool {
	return !e.info.Leaving && it.PromptTokens < e.info.MemoryTokens && !slices.Contains(it.Avoid, e.info.ID)
}

// history remembers the own load of the last seconds, so that a late report
// can be split into own and others'. The zero value is empty.
type history struct {
	points [64]ownLoad
	// next is the place of the next point; the ring is full once it wraps.
	next int
}

type ownLoad struct {
	at    time.Time
	count int
	held  int
}

// historyStep is the time between two points.
const historyStep = 100 * time.Millisecond

func (h *history) record(now time.Time, count, held int) {
	last := &h.points[(h.next+len(h.points)-1)%len(h.points)]
	if now.Sub(last.at) < historyStep && !last.at.IsZero() {
		last.count, last.held = count, held
		return
	}
	h.points[h.next] = ownLoad{at: now, count: count, held: held}
	h.next = (h.next + 1) % len(h.points)
}

// at returns the own load at a time, the oldest known if that is later.
func (h *history) at(t time.Time) ownLoad {
	var best ownLoad
	for _, p := range h.points {
		if p.at.IsZero() || p.at.After(t) {
			continue
		}
		if p.at.After(best.at) || best.at.IsZero() {
			best = p
		}
	}
	return best
}
