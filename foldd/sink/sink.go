// Package sink writes log lines without blocking the code that logs them. Lines
// that exceed the rate limit, or for which the output is too slow or fails, are
// dropped and counted.
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
	// queueSize is the maximum number of lines queued for the output.
	queueSize = 1024
	// linesPerSecond is the rate limit in the long run; burstLines is the
	// capacity of the token bucket.
	linesPerSecond = 200
	burstLines     = 400
	// closeTimeout limits how long Close waits for the queued lines.
	closeTimeout = 500 * time.Millisecond
)

// Sink is an io.Writer for complete lines, returned by New. It is safe for
// concurrent use.
type Sink struct {
	out      io.Writer
	lines    chan []byte
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	dropped  atomic.Int64

	// mu protects the token bucket: its tokens, one for each line, and when they
	// were last refilled.
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// New starts a sink that writes to out. The caller must call Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueSize), stop: make(chan struct{}), done: make(chan struct{}), tokens: burstLines, lastRefill: time.Now()}
	go s.run()
	return s
}

// Write implements io.Writer. Each call must pass one complete line. Write never
// blocks on the output and never returns an error; a line that can't be queued
// is dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.allow(time.Now()) {
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

// allow takes a token for one line from the token bucket and reports whether there
// was one.
func (s *Sink) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(burstLines, s.tokens+now.Sub(s.lastRefill).Seconds()*linesPerSecond)
	s.lastRefill = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Dropped returns the number of lines that were not written.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// RegisterMetrics registers a gauge for the number of dropped lines.
func (s *Sink) RegisterMetrics(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("log.dropped", r, s.Dropped)
}

func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.stop:
			s.flush()
			return
		}
		if n := s.Dropped(); n > reported && len(s.lines) == 0 {
			s.write(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported))
			reported = n
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

// write writes a line to the output. An error of the log output can't be logged,
// so the line is only counted as dropped.
func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

// Close writes the queued lines and stops the sink. It waits for at most
// closeTimeout.
func (s *Sink) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
