package soak

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"fuchsiafold.example/fold/spec"
)

// TestGroupIsWholeBeforeNextLoss checks that a plan loses a disk only when the group has had
// wholeTime since the last one, with all VMs up, and that the seeds hold each kind of loss.
func TestGroupIsWholeBeforeNextLoss(t *testing.T) {
	kinds := map[Kind]int{}
	for seed := range uint64(200) {
		plan := planLosses(seed, DefaultLossLength, vmCount, controlCount, len(layout))
		if again := planLosses(seed, DefaultLossLength, vmCount, controlCount, len(layout)); !reflect.DeepEqual(plan, again) {
			t.Fatalf("two plans of seed %d differ", seed)
		}
		whole := time.Duration(0)
		for _, f := range plan {
			kinds[f.Kind]++
			switch f.Kind {
			case WipeVM, ReplaceVM, FullDisk:
				if f.At < whole || f.Target >= controlCount {
					t.Errorf("seed %d: %s of VM %d at %v, whole at %v", seed, f.Kind, f.Target, f.At, whole)
				}
				whole = f.end() + wholeTime
			case LoseLeader:
				if f.At < whole {
					t.Errorf("seed %d: leader lost at %v, whole at %v", seed, f.At, whole)
				}
				whole = f.end()
			}
		}
	}
	for _, kind := range []Kind{WipeVM, ReplaceVM, FullDisk, LoseLeader, ThrottleVM, CrashServer, ResetCallers} {
		if kinds[kind] == 0 {
			t.Errorf("no plan has the fault %s", kind)
		}
	}
	for _, kind := range []Kind{KillAll, PauseVM, RollVMs, SilencePeers, StallDisk} {
		if kinds[kind] > 0 {
			t.Errorf("a plan has the fault %s", kind)
		}
	}
}

// TestGroupThatAcceptsNothingIsCaught plants a group that has accepted nothing since the last
// fault.
func TestGroupThatAcceptsNothingIsCaught(t *testing.T) {
	ended := time.Now().Add(-returnBound)
	accepted := func(at time.Time) func(*findings) {
		return func(f *findings) {
			o := &operators{findings: f, accepted: map[uint64]time.Time{2: at}}
			p := &soakRun{findings: f, operators: o}
			p.checkAccepts(ended)
		}
	}
	expect(t, "accepted since", broken(accepted(ended.Add(time.Second))))
	expect(t, "accepted before", broken(accepted(ended.Add(-time.Second))), Returns)
}

// TestLargeChangeIsAccepted checks that the largest document of a soak is a configuration.
func TestLargeChangeIsAccepted(t *testing.T) {
	c := change{name: "large", pad: maxHugePad}
	if size := len(c.document()); size < maxHugePad {
		t.Errorf("%d bytes, want at least %d", size, maxHugePad)
	}
	if _, err := spec.Parse(c.document()); err != nil {
		t.Error(err)
	}
}

// lossSeedsInCI are the seeds that every test run plays, each with what it catches.
var lossSeedsInCI = []struct {
	seed    uint64
	catches string
}{
	{4, "a control VM with an empty disk that never votes while large changes go on"},
}

// TestGroupSurvivesLossesInSeries guards against a group that lost disks end, each of which
// was lost only when the group had had time since the last one.
func TestGroupSurvivesLossesInSeries(t *testing.T) {
	t.Parallel()
	binary := buildBinary(t)
	for _, s := range lossSeedsInCI {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			t.Logf("catches %s", s.catches)
			rep, err := Run(t.Context(), Options{Binary: binary, Losses: true, Folder: t.TempDir()}, s.seed)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range rep.Violations {
				t.Errorf("%s at %v, request %q: %s", v.Promise, v.At, v.Request, v.Detail)
			}
			t.Logf("%d faults, %d changes, requests %v", len(rep.Faults), rep.Changes, rep.Counts)
		})
	}
}
