package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// LoseLeader kills the control VM that leads the group, which starts again after the
	// fault.
	LoseLeader Kind = "loseLeader"
	// ThrottleVM leaves a process a part of a core.
	ThrottleVM Kind = "throttleVM"
)

// DefaultLossLength is the default length of a run in which control VMs are lost in series.
const DefaultLossLength = 45 * time.Second

const (
	// fillTime is the time in which large changes follow each other without a pause, before
	// the first loss.
	fillTime = 8 * time.Second
	// wholeTime is the time after which a VM with a new disk votes: the next disk may be lost
	// then.
	wholeTime = 4 * time.Second
	// maxLeaderLosses is the number of leaders that are lost at most before a disk is,
	// leaderDown how long one is down, and leaderGap the time from one loss to the next fault.
	maxLeaderLosses = 3
	leaderDown      = 300 * time.Millisecond
	leaderGap       = 2500 * time.Millisecond
	// maxLossDown is the longest time that a VM is down whose disk was lost, or that a disk is
	// full.
	maxLossDown = time.Second
	// replaceChance is the chance that a lost VM comes back at another address, fullChance
	// that a disk is full before it, and throttleChance that all control VMs are throttled.
	replaceChance  = 0.5
	fullChance     = 0.3
	throttleChance = 0.5
	// throttlePeriod and throttleStopped are how long a throttled process is stopped of each
	// period.
	throttlePeriod  = 100 * time.Millisecond
	throttleStopped = 52 * time.Millisecond
	// largeGap is the time between two large changes.
	largeGap = 300 * time.Millisecond
	// maxPad is the size in bytes up to which large changes are, and maxHugePad that of one in
	// hugeEvery.
	maxPad     = 200_000
	maxHugePad = 1_400_000
	hugeEvery  = 50
)

// planLosses returns a series of losses of control VMs and their leaders, in which the group
// has wholeTime after each loss of a disk, and faults of the others that the seed has.
func planLosses(seed uint64, length time.Duration, vms, controls, servers int) []Fault {
	p := planner{r: rand.New(rand.NewPCG(seed, 10)), vms: vms, controls: controls, length: length}
	at := fillTime + p.upTo(time.Second)
	if p.r.Float64() < throttleChance {
		for i := range controls {
			p.faults = append(p.faults, Fault{At: at, For: max(length-at, 0), Kind: ThrottleVM, Target: i})
		}
	}
	for at < length {
		at = p.addLoss(at)
	}
	others := slices.DeleteFunc(NewPlan(seed, length, vms, controls, servers), func(f Fault) bool {
		_, ofCallers := callerModes[f.Kind]
		return !ofCallers && !f.Kind.ofServer()
	})
	p.faults = append(p.faults, others...)
	sortByStart(p.faults)
	return p.faults
}

// addLoss adds the loss of a control VM's disk, and of some leaders before it. It returns when
// the group is whole again.
func (p *planner) addLoss(at time.Duration) time.Duration {
	target := p.r.IntN(p.controls)
	if p.r.Float64() < fullChance {
		full := p.upTo(maxLossDown)
		p.faults = append(p.faults, Fault{At: at, For: full, Kind: FullDisk, Target: p.r.IntN(p.controls)})
		at += full + wholeTime
	}
	for range p.r.IntN(maxLeaderLosses + 1) {
		p.faults = append(p.faults, Fault{At: at, For: leaderDown, Kind: LoseLeader})
		at += leaderGap
	}
	kind := WipeVM
	if p.r.Float64() < replaceChance {
		kind = ReplaceVM
	}
	down := p.upTo(maxLossDown)
	p.faults = append(p.faults, Fault{At: at, For: down, Kind: kind, Target: target})
	return at + down + wholeTime + p.upTo(time.Second)
}

// loseLeader kills the control VM that leads, as another VM knows it, and starts it again
// after the fault. It does nothing while no leader is known.
func (w *world) loseLeader(ctx context.Context, f Fault) {
	for _, v := range w.vms {
		status, err := v.status(ctx)
		if err != nil {
			continue
		}
		for _, leader := range w.vms {
			if leader.id == status.GetControlLeader() {
				w.restart(ctx, leader, f)
				return
			}
		}
	}
}

// throttle stops and continues a process for a time.
func (w *world) throttle(ctx context.Context, v *vm, during time.Duration) {
	for end := time.Now().Add(during); ctx.Err() == nil && time.Now().Before(end); {
		v.signal(syscall.SIGSTOP)
		sleep(ctx, throttleStopped)
		v.signal(syscall.SIGCONT)
		sleep(ctx, throttlePeriod-throttleStopped)
	}
}

// changeLarge makes large changes until ctx ends.
func (o *operators) changeLarge(ctx context.Context, operator int, seed, base uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(operator)))
	begun := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next := time.Now().Add(largeGap)
		out := o.apply(ctx, operator, n%len(o.world.vms), base, change{name: fmt.Sprintf("large-%d", n), pad: padSize(r)})
		base = max(base, out.revision)
		if time.Since(begun) >= fillTime {
			sleep(ctx, time.Until(next))
		}
	}
}

// padSize draws by how many bytes a change is larger.
func padSize(r *rand.Rand) int {
	if r.IntN(hugeEvery) == 0 {
		return r.IntN(maxHugePad)
	}
	return maxPad/2 + r.IntN(maxPad/2)
}

// acceptsSince reports whether a change was accepted after a time.
func (o *operators) acceptsSince(t time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.accepted {
		if at.After(t) {
			return true
		}
	}
	return false
}
