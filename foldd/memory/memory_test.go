package memory_test

import (
	"testing"
	"time"

	"fuchsiafold.example/foldd/memory"
)

// TestRejectsNearLimit guards against a process that takes requests until the system ends it,
// and against one that rejects them for memory that it could return.
func TestRejectsNearLimit(t *testing.T) {
	const limit = 100
	var resident, returnable int64
	frees := 0
	g := memory.Guard{
		Limit:    limit,
		Resident: func() int64 { return resident },
		Free: func() {
			frees++
			resident -= returnable
			returnable = 0
		},
	}
	now := time.Now()
	for _, step := range []struct {
		name                 string
		resident, returnable int64
		rejects              bool
	}{
		{"little in use", 50, 0, false},
		{"below the share", 84, 0, false},
		{"near the limit, with free memory", 95, 60, false},
		{"near the limit", 90, 0, true},
		{"just below the share", 83, 0, true},
		{"just below the share, with free memory", 83, 20, false},
		{"near the limit again", 90, 0, true},
		{"well below", 70, 0, false},
	} {
		now = now.Add(time.Minute)
		before := g.Rejects()
		resident, returnable = step.resident, step.returnable
		changed := g.Check(now)
		if g.Rejects() != step.rejects || changed != (before != step.rejects) {
			t.Errorf("%s: rejects %t, changed %t; want %t", step.name, g.Rejects(), changed, step.rejects)
		}
	}
	frees, resident = 0, 95
	const seconds = 4
	for range seconds * int(time.Second/memory.CheckInterval) {
		now = now.Add(memory.CheckInterval)
		g.Check(now)
	}
	if frees > seconds {
		t.Errorf("memory was freed %d times in %d s, want at most once a second", frees, seconds)
	}
	var none memory.Guard
	if none.Check(now) || none.Rejects() {
		t.Error("a process without a limit rejects work")
	}
}

// TestResident checks that the memory of the process is read at all: without it nothing is
// rejected.
func TestResident(t *testing.T) {
	const size = 64 << 20
	before := memory.Resident()
	b := make([]byte, size)
	for i := range b {
		b[i] = 1
	}
	if grown := memory.Resident() - before; before <= 0 || grown < size*3/4 {
		t.Errorf("resident %d bytes, %d more with %d bytes in use", before, grown, len(b))
	}
	if r := memory.ReadRuntime(); r.Heap < size || r.Goroutines < 1 || r.Stacks <= 0 {
		t.Errorf("runtime holds %+v with %d bytes in use", r, len(b))
	}
}
