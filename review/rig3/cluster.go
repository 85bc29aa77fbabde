package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of a VM. Each VM has a loopback address of its own.
const (
	portCallers   = 8740
	portOperators = 8748
	portHealth    = 8749
	portPeers     = 7200
	portMetrics   = 9464
)

// errSetup is wrapped by errors that keep a case from running.
var errSetup = errors.New("the case can't run")

// vm is one process of the project's program, on a loopback address of its own.
type vm struct {
	id, zone, ip string
	core         bool
	settings     string
	log          string
	cmd          *exec.Cmd
	exited       chan struct{}
}

func (v *vm) callers() string   { return fmt.Sprintf("%s:%d", v.ip, portCallers) }
func (v *vm) operators() string { return fmt.Sprintf("%s:%d", v.ip, portOperators) }

// cluster is a small deployment: control VMs and entry VMs, started as the deploy file says.
type cluster struct {
	root, dir string
	rec       *record
	prefix    string
	vms       []*vm
	nextIP    int
}

// newCluster returns a deployment without VMs, whose files are in a temporary folder.
func newCluster(root string, rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	c := &cluster{root: root, dir: dir, rec: rec, nextIP: 1}
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d.", 60+rand.IntN(150), 1+rand.IntN(250))
		if c.free() {
			return c, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback addresses", errSetup)
}

// free reports whether nothing listens on the addresses of the deployment.
func (c *cluster) free() bool {
	for i := 1; i <= 20; i++ {
		for _, port := range []int{portCallers, portOperators, portHealth, portPeers, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", c.prefix, i, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// ip returns a loopback address that nothing of the deployment uses yet.
func (c *cluster) ip() string {
	ip := fmt.Sprintf("%s%d", c.prefix, c.nextIP)
	c.nextIP++
	return ip
}

// start starts control VMs and entry VMs, one of each kind in each zone in turn.
func (c *cluster) start(cores, fronts int) error {
	for i := range cores {
		c.vms = append(c.vms, &vm{id: fmt.Sprintf("core-%d", i+1), zone: zoneName(i), ip: c.ip(), core: true})
	}
	for i := range fronts {
		c.vms = append(c.vms, &vm{id: fmt.Sprintf("front-%d", i+1), zone: zoneName(i), ip: c.ip()})
	}
	for _, v := range c.vms {
		v.settings = filepath.Join(c.dir, v.id+".json")
		v.log = filepath.Join(c.dir, v.id+".log")
		if err := c.writeSettings(v, true); err != nil {
			return err
		}
		if err := c.launch(v); err != nil {
			return err
		}
	}
	return nil
}

func zoneName(i int) string { return string(rune('a'+i%3)) + "-zone" }

func (c *cluster) fronts() []*vm {
	var out []*vm
	for _, v := range c.vms {
		if !v.core {
			out = append(out, v)
		}
	}
	return out
}

func (c *cluster) cores() []*vm {
	var out []*vm
	for _, v := range c.vms {
		if v.core {
			out = append(out, v)
		}
	}
	return out
}

// writeSettings writes what deploy/settings.json gives for the VM on the site dmhc.
func (c *cluster) writeSettings(v *vm, bootstrap bool) error {
	var seeds []string
	for _, o := range c.cores() {
		if len(seeds) < 3 {
			seeds = append(seeds, o.operators())
		}
	}
	listen := map[string]string{
		"operators": v.operators(),
		"metrics":   fmt.Sprintf("%s:%d", v.ip, portMetrics),
		"peers":     fmt.Sprintf("%s:%d", v.ip, portPeers),
	}
	memory := 280
	s := map[string]any{
		"id": v.id, "domain": v.zone, "region": "tas-south", "private": true, "seeds": seeds, "listen": listen,
		"handleKey": "passed through: no handles are sealed",
		"retry":     map[string]any{"share": 0.2, "window": "10s", "reserve": 54},
		"log":       map[string]string{"level": "info", "format": "json"},
	}
	if v.core {
		s["control"] = map[string]any{"dataFolder": filepath.Join(c.dir, v.id, "replica"), "form": bootstrap}
	} else {
		listen["callers"] = v.callers()
		listen["health"] = fmt.Sprintf("%s:%d", v.ip, portHealth)
		memory = 134
	}
	s["limits"] = map[string]any{"maxBody": 8388608, "memoryMB": memory, "drainTimeout": "8s", "drainLinger": "3s", "backendLease": "8s"}
	b, err := json.MarshalIndent(s, "", "\t")
	if err == nil {
		err = os.WriteFile(v.settings, b, 0o600)
	}
	if err != nil {
		return fmt.Errorf("%w: write settings: %w", errSetup, err)
	}
	return nil
}

// launch starts the process of a VM with the command of the deploy file.
func (c *cluster) launch(v *vm) error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(c.root, "target", "foldd"), "serve")
	cmd.Dir = c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAFOLD_CONFIG=" + v.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", errSetup, v.id, err)
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	go func() {
		// The state of the process tells how it ended.
		_ = cmd.Wait()
		close(v.exited)
	}()
	c.rec.line("start", "vm", v.id, "ip", v.ip, "pid", cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of a VM.
func (c *cluster) signal(v *vm, s syscall.Signal) {
	c.rec.line("signal", "vm", v.id, "signal", s.String())
	_ = v.cmd.Process.Signal(s)
}

// running reports whether the process of a VM has not ended.
func (v *vm) running() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes the deployment's files. KEEP=1 keeps the files.
func (c *cluster) stop() {
	for _, v := range c.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
		return
	}
	fmt.Println("files:", c.dir)
}

// awaitReady waits until all entry VMs say that they are ready.
func (c *cluster) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, v := range c.fronts() {
		for !ready(v) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s does not become ready", errSetup, v.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func ready(v *vm) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/api/readyz", v.ip, portHealth), nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
