package usage

import (
	"fmt"
	"testing"

	"fuchsiafold.example/fold/learn"
)

func Example() {
	var lengths learn.Lengths
	class := learn.Group{Class: "summary"}
	for range 400 {
		lengths.Progress(class, 0, 100)
		lengths.End(class, 100)
	}
	var engine, added Forecast
	for range 3 {
		engine.Add(1000, 0, 0, lengths.Survival(class))
	}
	added.Add(1000, 0, 0, lengths.Survival(class))
	fmt.Printf("%.2f of 8000 tokens\n", engine.Peak(&added, 8000, 0))
	// Output: 0.53 of 8000 tokens
}

// TestAddStopsAtMaxTokens checks that Add forecasts no memory beyond the limit
// on an answer's tokens.
func TestAddStopsAtMaxTokens(t *testing.T) {
	var lengths learn.Lengths
	var f Forecast
	f.Add(500, 20, 100, lengths.Survival(learn.Group{}))
	for i, k := range Horizons {
		if got, want := f.Mean[i] > 0, 20+k <= 100; got != want {
			t.Errorf("%d steps ahead: memory forecast above zero is %t, want %t", k, got, want)
		}
	}
}

// TestMergeEqualsAddingAll checks that merging forecasts equals adding all
// their answers to one.
func TestMergeEqualsAddingAll(t *testing.T) {
	var lengths learn.Lengths
	s := lengths.Survival(learn.Group{})
	var first, second, all Forecast
	first.Add(500, 20, 0, s)
	second.Add(900, 0, 0, s)
	all.Add(500, 20, 0, s)
	all.Add(900, 0, 0, s)
	first.Merge(&second)
	if first != all {
		t.Errorf("merged forecast %+v, want %+v", first, all)
	}
}
