// Package event splits a stream of server-sent events into whole events, so
// that a stream that breaks off or goes on elsewhere is never passed on with
// half of one.
package event

import (
	"bytes"
	"strings"
)

// Splitter collects the bytes of a stream and gives out whole events. The zero
// value is ready to use.
type Splitter struct{ buf []byte }

// Write adds bytes of the stream.
func (s *Splitter) Write(p []byte) { s.buf = append(s.buf, p...) }

// Next returns the next whole event with the blank line that ends it, or nil.
// The bytes are valid until the next call of Write.
func (s *Splitter) Next() []byte {
	end := blankLine(s.buf)
	if end < 0 {
		return nil
	}
	e := s.buf[:end:end]
	s.buf = s.buf[end:]
	return e
}

// Rest returns the bytes that belong to no whole event yet.
func (s *Splitter) Rest() []byte { return s.buf }

// Reset drops what belongs to no whole event.
func (s *Splitter) Reset() { s.buf = nil }

// blankLine returns the index after the first blank line, or -1.
func blankLine(b []byte) int {
	best := -1
	for _, sep := range []string{"\n\n", "\r\n\r\n", "\n\r\n"} {
		if i := bytes.Index(b, []byte(sep)); i >= 0 && (best < 0 || i+len(sep) < best) {
			best = i + len(sep)
		}
	}
	return best
}

// ID returns the ID of an event, empty if it has none.
func ID(e []byte) string {
	for line := range strings.Lines(string(e)) {
		if v, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:"); ok {
			return strings.TrimPrefix(v, " ")
		}
	}
	return ""
}
