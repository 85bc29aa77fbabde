package reach

import (
	"slices"
	"testing"
	"time"
)

// TestUnreachableAfterTwoFailures checks when a server becomes unreachable, that it stays so
// until it is heard of, and when it is probed.
func TestUnreachableAfterTwoFailures(t *testing.T) {
	var table Table
	now := time.Unix(100, 0)
	table.Heard(now, "a")
	if table.Fail(now, "a") || table.Unreachable("a") {
		t.Error("unreachable after one failure")
	}
	if !table.Failing("a") {
		t.Error("not failing after a failure")
	}
	if due := table.Due(now); !slices.Equal(due, []string{"a"}) {
		t.Errorf("due after the first failure: %v, want the server", due)
	}
	if due := table.Due(now); len(due) != 0 {
		t.Errorf("due while the probe is under way: %v, want none", due)
	}
	if !table.Fail(now, "a") || !table.Unreachable("a") {
		t.Error("reachable after a failed probe")
	}
	if at, ok := table.Next(now); !ok || at.Sub(now) <= 0 || at.Sub(now) > maxProbeInterval {
		t.Errorf("next probe after %v, %t", at.Sub(now), ok)
	}
	for range 10 {
		now = now.Add(maxProbeInterval)
		if due := table.Due(now); len(due) != 1 {
			t.Fatalf("due %v, want a probe in each %v", due, maxProbeInterval)
		}
		if table.Fail(now, "a") {
			t.Error("became unreachable twice")
		}
	}
	if !table.Heard(now, "a") || table.Unreachable("a") || table.Failing("a") {
		t.Error("a server that was heard of is unreachable")
	}
	if _, ok := table.Next(now); ok {
		t.Error("a probe of a reachable server is due")
	}
}

// TestSuspectProbesSilentServersOnly checks that a server is probed on suspicion only if it
// was silent for some time.
func TestSuspectProbesSilentServersOnly(t *testing.T) {
	var table Table
	now := time.Unix(100, 0)
	table.Heard(now, "fresh")
	table.Heard(now.Add(-2*freshness), "silent")
	for _, id := range []string{"fresh", "silent", "new"} {
		table.Suspect(now, id)
	}
	if due := table.Due(now); !slices.Equal(due, []string{"new", "silent"}) {
		t.Errorf("due %v, want the silent server and the new one", due)
	}
	table.Forget("silent")
	if table.Unreachable("silent") || table.Unreachable("unknown") {
		t.Error("a server without a failure is unreachable")
	}
}
