package host

import (
	"context"
	"sync"
	"time"
)

// Fault is a fault that Inject applies to an engine. It is also the body of POST
// /fault.
type Fault struct {
	// Kind is one of the Fault constants.
	Kind string `json:"kind"`
	// Tokens is the token count for FaultDrop, FaultDuplicate and FaultReorder.
	Tokens int `json:"tokens,omitempty"`
	// MS is a duration in milliseconds for FaultFreeze, FaultStall and
	// FaultReclaim.
	MS int `json:"ms,omitempty"`
	// Factor is the factor by which FaultSlow multiplies the duration of steps.
	Factor float64 `json:"factor,omitempty"`
}

// Kinds of faults.
const (
	// FaultNone ends all faults in force. Connections that are open keep the drop,
	// duplicate and reorder faults that they opened with. Steps, answers and
	// connections that already wait for the end of a freeze or stall wait on.
	FaultNone = "none"
	// FaultDie closes the engine at once.
	FaultDie = "die"
	// FaultFreeze stops steps, answers and announcements for MS milliseconds.
	// Connections stay open. GET /v1/state and POST /fault are still answered.
	FaultFreeze = "freeze"
	// FaultStall stops the tokens on connections for MS milliseconds, while the
	// engine keeps generating and announcing.
	FaultStall = "stall"
	// FaultDrop closes each connection after Tokens tokens. Connections that were
	// open before the fault are not affected.
	FaultDrop = "drop"
	// FaultDuplicate sends every n-th token twice, where n is Tokens. Connections
	// that were open before the fault are not affected.
	FaultDuplicate = "duplicate"
	// FaultReorder swaps every n-th token with the one after it if both are sent
	// at once, where n is Tokens. Connections that were open before the fault are
	// not affected.
	FaultReorder = "reorder"
	// FaultReclaim announces that the engine is leaving, and closes it after MS
	// milliseconds.
	FaultReclaim = "reclaim"
	// FaultRefuse rejects new generations.
	FaultRefuse = "refuse"
	// FaultSlow multiplies the duration of steps by Factor.
	FaultSlow = "slow"
	// FaultForget removes all generations, as a restart of the engine would.
	FaultForget = "forget"
)

// activeFaults holds the faults in force. The zero value has none. It is safe for
// concurrent use.
type activeFaults struct {
	mu             sync.Mutex
	frozenUntil    time.Time
	stalledUntil   time.Time
	dropAfter      int
	duplicateEvery int
	reorderEvery   int
	refuse         bool
	slowFactor     float64
}

func (f *activeFaults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := time.Now().Add(time.Duration(fault.MS) * time.Millisecond)
	switch fault.Kind {
	case FaultNone:
		f.frozenUntil, f.stalledUntil = time.Time{}, time.Time{}
		f.dropAfter, f.duplicateEvery, f.reorderEvery = 0, 0, 0
		f.refuse, f.slowFactor = false, 0
	case FaultFreeze:
		f.frozenUntil = until
	case FaultStall:
		f.stalledUntil = until
	case FaultDrop:
		f.dropAfter = fault.Tokens
	case FaultDuplicate:
		f.duplicateEvery = fault.Tokens
	case FaultReorder:
		f.reorderEvery = fault.Tokens
	case FaultRefuse:
		f.refuse = true
	case FaultSlow:
		f.slowFactor = fault.Factor
	}
}

// waitWhileFrozen blocks until the freeze in force ends or ctx is done.
func (f *activeFaults) waitWhileFrozen(ctx context.Context) {
	f.mu.Lock()
	until := f.frozenUntil
	f.mu.Unlock()
	sleepUntil(ctx, until)
}

// sleepUntil blocks until the given time or until ctx is done.
func sleepUntil(ctx context.Context, until time.Time) {
	d := time.Until(until)
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// slowStep returns the duration of a step with FaultSlow applied.
func (f *activeFaults) slowStep(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slowFactor == 0 {
		return d
	}
	return time.Duration(float64(d) * f.slowFactor)
}

// connFaults holds the faults of one connection, fixed when it opens. A zero count
// means that the fault is not in force.
type connFaults struct {
	opened         time.Time
	dropAfter      int
	duplicateEvery int
	reorderEvery   int
}

func (f *activeFaults) forConn() connFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connFaults{opened: time.Now(), dropAfter: f.dropAfter, duplicateEvery: f.duplicateEvery, reorderEvery: f.reorderEvery}
}

// waitWhileStalled blocks a connection until the stall in force ends or ctx is
// done. This includes connections that opened during the stall.
func (f *activeFaults) waitWhileStalled(ctx context.Context, conn connFaults) {
	f.mu.Lock()
	until := f.stalledUntil
	f.mu.Unlock()
	if time.Until(until) > 0 && conn.opened.Before(until) {
		sleepUntil(ctx, until)
	}
}

// refusing reports whether FaultRefuse is in force.
func (f *activeFaults) refusing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse
}
