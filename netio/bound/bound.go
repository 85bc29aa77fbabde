// Package bound holds the bounds on what is read of responses, and reads bodies into
// memory that is bounded for all of them together. A faulty server may send a head or a
// body without end, on many connections at once.
package bound

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Errors of Read.
var (
	// ErrTooLarge reports a body that exceeds its own limit.
	ErrTooLarge = eris.New("the body exceeds the size limit")
	// ErrNoMemory reports a body for which there is no memory beside the others.
	ErrNoMemory = eris.New("the bodies in memory exceed their limit together")
)

// MaxHead bounds the head of a response, which is its status line and header, in bytes.
const MaxHead = 64 << 10

const (
	// freeSize is the size in bytes up to which a body doesn't count: usual bodies are
	// read whatever the others take.
	freeSize = 64 << 10
	// startSize is the size in bytes of the first buffer of a body of unknown length.
	startSize = 4 << 10
)

// Memory is the memory for bodies that are read at the same time. The zero value has no
// limit. It is safe for concurrent use.
type Memory struct {
	// Limit bounds the memory in bytes, zero for no limit.
	Limit int64
	used  atomic.Int64
}

// Read reads a body of at most limit bytes until io.EOF. length is the length that the
// sender states, negative if it states none. The caller passes reserved, also after an
// error, to Release when it needs the body no more.
func (m *Memory) Read(r io.Reader, length int64, limit int) (body []byte, reserved int64, err error) {
	if length > int64(limit) {
		return nil, 0, ErrTooLarge
	}
	size := startSize
	if length >= 0 {
		// One byte more, for the read that finds the end.
		size = int(length) + 1
	}
	b := buffer{memory: m}
	for {
		if !b.grow(size) {
			return nil, b.reserved, ErrNoMemory
		}
		end, err := b.fill(r)
		switch {
		case len(b.data) > limit:
			return nil, b.reserved, ErrTooLarge
		case end:
			return b.data, b.reserved, nil
		case err != nil:
			return nil, b.reserved, err
		}
		size = min(2*cap(b.data), limit+1)
	}
}

// ReadAll reads a body of at most limit bytes until io.EOF, without a bound on several bodies
// together. length is as for Memory.Read.
func ReadAll(r io.Reader, length int64, limit int) ([]byte, error) {
	body, _, err := new(Memory).Read(r, length, limit)
	return body, err
}

// Release returns memory that Read has reserved.
func (m *Memory) Release(reserved int64) { m.used.Add(-reserved) }

// reserve reserves memory. It reports false if that would exceed the limit.
func (m *Memory) reserve(n int64) bool {
	if m.used.Add(n) > m.Limit && m.Limit > 0 {
		m.used.Add(-n)
		return false
	}
	return true
}

// buffer holds a body that is read.
type buffer struct {
	memory   *Memory
	data     []byte
	reserved int64
}

// grow makes room for size bytes in all. It reports false if there is no memory.
func (b *buffer) grow(size int) bool {
	if more := int64(max(size-freeSize, 0)) - b.reserved; more > 0 {
		if !b.memory.reserve(more) {
			return false
		}
		b.reserved += more
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

// fill reads until the buffer is full, the body ends or there is an error.
func (b *buffer) fill(r io.Reader) (end bool, err error) {
	for len(b.data) < cap(b.data) {
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
