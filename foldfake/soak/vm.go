package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/wire"
)

// vm is a foldd process with its files and addresses.
type vm struct {
	id string
	// folder holds the settings and the log; data is the data folder, empty if the VM
	// has no control replica.
	folder, data                        string
	callers, backends, peers, operators netip.AddrPort
	// proxy stands before the callers' address.
	proxy  *Proxy
	client wire.OperatorServiceClient

	mu sync.Mutex
	// peerProxy stands before the address for other VMs.
	peerProxy *Proxy
	// binary is the path of the program that the next start runs.
	binary string
	// settings is what the settings file holds.
	settings settings
	process  *exec.Cmd
	// exited is closed once the process has ended and has been waited for.
	exited chan struct{}
	// clockStep is by how much the time of day of the next process is wrong.
	clockStep time.Duration
	// incarnation counts the starts.
	incarnation int
	// down and suspended are set while the soak keeps the process so.
	down, suspended bool
	// lastDisturbed is when the soak last did something to the VM or its callers.
	lastDisturbed time.Time
}

// statusTimeout bounds the call of an operator to a VM.
const statusTimeout = time.Second

// Ports of VMs lie below the range from which the kernel takes the ports of outgoing
// connections.
const (
	firstPort = 12_000
	portCount = 18_000
)

// lastPort counts the ports that were considered, so that no two VMs of a process get the
// same one.
var lastPort atomic.Uint32

// freePort returns a loopback address that nothing listens on.
func freePort() (netip.AddrPort, error) {
	const tries = 1000
	for range tries {
		n := (uint32(os.Getpid())*997 + lastPort.Add(1)) % portCount
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+n))
		if l, err := net.Listen("tcp", addr.String()); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no free port from %d on", firstPort)
}

// settings is the settings file of a VM.
type settings struct {
	ID        string            `json:"id"`
	Domain    string            `json:"domain"`
	HandleKey string            `json:"handleKey"`
	Listen    map[string]string `json:"listen"`
	Advertise netip.AddrPort    `json:"advertise"`
	Peers     []netip.AddrPort  `json:"peers"`
	Controls  []netip.AddrPort  `json:"controls"`
	Control   *controlSettings  `json:"control,omitempty"`
	Retry     map[string]any    `json:"retry"`
	Limits    map[string]any    `json:"limits"`
	Log       map[string]string `json:"log"`
}

type controlSettings struct {
	DataFolder string `json:"dataFolder"`
	Form       bool   `json:"form"`
}

// writeSettings writes the settings file of a VM. With form, a control VM forms the
// group with the others; a VM whose disk was lost joins it instead.
func (v *vm) writeSettings(peers, controls []netip.AddrPort, form bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings = settings{
		ID: v.id, Domain: "domain-" + v.id, HandleKey: "0123456789abcdef", Advertise: v.peerProxy.Addr(), Peers: peers, Controls: controls,
		Listen: map[string]string{"callers": v.callers.String(), "backends": v.backends.String(), "peers": v.peers.String(), "operators": v.operators.String()},
		Retry:  map[string]any{"share": 0.2, "reserve": 50},
		Limits: map[string]any{"stallTimeout": "500ms", "connectTimeout": "500ms", "drainTimeout": "3s"},
		Log:    map[string]string{"format": "json"},
	}
	if v.data != "" {
		v.settings.Control = &controlSettings{DataFolder: v.data, Form: form}
	}
	return v.saveSettings()
}

// changeAddrs changes the addresses to start from.
func (v *vm) changeAddrs(peers, controls []netip.AddrPort) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings.Peers, v.settings.Controls = peers, controls
	return v.saveSettings()
}

// setPeerProxy sets the proxy before the address for other VMs, and returns the one before.
func (v *vm) setPeerProxy(p *Proxy) *Proxy {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.peerProxy
	v.peerProxy = p
	return old
}

func (v *vm) currentPeerProxy() *Proxy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peerProxy
}

// saveSettings replaces the settings file, which is never seen in part. The caller
// holds the lock.
func (v *vm) saveSettings() error {
	b, err := json.Marshal(v.settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(v.settingsPath()+".new", b, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := os.Rename(v.settingsPath()+".new", v.settingsPath()); err != nil {
		return fmt.Errorf("replace settings: %w", err)
	}
	return nil
}

func (v *vm) settingsPath() string { return filepath.Join(v.folder, "settings.jsonc") }

func (v *vm) logPath() string { return filepath.Join(v.folder, "log") }

// start starts the process, unless it runs.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	log, err := os.OpenFile(v.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	p := exec.Command(v.binary, "serve", v.settingsPath())
	p.Stdout, p.Stderr = log, log
	p.Env = append(os.Environ(), "FOLD_SOAK_CLOCK="+v.clockStep.String())
	if err := closeOnExec(); err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.id, err)
	}
	exited := make(chan struct{})
	v.process, v.exited, v.down, v.suspended = p, exited, false, false
	v.incarnation++
	v.lastDisturbed = time.Now()
	go func() {
		// How it ended is in the log; an end that the soak did not cause is found by
		// check.
		_ = p.Wait()
		close(exited)
	}()
	return nil
}

// closeOnExec keeps processes that are started from inheriting descriptors. nbio opens its
// epoll and event descriptors without that flag, and a process would count those of all
// backend servers of the soak as its own.
func closeOnExec() error {
	fds, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return fmt.Errorf("list descriptors: %w", err)
	}
	for _, e := range fds {
		fd, err := strconv.Atoi(e.Name())
		if err != nil {
			return fmt.Errorf("list descriptors: %w", err)
		}
		if fd > syscall.Stderr {
			syscall.CloseOnExec(fd)
		}
	}
	return nil
}

// signal sends a signal to the process, if there is one. A reload is no disturbance.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s != syscall.SIGHUP {
		v.lastDisturbed = time.Now()
	} else if v.suspended || time.Since(v.lastDisturbed) < handlersTime {
		return
	}
	if v.process == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		v.suspended = true
	case syscall.SIGCONT:
		v.suspended = false
	}
	// The process may have ended already.
	_ = v.process.Process.Signal(s)
}

// stop ends the process with a signal and waits until it is gone. A process that is
// suspended is continued first.
func (v *vm) stop(s syscall.Signal) {
	v.mu.Lock()
	p, exited := v.process, v.exited
	v.down = true
	v.lastDisturbed = time.Now()
	v.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Signal(syscall.SIGCONT)
	_ = p.Process.Signal(s)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		_ = p.Process.Kill()
		<-exited
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == p {
		v.process = nil
	}
	v.lastDisturbed = time.Now()
}

// handlersTime is the time after its start in which a process may not handle SIGHUP
// yet, which then ends it (TestHangupDuringStart). A process may be suspended within
// it, so that the time counts from the last disturbance.
const handlersTime = 300 * time.Millisecond

// stopTimeout is longer than the drain timeout of the VMs.
const stopTimeout = 8 * time.Second

// crashed reports whether the process has ended though the soak did not end it.
func (v *vm) crashed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.down {
		return false
	}
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// calmSince reports whether the soak has left the VM alone since a time.
func (v *vm) calmSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil && !v.down && !v.suspended && v.lastDisturbed.Before(t)
}

// disturbProxy lets a proxy before the VM disturb connections for a time.
func (v *vm) disturbProxy(ctx context.Context, p *Proxy, m Mode, during time.Duration) {
	p.SetMode(m)
	v.disturbFor(ctx, during)
	p.SetMode(Pass)
}

// disturbFor waits for a time, in which the VM counts as disturbed.
func (v *vm) disturbFor(ctx context.Context, during time.Duration) {
	for end := time.Now().Add(during); ; sleep(ctx, min(time.Until(end), disturbInterval)) {
		v.mu.Lock()
		v.lastDisturbed = time.Now()
		v.mu.Unlock()
		if ctx.Err() != nil || !time.Now().Before(end) {
			return
		}
	}
}

// setDiskFault sets the fault of the VM's disk, empty for none. The soak's build of foldd
// reads it from a file beside the data folder.
func (v *vm) setDiskFault(fault string) error {
	path := filepath.Join(v.folder, "disk")
	if fault != "" {
		return os.WriteFile(path, []byte(fault), 0o600)
	}
	if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	// Another fault of this disk has ended.
	return nil
}

// setClock sets by how much the time of day is wrong from the next start on.
func (v *vm) setClock(step time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clockStep = step
}

// setBinary sets the path of the program from the next start on.
func (v *vm) setBinary(path string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.binary = path
}

// disturbInterval is the time between two notes that a VM is being disturbed.
const disturbInterval = 200 * time.Millisecond

func (v *vm) currentIncarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation
}

// status returns the VM's status.
func (v *vm) status(ctx context.Context) (*wire.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	res, err := v.client.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return nil, fmt.Errorf("status of %s: %w", v.id, err)
	}
	return res.Msg, nil
}

func (v *vm) newClient() {
	v.client = wire.NewOperatorServiceClient(&http.Client{}, "http://"+v.operators.String())
}

// wipe removes the data folder.
func (v *vm) wipe() error {
	if err := os.RemoveAll(v.data); err != nil {
		return fmt.Errorf("wipe %s: %w", v.id, err)
	}
	return nil
}

// tear appends the beginning of a record to the newest log file, as a crash during a
// write leaves it.
func (v *vm) tear() error {
	logs, err := filepath.Glob(filepath.Join(v.data, "log-*"))
	if err != nil || len(logs) == 0 {
		return err
	}
	slices.Sort(logs)
	f, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("open log of replica: %w", err)
	}
	defer f.Close()
	if _, err := f.Write([]byte{40, 0, 0, 0, 1, 2, 3}); err != nil {
		return fmt.Errorf("tear log of replica: %w", err)
	}
	return nil
}

// usage is what a process holds.
type usage struct {
	descriptors int
	memory      int64
}

// usage returns what the process holds, from the kernel's files.
func (v *vm) usage() (usage, error) {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	if p == nil {
		return usage{}, nil
	}
	dir := fmt.Sprintf("/proc/%d", p.Process.Pid)
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return usage{}, fmt.Errorf("count descriptors: %w", err)
	}
	b, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return usage{}, fmt.Errorf("read memory: %w", err)
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return usage{}, fmt.Errorf("read memory: %q", b)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return usage{}, fmt.Errorf("read memory: %w", err)
	}
	return usage{descriptors: len(fds), memory: pages * int64(os.Getpagesize())}, nil
}
