package sink

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
)

// TestNobodyReads logs into a pipe that nobody reads: no write waits, and the
// lines that are lost are counted.
func TestNobodyReads(t *testing.T) {
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
			t.Fatalf("wrote %d bytes, error %v", n, err)
		}
	}
	if s.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	s.Close()
}

// output is a buffer that tells when it got something.
type output struct {
	mu sync.Mutex
	bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.Write(p)
}

// TestCloseWritesAll writes a few lines and closes: all of them are there, in
// order.
func TestCloseWritesAll(t *testing.T) {
	var out output
	s := New(&out)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		s.Write([]byte(l))
	}
	s.Close()
	if got := out.String(); got != "a\nb\nc\n" {
		t.Errorf("got %q", got)
	}
}
