// Package timer keeps deadlines for parts that have no clock of their own.
// Whoever owns the clock calls Advance; subscribers are called back in order
// of their deadlines.
package timer

import (
	"container/heap"
	"time"
)

// Service holds the subscriptions. The zero value is ready to use. It is not
// safe for concurrent use.
type Service struct {
	queue queue
	seq   uint64
}

// Subscription is one pending deadline.
type Subscription struct {
	at   time.Time
	seq  uint64
	call func(now time.Time)
	// index is the place in the heap, -1 when not pending.
	index int
}

// At asks for one call of f once the clock has reached t.
func (s *Service) At(t time.Time, f func(now time.Time)) *Subscription {
	s.seq++
	sub := &Subscription{at: t, seq: s.seq, call: f}
	heap.Push(&s.queue, sub)
	return sub
}

// Cancel drops a subscription. It reports whether the call was still due.
func (s *Service) Cancel(sub *Subscription) bool {
	if sub == nil || sub.index < 0 {
		return false
	}
	heap.Remove(&s.queue, sub.index)
	return true
}

// Next returns the earliest deadline, or false when there is none.
func (s *Service) Next() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	return s.queue[0].at, true
}

// Advance calls every subscription whose deadline is not after now, those
// that the calls add included.
func (s *Service) Advance(now time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(now) {
		sub := heap.Pop(&s.queue).(*Subscription)
		sub.call(now)
	}
}

type queue []*Subscription

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

func (q *queue) Pop() any {
	old := *q
	sub := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	sub.index = -1
	return sub
}
