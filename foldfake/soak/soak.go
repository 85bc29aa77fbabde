package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"fuchsiafold.example/wire"
)

// Options configures a run.
type Options struct {
	// Binary is the path of the foldd program.
	Binary string
	// Old is the path of an older foldd program, or empty. All VMs start with it and are
	// upgraded to Binary one after the other.
	Old string
	// Losses plays losses of control VMs in series, while large changes go on, in place of the
	// other faults of VMs. There is no upgrade then.
	Losses bool
	// Folder is where the files of a run go. They are removed if nothing is found.
	Folder string
	// Length is how long faults begin, DefaultLength or DefaultLossLength if zero.
	Length time.Duration
}

// DefaultLength is the default length of a run.
const DefaultLength = 12 * time.Second

const (
	// returnBound is the time after the last fault in which service must be back.
	returnBound = 15 * time.Second
	// levelBound is the time after the last request in which memory and descriptors
	// must be back at their level, and the slacks are what they may be above it.
	levelBound      = 10 * time.Second
	descriptorSlack = 60
	memorySlack     = 100 << 20
	operatorCount   = 2
	// warmTime is how long callers go on before the levels are read.
	warmTime = 2 * time.Second
)

// Report is the result of one seed.
type Report struct {
	Seed   uint64        `json:"seed"`
	Length time.Duration `json:"length"`
	Faults []Fault       `json:"faults"`
	// Counts holds how many requests ended how, by what was asked for.
	Counts     map[string]int `json:"counts"`
	Changes    int            `json:"changes"`
	Violations []Violation    `json:"violations"`
	// Logs is the folder with the logs, kept if there are violations.
	Logs string `json:"logs,omitempty"`
}

// Run plays one seed. The error is of the soak itself, such as a program that can't be
// started.
func Run(ctx context.Context, o Options, seed uint64) (Report, error) {
	if o.Length == 0 {
		o.Length = DefaultLength
		if o.Losses {
			o.Length = DefaultLossLength
		}
	}
	folder := filepath.Join(o.Folder, fmt.Sprintf("seed-%d", seed))
	rep := Report{Seed: seed, Length: o.Length, Faults: o.plan(seed)}
	f := &findings{start: time.Now()}
	w, err := newWorld(o, folder, f)
	defer w.close()
	if err != nil {
		return rep, fmt.Errorf("start of seed %d: %w", seed, err)
	}
	p := &soakRun{losses: o.Losses, world: w, findings: f, callers: &callers{world: w, findings: f}, operators: &operators{world: w, findings: f, accepted: map[uint64]time.Time{}}}
	if err := p.begin(ctx, seed); err != nil {
		return rep, fmt.Errorf("start of seed %d: %w", seed, err)
	}
	f.start = time.Now()
	p.load(ctx, rep)
	if err := ctx.Err(); err != nil {
		return rep, fmt.Errorf("play of seed %d: %w", seed, err)
	}
	maps.Copy(p.callers.counts, w.orders.counts())
	p.callers.counts["requestsWhileCold"] = int(w.servers.whileCold.Load())
	rep.Counts, rep.Changes, rep.Violations = p.callers.counts, len(p.operators.history), f.all()
	if len(rep.Violations) > 0 {
		rep.Logs = folder
		return rep, nil
	}
	w.close()
	if err := os.RemoveAll(folder); err != nil {
		return rep, fmt.Errorf("remove files of seed %d: %w", seed, err)
	}
	return rep, nil
}

// plan returns the faults of a seed, and the steps of its upgrade if there is one. No disk is
// lost in an upgrade: the group tolerates the loss of one while all others are well, and the
// steps stop them.
func (o Options) plan(seed uint64) []Fault {
	if o.Losses {
		return planLosses(seed, o.Length, vmCount, controlCount, len(layout))
	}
	faults := NewPlan(seed, o.Length, vmCount, controlCount, len(layout))
	if o.Old == "" {
		return faults
	}
	faults = slices.DeleteFunc(faults, func(f Fault) bool { return f.Kind == WipeVM || f.Kind == ReplaceVM })
	faults = append(faults, planUpgrade(seed, o.Length, vmCount)...)
	sortByStart(faults)
	return faults
}

// soakRun is a run in progress.
type soakRun struct {
	// losses is set if large changes go on.
	losses    bool
	world     *world
	findings  *findings
	callers   *callers
	operators *operators
	// first is the revision at the start of the load, and levels what each VM held.
	first  uint64
	levels []usage
}

// begin waits until all VMs serve with the first configuration.
func (p *soakRun) begin(ctx context.Context, seed uint64) error {
	deadline := time.Now().Add(startTimeout)
	for p.first == 0 && time.Now().Before(deadline) {
		res, err := p.operators.applyAt(ctx, p.world.vms[0], 0, change{name: "first"})
		if err == nil {
			p.first = res.GetRevision()
		}
		sleep(ctx, 50*time.Millisecond)
	}
	if p.first == 0 {
		return fmt.Errorf("no configuration was accepted within %v", startTimeout)
	}
	ready := func(_ int, v *vm) bool {
		s, err := v.status(ctx)
		return err == nil && s.GetSelf().GetConfigRevision() == p.first && len(s.GetBackends()) == len(layout) && len(s.GetPeers()) == vmCount-1
	}
	if id := p.world.awaitAll(startTimeout, ready); id != "" {
		return fmt.Errorf("%s is not ready within %v", id, startTimeout)
	}
	p.warmUp(ctx, seed)
	for _, v := range p.world.vms {
		u, err := v.usage()
		if err != nil {
			return err
		}
		p.levels = append(p.levels, u)
	}
	return nil
}

// warmUp drives callers without faults, until the processes hold what they hold under
// load.
func (p *soakRun) warmUp(ctx context.Context, seed uint64) {
	ctx, cancel := context.WithTimeout(ctx, warmTime)
	defer cancel()
	c := &callers{world: p.world, findings: p.findings, phase: "warm-"}
	c.run(ctx, seed)
	c.checkResults(p.world.servers)
}

// load drives callers and operators through the plan, and checks what remains.
func (p *soakRun) load(ctx context.Context, rep Report) {
	var wg sync.WaitGroup
	callersCtx, stopCallers := context.WithCancel(ctx)
	operatorsCtx, stopOperators := context.WithCancel(ctx)
	defer stopCallers()
	defer stopOperators()
	wg.Go(func() { p.callers.run(callersCtx, rep.Seed) })
	for _, v := range p.world.vms {
		wg.Go(func() { p.operators.watch(callersCtx, v) })
		wg.Go(func() { p.watchProcess(callersCtx, v) })
	}
	var changes, evacuations sync.WaitGroup
	ordersCtx, stopOrders := context.WithCancel(ctx)
	defer stopOrders()
	for i := range operatorCount {
		changes.Go(func() { p.operators.change(operatorsCtx, i, rep.Seed) })
	}
	if p.world.old == "" {
		// A replica of an old program skips the orders in its log.
		for i, domain := range evacuatedDomains {
			r := rand.New(rand.NewPCG(rep.Seed, uint64(20+i)))
			evacuations.Go(func() { p.operators.evacuate(operatorsCtx, ordersCtx, domain, r) })
		}
	}
	if p.losses {
		changes.Go(func() { p.operators.changeLarge(operatorsCtx, operatorCount, rep.Seed, p.first) })
	}
	p.applyPlan(ctx, rep.Faults)
	stopOrders()
	evacuations.Wait()
	if ctx.Err() == nil {
		ended := time.Now()
		p.checkReturn(ended)
		p.checkAccepts(ended)
	}
	if ctx.Err() == nil && (p.losses || p.world.old != "") {
		p.checkGroup(ctx)
	}
	if p.world.old == "" {
		p.world.restartCold()
		p.operators.holdOrders(ctx)
	}
	stopOperators()
	changes.Wait()
	if ctx.Err() == nil {
		p.checkInForce(ctx)
	}
	stopCallers()
	wg.Wait()
	if ctx.Err() != nil {
		return
	}
	p.callers.checkResults(p.world.servers)
	p.callers.checkClaims()
	p.operators.checkHistory(p.first)
	p.checkLevels()
}

// applyPlan applies the faults at their times, and waits until all have ended.
func (p *soakRun) applyPlan(ctx context.Context, plan []Fault) {
	var wg sync.WaitGroup
	start := time.Now()
	locks := make([]sync.Mutex, vmCount+1+len(layout))
	for _, f := range plan {
		sleep(ctx, time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			// Two faults that start and stop the same process take turns; those of
			// different ones overlap.
			for _, i := range lockOrder(f) {
				locks[i].Lock()
				defer locks[i].Unlock()
			}
			p.world.apply(ctx, f)
		})
	}
	wg.Wait()
}

// lockOrder returns the locks that a fault takes, in ascending order.
func lockOrder(f Fault) []int {
	switch f.Kind {
	case KillAll, RollVMs:
		return firstLocks(vmCount)
	case LoseLeader:
		return firstLocks(controlCount)
	case LimitServer, EndlessAnswers, ThrottleVM:
		return nil
	}
	if f.Kind.ofServer() {
		return []int{vmCount + 1 + f.Target}
	}
	_, ofCallers := callerModes[f.Kind]
	_, ofPeers := peerModes[f.Kind]
	if ofCallers || ofPeers || diskFaults[f.Kind] != "" || f.Kind == ReloadVM {
		return nil
	}
	return []int{f.Target}
}

// firstLocks returns the locks of the first VMs.
func firstLocks(vms int) []int {
	locks := make([]int, vms)
	for i := range locks {
		locks[i] = i
	}
	return locks
}

// watchProcess reports a process that ends by itself, and starts it again.
func (p *soakRun) watchProcess(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		if v.crashed() {
			p.findings.add(StaysUp, "", "%s ended by itself", v.id)
			v.stop(0)
			p.world.check(v.start())
		}
		sleep(ctx, watchInterval)
	}
}

// checkReturn checks that each VM serves each kind of request again after the last
// fault.
func (p *soakRun) checkReturn(since time.Time) {
	missing := ""
	back := func(i int, _ *vm) bool {
		for _, ask := range asks {
			if !p.callers.servedSince(i, ask, since) {
				missing = ask
				return false
			}
		}
		return true
	}
	if id := p.world.awaitAll(returnBound, back); id != "" {
		p.findings.add(Returns, "", "%s has not served %s within %v after the last fault", id, missing, returnBound)
	}
}

// checkAccepts checks that a change is accepted again after the last fault.
func (p *soakRun) checkAccepts(since time.Time) {
	for time.Since(since) < returnBound {
		if p.operators.acceptsSince(since) {
			return
		}
		time.Sleep(watchInterval)
	}
	if !p.operators.acceptsSince(since) {
		p.findings.add(Returns, "", "no change was accepted within %v after the last fault", returnBound)
	}
}

// checkGroup checks that all control VMs take part in their group in the end, whatever
// versions they run.
func (p *soakRun) checkGroup(ctx context.Context) {
	whole := func(i int, v *vm) bool {
		if i >= controlCount {
			return true
		}
		s, err := v.status(ctx)
		return err == nil && isWhole(s)
	}
	if id := p.world.awaitAll(returnBound, whole); id != "" {
		p.findings.add(Returns, "", "%s does not know a leader and %d voters within %v after the last fault", id, controlCount, returnBound)
	}
}

// isWhole reports whether a control VM knows a leader, and all control VMs as voters.
func isWhole(s *wire.StatusResponse) bool {
	voters := 0
	for _, m := range s.GetControls() {
		if m.GetVoter() {
			voters++
		}
	}
	return s.GetControlLeader() != "" && voters == controlCount && len(s.GetControls()) == controlCount
}

// checkInForce checks that the newest configuration is in force everywhere in the end.
func (p *soakRun) checkInForce(ctx context.Context) {
	want := p.operators.newest(time.Now())
	have := map[string]uint64{}
	inForce := func(_ int, v *vm) bool {
		s, err := v.status(ctx)
		if err != nil {
			return false
		}
		have[v.id] = s.GetSelf().GetConfigRevision()
		return have[v.id] >= want
	}
	if id := p.world.awaitAll(inForceBound, inForce); id != "" {
		p.findings.add(ConfigForward, "", "%s has revision %d in force in the end, %d was accepted", id, have[id], want)
	}
}

// checkLevels checks that the VMs give back memory and descriptors.
func (p *soakRun) checkLevels() {
	held := map[string]usage{}
	level := func(i int, v *vm) bool {
		u, err := v.usage()
		if err != nil {
			return false
		}
		held[v.id] = u
		return u.descriptors <= p.levels[i].descriptors+descriptorSlack && u.memory <= p.levels[i].memory+memorySlack
	}
	if id := p.world.awaitAll(levelBound, level); id != "" {
		p.findings.add(Level, "", "%s is above its level after the load; VMs hold %+v, before %+v", id, held, p.levels)
	}
}
