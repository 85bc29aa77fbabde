package state

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/evac"
)

// earlierSnapshot is a snapshot that was written by the version before evacuations (341b5a2).
const earlierSnapshot = `{"now":2000000000,"revision":1,"document":"e30=","changes":{"c1":{"revision":1,"at":1000000000}},"order":["c1"],"claims":[{"workspace":"w","key":"k","digest":"ZA==","nonce":"n","state":"pending","used":1000000000,"deadline":17000000000}],"leases":{"l":{"holder":"h","fence":1,"until":62000000000}},"fences":1}`

// TestSnapshotOfEarlierVersion guards against control VMs that lose state at an upgrade, and
// against replicas of two versions that write different snapshots of the same state while no
// order was given.
func TestSnapshotOfEarlierVersion(t *testing.T) {
	var restored, built Machine
	if err := restored.Restore([]byte(earlierSnapshot)); err != nil {
		t.Fatal(err)
	}
	applyCommand(t, &built, Command{Elapsed: time.Second, ApplyConfig: &ApplyConfig{ChangeID: "c1", Document: []byte("{}")}})
	applyCommand(t, &built, claim("k", "n"))
	applyCommand(t, &built, Command{Elapsed: time.Second, Lease: &Lease{Name: "l", Holder: "h", TTL: time.Minute}})
	for name, m := range map[string]*Machine{"restored": &restored, "built": &built} {
		b, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if string(b) != earlierSnapshot {
			t.Errorf("%s: snapshot %s, want %s", name, b, earlierSnapshot)
		}
	}
}

// TestEvacuationOrders guards against orders that a resend changes, that a snapshot loses, or
// that are accepted with an impossible name. The position in the log decides between two.
func TestEvacuationOrders(t *testing.T) {
	var m Machine
	at := time.Unix(100, 0).UTC()
	order := func(domain string, undo bool) Command {
		return Command{Evacuate: &Evacuate{Domain: domain, Undo: undo, Ordered: at}}
	}
	steps := []struct {
		command   Command
		version   uint64
		evacuated bool
	}{
		{order("a", true), 0, false},
		{order("a", false), 1, true},
		{order("a", false), 1, true},
		{order("a", true), 2, false},
		{order("a", true), 2, false},
		{order("a", false), 3, true},
	}
	for i, s := range steps {
		r := applyCommand(t, &m, s.command)
		if r.Error != "" || r.Evacuations.Version != s.version || r.Evacuations.Has("a") != s.evacuated {
			t.Errorf("step %d: %+v, want version %d, evacuated %t", i, r, s.version, s.evacuated)
		}
		reload(t, &m)
		if got := m.Evacuations(); got.Version != s.version || got.Has("a") != s.evacuated || s.evacuated && !got.Domains[0].Ordered.Equal(at) {
			t.Errorf("step %d: %+v after a snapshot", i, got)
		}
	}
	for _, name := range []string{"", string(make([]byte, 257))} {
		if r := applyCommand(t, &m, order(name, false)); r.Error == "" || m.Evacuations().Version != 3 {
			t.Errorf("a name of %d bytes is accepted: %+v", len(name), r)
		}
	}
}

// TestReplicaThatSkippedOrders guards against a replica that has skipped orders, as one of a
// version without them did before its upgrade, and whose set overtakes that of the replicas
// with all orders: VMs keep the set with the highest version, and the first of two with the
// same one.
func TestReplicaThatSkippedOrders(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var whole, skipped Machine
		skip := 1 + random.IntN(6)
		for i := range skip + random.IntN(12) {
			c := Command{Evacuate: &Evacuate{Domain: string('a' + rune(random.IntN(3))), Undo: random.IntN(2) == 0}}
			applyCommand(t, &whole, c)
			if i < skip && random.IntN(2) == 0 {
				continue
			}
			applyCommand(t, &skipped, c)
			w, s := whole.Evacuations(), skipped.Evacuations()
			same := func(a, b evac.Domain) bool { return a.Name == b.Name }
			if s.Version > w.Version || s.Version == w.Version && !slices.EqualFunc(s.Domains, w.Domains, same) {
				t.Fatalf("after %d orders, the replica that skipped some has %+v, the others %+v", i+1, s, w)
			}
		}
	}
}
