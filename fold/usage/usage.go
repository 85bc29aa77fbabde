// Package usage forecasts the memory in use at an engine, step by step of what
// it generates, from the lengths that answers of each kind have had.
package usage

import (
	"math"

	"fuchsiafold.example/fold/learn"
)

// Horizons are the numbers of steps ahead at which the memory is forecast.
var Horizons = [...]int{0, 32, 64, 128, 256, 512, 1024, 2048, 4096}

// Forecast holds the mean and the variance of the memory in use at each
// horizon, in tokens. The zero value is an empty memory.
type Forecast struct {
	Mean     [len(Horizons)]float64
	Variance [len(Horizons)]float64
}

// Add adds one answer: it holds its memory and one token more a step, until it
// ends. It has at most so many tokens, if most is above zero.
func (f *Forecast) Add(held, generated, most int, s *learn.Survival) {
	for i, k := range Horizons {
		if most > 0 && k > 0 && generated+k > most {
			break
		}
		p := s.Beyond(generated, generated+k)
		size := float64(held + k)
		f.Mean[i] += p * size
		f.Variance[i] += p * (1 - p) * size * size
	}
}

// Merge adds another forecast.
func (f *Forecast) Merge(o *Forecast) {
	for i := range Horizons {
		f.Mean[i] += o.Mean[i]
		f.Variance[i] += o.Variance[i]
	}
}

// Peak returns the highest share of a memory that two forecasts together reach,
// with a margin of so many standard deviations. Once a share is above 1, the
// rest is not looked at.
func (f *Forecast) Peak(o *Forecast, memory, margin float64) float64 {
	most := 0.0
	for i := range Horizons {
		need := f.Mean[i] + o.Mean[i] + margin*math.Sqrt(f.Variance[i]+o.Variance[i])
		most = max(most, need)
		if most > memory {
			break
		}
	}
	return most / memory
}
