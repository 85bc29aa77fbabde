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

func TestPolicyForSplitsEvenly(t *testing.T) {
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
			t.Errorf("arm %s: got %d of 10000 requests, want 4800 to 5200", arm, n)
		}
	}
	if PolicyFor(byWindow, "x", at) == PolicyFor(byWindow, "x", at.Add(time.Minute)) {
		t.Error("two consecutive windows have the same policy, want different ones")
	}
}

// sampleMeasures returns measures with random stall times of the given mean in
// seconds. The requests of a time bucket share a random factor, because requests
// that run at the same time stall together.
func sampleMeasures(policy string, seed uint64, mean float64, buckets int) *Measures {
	r := rand.New(rand.NewPCG(seed, 1))
	m := NewMeasures(policy)
	for s := range int64(buckets) {
		bucketFactor := r.ExpFloat64()
		for range 5 + r.IntN(5) {
			stall := mean * bucketFactor * (0.5 + r.Float64())
			m.RecordRequest(s, Sample{Stall: time.Duration(stall * float64(time.Second)), FirstToken: time.Millisecond})
		}
	}
	return m
}

func TestConclusion(t *testing.T) {
	tests := []struct {
		name string
		a, b *Measures
		want string
	}{
		{"too few time buckets", sampleMeasures("a", 1, 1, 3), sampleMeasures("b", 2, 9, 3), "too little data"},
		{"equal distributions", sampleMeasures("a", 1, 1, 100), sampleMeasures("b", 2, 1, 100), "do not differ significantly"},
		{"first arm stalls less", sampleMeasures("a", 1, 0.2, 100), sampleMeasures("b", 2, 2, 100), "a stalls less than b"},
		{"second arm stalls less", sampleMeasures("a", 1, 2, 100), sampleMeasures("b", 2, 0.2, 100), "b stalls less than a"},
	}
	for _, tt := range tests {
		if got := Conclusion(tt.a, tt.b); !strings.Contains(got, tt.want) {
			t.Errorf("%s: got %q, want a text with %q", tt.name, got, tt.want)
		}
	}
}

// TestConclusionFalsePositiveRate guards against intervals that are too narrow
// because requests of one time bucket are correlated. Both arms have the same
// distribution; a difference may be reported in at most 10% of the rounds.
func TestConclusionFalsePositiveRate(t *testing.T) {
	const rounds = 400
	falsePositives := 0
	for i := range uint64(rounds) {
		if !strings.Contains(Conclusion(sampleMeasures("a", 2*i, 1, 60), sampleMeasures("b", 2*i+1, 1, 60)), "do not differ significantly") {
			falsePositives++
		}
	}
	if falsePositives > rounds/10 {
		t.Errorf("got a difference in %d of %d rounds with equal distributions, want at most 10%%", falsePositives, rounds)
	}
}

func TestMergeMatchesSingleMeasures(t *testing.T) {
	single, left, right := NewMeasures("a"), NewMeasures("a"), NewMeasures("a")
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 500 {
		q := Sample{Stall: time.Duration(r.IntN(1e9)), FirstToken: time.Duration(1 + r.IntN(1e9)), Preemptions: r.IntN(2)}
		part := []*Measures{left, right}[r.IntN(2)]
		single.RecordRequest(int64(i/20), q)
		part.RecordRequest(int64(i/20), q)
		gap := time.Duration(r.IntN(1e8))
		single.RecordGap(gap)
		part.RecordGap(gap)
	}
	left.Merge(right)
	singleMean, singleLow, singleHigh, _ := single.MeanStall()
	mergedMean, mergedLow, mergedHigh, _ := left.MeanStall()
	if singleMean != mergedMean || singleLow != mergedLow || singleHigh != mergedHigh || single.Preemptions != left.Preemptions || single.TokenGaps.ValueAtPercentile(99) != left.TokenGaps.ValueAtPercentile(99) {
		t.Errorf("got merged mean and interval %v %v %v, want %v %v %v as from a single collector", mergedMean, mergedLow, mergedHigh, singleMean, singleLow, singleHigh)
	}
}
