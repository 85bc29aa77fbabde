package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portFront   = 8740
	portControl = 8748
	portReady   = 8749
	portPeers   = 7200
	portEngine  = 8684
)

// bounds are those of the deployment's sheet, as the platform names them in the settings.
type bounds map[string]any

// machine is a machine of the system with its process.
type machine struct {
	name, ip, zone, class string
	folder                string
	starts                int
	cmd                   *exec.Cmd
	exited                chan struct{}
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet holds the machines of a deployment.
type fleet struct {
	rec      *recorder
	dir      string
	repo     string
	template string
	region   string
	bounds   bounds
	memoryMB float64
	network  string
	seeds    []string
	machines []*machine
	// oneCore makes each process take one core, as the platform shows a machine with one.
	oneCore bool
}

// freeNetwork returns the first three numbers of loopback addresses that nobody listens on.
func freeNetwork() (string, error) {
	for i := 0; i < 50; i++ {
		n := time.Now().UnixNano()/1000 + int64(i*7919)
		prefix := fmt.Sprintf("127.%d.%d", 20+n%200, 1+(n/200)%250)
		free := true
		for _, host := range []int{11, 12, 13, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 101, 102, 103, 104, 105, 106, 111} {
			for _, port := range []int{portFront, portControl, portReady, portPeers, portEngine, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func newFleet(rec *recorder, region string, memoryMB float64, b bounds) (*fleet, error) {
	repo := os.Getenv("REPO")
	t, err := os.ReadFile(filepath.Join(repo, "deploy", "settings.json"))
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	return &fleet{rec: rec, dir: dir, repo: repo, template: string(t), region: region, bounds: b, memoryMB: memoryMB, network: network}, nil
}

// addMachine adds a machine of a class, "front" or "core".
func (f *fleet) addMachine(class, zone string, host int) *machine {
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, host), ip: fmt.Sprintf("%s.%d", f.network, host), zone: zone, class: class}
	m.folder = filepath.Join(f.dir, m.name)
	f.machines = append(f.machines, m)
	if class == "core" && len(f.seeds) < 3 {
		f.seeds = append(f.seeds, m.addr(portControl))
	}
	return m
}

// fields returns the fields with which the platform fills the template.
func (f *fleet) fields(m *machine) map[string]any {
	listen := map[string]any{"control": m.addr(portControl)}
	out := map[string]any{
		"node": m.name, "class": m.class, "ip": m.ip, "zone": m.zone, "region": f.region, "port_range": []any{portPeers, portPeers + 15},
		"seeds": toAny(f.seeds), "bootstrap": m.starts == 0, "tolerated": m.class == "core", "listen": listen,
		"limits": map[string]any{"memory_mb": f.memoryMB, "cores": 1}, "bounds": map[string]any(f.bounds),
	}
	if m.class == "front" {
		listen["front"], listen["ready"] = m.addr(portFront), m.addr(portReady)
	} else {
		out["data_dir"] = filepath.Join(m.folder, "data")
	}
	return out
}

func toAny(list []string) []any {
	var out []any
	for _, s := range list {
		out = append(out, s)
	}
	return out
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "node.json")
	if err := os.WriteFile(settings, []byte(render(f.template, f.fields(m))), 0o600); err != nil {
		return err
	}
	m.starts++
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join(f.repo, "target", "foldd"), "serve")
	m.cmd.Dir = f.repo
	m.cmd.Env = []string{"FUCHSIAFOLD_CONFIG=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	if f.oneCore {
		m.cmd.Env = append(m.cmd.Env, "GOMAXPROCS=1")
	}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		cmd.Wait()
		log.Close()
		close(done)
	}(m.cmd, m.exited)
	f.rec.log("machine %s started (%s, zone %s)", m.name, m.ip, m.zone)
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	m.cmd.Process.Signal(s)
	f.rec.log("machine %s: signal %v", m.name, s)
}

// running reports whether the process of a machine has not ended.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	for _, m := range f.machines {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		m.cmd.Process.Signal(syscall.SIGCONT)
		m.cmd.Process.Kill()
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
