// Package event splits a stream of server-sent events into complete events, so
// that no partial event is forwarded when a stream is aborted or continues on
// another connection.
package event

import (
	"bytes"
	"cmp"
	"strings"
)

// MaxSize bounds the size of an event in bytes.
const MaxSize = 256 << 10

// Splitter buffers the bytes of a stream and returns complete events. The zero
// value is ready to use. It is not safe for concurrent use.
type Splitter struct{ buf []byte }

// Write appends p to the buffered stream.
func (s *Splitter) Write(p []byte) { s.buf = append(s.buf, p...) }

// Next returns the next complete event, including the blank line that ends it,
// or nil if there is none. The bytes are valid until the next call of Write.
func (s *Splitter) Next() []byte {
	end := blankLineEnd(s.buf)
	if end < 0 {
		return nil
	}
	e := s.buf[:end:end]
	s.buf = s.buf[end:]
	return e
}

// Rest returns the buffered bytes after the last event returned by Next.
func (s *Splitter) Rest() []byte { return s.buf }

// Partial reports whether the bytes after the last event returned by Next are the
// beginning of another one. Line ends alone are not.
func (s *Splitter) Partial() bool { return len(bytes.Trim(s.buf, "\r\n")) > 0 }

// TooLarge reports whether the bytes after the last event returned by Next, of which no
// event is complete, exceed MaxSize. A faulty server may send an event without end.
func (s *Splitter) TooLarge() bool { return len(s.buf) > MaxSize }

// Reset discards the buffered bytes.
func (s *Splitter) Reset() { s.buf = nil }

// blankLineEnd returns the index after the first blank line of b, or -1 if there
// is none.
func blankLineEnd(b []byte) int {
	best := -1
	for _, sep := range []string{"\n\n", "\r\n\r\n", "\n\r\n"} {
		if i := bytes.Index(b, []byte(sep)); i >= 0 && (best < 0 || i+len(sep) < best) {
			best = i + len(sep)
		}
	}
	return best
}

// ID returns the ID of an event, or an empty string if it has none.
func ID(e []byte) string {
	for line := range strings.Lines(string(e)) {
		if v, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:"); ok {
			return strings.TrimPrefix(v, " ")
		}
	}
	return ""
}

// Follows reports whether an event with the given ID comes after the one with the ID last, or
// last is empty. IDs increase as numbers; others than numbers only tell whether two events are
// the same.
func Follows(id, last string) bool {
	if last == "" {
		return true
	}
	if !isNumber(id) || !isNumber(last) {
		return id != last
	}
	// The numbers may have more digits than an integer holds.
	id, last = strings.TrimLeft(id, "0"), strings.TrimLeft(last, "0")
	return cmp.Or(cmp.Compare(len(id), len(last)), cmp.Compare(id, last)) > 0
}

// isNumber reports whether text consists of decimal digits.
func isNumber(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// IsComment reports whether an event carries nothing, as servers send to keep a connection
// alive.
func IsComment(e []byte) bool {
	for line := range strings.Lines(string(e)) {
		if line = strings.TrimRight(line, "\r\n"); line != "" && !strings.HasPrefix(line, ":") {
			return false
		}
	}
	return true
}
