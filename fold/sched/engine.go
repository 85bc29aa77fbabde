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
	// evacuated is set while the server's failure domain is evacuated.
	evacuated bool
	// localRequests holds the requests that this scheduler has dispatched to
	// the backend server, by ID.
	localRequests map[uint64]*item
	// localTokens is the memory that localRequests use, in tokens: their
	// prompts plus the tokens generated so far.
	localTokens int
	// load is the latest load report; it describes the server as of loadAt.
	load   member.Load
	loadAt time.Time
	// otherLoad is the part of the latest report that localRequests don't
	// account for: the load from other schedulers.
	otherLoad member.Load
	history   history
	stepTime  learn.StepTime
	forecast
	health
	prefixCache prefixCache
	// prefillTokens is the total prompt size of the local requests that have
	// not generated a first token.
	prefillTokens int
	// tightestGap is the smallest token-gap target among localRequests as of
	// the last forecast; zero means that none has one.
	tightestGap time.Duration
}

func newEngine(now time.Time, b member.Backend) *engine {
	e := &engine{info: b, localRequests: map[uint64]*item{}}
	e.health.beginSlowStart(now)
	return e
}

// applyLoadReport applies a load report that describes the server as it was lag
// before now. A report older than the latest one is ignored.
func (e *engine) applyLoadReport(now time.Time, l member.Load, lag time.Duration) {
	at := now.Add(-lag)
	if at.Before(e.loadAt) {
		return
	}
	e.load = l
	e.loadAt = at
	past := e.history.at(at)
	e.otherLoad = member.Load{
		Running:    max(0, l.Running+l.Waiting-past.count),
		MemoryUsed: max(0, l.MemoryUsed-past.tokens),
	}
	e.stepTime.Observe(l.Running, l.MemoryUsed, l.StepTime)
	e.forecast.valid = false
}

func (e *engine) start(now time.Time, it *item) {
	it.engine = e
	it.dispatchedAt = now
	it.lastTokenAt = now
	e.localRequests[it.ID] = it
	e.localTokens += it.PromptTokens
	e.prefillTokens += it.PromptTokens
	e.history.record(now, len(e.localRequests), e.localTokens)
	e.forecast.add(it)
	e.health.started(now, len(e.localRequests))
	e.prefixCache.markCached(now, it.Prefix)
}

func (e *engine) recordFirstToken(it *item) { e.prefillTokens -= it.PromptTokens }

func (e *engine) recordProgress(now time.Time, it *item, generated int) {
	e.localTokens += generated - it.generated
	it.generated = generated
	it.lastTokenAt = now
	e.health.progressed(now)
	e.history.record(now, len(e.localRequests), e.localTokens)
}

func (e *engine) finish(now time.Time, it *item, r Result) {
	delete(e.localRequests, it.ID)
	if it.generated == 0 {
		e.prefillTokens -= it.PromptTokens
	}
	e.localTokens -= it.PromptTokens + it.generated
	it.engine = nil
	e.history.record(now, len(e.localRequests), e.localTokens)
	e.forecast.valid = false
	e.health.finished(now, r)
}

// usable reports whether the backend server can take the request at all: it is
// not leaving or evacuated, the prompt fits its memory and the request doesn't avoid it.
func (e *engine) usable(it *item) bool {
	return !e.info.Leaving && !e.evacuated && it.PromptTokens < e.info.MemoryTokens && !slices.Contains(it.Avoid, e.info.ID)
}

// history keeps the local load of the last seconds at one backend server. A
// load report describes an earlier time, so the local load of that time has to
// be subtracted from it to get the load from other schedulers. The zero value
// is empty.
type history struct {
	points [64]localLoad
	// next is the index of the next point to write in the ring buffer.
	next int
}

type localLoad struct {
	at     time.Time
	count  int
	tokens int
}

// historyInterval is the minimum time between two points; a later load within
// it overwrites the last point.
const historyInterval = 100 * time.Millisecond

func (h *history) record(now time.Time, count, tokens int) {
	last := &h.points[(h.next+len(h.points)-1)%len(h.points)]
	if now.Sub(last.at) < historyInterval && !last.at.IsZero() {
		last.count, last.tokens = count, tokens
		return
	}
	h.points[h.next] = localLoad{at: now, count: count, tokens: tokens}
	h.next = (h.next + 1) % len(h.points)
}

// at returns the latest recorded load that is not later than t, or the zero
// value if every point is later.
func (h *history) at(t time.Time) localLoad {
	var latest localLoad
	for _, p := range h.points {
		if p.at.IsZero() || p.at.After(t) {
			continue
		}
		if p.at.After(latest.at) || latest.at.IsZero() {
			latest = p
		}
	}
	return latest
}
