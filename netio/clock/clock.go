// Package clock runs a timer.Service on the system clock.
package clock

import (
	"sync"
	"time"

	"fuchsiafold.example/fold/timer"
)

// Service calls functions at given times, one at a time, from a single goroutine.
// Use New to create it. It is safe for concurrent use.
type Service struct {
	// mu protects timers.
	mu     sync.Mutex
	timers timer.Service
	// changed wakes the goroutine after At has added a call.
	changed  chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
}

// New starts a service. The caller must call Stop to release its goroutine.
func New() *Service {
	s := &Service{changed: make(chan struct{}, 1), stop: make(chan struct{})}
	go s.run()
	return s
}

// Every calls f repeatedly until Stop. The first call is made after interval. Each
// further call is scheduled one interval after the time passed to the call before,
// so calls are never made concurrently.
func (s *Service) Every(interval time.Duration, f func(now time.Time)) {
	var repeat func(now time.Time)
	repeat = func(now time.Time) {
		f(now)
		s.At(now.Add(interval), repeat)
	}
	s.At(time.Now().Add(interval), repeat)
}

// At calls f once, at or soon after t. The service holds no lock during the call,
// so f may call At and Every.
func (s *Service) At(t time.Time, f func(now time.Time)) {
	s.mu.Lock()
	s.timers.At(t, func(now time.Time) {
		s.mu.Unlock()
		defer s.mu.Lock()
		f(now)
	})
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Stop ends the service. It does not wait for a call in progress, which may be
// followed by other calls that are already due.
func (s *Service) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

func (s *Service) run() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.changed:
		case <-t.C:
		}
		t.Reset(s.advance(time.Now()))
	}
}

// idleWait is how long run waits when no call is scheduled.
const idleWait = time.Hour

// advance makes the calls that are due at now and returns the time until the next
// one.
func (s *Service) advance(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers.Advance(now)
	next, ok := s.timers.Next()
	if !ok {
		return idleWait
	}
	return max(0, time.Until(next))
}
