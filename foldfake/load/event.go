package load

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at time.Duration
	// sequence orders events of the same time by when they were scheduled.
	sequence int
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// at schedules f at a time from the start of the play.
func (p *player) at(t time.Duration, f func()) {
	p.sequence++
	heap.Push(&p.events, &event{at: t, sequence: p.sequence, run: f})
}
