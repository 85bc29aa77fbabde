// Package timer schedules callbacks for components that don't read the clock
// themselves. The owner of the clock calls Advance, which calls the subscribers
// in the order of their deadlines.
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
	// index is the index in the heap, or -1 if the subscription is not pending.
	index int
}

// At schedules one call of f for the first Advance whose time is t or later. f
// may call the methods of s. Subscriptions with equal deadlines are called in the
// order in which they were added.
func (s *Service) At(t time.Time, f func(now time.Time)) *Subscription {
	s.seq++
	sub := &Subscription{at: t, seq: s.seq, call: f}
	heap.Push(&s.queue, sub)
	return sub
}

// Cancel removes a subscription. It reports whether the subscription was pending;
// a nil subscription is not.
func (s *Service) Cancel(sub *Subscription) bool {
	if sub == nil || sub.index < 0 {
		return false
	}
	heap.Remove(&s.queue, sub.index)
	return true
}

// Next returns the earliest pending deadline, or false if there is none.
func (s *Service) Next() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	return s.queue[0].at, true
}

// Advance calls every subscription whose deadline is not after now, including
// those that are added by the calls.
func (s *Service) Advance(now time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(now) {
		sub := heap.Pop(&s.queue).(*Subscription)
		sub.call(now)
	}
}

// queue is a heap of the pending subscriptions. It implements heap.Interface.
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
