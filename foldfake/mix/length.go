// Package mix makes seeded workloads: lengths of answers, prompts and
// arrivals like those of the users' services.
package mix

import (
	"math"
	"math/rand/v2"
)

// Lengths is a distribution of answer lengths in tokens: log-normal, cut at
// both ends.
type Lengths struct {
	Median int
	// Spread is the standard deviation of the logarithm.
	Spread float64
	Min    int
	Max    int
}

// Draw returns one length.
func (l Lengths) Draw(r *rand.Rand) int {
	v := float64(l.Median) * math.Exp(r.NormFloat64()*l.Spread)
	return min(max(int(v), l.Min), l.Max)
}

// Mean returns the mean of many draws.
func (l Lengths) Mean() float64 {
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
	Summary   = Lengths{Median: 420, Spread: 0.7, Min: 20, Max: 12_000}
	Draft     = Lengths{Median: 900, Spread: 0.9, Min: 40, Max: 20_000}
	Check     = Lengths{Median: 4, Spread: 0.5, Min: 1, Max: 24}
	Itinerary = Lengths{Median: 700, Spread: 0.8, Min: 40, Max: 20_000}
)
