// Package memory reads how much memory the process holds, and decides whether it may take more
// work: a process over its limit is ended by the system, with all requests in progress.
package memory

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// collectShare is the share of the limit from which the runtime collects garbage as often
	// as it takes to stay below. The rest is for what the runtime doesn't count: the program
	// itself, about 13 MB, and bytes that have arrived in sockets. With it the process stays
	// below rejectShare unless live objects take that much.
	collectShare = 0.7
	// rejectShare is the share of the limit from which new work is rejected, and acceptShare
	// that below which it is accepted again.
	rejectShare = 0.85
	acceptShare = 0.8
)

// CheckInterval is how often Check has to be called.
const CheckInterval = 250 * time.Millisecond

// Guard decides whether the process may take more work. The zero value has no limit.
// Rejects is safe for concurrent use.
type Guard struct {
	// Limit is the memory of the process in bytes, zero for no limit.
	Limit int64
	// Resident returns the memory that the process holds in bytes; nil for Resident.
	Resident func() int64
	// Free returns memory that is not in use to the system; nil for debug.FreeOSMemory.
	Free func()

	rejects atomic.Bool
	// freed is when Free was last called.
	freed time.Time
}

// freeInterval is the least time between two calls of Guard.Free, which takes about as long as
// a garbage collection.
const freeInterval = time.Second

// LimitRuntime makes the runtime collect garbage in time for the limit. A limit that the
// environment sets by GOMEMLIMIT stays.
func (g *Guard) LimitRuntime() {
	if g.Limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(g.Limit) * collectShare))
	}
}

// Check reads the memory in use and decides on new work. It reports whether the decision has
// changed.
func (g *Guard) Check(now time.Time) (changed bool) {
	if g.Limit <= 0 {
		return false
	}
	resident := g.resident()
	before := g.rejects.Load()
	threshold := g.share(rejectShare)
	if before {
		threshold = g.share(acceptShare)
	}
	if resident >= threshold && now.Sub(g.freed) >= freeInterval {
		// What is free may be returned to the system before work is rejected for it. While work
		// is rejected, nothing else may cause a garbage collection for minutes.
		g.freed = now
		g.free()
		resident = g.resident()
	}
	after := resident >= threshold
	g.rejects.Store(after)
	return after != before
}

// Rejects reports whether new work has to be rejected.
func (g *Guard) Rejects() bool { return g.rejects.Load() }

func (g *Guard) share(s float64) int64 { return int64(float64(g.Limit) * s) }

func (g *Guard) resident() int64 {
	if g.Resident != nil {
		return g.Resident()
	}
	return Resident()
}

func (g *Guard) free() {
	if g.Free != nil {
		g.Free()
		return
	}
	debug.FreeOSMemory()
}

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
