package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/wire"
)

// waitTimeout bounds every wait of these tests. It affects only how long a test
// takes to fail.
const waitTimeout = 30 * time.Second

// build compiles foldd once for all tests.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "foldd-test-")
	if err != nil {
		return "", err
	}
	out := filepath.Join(dir, "foldd")
	b, err := exec.Command("go", "build", "-o", out, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, b)
	}
	return out, nil
})

// vm is a foldd process with its settings, data folder and addresses.
type vm struct {
	t        testing.TB
	id       string
	settings string
	data     string
	callers  string
	backends string
	peers    string
	operator string
	process  *exec.Cmd
	log      bytes.Buffer
}

// nextPort is the last port that freeAddr tried. The ports are below the range
// from which the kernel allocates the local ports of outgoing connections;
// otherwise such a connection could take a port between freeAddr and its use.
var nextPort atomic.Int32

func init() { nextPort.Store(int32(10_000 + os.Getpid()%100*200)) }

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t testing.TB) string {
	t.Helper()
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// startVMs starts n control VMs, each in a separate failure domain, and waits until
// all of them are voters. The first one bootstraps the control group.
func startVMs(t testing.TB, n int) []*vm {
	t.Helper()
	var vms []*vm
	var peers []string
	for i := range n {
		v := &vm{t: t, id: fmt.Sprintf("vm%d", i+1), callers: freeAddr(t), backends: freeAddr(t), peers: freeAddr(t), operator: freeAddr(t)}
		dir := t.TempDir()
		v.data = filepath.Join(dir, "data")
		v.settings = filepath.Join(dir, "settings.jsonc")
		vms = append(vms, v)
		peers = append(peers, v.peers)
	}
	list, err := json.Marshal(peers)
	if err != nil {
		t.Fatal(err)
	}
	for i, v := range vms {
		v.writeSettings(string(list), i == 0)
		v.start()
		if i == 0 {
			v.waitLeader()
		}
	}
	waitFor(t, "all control VMs to be voters", func() bool { return voters(vms) == n })
	// The bootstrap setting is for the first start only.
	vms[0].writeSettings(string(list), false)
	return vms
}

func (v *vm) writeSettings(peers string, bootstrap bool) {
	v.t.Helper()
	text := fmt.Sprintf(`{
		"id": %q, "domain": %q, "handleKey": "0123456789abcdef",
		"listen": {"callers": %q, "backends": %q, "peers": %q, "operators": %q},
		"peers": %s, "controls": %s,
		"control": {"dataFolder": %q, "bootstrap": %t},
	}`, v.id, "domain-"+v.id, v.callers, v.backends, v.peers, v.operator, peers, peers, v.data, bootstrap)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		v.t.Fatal(err)
	}
}

// start starts the process. If the test fails, its cleanup logs the goroutines and
// the log of the process.
func (v *vm) start() {
	v.t.Helper()
	bin, err := build()
	if err != nil {
		v.t.Fatal(err)
	}
	v.process = exec.Command(bin, "serve", v.settings)
	v.process.Stdout = &v.log
	v.process.Stderr = &v.log
	if err := v.process.Start(); err != nil {
		v.t.Fatal(err)
	}
	p := v.process
	v.t.Cleanup(func() {
		p.Process.Signal(syscall.SIGCONT)
		if v.t.Failed() {
			// On SIGQUIT the runtime writes the stacks of all goroutines.
			p.Process.Signal(syscall.SIGQUIT)
			time.Sleep(time.Second)
		}
		p.Process.Kill()
		p.Wait()
		if v.t.Failed() {
			v.t.Logf("log of %s:\n%s", v.id, v.log.String())
		}
	})
}

func (v *vm) kill() {
	v.process.Process.Kill()
	v.process.Wait()
}

func (v *vm) client() wire.OperatorServiceClient {
	return wire.NewOperatorServiceClient(&http.Client{Timeout: waitTimeout}, "http://"+v.operator)
}

// status returns the VM's status, or an empty one if the VM doesn't answer.
func (v *vm) status() *wire.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	res, err := v.client().Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return &wire.StatusResponse{}
	}
	return res.Msg
}

func (v *vm) waitLeader() {
	v.t.Helper()
	waitFor(v.t, "a leader", func() bool { return v.status().GetControlLeader() != "" })
}

// voters returns the lowest number of voters that any of the VMs reports.
func voters(vms []*vm) int {
	lowest := len(vms)
	for _, v := range vms {
		n := 0
		for _, m := range v.status().GetControls() {
			if m.GetVoter() {
				n++
			}
		}
		lowest = min(lowest, n)
	}
	return lowest
}

// leaderOf waits for a leader of the control group and returns its VM and the
// other VMs.
func leaderOf(t *testing.T, vms []*vm) (leader *vm, others []*vm) {
	t.Helper()
	waitFor(t, "a leader", func() bool {
		leader, others = nil, nil
		id := ""
		for _, v := range vms {
			if id = v.status().GetControlLeader(); id != "" {
				break
			}
		}
		for _, v := range vms {
			if v.id == id {
				leader = v
				continue
			}
			others = append(others, v)
		}
		return leader != nil
	})
	return leader, others
}

// waitFor polls ok until it returns true, and fails the test after waitTimeout.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// config returns a valid configuration document that differs for each number.
func config(number int) []byte {
	return fmt.Appendf(nil, `{
		// Change %d.
		"classes": [{"name": "c%d", "target": {"completion": "1h"}}],
		"services": [{"name": "booking-app", "kind": "plain"}],
		"routes": [{"path": "/remind", "methods": ["POST"], "service": "booking-app", "idempotent": false, "timeout": "2s"}],
		"workspaces": [{"name": "w", "keySHA256": %q}],
	}`, number, number, spec.HashKey("k"))
}

// apply sends config(number) as a change on the revision base, once.
func (v *vm) apply(base uint64, change string, number int) (*wire.ApplyResponse, error) {
	return v.sendDocument(base, change, config(number))
}

// sendDocument sends a configuration document as a change on the revision base,
// once.
func (v *vm) sendDocument(base uint64, change string, document []byte) (*wire.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req := &wire.ApplyRequest{BaseRevision: base, ChangeId: change, Document: document, WaitMillis: 8000}
	res, err := v.client().Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// applyUntil sends a change to the VMs in turn until one of them answers, with a
// revision or a conflict.
func applyUntil(t *testing.T, vms []*vm, base uint64, change string, number int) *wire.ApplyResponse {
	t.Helper()
	var res *wire.ApplyResponse
	waitFor(t, "change "+change, func() bool {
		for _, v := range vms {
			r, err := v.apply(base, change, number)
			if err == nil {
				res = r
				return true
			}
		}
		return false
	})
	return res
}
