package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// vmCount is the number of VMs, of which the first controlCount have a control
	// replica.
	vmCount      = 5
	controlCount = 3
	// startTimeout bounds the start of everything.
	startTimeout = 30 * time.Second
)

// world is the system under test with its backend servers.
type world struct {
	vms      []*vm
	servers  *servers
	orders   orders
	findings *findings
	// binary and old are the paths of the program and of an older one, the latter empty if
	// there is no upgrade.
	binary, old string

	mu sync.Mutex
	// peers and controls are the addresses of all VMs and of the control VMs, guarded by
	// mu.
	peers, controls []netip.AddrPort
}

// addrs returns the addresses of all VMs and of the control VMs.
func (w *world) addrs() (peers, controls []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.peers), slices.Clone(w.controls)
}

// newWorld starts the VMs and the backend servers.
func newWorld(o Options, folder string, f *findings) (*world, error) {
	w := &world{findings: f, binary: o.Binary, old: o.Old}
	for i := range vmCount {
		v, err := newVM(fmt.Sprintf("vm%d", i+1), cmp.Or(o.Old, o.Binary), filepath.Join(folder, fmt.Sprintf("vm%d", i+1)), i < controlCount)
		if err != nil {
			return w, err
		}
		w.vms = append(w.vms, v)
		w.peers = append(w.peers, v.peerProxy.Addr())
		if i < controlCount {
			w.controls = append(w.controls, v.peerProxy.Addr())
		}
	}
	for _, v := range w.vms {
		if err := v.writeSettings(w.peers, w.controls, true); err != nil {
			return w, err
		}
		if err := v.start(); err != nil {
			return w, err
		}
	}
	calm := func(i int, since time.Time) bool {
		return i >= 0 && i < len(w.vms) && w.vms[i].calmSince(since)
	}
	connected := func(i int, since time.Time) bool { return calm(i, since) && w.quorumSince(since) }
	w.servers = &servers{findings: f, calm: calm, connected: connected, orders: &w.orders, old: o.Old != ""}
	for i, v := range w.vms {
		w.servers.entries = append(w.servers.entries, v.backends)
		w.watchPasses(i, v.currentPeerProxy())
	}
	return w, w.servers.startAll()
}

// watchPasses notes the requests that are passed on to a VM, by its index, through its proxy
// for other VMs.
func (w *world) watchPasses(vm int, p *Proxy) {
	p.watch(func(id string) { w.servers.passes.note(id, vm) })
}

func newVM(id, binary, folder string, control bool) (*vm, error) {
	v := &vm{id: id, binary: binary, folder: folder}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return v, fmt.Errorf("make folder: %w", err)
	}
	if control {
		v.data = filepath.Join(folder, "data")
	}
	for _, addr := range []*netip.AddrPort{&v.callers, &v.backends, &v.peers, &v.operators} {
		var err error
		if *addr, err = freePort(); err != nil {
			return v, err
		}
	}
	v.newClient()
	var err error
	if v.proxy, err = NewProxy(v.callers); err != nil {
		return v, err
	}
	v.peerProxy, err = NewProxy(v.peers)
	return v, err
}

// close ends everything that the world started.
func (w *world) close() {
	var wg sync.WaitGroup
	for _, v := range w.vms {
		wg.Go(func() {
			v.stop(syscall.SIGKILL)
			for _, p := range []*Proxy{v.proxy, v.peerProxy} {
				if p != nil {
					p.Close()
				}
			}
		})
	}
	wg.Wait()
	if w.servers != nil {
		w.servers.closeAll()
	}
}

// apply applies a fault and ends it after its time, or earlier if ctx ends.
func (w *world) apply(ctx context.Context, f Fault) {
	if f.Kind.ofServer() {
		w.disturbServer(ctx, f)
		return
	}
	if f.Kind == RollVMs {
		w.roll(ctx)
		return
	}
	if f.Kind == KillAll {
		w.killAll(ctx, f.For)
		return
	}
	v := w.vms[f.Target]
	if mode, ok := callerModes[f.Kind]; ok {
		v.disturbProxy(ctx, v.proxy, mode, f.For)
		return
	}
	if mode, ok := peerModes[f.Kind]; ok {
		v.disturbProxy(ctx, v.currentPeerProxy(), mode, f.For)
		return
	}
	if f.Kind == ReloadVM {
		w.reload(ctx, v, f.For)
		return
	}
	if fault, ok := diskFaults[f.Kind]; ok {
		w.disturbDisk(ctx, v, fault, f.For)
		return
	}
	if f.Kind == ReplaceVM {
		w.replaceVM(ctx, f)
		return
	}
	if f.Kind == LoseLeader {
		w.loseLeader(ctx, f)
		return
	}
	if f.Kind == ThrottleVM {
		w.throttle(ctx, v, f.For)
		return
	}
	if f.Kind == PauseVM {
		v.signal(syscall.SIGSTOP)
		sleep(ctx, f.For)
		v.signal(syscall.SIGCONT)
		return
	}
	w.restart(ctx, v, f)
}

var callerModes = map[Kind]Mode{DelayCallers: Delay, ResetCallers: Reset, SilenceCallers: Silence, HalfOpenCallers: HalfOpen}

var peerModes = map[Kind]Mode{DelayPeers: Delay, ResetPeers: Reset, SilencePeers: Silence, HalfOpenPeers: HalfOpen}

// diskFaults holds what the soak's build of foldd reads for each kind of fault of a disk.
var diskFaults = map[Kind]string{SlowDisk: "150ms", StallDisk: "stall", FullDisk: "full"}

var serverModes = map[Kind]Mode{DelayServer: Delay, ResetServer: Reset, SilenceServer: Silence}

// restart ends a VM, does what the fault says to it, and starts it again.
func (w *world) restart(ctx context.Context, v *vm, f Fault) {
	s := syscall.SIGKILL
	if slices.Contains([]Kind{StopVM, UpgradeVM, DowngradeVM}, f.Kind) {
		s = syscall.SIGTERM
	}
	v.stop(s)
	switch f.Kind {
	case WipeVM:
		w.check(v.wipe())
		peers, controls := w.addrs()
		w.check(v.writeSettings(peers, controls, false))
	case TearVM:
		w.check(v.tear())
	case StepClock:
		v.setClock(f.Step)
	case UpgradeVM:
		v.setBinary(w.binary)
	case DowngradeVM:
		v.setBinary(w.old)
	}
	sleep(ctx, f.For)
	w.check(v.start())
}

// disturbDisk lets the disk of a VM fail for a time.
func (w *world) disturbDisk(ctx context.Context, v *vm, fault string, during time.Duration) {
	w.check(v.setDiskFault(fault))
	v.disturbFor(ctx, during)
	w.check(v.setDiskFault(""))
}

// replaceVM ends a control VM for good, and starts one with an empty disk at another
// address in its place. The settings of all others change.
func (w *world) replaceVM(ctx context.Context, f Fault) {
	v := w.vms[f.Target]
	v.stop(syscall.SIGKILL)
	w.check(v.wipe())
	sleep(ctx, f.For)
	proxy, err := NewProxy(v.peers)
	if err != nil {
		w.check(err)
		return
	}
	w.watchPasses(f.Target, proxy)
	old := v.setPeerProxy(proxy)
	old.Close()
	w.mu.Lock()
	w.peers[f.Target], w.controls[f.Target] = proxy.Addr(), proxy.Addr()
	w.mu.Unlock()
	peers, controls := w.addrs()
	for _, other := range w.vms {
		if other == v {
			w.check(v.writeSettings(peers, controls, false))
			continue
		}
		w.check(other.changeAddrs(peers, controls))
		other.signal(syscall.SIGHUP)
	}
	w.check(v.start())
}

// check records an error of the soak itself.
func (w *world) check(err error) {
	if err != nil {
		w.findings.add(StaysUp, "", "the soak failed: %v", err)
	}
}

// reload signals a VM several times that its settings have changed: the order of the
// addresses to start from.
func (w *world) reload(ctx context.Context, v *vm, during time.Duration) {
	for i := range reloads {
		peers, controls := w.addrs()
		w.check(v.changeAddrs(append(peers[i:], peers[:i]...), controls))
		v.signal(syscall.SIGHUP)
		sleep(ctx, during/reloads)
	}
}

// roll stops all VMs in turn, and starts each again before the next.
func (w *world) roll(ctx context.Context) {
	for _, v := range w.vms {
		w.restart(ctx, v, Fault{Kind: StopVM, For: rollGap / 4})
		sleep(ctx, rollGap)
	}
}

func (w *world) killAll(ctx context.Context, down time.Duration) {
	var wg sync.WaitGroup
	for _, v := range w.vms {
		wg.Go(func() { v.stop(syscall.SIGKILL) })
	}
	wg.Wait()
	sleep(ctx, down)
	for _, v := range w.vms {
		w.check(v.start())
	}
}

func (w *world) disturbServer(ctx context.Context, f Fault) {
	x := w.servers.at(f.Target)
	if mode, ok := serverModes[f.Kind]; ok {
		x.proxy.SetMode(mode)
		sleep(ctx, f.For)
		x.proxy.SetMode(Pass)
		return
	}
	switch f.Kind {
	case BreakAnswers:
		x.setBreaking(true)
		sleep(ctx, f.For)
		x.setBreaking(false)
		return
	case LimitServer:
		x.limited.name(true)
		sleep(ctx, f.For)
		x.limited.name(false)
	case EndlessAnswers:
		x.setEndless(true)
		sleep(ctx, f.For)
		x.setEndless(false)
	case SayLeaving:
		x.statements.sayLeaving()
		sleep(ctx, f.For)
		w.check(w.servers.replace(f.Target))
		sleep(ctx, leaveTime)
		x.close()
	case TurnAway:
		x.statements.turnAway(true)
		sleep(ctx, f.For)
		x.statements.turnAway(false)
	case LeaveServer:
		x.leave()
		w.check(w.servers.replace(f.Target))
		sleep(ctx, leaveTime)
		x.close()
	case CrashServer:
		x.close()
		sleep(ctx, f.For)
		w.check(w.servers.replace(f.Target))
	}
}

// awaitAll waits until a condition holds for all VMs, and returns the ID of one for
// which it does not, or an empty string.
func (w *world) awaitAll(timeout time.Duration, ok func(i int, v *vm) bool) string {
	deadline := time.Now().Add(timeout)
	for {
		missing := ""
		for i, v := range w.vms {
			if !ok(i, v) {
				missing = v.id
			}
		}
		if missing == "" || time.Now().After(deadline) {
			return missing
		}
		time.Sleep(50 * time.Millisecond)
	}
}
