package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"fuchsiafold.example/fold/record"
)

// Limits of recording.
const (
	recordQueue = 4096
	recordFlush = time.Second
)

// recorder appends the arrivals of requests to a trace file, in the format of
// package record. One goroutine does all the writing. These traces have nothing to
// do with the spans of package trace.
type recorder struct {
	start time.Time
	lines chan record.Line
	stop  chan struct{}
	done  chan struct{}
}

// StartRecording starts to append arrivals to the named trace file, which it
// creates if needed. It must be called before the first request. It returns an
// error if the file cannot be opened.
func (n *Node) StartRecording(name string) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open trace file: %w", err)
	}
	r := &recorder{start: time.Now(), lines: make(chan record.Line, recordQueue), stop: make(chan struct{}), done: make(chan struct{})}
	n.recorder = r
	go func() {
		defer close(r.done)
		defer f.Close()
		if err := r.run(bufio.NewWriter(f)); err != nil {
			n.Log.WithError(err).Error("writing the trace file failed; recording stopped")
		}
	}()
	return nil
}

// StopRecording writes the queued arrivals and closes the trace file. It does
// nothing if recording is off.
func (n *Node) StopRecording() {
	if n.recorder == nil {
		return
	}
	close(n.recorder.stop)
	<-n.recorder.done
}

// RecordArrival records an arrival, if recording is on. It does not block: if the
// queue is full, the arrival is dropped and counted.
func (n *Node) RecordArrival(at time.Time, a record.Arrival) {
	if n.recorder == nil {
		return
	}
	l := record.Line{AtMS: float64(at.Sub(n.recorder.start).Microseconds()) / 1000, Arrival: &a}
	select {
	case n.recorder.lines <- l:
	default:
		n.Count("record.dropped", 1)
	}
}

// run writes queued arrivals until stop is closed or a write fails.
func (r *recorder) run(w *bufio.Writer) error {
	t := time.NewTicker(recordFlush)
	defer t.Stop()
	enc := json.NewEncoder(w)
	for {
		select {
		case l := <-r.lines:
			if err := enc.Encode(l); err != nil {
				return err
			}
		case <-t.C:
			if err := w.Flush(); err != nil {
				return err
			}
		case <-r.stop:
			return r.drain(enc, w)
		}
	}
}

// drain writes the arrivals left in the queue and flushes.
func (r *recorder) drain(enc *json.Encoder, w *bufio.Writer) error {
	for {
		select {
		case l := <-r.lines:
			if err := enc.Encode(l); err != nil {
				return err
			}
		default:
			return w.Flush()
		}
	}
}
