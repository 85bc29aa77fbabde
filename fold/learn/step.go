package learn

import "time"

// StepTime learns how long an engine's decode step takes, by recursive least
// squares with a forgetting factor. The model is linear in the batch size and
// in the memory in use. The zero value starts from conservative defaults.
// StepTime is not safe for concurrent use.
type StepTime struct {
	// w holds the base, the slope per generation in the batch and the slope per
	// 1,000 tokens of memory, in milliseconds. p is the inverse correlation
	// matrix of the inputs.
	w           [3]float64
	p           [3][3]float64
	initialized bool
}

// Constants of the fit.
const (
	// stepForgettingFactor is the factor by which each new observation reduces
	// the weight of the earlier ones.
	stepForgettingFactor = 0.995
	// stepVariance is the initial value and the upper bound of the diagonal of
	// p.
	stepVariance = 100.0
	// minStepMS and maxStepMS bound predictions and the observations that are
	// used, in milliseconds.
	minStepMS = 0.1
	maxStepMS = 10_000
)

// initialStepWeights is the value of w before the first observation.
var initialStepWeights = [3]float64{10, 0.3, 0.4}

func (s *StepTime) initialize() {
	if s.initialized {
		return
	}
	s.initialized = true
	s.w = initialStepWeights
	for i := range s.p {
		s.p[i][i] = stepVariance
	}
}

// stepInputs returns the inputs of the model for a batch size and the memory in
// use, in tokens.
func stepInputs(batch, memory int) [3]float64 {
	return [3]float64{1, float64(batch), float64(memory) / 1000}
}

// Observe records the duration of a step with the given batch size and memory
// in use, in tokens. It ignores steps with an empty batch or an implausible
// duration.
func (s *StepTime) Observe(batch, memory int, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	if batch <= 0 || ms < minStepMS || ms > maxStepMS {
		return
	}
	s.initialize()
	x := stepInputs(batch, memory)
	var px [3]float64
	norm := stepForgettingFactor
	for i := range x {
		for j := range x {
			px[i] += s.p[i][j] * x[j]
		}
		norm += x[i] * px[i]
	}
	residual := ms - s.dot(x)
	for i := range x {
		s.w[i] += px[i] / norm * residual
	}
	s.updateInverse(px, norm)
}

// updateInverse updates p, and resets it if its diagonal exceeds stepVariance.
// Without the bound, p would grow without limit while the inputs hardly change.
func (s *StepTime) updateInverse(px [3]float64, norm float64) {
	for i := range px {
		for j := range px {
			s.p[i][j] = (s.p[i][j] - px[i]*px[j]/norm) / stepForgettingFactor
		}
	}
	for i := range px {
		if s.p[i][i] > stepVariance {
			s.p = [3][3]float64{}
			for k := range px {
				s.p[k][k] = stepVariance / 10
			}
			return
		}
	}
}

// dot returns the duration in milliseconds that the model gives for inputs x.
func (s *StepTime) dot(x [3]float64) float64 { return s.w[0]*x[0] + s.w[1]*x[1] + s.w[2]*x[2] }

// Predict returns the expected duration of a step with the given batch size and
// memory in use, in tokens.
func (s *StepTime) Predict(batch, memory int) time.Duration {
	s.initialize()
	ms := min(max(s.dot(stepInputs(batch, memory)), minStepMS), maxStepMS)
	return time.Duration(ms * float64(time.Millisecond))
}
