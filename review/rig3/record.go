package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	return &record{file: f, begun: time.Now()}, nil
}

// line writes one event with the seconds since the start and pairs of names and values.
func (r *record) line(event string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(r.begun).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	// The verdict does not depend on the record.
	_, _ = r.file.WriteString(b.String())
}

// verdict writes a line to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("verdict: " + text)
	fmt.Println(text)
}
