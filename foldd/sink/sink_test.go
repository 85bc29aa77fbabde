package sink

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
)

// TestWriteDoesNotBlockOnFullPipe writes to a pipe that is never read. Write must
// not block once the pipe is full, and must count the dropped lines.
func TestWriteDoesNotBlockOnFullPipe(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	s := New(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	const lines = 20_000
	for range lines {
		if n, err := s.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write returned %d, error %v, want the whole line and no error", n, err)
		}
	}
	if s.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	s.Close()
}

// lockedBuffer is a buffer whose Write is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (o *lockedBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.Write(p)
}

// TestCloseFlushesQueue checks that Close writes the lines that are still queued,
// in order.
func TestCloseFlushesQueue(t *testing.T) {
	var out lockedBuffer
	s := New(&out)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		s.Write([]byte(l))
	}
	s.Close()
	if got := out.String(); got != "a\nb\nc\n" {
		t.Errorf("output is %q, want the three lines in order", got)
	}
}
