package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["control"] = controlCase }

// Times of the case of lost control VMs.
const (
	// diskLossDown is how long the VM that loses its disk is down.
	diskLossDown = 3 * time.Second
	// catchup is the bound catchup_s of the site.
	catchup = 6 * time.Second
	// firstBack and lastBack are when the first and the last of the control VMs are
	// back after all were killed.
	firstBack = 100 * time.Millisecond
	lastBack  = 950 * time.Millisecond
	// recovery is the bound recovery_s of the site.
	recovery = 15 * time.Second
)

// groupLine is a log line of a control replica about its group. The case uses it to
// choose which VM loses its disk, and to wait until the group is whole again.
type groupLine struct {
	Msg     string   `json:"msg"`
	Leader  string   `json:"leader"`
	Term    int      `json:"term"`
	Replica string   `json:"replica"`
	Voters  []string `json:"voters"`
}

// lastGroup returns the last state of the control group that a VM has logged since
// its start.
func (v *vm) lastGroup() (g groupLine) {
	for line := range strings.Lines(v.log()) {
		var l groupLine
		if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "control group changed" {
			g = l
		}
	}
	return g
}

// leader returns the control VM that leads, by its own log, or nil.
func leader(cores []*vm) *vm {
	for _, v := range cores {
		if g := v.lastGroup(); v.running() && g.Leader != "" && g.Leader == g.Replica {
			return v
		}
	}
	return nil
}

// whole reports whether the leader has logged that the replicas of all control VMs
// vote.
func whole(cores []*vm) bool {
	l := leader(cores)
	if l == nil {
		return false
	}
	voters := l.lastGroup().Voters
	for _, v := range cores {
		if !slices.Contains(voters, v.lastGroup().Replica) {
			return false
		}
	}
	return len(voters) == len(cores)
}

// controlConfig returns a small valid configuration.
func controlConfig(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"a.example","path_prefix":"/p/","kind":"safe","timeout_ms":2000,"slo_ms":300,"priority":2,"service":"s","attempts":2,"public":true,"sticky":false,"can_resume":false,"gap_target_ms":0}],"services":[{"name":"s","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, version)
}

// readEverywhere reads the configuration at all VMs for a time. It returns how many
// answers had an older version than want, and how many had not.
func readEverywhere(w *world, vms []*vm, want uint64, period time.Duration) (older, current int) {
	var mu sync.Mutex
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var wg sync.WaitGroup
		for _, v := range vms {
			wg.Go(func() {
				version, status, _ := w.getConfig(v)
				w.rec.add("operator", "GET at %s: status %d, version %d", v.name, status, version)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case status != 200:
				case version < want:
					older++
				default:
					current++
				}
			})
		}
		wg.Wait()
	}
	return older, current
}

// startCores starts five control VMs in five zones, three of them seeds, and waits
// until all vote.
func startCores(w *world) (cores []*vm, err error) {
	for i := range 5 {
		w.addVM(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("zone-%d", i+1), true)
	}
	cores = w.vms
	for _, v := range cores[:3] {
		w.seeds = append(w.seeds, v.addr(portOperators))
	}
	for _, v := range cores {
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	if err := w.applyConfig(10, controlConfig(10), 15*time.Second, cores...); err != nil {
		return nil, err
	}
	return cores, waitFor("five control VMs vote", 20*time.Second, func() bool { return whole(cores) })
}

// loseDisk kills a VM, removes its disk and starts it again, and waits until it
// votes again.
func loseDisk(w *world, cores []*vm, v *vm) error {
	v.kill()
	if err := v.wipe(); err != nil {
		return err
	}
	w.rec.add("platform", "%s loses its disk", v.name)
	time.Sleep(diskLossDown)
	if err := v.start(); err != nil {
		return err
	}
	if err := waitFor("five control VMs vote again", 20*time.Second, func() bool { return whole(cores) }); err != nil {
		return err
	}
	w.rec.add("case", "all five control VMs vote again")
	time.Sleep(catchup)
	return nil
}

// controlCase checks that an acknowledged configuration is never lost: one control VM
// has lost its disk and has come back long ago; then all are killed at the same
// moment and are back within a second.
func controlCase(w *world, trouble bool) error {
	cores, err := startCores(w)
	if err != nil {
		return err
	}
	lead := leader(cores)
	w.rec.add("case", "%s leads", lead.name)
	if !slices.Contains(cores[:3], lead) {
		return errors.New("no seed leads")
	}
	// late are the leader and the other seed whose disk stays.
	var late []*vm
	var lost *vm
	for _, v := range cores[:3] {
		if v == lead || lost != nil {
			late = append(late, v)
			continue
		}
		lost = v
	}
	if trouble {
		if err := loseDisk(w, cores, lost); err != nil {
			return err
		}
	}
	if err := w.applyConfig(20, controlConfig(20), 10*time.Second, cores...); err != nil {
		return err
	}
	if trouble {
		w.rec.add("platform", "kills all control VMs")
		for _, v := range cores {
			v.signal(9)
		}
		for _, v := range cores {
			v.kill()
		}
		killed := time.Now()
		time.Sleep(firstBack)
		for _, v := range cores {
			if !slices.Contains(late, v) {
				if err := v.start(); err != nil {
					return err
				}
			}
		}
		time.AfterFunc(time.Until(killed.Add(lastBack)), func() {
			for _, v := range late {
				if err := v.start(); err != nil {
					w.rec.add("case", "%v", err)
				}
			}
		})
	}
	if err := w.applyConfig(30, controlConfig(30), 15*time.Second, cores...); err != nil {
		return err
	}
	time.Sleep(recovery)
	for _, v := range cores {
		g := v.lastGroup()
		w.rec.add("case", "%s has logged: term %d, leader %s", v.name, g.Term, g.Leader)
	}
	older, current := readEverywhere(w, cores, 30, 5*time.Second)
	if older > 0 {
		return fmt.Errorf("%w: version 30 was acknowledged; %d of %d reads that were answered gave an older one", errBroken, older, older+current)
	}
	if current == 0 {
		return fmt.Errorf("%w: version 30 was acknowledged; no read of the configuration was answered", errBroken)
	}
	return nil
}
