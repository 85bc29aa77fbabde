package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every VM. They are the same on all VMs, as on the platform.
const (
	portCallers   = 8740
	portOperators = 8748
	portHealth    = 8749
	portPeers     = 7200
	portMetrics   = 9464
	portEngine    = 8080
)

// world is one deployment: VMs, engines and the record of a run.
type world struct {
	root   string
	dir    string
	prefix string
	nextIP int
	rec    *record
	vms    []*vm
	procs  []*engineProc
	seeds  []string
	// httpc calls the operators' API. It keeps no connections.
	httpc *http.Client
}

// newWorld creates a temporary folder and chooses a part of the loopback network
// whose ports are free.
func newWorld(rec *record) (*world, error) {
	root, err := filepath.Abs(filepath.Join(os.Getenv("RIG_ROOT")))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, rec: rec, nextIP: 10}
	w.httpc = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for i := range 200 {
		n := (os.Getpid()*31 + i*7) % 50000
		w.prefix = fmt.Sprintf("127.%d.%d", 20+n/250, 1+n%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", w.prefix, portOperators))
		if err == nil {
			l.Close()
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free part of the loopback network")
}

// ip returns a loopback address that no other VM or engine of the world has.
func (w *world) ip() string {
	w.nextIP++
	return fmt.Sprintf("%s.%d", w.prefix, w.nextIP)
}

// close kills all processes and removes the folder.
func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	for _, v := range w.vms {
		v.kill()
	}
	if os.Getenv("RIG_KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept", w.dir)
		return
	}
	os.RemoveAll(w.dir)
}

// vm is a foldd process with its settings.
type vm struct {
	w         *world
	name      string
	zone      string
	ip        string
	core      bool
	bootstrap bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	logs int
}

// addVM adds a VM, which is not started yet.
func (w *world) addVM(name, zone string, core bool) *vm {
	v := &vm{w: w, name: name, zone: zone, ip: w.ip(), core: core, bootstrap: true}
	w.vms = append(w.vms, v)
	return v
}

func (v *vm) addr(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *vm) dataDir() string { return filepath.Join(v.w.dir, v.name, "data") }

// writeSettings writes the settings as deploy/settings.json renders them.
func (v *vm) writeSettings() (string, error) {
	listen := map[string]string{
		"operators": v.addr(portOperators),
		"metrics":   v.addr(portMetrics),
		"peers":     v.addr(portPeers),
	}
	if !v.core {
		listen["callers"] = v.addr(portCallers)
		listen["health"] = v.addr(portHealth)
	}
	s := map[string]any{
		"id": v.name, "domain": v.zone, "region": "region", "private": true,
		"seeds": v.w.seeds, "listen": listen,
		"handleKey": "passed through: no handles are sealed",
		"retry":     map[string]any{"share": 0.2, "window": "10s", "reserve": 54},
		"limits":    map[string]any{"maxBody": 8388608, "drainTimeout": "8s", "drainLinger": "3s", "backendLease": "8s"},
		"log":       map[string]string{"level": "info", "format": "json"},
	}
	if v.core {
		s["control"] = map[string]any{"dataFolder": filepath.Join(v.dataDir(), "replica"), "form": v.bootstrap}
	}
	b, err := json.MarshalIndent(s, "", "\t")
	if err != nil {
		return "", err
	}
	folder := filepath.Join(v.w.dir, v.name)
	if err := os.MkdirAll(v.dataDir(), 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(folder, "settings.json")
	return path, os.WriteFile(path, b, 0o644)
}

// start starts the process as the deploy file does. Only the first start has the
// bootstrap setting.
func (v *vm) start() error {
	path, err := v.writeSettings()
	if err != nil {
		return err
	}
	v.bootstrap = false
	v.logs++
	out, err := os.Create(filepath.Join(v.w.dir, v.name, fmt.Sprintf("log-%d", v.logs)))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(v.w.root, "target/foldd"), "serve")
	cmd.Dir = v.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAFOLD_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	out.Close()
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	go func() {
		cmd.Wait()
		close(done)
	}()
	v.w.rec.add("platform", "starts %s", v.name)
	return nil
}

// running reports whether the process runs.
func (v *vm) running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return false
	}
	select {
	case <-v.done:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for it.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		v.cmd.Process.Signal(s)
	}
}

// wipe removes the data of a VM that does not run: it has lost its disk.
func (v *vm) wipe() error { return os.RemoveAll(v.dataDir()) }

// log returns what the process has logged since its last start.
func (v *vm) log() string {
	b, _ := os.ReadFile(filepath.Join(v.w.dir, v.name, fmt.Sprintf("log-%d", v.logs)))
	return string(b)
}

// ready asks the health address as the platform does.
func (v *vm) ready() bool {
	res, err := v.w.httpc.Get("http://" + v.addr(portHealth) + "/api/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// putConfig sends a configuration to one VM. It returns the status, zero without
// an answer.
func (w *world) putConfig(v *vm, body []byte) (int, string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+v.addr(portOperators)+"/api/config", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	return w.call(req)
}

// getConfig reads the configuration at one VM and returns its version, zero
// without a 200.
func (w *world) getConfig(v *vm) (version uint64, status int, text string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+v.addr(portOperators)+"/api/config", nil)
	if err != nil {
		return 0, 0, err.Error()
	}
	status, text = w.call(req)
	if status != http.StatusOK {
		return 0, status, text
	}
	var c struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return 0, status, text
	}
	return c.Version, status, ""
}

func (w *world) call(req *http.Request) (int, string) {
	res, err := w.httpc.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, strings.TrimSpace(string(b))
}

// applyConfig sends a configuration to the VMs, one after the other with a pause,
// until one acknowledges it.
func (w *world) applyConfig(version uint64, body []byte, timeout time.Duration, vms ...*vm) error {
	end := time.Now().Add(timeout)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		v := vms[i%len(vms)]
		if !v.running() {
			continue
		}
		status, text := w.putConfig(v, body)
		if status == http.StatusOK {
			w.rec.add("operator", "PUT version %d at %s: 200, acknowledged", version, v.name)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("version %d refused at %s with %d: %s", version, v.name, status, text)
		}
		w.rec.add("operator", "PUT version %d at %s: %d, no acknowledgement", version, v.name, status)
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return fmt.Errorf("version %d was not acknowledged within %v", version, timeout)
}

// waitFor waits until cond holds.
func waitFor(what string, timeout time.Duration, cond func() bool) error {
	end := time.Now().Add(timeout)
	for !cond() {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
