package limit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
)

var server = limit.Server{ID: "s", Epoch: 3}

func named(rate limit.Rate) limit.Statement { return limit.Statement{Named: true, Rate: rate} }

func TestObserve(t *testing.T) {
	steps := []struct {
		what      string
		after     time.Duration
		server    limit.Server
		statement limit.Statement
		change    limit.Change
		limited   bool
		rate      limit.Rate
	}{
		{"no limit", 0, server, limit.Statement{}, limit.Unchanged, false, 0},
		{"invalid before any", 0, server, limit.Statement{Invalid: true}, limit.Unchanged, false, 0},
		{"named", 0, server, named(5), limit.Named, true, 5},
		{"named again", 0, server, named(5), limit.Unchanged, true, 5},
		{"altered", 0, server, named(2), limit.Altered, true, 2},
		{"invalid keeps it", 0, server, limit.Statement{Invalid: true}, limit.Unchanged, true, 2},
		{"one response without", time.Second, server, limit.Statement{}, limit.Unchanged, true, 2},
		{"another one too soon", 100 * time.Millisecond, server, limit.Statement{}, limit.Unchanged, true, 2},
		{"named in between", 0, server, named(2), limit.Unchanged, true, 2},
		{"one without after that", time.Second, server, limit.Statement{}, limit.Unchanged, true, 2},
		{"a second one, later", 600 * time.Millisecond, server, limit.Statement{}, limit.Ended, false, 0},
		{"named once more", 0, server, named(2), limit.Named, true, 2},
		{"an earlier start says nothing", 0, limit.Server{ID: "s", Epoch: 2}, named(9), limit.Unchanged, true, 2},
		{"a new start has no limit", 0, limit.Server{ID: "s", Epoch: 4}, limit.Statement{}, limit.Unchanged, false, 0},
		{"until it names one", 0, limit.Server{ID: "s", Epoch: 4}, named(7), limit.Named, true, 7},
	}
	var table limit.Table
	now := playStart
	for _, s := range steps {
		now = now.Add(s.after)
		if got := table.Observe(now, s.server, s.statement); got != s.change {
			t.Fatalf("%s: change %v, want %v", s.what, got, s.change)
		}
		if rate, limited := table.Rate(s.server); s.change != limit.Unchanged && (rate != s.rate || limited != s.limited) {
			t.Fatalf("%s: limit %v, %t, want %v, %t", s.what, rate, limited, s.rate, s.limited)
		}
	}
}

// TestMergeOrder applies what VMs know to two tables in different orders, parts of it
// twice. Both must end with the same entry.
func TestMergeOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var entries []limit.Entry
		for range 6 {
			e := limit.Entry{Server: limit.Server{ID: "s", Epoch: uint64(random.IntN(2))}, Version: uint64(1 + random.IntN(3))}
			switch random.IntN(3) {
			case 0:
				e.Ended = true
			case 1:
				e.Doubted = true
				fallthrough
			case 2:
				e.Rate = limit.Rate(random.IntN(3))
			}
			entries = append(entries, e)
		}
		var a, b limit.Table
		for _, e := range entries {
			a.Merge(playStart, e)
		}
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		for _, e := range append(entries, entries...) {
			b.Merge(playStart, e)
		}
		for epoch := range uint64(2) {
			s := limit.Server{ID: "s", Epoch: epoch}
			if a.Entry(s) != b.Entry(s) {
				t.Fatalf("%+v: %+v and %+v", entries, a.Entry(s), b.Entry(s))
			}
		}
	}
}

// TestEndFromElsewhereAgainstOwnSight guards against a limit that ends because another VM
// got a faulty response.
func TestEndFromElsewhereAgainstOwnSight(t *testing.T) {
	var table limit.Table
	table.Observe(playStart, server, named(5))
	end := limit.Entry{Server: server, Version: 9, Ended: true}
	if got := table.Merge(playStart.Add(100*time.Millisecond), end); got != limit.Unchanged {
		t.Fatalf("change %v, want none: the server has just named the limit", got)
	}
	if e := table.Entry(server); e.Version <= end.Version || e.Ended {
		t.Errorf("entry %+v, want one that the other VM takes over", e)
	}
	if got := table.Merge(playStart.Add(time.Minute), limit.Entry{Server: server, Version: 20, Ended: true}); got != limit.Ended {
		t.Errorf("a minute later: change %v, want the end", got)
	}
}

func TestMergeIgnoresInvalidEntries(t *testing.T) {
	long := make([]byte, 1000)
	for _, e := range []limit.Entry{
		{},
		{Server: limit.Server{ID: "s"}, Rate: 1},
		{Server: limit.Server{ID: string(long)}, Version: 1, Rate: 1},
		{Server: limit.Server{ID: "s"}, Version: math.MaxUint64, Rate: 1},
		{Server: limit.Server{ID: "s"}, Version: 1, Rate: -1},
		{Server: limit.Server{ID: "s"}, Version: 1, Rate: limit.Rate(math.NaN())},
		{Server: limit.Server{ID: "s"}, Version: 1, Rate: limit.Rate(math.Inf(1))},
	} {
		var table limit.Table
		if got := table.Merge(playStart, e); got != limit.Unchanged || !table.Empty() {
			t.Errorf("%+v was taken over", e)
		}
	}
}

// TestManyLimits guards against limits that other VMs don't learn of, and against limits in force
// that are forgotten before those that have ended, where many servers name one.
func TestManyLimits(t *testing.T) {
	const servers, newest = 5000, "newest"
	now := time.Unix(1000, 0)
	var table limit.Table
	name := func(i int) limit.Server { return limit.Server{ID: fmt.Sprint("s", i), Epoch: 1} }
	for i := range 2000 {
		table.Observe(now, name(i), named(1))
		table.Observe(now.Add(time.Second), name(i), limit.Statement{})
		table.Observe(now.Add(2*time.Second), name(i), limit.Statement{})
	}
	now = now.Add(time.Minute)
	for i := 2000; i < servers; i++ {
		table.Observe(now, name(i), named(1))
	}
	if rate, ok := table.Rate(name(2000)); !ok || rate != 1 || table.Dropped() != 0 {
		t.Errorf("limit %g in force: %t, %d limits in force were dropped; want none while others have ended", rate, ok, table.Dropped())
	}
	now = now.Add(time.Minute)
	table.Observe(now, limit.Server{ID: newest, Epoch: 1}, named(2))
	for range 20 {
		shared := table.Share(now)
		if len(shared) > 256 || !slices.ContainsFunc(shared, func(e limit.Entry) bool { return e.ID == newest }) {
			t.Fatalf("%d entries are shared without the newest one", len(shared))
		}
	}
	for i := servers; i < 2*servers; i++ {
		table.Observe(now, name(i), named(1))
	}
	if table.Dropped() == 0 {
		t.Error("limits in force were dropped without being counted")
	}
}
