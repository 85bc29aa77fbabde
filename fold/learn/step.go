package learn

import "time"

// StepTime learns how long an engine's decode step takes: a base, a slope against
// the batch and a slope against the memory in use. The zero value starts from
// a cautious guess.
type StepTime struct {
	// w holds the base, the slope per generation and the slope per 1,000
	// tokens, in milliseconds; p is the inverse correlation of the inputs.
	w     [3]float64
	p     [3][3]float64
	ready bool
}

// Constants of the fit.
const (
	// stepForget is the weight that an observation keeps with each new one.
	stepForget = 0.995
	stepVar    = 100.0
	minStepMS  = 0.1
	maxStepMS  = 10_000
)

// stepGuess is the start with nothing learned, in milliseconds.
var stepGuess = [3]float64{10, 0.3, 0.4}

func (s *StepTime) start() {
	if s.ready {
		return
	}
	s.ready = true
	s.w = stepGuess
	for i := range s.p {
		s.p[i][i] = stepVar
	}
}

func stepInputs(batch, memory int) [3]float64 {
	return [3]float64{1, float64(batch), float64(memory) / 1000}
}

// Observe takes one step's duration at a batch and a memory in use.
func (s *StepTime) Observe(batch, memory int, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	if batch <= 0 || ms < minStepMS || ms > maxStepMS {
		return
	}
	s.start()
	x := stepInputs(batch, memory)
	var px [3]float64
	norm := stepForget
	for i := range x {
		for j := range x {
			px[i] += s.p[i][j] * x[j]
		}
		norm += x[i] * px[i]
	}
	miss := ms - s.dot(x)
	for i := range x {
		s.w[i] += px[i] / norm * miss
	}
	s.shrink(px, norm)
}

// shrink updates the inverse correlation, bounded so that long calm does not
// make it grow without limit.
func (s *StepTime) shrink(px [3]float64, norm float64) {
	for i := range px {
		for j := range px {
			s.p[i][j] = (s.p[i][j] - px[i]*px[j]/norm) / stepForget
		}
	}
	for i := range px {
		if s.p[i][i] > stepVar {
			s.p = [3][3]float64{}
			for k := range px {
				s.p[k][k] = stepVar / 10
			}
			return
		}
	}
}

func (s *StepTime) dot(x [3]float64) float64 { return s.w[0]*x[0] + s.w[1]*x[1] + s.w[2]*x[2] }

// Predict returns the expected duration of a step.
func (s *StepTime) Predict(batch, memory int) time.Duration {
	s.start()
	ms := min(max(s.dot(stepInputs(batch, memory)), minStepMS), maxStepMS)
	return time.Duration(ms * float64(time.Millisecond))
}
