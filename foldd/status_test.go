package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// buildCtl compiles foldctl once for all tests.
var buildCtl = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "foldctl-test-")
	if err != nil {
		return "", err
	}
	out := filepath.Join(dir, "foldctl")
	b, err := exec.Command("go", "build", "-o", out, "fuchsiafold.example/foldctl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, b)
	}
	return out, nil
})

// shownStatus returns what foldctl status prints of a VM, with the error if it fails.
func (v *vm) shownStatus() string {
	v.t.Helper()
	bin, err := buildCtl()
	if err != nil {
		v.t.Fatal(err)
	}
	out, err := exec.Command(bin, "--addr", v.operator, "status").CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%s%v", out, err)
	}
	return string(out)
}

// waitShown waits until foldctl status prints each of the texts.
func (v *vm) waitShown(texts ...string) {
	v.t.Helper()
	var last string
	v.t.Cleanup(func() {
		if v.t.Failed() {
			v.t.Logf("last status of %s:\n%s", v.id, last)
		}
	})
	waitFor(v.t, fmt.Sprintf("a status with %q", texts), func() bool {
		last = v.shownStatus()
		for _, text := range texts {
			if !strings.Contains(last, text) {
				return false
			}
		}
		return true
	})
}

// TestStatusShowsWhatTheControlGroupLacks guards against an operator who stops a VM that the
// group needs. It looks at real processes, of which one is killed and comes back, and then at
// the last one that is left.
func TestStatusShowsWhatTheControlGroupLacks(t *testing.T) {
	t.Parallel()
	vms := startVMs(t, 3)
	leader, others := leaderOf(t, vms)
	lost, other := others[0], others[1]
	leader.waitShown("control group: leader "+leader.id+" (this VM)", "3 voters, quorum 2; can lose a VM")
	other.waitShown("control group: leader "+leader.id+",", "do: for progress and contact, ask the leader: foldctl --addr OPERATOR_ADDRESS_OF_"+leader.id)
	lost.kill()
	leader.waitShown("LOSS OF ONE MORE VM ENDS IT", "unreachable for ", "do: start VM "+lost.id+" with its disk", "do: until then, stop no VM that votes")
	lost.start()
	leader.waitShown("3 voters, quorum 2; can lose a VM")
	leader.kill()
	lost.kill()
	other.waitShown("control group: no leader", "do: start 1 or more of these VMs, with their disks", lost.id, leader.id)
}
