package trial

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
)

func TestArmSplitsEvenly(t *testing.T) {
	byRequest := &spec.Trial{A: "a", B: "b", Split: spec.SplitRequest}
	byWindow := &spec.Trial{A: "a", B: "b", Split: spec.SplitWindow, Window: strict.Duration(time.Minute)}
	count := map[string]int{}
	at := time.Unix(1_000_000, 0)
	for i := range 10_000 {
		count[PolicyFor(byRequest, fmt.Sprint(i), at)]++
		count["w"+PolicyFor(byWindow, "same", at.Add(time.Duration(i)*time.Second))]++
	}
	for arm, n := range count {
		if n < 4_800 || n > 5_200 {
			t.Errorf("arm %s got %d of 10000", arm, n)
		}
	}
	if PolicyFor(byWindow, "x", at) == PolicyFor(byWindow, "x", at.Add(time.Minute)) {
		t.Error("two windows in a row have the same arm")
	}
}

func fill(policy string, seed uint64, mean float64, slices int) *Measures {
	r := rand.New(rand.NewPCG(seed, 1))
	m := NewMeasures(policy)
	for s := range int64(slices) {
		shared := r.ExpFloat64()
		for range 5 + r.IntN(5) {
			stall := mean * shared * (0.5 + r.Float64())
			m.RecordRequest(s, Sample{Stall: time.Duration(stall * float64(time.Second)), FirstToken: time.Millisecond})
		}
	}
	return m
}

func TestVerdict(t *testing.T) {
	tests := []struct {
		name string
		a, b *Measures
		want string
	}{
		{"few slices", fill("a", 1, 1, 3), fill("b", 2, 9, 3), "too little data"},
		{"no difference", fill("a", 1, 1, 100), fill("b", 2, 1, 100), "does not separate"},
		{"a clear one", fill("a", 1, 0.2, 100), fill("b", 2, 2, 100), "a stalls less than b"},
		{"the other way", fill("a", 1, 2, 100), fill("b", 2, 0.2, 100), "b stalls less than a"},
	}
	for _, tt := range tests {
		if got := Conclusion(tt.a, tt.b); !strings.Contains(got, tt.want) {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}

// TestVerdictSeldomWrong draws both arms from the same distribution, with
// requests of a slice waiting together: a difference is claimed about as
// seldom as the interval promises.
func TestVerdictSeldomWrong(t *testing.T) {
	const rounds = 400
	wrong := 0
	for i := range uint64(rounds) {
		if !strings.Contains(Conclusion(fill("a", 2*i, 1, 60), fill("b", 2*i+1, 1, 60)), "does not separate") {
			wrong++
		}
	}
	if wrong > rounds/10 {
		t.Errorf("a difference was claimed in %d of %d rounds without one", wrong, rounds)
	}
}

func TestMergeEqualsOneMeter(t *testing.T) {
	whole, left, right := NewMeasures("a"), NewMeasures("a"), NewMeasures("a")
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 500 {
		q := Sample{Stall: time.Duration(r.IntN(1e9)), FirstToken: time.Duration(1 + r.IntN(1e9)), Preemptions: r.IntN(2)}
		part := []*Measures{left, right}[r.IntN(2)]
		whole.RecordRequest(int64(i/20), q)
		part.RecordRequest(int64(i/20), q)
		gap := time.Duration(r.IntN(1e8))
		whole.RecordGap(gap)
		part.RecordGap(gap)
	}
	left.Merge(right)
	wm, wl, wh, _ := whole.MeanStall()
	lm, ll, lh, _ := left.MeanStall()
	if wm != lm || wl != ll || wh != lh || whole.Preemptions != left.Preemptions || whole.TokenGaps.ValueAtPercentile(99) != left.TokenGaps.ValueAtPercentile(99) {
		t.Errorf("merged %v %v %v, whole %v %v %v", lm, ll, lh, wm, wl, wh)
	}
}
