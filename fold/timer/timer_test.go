package timer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/timer"
)

// TestCallsFollowDeadlineOrder adds and cancels subscriptions at random. The calls
// must come in the order of a stable sort by deadline.
func TestCallsFollowDeadlineOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(0, 0)
	var s timer.Service
	type deadline struct {
		number int
		at     time.Time
	}
	var want []deadline
	var got []int
	for i := range 500 {
		at := start.Add(time.Duration(r.IntN(100)) * time.Second)
		sub := s.At(at, func(time.Time) { got = append(got, i) })
		if r.IntN(4) == 0 {
			if !s.Cancel(sub) || s.Cancel(sub) {
				t.Fatal("Cancel of a pending subscription: want true, then false")
			}
			continue
		}
		want = append(want, deadline{i, at})
	}
	slices.SortStableFunc(want, func(a, b deadline) int { return a.at.Compare(b.at) })
	for i := range 100 {
		s.Advance(start.Add(time.Duration(i) * time.Second))
	}
	for i, w := range want {
		if got[i] != w.number {
			t.Fatalf("call %d: got subscription %d, want %d", i, got[i], w.number)
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d calls, want %d", len(got), len(want))
	}
}

func ExampleService() {
	var s timer.Service
	now := time.Unix(0, 0)
	s.At(now.Add(2*time.Second), func(time.Time) { fmt.Println("second") })
	s.At(now.Add(time.Second), func(now time.Time) {
		fmt.Println("first")
		s.At(now, func(time.Time) { fmt.Println("at once") })
	})
	s.Advance(now.Add(3 * time.Second))
	// Output:
	// first
	// second
	// at once
}
