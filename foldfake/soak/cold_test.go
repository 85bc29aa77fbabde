package soak

import (
	"net/http"
	"reflect"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
)

// TestColdCatches guards against a check that misses requests beyond what a cold server
// takes, and against one that counts those that don't.
func TestColdCatches(t *testing.T) {
	for _, c := range []struct {
		name    string
		started time.Duration
		backend string
		n       int
		want    []Promise
	}{
		{"as many as allowed", 0, "s", coldMost, nil},
		{"one more", 0, "s", coldMost + 1, []Promise{ColdStart}},
		{"warm", coldTime, "s", coldMost + 1, nil},
		{"answered with 421", 0, "another", coldMost + 1, nil},
	} {
		got := broken(func(f *findings) {
			s := &servers{findings: f, orders: &orders{}, calm: func(int, time.Time) bool { return false }}
			x := &instance{service: serviceCold, origin: &origin.Server{ID: "s"}, limited: limited{meter: &meter.Meter{}}}
			x.cold.start(time.Now().Add(-c.started))
			for range c.n {
				s.behave(x, &http.Request{Header: http.Header{headerRequest: {"v0-lookup-1"}, "Fold-Backend": {c.backend}}})
			}
		})
		expect(t, c.name, got, c.want...)
	}
	c := cold{}
	now := time.Now()
	c.start(now)
	for i := range 3 {
		if n := c.arrive(now.Add(time.Duration(i) * coldSpan)); n != 1 {
			t.Errorf("request %d counts as the %d-th of its second", i+1, n)
		}
	}
}

// TestAddedFaultsLeavePlansAlone guards against faults of the servers that were added later
// which change the other faults of a seed.
func TestAddedFaultsLeavePlansAlone(t *testing.T) {
	for seed := range uint64(20) {
		before := NewPlan(seed, DefaultLength, vmCount, controlCount, firstNotes)
		added := map[int]bool{}
		rest := slices.DeleteFunc(NewPlan(seed, DefaultLength, vmCount, controlCount, len(layout)), func(f Fault) bool {
			if !f.Kind.ofServer() || f.Target < firstNotes {
				return false
			}
			added[f.Target] = true
			return true
		})
		if !reflect.DeepEqual(before, rest) || len(added) < 2 {
			t.Errorf("seed %d: faults of added servers %v, the others differ: %v", seed, added, !reflect.DeepEqual(before, rest))
		}
	}
}
