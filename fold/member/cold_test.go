package member

import (
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
)

var coldNow = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// coldTable returns a table of a VM that has known its servers for long.
func coldTable() *Table {
	return &Table{ColdStart: func(service string) *spec.ColdStart {
		if service != "m" {
			return nil
		}
		return &spec.ColdStart{Rate: 25, Duration: strict.Duration(time.Second)}
	}}
}

func coldBackend(epoch, seq uint64, coldFor time.Duration) Backend {
	return Backend{ID: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Kind: spec.KindPlain, Service: "m", Epoch: epoch, Seq: seq, ColdFor: coldFor}
}

// checkCold checks for how long a server is cold.
func checkCold(t *testing.T, table *Table, now time.Time, epoch uint64, want time.Duration) {
	t.Helper()
	rate, left := table.Cold(now, "s", epoch)
	if left != want || (rate > 0) != (want > 0) {
		t.Errorf("cold for %v at %v/s, want %v", left, rate, want)
	}
}

// TestStatedCold guards against a cold server that counts as warm, or a warm one as cold:
// statements count from the time of the report, the latest holds, and a report without one
// leaves it in force.
func TestStatedCold(t *testing.T) {
	table := coldTable()
	table.Merge(coldNow, BackendUpdate{Backend: coldBackend(1, 1, 3*time.Second), Age: 500 * time.Millisecond}, "vm2")
	checkCold(t, table, coldNow, 1, 2500*time.Millisecond)
	checkCold(t, table, coldNow, 2, 0)
	brief := BackendUpdate{Backend: Backend{ID: "s", Epoch: 1, Seq: 2}, Brief: true}
	if change := table.Merge(coldNow.Add(time.Second), brief, "vm2"); change != Refreshed {
		t.Errorf("change %v, want a refresh", change)
	}
	checkCold(t, table, coldNow.Add(time.Second), 1, 1500*time.Millisecond)
	table.Merge(coldNow.Add(2*time.Second), BackendUpdate{Backend: coldBackend(1, 3, 100*time.Millisecond)}, "")
	checkCold(t, table, coldNow.Add(2*time.Second), 1, 100*time.Millisecond)
	checkCold(t, table, coldNow.Add(2100*time.Millisecond), 1, 0)
}

// TestDigestKeepsCold guards against digests that make a server warm, or cold for longer: they
// renew its lease, and with it the time that the statement is relative to.
func TestDigestKeepsCold(t *testing.T) {
	a, b := coldTable(), coldTable()
	for _, table := range []*Table{a, b} {
		table.Merge(coldNow, BackendUpdate{Backend: coldBackend(1, 1, 3*time.Second)}, "")
	}
	later := coldNow.Add(time.Second)
	a.Merge(later, BackendUpdate{Backend: coldBackend(1, 2, 0)}, "")
	leases := a.Leases(later)
	if known := b.RenewLeases(later, &leases); !known.Equal.All() {
		t.Fatal("the tables differ")
	}
	checkCold(t, b, later, 1, 2*time.Second)
	updates, _ := b.Since(later, 0, "")
	if len(updates) != 1 || updates[0].Seq != 2 || updates[0].ColdFor-updates[0].Age != 2*time.Second {
		t.Errorf("updates %+v, want one that says that the server is cold for 2 s", updates)
	}
}

// TestBecomingColdIsSpread guards against VMs that learn too late that a server is cold: that
// is a change, which they are sent at once and in full, and whatever digests cover.
func TestBecomingColdIsSpread(t *testing.T) {
	table := coldTable()
	merge := func(at time.Duration, seq uint64, coldFor time.Duration) Change {
		return table.Merge(coldNow.Add(at), BackendUpdate{Backend: coldBackend(1, seq, coldFor)}, "")
	}
	merge(0, 1, time.Second)
	_, version := table.Since(coldNow, 0, "")
	if change := merge(500*time.Millisecond, 2, 510*time.Millisecond); change != Refreshed {
		t.Errorf("cold as before: change %v, want a refresh", change)
	}
	if updates, _ := table.Since(coldNow, version, ""); len(updates) != 1 || !updates[0].Brief {
		t.Errorf("cold as before: updates %+v, want a brief one", updates)
	}
	for i, coldFor := range []time.Duration{2 * time.Second, 5 * time.Second} {
		if change := merge(10*time.Second, uint64(3+i), coldFor); change != Changed {
			t.Errorf("cold for %v: change %v, want one that is spread", coldFor, change)
		}
		if updates, _ := table.Since(coldNow, version, ""); len(updates) != 1 || updates[0].Brief {
			t.Errorf("cold for %v: updates %+v, want one in full", coldFor, updates)
		}
	}
}

// TestNewStartIsCold guards against requests at the full rate to a server that has restarted
// under the same ID and address and doesn't say that it is cold.
func TestNewStartIsCold(t *testing.T) {
	starting := true
	table := coldTable()
	table.Starting = func() bool { return starting }
	table.Merge(coldNow, BackendUpdate{Backend: coldBackend(1, 40, 0)}, "")
	checkCold(t, table, coldNow, 1, 0)
	table.Merge(coldNow, BackendUpdate{Backend: coldBackend(2, 1, 0), Age: 200 * time.Millisecond}, "vm2")
	checkCold(t, table, coldNow, 2, 800*time.Millisecond)
	checkCold(t, table, coldNow, 1, 800*time.Millisecond)
	table.Merge(coldNow, BackendUpdate{Backend: coldBackend(2, 2, 0)}, "")
	checkCold(t, table, coldNow.Add(500*time.Millisecond), 2, 300*time.Millisecond)
	checkCold(t, table, coldNow.Add(time.Second), 2, 0)
	starting = false
	other := coldBackend(7, 1, 0)
	other.ID, other.Addr = "t", netip.MustParseAddrPort("10.0.0.2:80")
	table.Merge(coldNow, BackendUpdate{Backend: other}, "")
	if _, left := table.Cold(coldNow, "t", 7); left != time.Second {
		t.Errorf("a server that is new is cold for %v, want 1 s", left)
	}
}

// TestColdWithoutLimit guards against costs for services that don't limit cold servers:
// that they become cold is no change.
func TestColdWithoutLimit(t *testing.T) {
	table := coldTable()
	b := coldBackend(1, 1, 0)
	b.Service = "other"
	table.Merge(coldNow, BackendUpdate{Backend: b}, "")
	b.Seq, b.ColdFor = 2, time.Minute
	if change := table.Merge(coldNow, BackendUpdate{Backend: b}, ""); change != Refreshed {
		t.Errorf("change %v, want a refresh", change)
	}
	checkCold(t, table, coldNow, 1, 0)
}

// TestSummaryHasColdServers guards against a summary for another failure domain that leaves
// out cold servers because others are less loaded.
func TestSummaryHasColdServers(t *testing.T) {
	var updates []BackendUpdate
	for i := range 3 * SummaryPerModel {
		b := coldBackend(1, 1, time.Second)
		b.Domain, b.ID, b.Load.Running = "a", string(rune('a'+i)), i
		updates = append(updates, BackendUpdate{Backend: b})
	}
	if got := len(Summary(updates, "a")); got != len(updates) {
		t.Errorf("summary has %d of %d cold servers", got, len(updates))
	}
}

// TestDigestDoesNotCoverHiddenChanges guards against a VM that never learns that a server is
// cold or has another address: its digest, which shows neither, came after the change and before
// the update about it.
func TestDigestDoesNotCoverHiddenChanges(t *testing.T) {
	moved := coldBackend(1, 2, 0)
	moved.Addr = netip.MustParseAddrPort("10.0.0.2:80")
	for name, later := range map[string]Backend{"cold": coldBackend(1, 2, 3*time.Second), "moved": moved} {
		from, to := coldTable(), coldTable()
		for _, table := range []*Table{from, to} {
			table.Merge(coldNow, BackendUpdate{Backend: coldBackend(1, 1, 0)}, "")
		}
		_, acked := from.Since(coldNow, 0, "")
		if change := from.Merge(coldNow, BackendUpdate{Backend: later}, ""); change != Changed {
			t.Fatalf("%s: change %v", name, change)
		}
		digest := to.Leases(coldNow)
		known := from.RenewLeases(coldNow, &digest)
		if !known.Equal.All() {
			t.Fatalf("%s: the digests show the change", name)
		}
		for _, since := range []uint64{0, acked} {
			if updates, _ := from.SinceExcept(coldNow, since, "to", known); len(updates) != 1 || updates[0].Brief {
				t.Errorf("%s: updates %+v since version %d, want one in full", name, updates, since)
			}
		}
	}
}

// TestDigestDoesNotCoverFirstStatement guards against the same for a VM that knows a server from
// an announcement before the one that says that it is cold.
func TestDigestDoesNotCoverFirstStatement(t *testing.T) {
	from, to := coldTable(), coldTable()
	to.Merge(coldNow, BackendUpdate{Backend: coldBackend(1, 1, 0)}, "")
	from.Merge(coldNow, BackendUpdate{Backend: coldBackend(1, 2, 3*time.Second)}, "")
	digest := to.Leases(coldNow)
	known := from.RenewLeases(coldNow, &digest)
	if updates, _ := from.SinceExcept(coldNow, 0, "to", known); len(updates) != 1 {
		t.Errorf("%d updates, want one that says that the server is cold", len(updates))
	}
	later := coldNow.Add(3 * time.Second)
	if updates, _ := from.SinceExcept(later, 0, "to", known); len(updates) != 0 {
		t.Errorf("%d updates about a server that is warm again, want none", len(updates))
	}
}

// TestUpdateAfterDigestIsApplied guards against a VM that ignores that a server is cold, since a
// digest, which doesn't tell, has told it of the same announcement before.
func TestUpdateAfterDigestIsApplied(t *testing.T) {
	from, to := coldTable(), coldTable()
	for _, table := range []*Table{from, to} {
		table.Merge(coldNow, BackendUpdate{Backend: coldBackend(1, 1, 0)}, "")
	}
	cold := BackendUpdate{Backend: coldBackend(1, 2, 3*time.Second)}
	from.Merge(coldNow, cold, "")
	from.Merge(coldNow.Add(time.Second), BackendUpdate{Backend: coldBackend(1, 3, 0)}, "")
	digest := from.Leases(coldNow.Add(time.Second))
	to.RenewLeases(coldNow.Add(time.Second), &digest)
	// So does a VM that knows of it from a digest.
	brief := BackendUpdate{Backend: Backend{ID: "s", Epoch: 1, Seq: 3}, Brief: true}
	to.Merge(coldNow.Add(time.Second), brief, "other")
	late := coldNow.Add(1500 * time.Millisecond)
	cold.Age = 1500 * time.Millisecond
	if change := to.Merge(late, cold, "from"); change != Changed {
		t.Errorf("change %v, want one that is spread", change)
	}
	checkCold(t, to, late, 1, 1500*time.Millisecond)
	if age, _ := to.Age(late, "s"); age != 500*time.Millisecond {
		t.Errorf("last announcement %v ago, want 500 ms", age)
	}
	if change := to.Merge(late, cold, "from"); change != Stale {
		t.Errorf("the same update again: change %v", change)
	}
	// An earlier statement doesn't replace a later one.
	to.Merge(late, BackendUpdate{Backend: coldBackend(1, 4, 100*time.Millisecond)}, "")
	to.Merge(late, cold, "from")
	checkCold(t, to, late, 1, 100*time.Millisecond)
}
