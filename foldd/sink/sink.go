// Package sink writes log lines without ever holding up the code that logs: lines
// that the output does not take in time, or that exceed the rate, are dropped
// and counted.
package sink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Limits of a Sink.
const (
	// queueLines is the number of lines that wait for the output.
	queueLines = 1024
	// linesPerSecond bounds the volume; burstLines may come at once.
	linesPerSecond = 200
	burstLines     = 400
	// closeTimeout bounds the time to write what is left.
	closeTimeout = 500 * time.Millisecond
)

// Sink is an io.Writer for whole lines. Make it with New.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	stopped sync.Once
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// New starts a sink in front of an output.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}), tokens: burstLines, filled: time.Now()}
	go s.run()
	return s
}

// Write implements io.Writer. It takes one line a call, and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.allowed(time.Now()) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) allowed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(burstLines, s.tokens+now.Sub(s.filled).Seconds()*linesPerSecond)
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Dropped returns the number of lines that were not written.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// RegisterMetrics shows the number of dropped lines among metrics.
func (s *Sink) RegisterMetrics(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("log.dropped", r, s.Dropped)
}

func (s *Sink) run() {
	defer close(s.done)
	told := int64(0)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.stop:
			s.flush()
			return
		}
		if n := s.Dropped(); n > told && len(s.lines) == 0 {
			s.write(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-told))
			told = n
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// write drops a line that the output refuses: there is nobody left to tell.
func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

// Close writes what is left, for a short while.
func (s *Sink) Close() {
	s.stopped.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
