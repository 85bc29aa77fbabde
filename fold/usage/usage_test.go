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
	var engine, item Forecast
	for range 3 {
		engine.Add(1000, 0, 0, lengths.Survival(class))
	}
	item.Add(1000, 0, 0, lengths.Survival(class))
	fmt.Printf("%.2f of 8000 tokens\n", engine.Peak(&item, 8000, 0))
	// Output: 0.53 of 8000 tokens
}

// TestAddStopsAtLimit forecasts nothing beyond the most tokens that a run may
// have.
func TestAddStopsAtLimit(t *testing.T) {
	var lengths learn.Lengths
	var f Forecast
	f.Add(500, 20, 100, lengths.Survival(learn.Group{}))
	for i, k := range Horizons {
		if got, want := f.Mean[i] > 0, 20+k <= 100; got != want {
			t.Errorf("%d steps ahead: memory counts: %t, want %t", k, got, want)
		}
	}
}

// TestJoin adds forecasts as if their answers had been added one by one.
func TestJoin(t *testing.T) {
	var lengths learn.Lengths
	s := lengths.Survival(learn.Group{})
	var one, other, both Forecast
	one.Add(500, 20, 0, s)
	other.Add(900, 0, 0, s)
	both.Add(500, 20, 0, s)
	both.Add(900, 0, 0, s)
	one.Merge(&other)
	if one != both {
		t.Errorf("joined %+v, want %+v", one, both)
	}
}
