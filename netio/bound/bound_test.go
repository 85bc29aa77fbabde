package bound_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"fuchsiafold.example/netio/bound"
)

func TestRead(t *testing.T) {
	const limit = 300 << 10
	broken := errors.New("broken")
	tests := []struct {
		what   string
		body   io.Reader
		length int64
		want   int
		err    error
	}{
		{"empty", strings.NewReader(""), 0, 0, nil},
		{"empty, length unknown", strings.NewReader(""), -1, 0, nil},
		{"small", strings.NewReader(strings.Repeat("x", 100)), 100, 100, nil},
		{"small, length unknown", strings.NewReader(strings.Repeat("x", 100)), -1, 100, nil},
		{"one byte at a time", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 10_000))), -1, 10_000, nil},
		{"as large as allowed", strings.NewReader(strings.Repeat("x", limit)), limit, limit, nil},
		{"as large as allowed, length unknown", strings.NewReader(strings.Repeat("x", limit)), -1, limit, nil},
		{"too large", strings.NewReader(strings.Repeat("x", limit+1)), limit + 1, 0, bound.ErrTooLarge},
		{"too large, length unknown", strings.NewReader(strings.Repeat("x", limit+1)), -1, 0, bound.ErrTooLarge},
		{"longer than stated", strings.NewReader(strings.Repeat("x", 200)), 100, 200, nil},
		{"broken", io.MultiReader(strings.NewReader("xx"), iotest.ErrReader(broken)), -1, 0, broken},
	}
	for _, tt := range tests {
		m := bound.Memory{Limit: 1 << 20}
		body, reserved, err := m.Read(tt.body, tt.length, limit)
		m.Release(reserved)
		if !errors.Is(err, tt.err) || len(body) != tt.want || strings.Trim(string(body), "x") != "" {
			t.Errorf("%s: %d bytes, error %v; want %d, error %v", tt.what, len(body), err, tt.want, tt.err)
		}
	}
}

// TestMemoryIsShared reads bodies that together exceed the memory. Small ones must be read
// all the same, and large ones again once the memory is released.
func TestMemoryIsShared(t *testing.T) {
	const limit = 1 << 20
	m := bound.Memory{Limit: limit}
	large := bytes.Repeat([]byte("x"), limit*3/4)
	_, first, err := m.Read(bytes.NewReader(large), -1, 2*limit)
	if err != nil {
		t.Fatal(err)
	}
	_, second, err := m.Read(bytes.NewReader(large), -1, 2*limit)
	if !errors.Is(err, bound.ErrNoMemory) {
		t.Errorf("error %v, want one of too little memory", err)
	}
	m.Release(second)
	if _, _, err := m.Read(strings.NewReader("small"), -1, limit); err != nil {
		t.Errorf("small body: %v", err)
	}
	m.Release(first)
	if _, _, err := m.Read(bytes.NewReader(large), int64(len(large)), 2*limit); err != nil {
		t.Errorf("after the release: %v", err)
	}
}
