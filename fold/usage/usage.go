// Package usage forecasts the memory in use at an engine over the coming decode
// steps, from the learned lengths of answers.
package usage

import (
	"math"

	"fuchsiafold.example/fold/learn"
)

// Horizons are the numbers of decode steps ahead at which the memory is
// forecast.
var Horizons = [...]int{0, 32, 64, 128, 256, 512, 1024, 2048, 4096}

// Forecast holds the mean and the variance of the memory in use at each
// horizon, in tokens. The zero value is the forecast of an empty memory.
type Forecast struct {
	Mean     [len(Horizons)]float64
	Variance [len(Horizons)]float64
}

// Add adds one answer, which now uses memoryTokens and one token more with each
// step until it ends. The answer is generated tokens long and grows to at most
// maxTokens; zero means no limit. s estimates its length.
func (f *Forecast) Add(memoryTokens, generated, maxTokens int, s *learn.Survival) {
	for i, k := range Horizons {
		if maxTokens > 0 && k > 0 && generated+k > maxTokens {
			break
		}
		p := s.Beyond(generated, generated+k)
		size := float64(memoryTokens + k)
		f.Mean[i] += p * size
		f.Variance[i] += p * (1 - p) * size * size
	}
}

// Merge adds another forecast to f.
func (f *Forecast) Merge(o *Forecast) {
	for i := range Horizons {
		f.Mean[i] += o.Mean[i]
		f.Variance[i] += o.Variance[i]
	}
}

// Peak returns the highest share of capacity that two forecasts reach together,
// with a margin of stdDevs standard deviations. It stops at the first horizon
// where the share is above 1, so a result above 1 is only a lower bound.
func (f *Forecast) Peak(o *Forecast, capacity, stdDevs float64) float64 {
	peak := 0.0
	for i := range Horizons {
		need := f.Mean[i] + o.Mean[i] + stdDevs*math.Sqrt(f.Variance[i]+o.Variance[i])
		peak = max(peak, need)
		if peak > capacity {
			break
		}
	}
	return peak / capacity
}
