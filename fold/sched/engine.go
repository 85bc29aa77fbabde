package sched

import (
	"time"

	"fuchsiafold.example/fold/member"
)

// engine is the scheduler's view of one backend server.
type engine struct {
	info member.Backend
	// own holds the requests that this VM has at the backend server.
	own map[uint64]*item
	// load is the last report, which described the server at loadAt.
	load   member.Load
	loadAt time.Time
}

func newEngine(now time.Time, b member.Backend) *engine {
	return &engine{info: b, own: map[uint64]*item{}}
}

func (e *engine) report(now time.Time, l member.Load, lag time.Duration) {
	e.load = l
	e.loadAt = now.Add(-lag)
}

func (e *engine) start(now time.Time, it *item) {
	it.engine = e
	it.dispatched = now
	e.own[it.ID] = it
}

func (e *engine) progress(now time.Time, it *item, generated int) {
	it.generated = generated
	it.lastToken = now
}

func (e *engine) finish(now time.Time, it *item, r Result) {
	delete(e.own, it.ID)
	it.engine = nil
}

// usable reports whether the request may go to the backend server at all.
func (e *engine) usable(it *item) bool {
	if e.info.Leaving || it.Prompt >= e.info.MemoryTokens {
		return false
	}
	for _, id := range it.Avoid {
		if id == e.info.ID {
			return false
		}
	}
	return true
}
