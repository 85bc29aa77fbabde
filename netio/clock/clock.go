// Package clock drives a timer.Service by the machine's clock.
package clock

import (
	"sync"
	"time"

	"fuchsiafold.example/fold/timer"
)

// Service calls subscribers from one goroutine. Make it with New.
type Service struct {
	mu      sync.Mutex
	timers  timer.Service
	changed chan struct{}
	stop    chan struct{}
	stopped sync.Once
}

// New starts a service.
func New() *Service {
	s := &Service{changed: make(chan struct{}, 1), stop: make(chan struct{})}
	go s.run()
	return s
}

// Every calls f at the given interval until Stop.
func (s *Service) Every(interval time.Duration, f func(now time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		f(now)
		s.At(now.Add(interval), again)
	}
	s.At(time.Now().Add(interval), again)
}

// At calls f once, at or soon after t.
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

// Stop ends the service; no call starts afterwards.
func (s *Service) Stop() { s.stopped.Do(func() { close(s.stop) }) }

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

// idleWait is the wait when nothing is subscribed.
const idleWait = time.Hour

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
