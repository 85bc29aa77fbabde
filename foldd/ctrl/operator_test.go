package ctrl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/wire"
)

// An operator of the users' platform calls one VM after the other, drawn from those that
// accept changes, until one confirms the change.
const (
	// operatorTimeout is how long the operator waits for one VM.
	operatorTimeout = time.Second
	// operatorPause is the time between two attempts.
	operatorPause = 300 * time.Millisecond
	// lostConfirmations is the share of confirmations that are lost on their way.
	lostConfirmations = 0.7
	// maxConfirmation is the time within which the users want a change confirmed.
	maxConfirmation = 4 * time.Second
	// operatedChanges is the number of changes of one play.
	operatedChanges = 300
	// deployedEntryVMs is the number of entry VMs of the smallest deployment.
	deployedEntryVMs = 7
)

var deployedRole = regexp.MustCompile(`(?s)on = "(\w+)".*?serves = \[([^]]*)\]`)

// entryVMsAcceptChanges reports whether entry VMs accept operators' calls by the deploy
// file.
func entryVMsAcceptChanges(t *testing.T) bool {
	t.Helper()
	text, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range deployedRole.FindAllStringSubmatch(string(text), -1) {
		if m[1] == "front" && strings.Contains(m[2], `"control"`) {
			return true
		}
	}
	return false
}

// TestFrozenControlVMDelaysFewChanges guards against too few VMs that accept an
// operator's change: each attempt at a frozen one costs a second.
func TestFrozenControlVMDelaysFewChanges(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		if entryVMsAcceptChanges(t) {
			g.addEntryVMs(t, deployedEntryVMs)
		}
		frozen := g.leader(t)
		g.network.hang(g.vms[frozen].addr.String())
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		var times []time.Duration
		late := 0
		for i := range operatedChanges {
			took := g.operate(t, random, frozen, uint64(10+i))
			times = append(times, took)
			if took > maxConfirmation {
				late++
			}
		}
		slices.Sort(times)
		t.Logf("%d VMs accept changes: median %v, slowest %v, %d of %d after %v", len(g.vms), times[len(times)/2], times[len(times)-1], late, operatedChanges, maxConfirmation)
		if late > operatedChanges/10 {
			t.Errorf("%d of %d changes were confirmed after more than %v, want at most a tenth", late, operatedChanges, maxConfirmation)
		}
	})
}

// operate sends a version as an operator does and returns the time until a confirmation
// arrives.
func (g *groupRig) operate(t *testing.T, random *rand.Rand, frozen int, version uint64) time.Duration {
	t.Helper()
	begun := time.Now()
	last := -1
	for time.Since(begun) < time.Minute {
		vm := random.IntN(len(g.vms))
		if vm == last {
			continue
		}
		last = vm
		if vm == frozen {
			time.Sleep(operatorTimeout + operatorPause)
			continue
		}
		ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
		_, err := g.vms[vm].client.Apply(ctx, &wire.ApplyRequest{Version: version, Document: fmt.Append(nil, version)})
		cancel()
		if err == nil && random.Float64() >= lostConfirmations {
			return time.Since(begun)
		}
		time.Sleep(operatorPause)
	}
	t.Fatalf("version %d was not confirmed within a minute", version)
	return 0
}

// TestVMCutOffFromControlRejectsAtOnce guards against operators' calls that wait at a VM
// which knows that it reaches no control VM, and checks that it serves them again as soon
// as one can be reached.
func TestVMCutOffFromControlRejectsAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		g.addEntryVMs(t, 1)
		entry := g.vms[3]
		entry.client.Unreachable = func() bool { return true }
		g.applyAt(t, 3, 10)
		g.network.hang(entry.addr.String())
		calls := map[string]func(context.Context) error{
			"change": func(ctx context.Context) error {
				_, err := entry.client.Apply(ctx, &wire.ApplyRequest{Version: 20, Document: []byte("{}")})
				return err
			},
			"read": func(ctx context.Context) error {
				_, err := entry.client.Latest(ctx)
				return err
			},
		}
		for name, call := range calls {
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
			err := call(ctx)
			cancel()
			if took := time.Since(begun); !errors.Is(err, ErrNoQuorum) || took > applyTimeout/2 {
				t.Errorf("%s: %v after %v, want %v in less than %v", name, err, took, ErrNoQuorum, applyTimeout/2)
			}
		}
	})
}

// TestMinoritySideRejectsChangesSoon guards against operators' calls that take their whole
// time at each VM of a failure domain which is cut off together with one control VM.
func TestMinoritySideRejectsChangesSoon(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		g.addEntryVMs(t, 1)
		minority := (g.leader(t) + 1) % 3
		g.applyAt(t, 3, 10)
		g.network.cut(g.vms[minority].addr.String(), g.vms[3].addr.String())
		time.Sleep(3 * time.Second)
		for _, vm := range []int{minority, 3} {
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
			_, err := g.vms[vm].client.Apply(ctx, &wire.ApplyRequest{Version: 20, Document: []byte("{}")})
			cancel()
			if took := time.Since(begun); !errors.Is(err, ErrNoQuorum) || took > applyTimeout/2 {
				t.Errorf("VM %d: %v after %v, want %v in less than %v", vm, err, took, ErrNoQuorum, applyTimeout/2)
			}
		}
		if took := g.applyAt(t, (minority+1)%3, 30); took > applyTimeout/2 {
			t.Errorf("the other side confirmed a change after %v, want less than %v", took, applyTimeout/2)
		}
	})
}

// TestSlowControlVMIsNotCutOff guards against changes that are never confirmed because the
// only control VM, or all of them, take longer than the delay of a hedged call.
func TestSlowControlVMIsNotCutOff(t *testing.T) {
	for _, n := range []int{1, 3} {
		inBubble(t, func(t *testing.T) {
			g := newGroupRig(t, n)
			g.addEntryVMs(t, 1)
			for _, v := range g.vms {
				v.checkTime.Store(int64(4 * hedgeDelay))
			}
			g.applyAt(t, n, 10)
		})
	}
}
