package learn

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func logNormal(r *rand.Rand, median, spread float64) int {
	return max(1, int(median*math.Exp(r.NormFloat64()*spread)))
}

func feed(l *Lengths, g Group, n int) {
	l.Progress(g, 0, n)
	l.End(g, n)
}

// TestSurvivalAgainstCounting compares the estimate with plain counting of
// the same answers.
func TestSurvivalAgainstCounting(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	g := Group{"w", "summary", "m"}
	var l Lengths
	var all []int
	for range 300 {
		n := logNormal(r, 400, 0.7)
		all = append(all, n)
		feed(&l, g, n)
	}
	s := l.Survival(g)
	for _, reached := range []int{1, 100, 400} {
		for _, beyond := range []int{500, 900} {
			at, over := 0, 0
			for _, n := range all {
				if n >= reached {
					at++
				}
				if n >= beyond {
					over++
				}
			}
			want := float64(over) / float64(at)
			if got := s.Beyond(reached, beyond); math.Abs(got-want) > 0.1 {
				t.Errorf("beyond %d from %d: %.3f, counted %.3f", beyond, reached, got, want)
			}
		}
	}
}

// TestShortAnswersEndFirst learns from a moment at which the long answers
// still run: counting only those that have ended would miss them.
func TestShortAnswersEndFirst(t *testing.T) {
	g := Group{"w", "draft", "m"}
	var l Lengths
	for i := range 200 {
		if i%2 == 0 {
			feed(&l, g, 20)
			continue
		}
		l.Progress(g, 0, 800)
	}
	if got := l.Survival(g).Beyond(1, 500); got < 0.35 || got > 0.6 {
		t.Errorf("chance beyond 500 is %.2f, want about one half", got)
	}
}

func TestShiftedMixIsRelearned(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	g := Group{"w", "draft", "m"}
	var l Lengths
	for range 2000 {
		feed(&l, g, logNormal(r, 100, 0.3))
	}
	for range 800 {
		feed(&l, g, logNormal(r, 1000, 0.3))
	}
	if q := l.Survival(g).Quantile(1, 0.5); q < 700 || q > 1300 {
		t.Errorf("median %d after the shift, want about 1000", q)
	}
}

func TestNothingLearned(t *testing.T) {
	var l Lengths
	s := l.Survival(Group{"w", "c", "m"})
	if q := s.Quantile(1, 0.5); q < 2 || q > 1000 {
		t.Errorf("median %d with nothing learned", q)
	}
	if b := s.Beyond(1000, 2000); b <= 0 || b > 1 {
		t.Errorf("chance %v", b)
	}
}

// TestNewWorkspaceUsesTheClass gives a new workspace the estimate of its
// class, and its own once it has answers.
func TestNewWorkspaceUsesTheClass(t *testing.T) {
	var l Lengths
	for range 200 {
		feed(&l, Group{"old", "check", "m"}, 4)
	}
	fresh := Group{"new", "check", "m"}
	if q := l.Survival(fresh).Quantile(1, 0.5); q > 8 {
		t.Errorf("median %d for a new workspace, want about 4", q)
	}
	for range 100 {
		feed(&l, fresh, 300)
	}
	if q := l.Survival(fresh).Quantile(1, 0.5); q < 200 {
		t.Errorf("median %d after 100 answers of 300", q)
	}
}

func TestQuantileMatchesBeyond(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	g := Group{"w", "c", "m"}
	var l Lengths
	for range 200 {
		feed(&l, g, logNormal(r, 300, 1))
	}
	s := l.Survival(g)
	for _, reached := range []int{1, 50, 700} {
		for _, chance := range []float64{0.1, 0.5, 0.9} {
			q := s.Quantile(reached, chance)
			if got := 1 - s.Beyond(reached, q); math.Abs(got-chance) > 0.03 && q < MaxLength {
				t.Errorf("from %d: below %d with %.3f, want %.1f", reached, q, got, chance)
			}
		}
	}
}

func TestStepIsLearned(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	truth := func(batch, memory int) time.Duration {
		return 8*time.Millisecond + time.Duration(batch)*250*time.Microsecond + time.Duration(memory)*350*time.Nanosecond
	}
	var s StepTime
	for range 400 {
		batch := 1 + r.IntN(40)
		memory := batch * (100 + r.IntN(400))
		noise := time.Duration(r.NormFloat64() * float64(300*time.Microsecond))
		s.Observe(batch, memory, truth(batch, memory)+noise)
	}
	for _, batch := range []int{1, 20, 48} {
		got, want := s.Predict(batch, batch*300), truth(batch, batch*300)
		if d := (got - want).Abs(); d > want/10 {
			t.Errorf("batch %d: %v, want %v", batch, got, want)
		}
	}
}
