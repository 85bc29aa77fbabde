package host

import (
	"context"
	"sync"
	"time"
)

// Fault is a fault on command.
type Fault struct {
	// Kind is one of the constants below.
	Kind string `json:"kind"`
	// Tokens is the count that FaultDrop, FaultDuplicate and FaultReorder need.
	Tokens int `json:"tokens,omitempty"`
	// MS is a duration in milliseconds for FaultFreeze, FaultStall and
	// FaultReclaim.
	MS int `json:"ms,omitempty"`
	// Factor slows steps down, for FaultSlow.
	Factor float64 `json:"factor,omitempty"`
}

// Kinds of faults.
const (
	// FaultNone ends all faults.
	FaultNone = "none"
	// FaultDie ends the engine at once.
	FaultDie = "die"
	// FaultFreeze stops steps and answers for a while, connections stay open.
	FaultFreeze = "freeze"
	// FaultStall stops tokens on open connections; new ones work.
	FaultStall = "stall"
	// FaultDrop cuts each connection after so many tokens.
	FaultDrop = "drop"
	// FaultDuplicate sends each n-th token twice.
	FaultDuplicate = "duplicate"
	// FaultReorder swaps each n-th token with the one after it.
	FaultReorder = "reorder"
	// FaultReclaim leaves with the notice given, then dies.
	FaultReclaim = "reclaim"
	// FaultRefuse refuses new generations.
	FaultRefuse = "refuse"
	// FaultSlow multiplies the duration of steps.
	FaultSlow = "slow"
	// FaultForget drops all generations, as a restarted engine would.
	FaultForget = "forget"
)

// faults holds the faults in force. The zero value has none.
type faults struct {
	mu        sync.Mutex
	frozen    time.Time
	stalled   time.Time
	drop      int
	duplicate int
	reorder   int
	refuse    bool
	factor    float64
}

func (f *faults) set(c Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := time.Now().Add(time.Duration(c.MS) * time.Millisecond)
	switch c.Kind {
	case FaultNone:
		f.frozen, f.stalled = time.Time{}, time.Time{}
		f.drop, f.duplicate, f.reorder = 0, 0, 0
		f.refuse, f.factor = false, 0
	case FaultFreeze:
		f.frozen = until
	case FaultStall:
		f.stalled = until
	case FaultDrop:
		f.drop = c.Tokens
	case FaultDuplicate:
		f.duplicate = c.Tokens
	case FaultReorder:
		f.reorder = c.Tokens
	case FaultRefuse:
		f.refuse = true
	case FaultSlow:
		f.factor = c.Factor
	}
}

// wait blocks while the engine is frozen.
func (f *faults) wait(ctx context.Context) {
	f.mu.Lock()
	until := f.frozen
	f.mu.Unlock()
	pause(ctx, until)
}

func pause(ctx context.Context, until time.Time) {
	d := time.Until(until)
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *faults) slowed(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.factor == 0 {
		return d
	}
	return time.Duration(float64(d) * f.factor)
}

// link is the faults of one connection, fixed when it opens.
type link struct {
	opened    time.Time
	drop      int
	duplicate int
	reorder   int
}

func (f *faults) link() link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return link{opened: time.Now(), drop: f.drop, duplicate: f.duplicate, reorder: f.reorder}
}

// stall blocks a connection that was open when the stall began.
func (f *faults) stall(ctx context.Context, l link) {
	f.mu.Lock()
	until := f.stalled
	f.mu.Unlock()
	if time.Until(until) > 0 && l.opened.Before(until) {
		pause(ctx, until)
	}
}

func (f *faults) refusing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse
}
