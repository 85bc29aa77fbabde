// Package mix makes seeded workloads: lengths of answers, prompts and
// arrivals like those of the users' services.
package mix

import (
	"math"
	"math/rand/v2"
)

// LengthDist is a distribution of answer lengths in tokens: log-normal, cut at
// both ends.
type LengthDist struct {
	Median int
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	Min   int
	Max   int
}

// Draw returns one length.
func (l LengthDist) Draw(r *rand.Rand) int {
	v := float64(l.Median) * math.Exp(r.NormFloat64()*l.Sigma)
	return min(max(int(v), l.Min), l.Max)
}

// Mean returns the mean of many draws.
func (l LengthDist) Mean() float64 {
	const draws = 20_000
	r := rand.New(rand.NewPCG(1, 2))
	sum := 0
	for range draws {
		sum += l.Draw(r)
	}
	return float64(sum) / draws
}

// The lengths of the users' classes of work.
var (
	SummaryLengths   = LengthDist{Median: 420, Sigma: 0.7, Min: 20, Max: 12_000}
	DraftLengths     = LengthDist{Median: 900, Sigma: 0.9, Min: 40, Max: 20_000}
	CheckLengths     = LengthDist{Median: 4, Sigma: 0.5, Min: 1, Max: 24}
	ItineraryLengths = LengthDist{Median: 700, Sigma: 0.8, Min: 40, Max: 20_000}
)
