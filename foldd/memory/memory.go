// Package memory reads how much memory the process holds.
package memory

import (
	"bytes"
	"math"
	"os"
	"runtime/metrics"
	"strconv"
	"sync"
)

// statm is the open file of the process's memory in pages, nil if the system has none.
var statm = sync.OnceValue(func() *os.File {
	f, err := os.Open("/proc/self/statm")
	if err != nil {
		return nil
	}
	return f
})

// Resident returns the memory that the process holds (its resident set) in bytes. If the system
// doesn't say it, it is what the runtime holds.
func Resident() int64 {
	if f := statm(); f != nil {
		var b [128]byte
		n, _ := f.ReadAt(b[:], 0)
		if fields := bytes.Fields(b[:n]); len(fields) > 1 {
			if pages, err := strconv.ParseInt(string(fields[1]), 10, 64); err == nil && pages > 0 {
				return pages * int64(os.Getpagesize())
			}
		}
	}
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return value(samples[0]) - value(samples[1])
}

// value returns the value of a sample, or zero if the runtime doesn't have it.
func value(s metrics.Sample) int64 {
	if s.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(min(s.Value.Uint64(), math.MaxInt64))
}

// Runtime is what the Go runtime holds.
type Runtime struct {
	// Heap is the memory of live and not yet collected objects, Stacks that of goroutines,
	// and Free what the runtime keeps without use, in bytes.
	Heap, Stacks, Free int64
	Goroutines         int64
}

// ReadRuntime returns what the Go runtime holds. It doesn't stop the program.
func ReadRuntime() Runtime {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return Runtime{Heap: value(samples[0]), Stacks: value(samples[1]), Free: value(samples[2]), Goroutines: value(samples[3])}
}
