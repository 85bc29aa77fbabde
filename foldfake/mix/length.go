// Package mix generates seeded workloads whose arrivals, prompt lengths and
// answer lengths resemble those of the users' services.
package mix

import (
	"math"
	"math/rand/v2"
)

// LengthDist is a log-normal distribution of answer lengths in tokens. Lengths
// outside of Min to Max are clamped.
type LengthDist struct {
	Median int
	// Sigma is the standard deviation of the length's natural logarithm.
	Sigma float64
	Min   int
	Max   int
}

// Draw returns a random length.
func (l LengthDist) Draw(r *rand.Rand) int {
	v := float64(l.Median) * math.Exp(r.NormFloat64()*l.Sigma)
	return min(max(int(v), l.Min), l.Max)
}

// Mean returns an estimate of the mean: the average of 20,000 draws with a fixed
// seed.
func (l LengthDist) Mean() float64 {
	const draws = 20_000
	r := rand.New(rand.NewPCG(1, 2))
	sum := 0
	for range draws {
		sum += l.Draw(r)
	}
	return float64(sum) / draws
}

// Answer lengths of the users' request classes.
var (
	SummaryLengths   = LengthDist{Median: 420, Sigma: 0.7, Min: 20, Max: 12_000}
	DraftLengths     = LengthDist{Median: 900, Sigma: 0.9, Min: 40, Max: 20_000}
	CheckLengths     = LengthDist{Median: 4, Sigma: 0.5, Min: 1, Max: 24}
	ItineraryLengths = LengthDist{Median: 700, Sigma: 0.8, Min: 40, Max: 20_000}
)
