package learn

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// logNormal returns a random length with a log-normal distribution.
func logNormal(r *rand.Rand, median, spread float64) int {
	return max(1, int(median*math.Exp(r.NormFloat64()*spread)))
}

// addAnswer records a complete answer of n tokens.
func addAnswer(l *Lengths, g Group, n int) {
	l.Progress(g, 0, n)
	l.End(g, n)
}

// TestSurvivalMatchesCounts compares the estimate with the shares counted in
// the same answers.
func TestSurvivalMatchesCounts(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	g := Group{"w", "summary", "m"}
	var l Lengths
	var lengths []int
	for range 300 {
		n := logNormal(r, 400, 0.7)
		lengths = append(lengths, n)
		addAnswer(&l, g, n)
	}
	s := l.Survival(g)
	for _, reached := range []int{1, 100, 400} {
		for _, beyond := range []int{500, 900} {
			reachedCount, beyondCount := 0, 0
			for _, n := range lengths {
				if n >= reached {
					reachedCount++
				}
				if n >= beyond {
					beyondCount++
				}
			}
			want := float64(beyondCount) / float64(reachedCount)
			if got := s.Beyond(reached, beyond); math.Abs(got-want) > 0.1 {
				t.Errorf("probability of more than %d tokens after %d: got %.3f, counted %.3f", beyond, reached, got, want)
			}
		}
	}
}

// TestUnfinishedAnswersCount estimates lengths while the long answers are still
// running. An estimate from ended answers alone would miss the long ones.
func TestUnfinishedAnswersCount(t *testing.T) {
	g := Group{"w", "draft", "m"}
	var l Lengths
	for i := range 200 {
		if i%2 == 0 {
			addAnswer(&l, g, 20)
			continue
		}
		l.Progress(g, 0, 800)
	}
	if got := l.Survival(g).Beyond(1, 500); got < 0.35 || got > 0.6 {
		t.Errorf("probability of more than 500 tokens: got %.2f, want 0.35 to 0.6", got)
	}
}

func TestChangedLengthsAreRelearned(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	g := Group{"w", "draft", "m"}
	var l Lengths
	for range 2000 {
		addAnswer(&l, g, logNormal(r, 100, 0.3))
	}
	for range 800 {
		addAnswer(&l, g, logNormal(r, 1000, 0.3))
	}
	if q := l.Survival(g).Quantile(1, 0.5); q < 700 || q > 1300 {
		t.Errorf("median %d after the change, want 700 to 1300", q)
	}
}

func TestPriorIsPlausible(t *testing.T) {
	var l Lengths
	s := l.Survival(Group{"w", "c", "m"})
	if q := s.Quantile(1, 0.5); q < 2 || q > 1000 {
		t.Errorf("median %d with nothing learned, want 2 to 1000", q)
	}
	if b := s.Beyond(1000, 2000); b <= 0 || b > 1 {
		t.Errorf("probability of more than 2000 tokens after 1000: got %v, want above 0 and at most 1", b)
	}
}

// TestNewWorkspaceUsesClassEstimate checks that a new workspace gets the
// estimate of its class, and one of its own once it has answers.
func TestNewWorkspaceUsesClassEstimate(t *testing.T) {
	var l Lengths
	for range 200 {
		addAnswer(&l, Group{"old", "check", "m"}, 4)
	}
	fresh := Group{"new", "check", "m"}
	if q := l.Survival(fresh).Quantile(1, 0.5); q > 8 {
		t.Errorf("median %d for a new workspace, want at most 8", q)
	}
	for range 100 {
		addAnswer(&l, fresh, 300)
	}
	if q := l.Survival(fresh).Quantile(1, 0.5); q < 200 {
		t.Errorf("median %d after 100 answers of 300 tokens, want at least 200", q)
	}
}

func TestQuantileMatchesBeyond(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	g := Group{"w", "c", "m"}
	var l Lengths
	for range 200 {
		addAnswer(&l, g, logNormal(r, 300, 1))
	}
	s := l.Survival(g)
	for _, reached := range []int{1, 50, 700} {
		for _, probability := range []float64{0.1, 0.5, 0.9} {
			q := s.Quantile(reached, probability)
			if got := 1 - s.Beyond(reached, q); math.Abs(got-probability) > 0.03 && q < MaxLength {
				t.Errorf("after %d tokens: staying below %d has probability %.3f, want %.1f", reached, q, got, probability)
			}
		}
	}
}

func TestStepTimeIsLearned(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	trueTime := func(batch, memory int) time.Duration {
		return 8*time.Millisecond + time.Duration(batch)*250*time.Microsecond + time.Duration(memory)*350*time.Nanosecond
	}
	var s StepTime
	for range 400 {
		batch := 1 + r.IntN(40)
		memory := batch * (100 + r.IntN(400))
		noise := time.Duration(r.NormFloat64() * float64(300*time.Microsecond))
		s.Observe(batch, memory, trueTime(batch, memory)+noise)
	}
	for _, batch := range []int{1, 20, 48} {
		got, want := s.Predict(batch, batch*300), trueTime(batch, batch*300)
		if d := (got - want).Abs(); d > want/10 {
			t.Errorf("batch %d: predicted %v, want %v within a tenth", batch, got, want)
		}
	}
}
