package deliv_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/retry"
)

// word is the text of a token; it differs between generations.
func word(generation string, offset int) string { return fmt.Sprintf("%s.%d ", generation, offset) }

// network delivers one generation at a time over links that lose their end,
// repeat tokens and change their order.
type network struct {
	random *rand.Rand
	length int
	// deaths is how many engines still die in the middle.
	deaths int
	serial int
}

// link returns the tokens that one connection carries after an offset, and
// whether the engine states the length at its end.
func (n *network) link(generation string, after int) (tokens []deliv.Token, ended bool) {
	for i := after + 1; i <= n.length; i++ {
		t := deliv.Token{Offset: i, Text: word(generation, i)}
		tokens = append(tokens, t)
		if n.random.IntN(6) == 0 {
			tokens = append(tokens, t)
		}
	}
	for i := range tokens {
		if n.random.IntN(8) == 0 {
			j := min(i+n.random.IntN(5), len(tokens)-1)
			tokens[i], tokens[j] = tokens[j], tokens[i]
		}
	}
	if n.random.IntN(2) == 0 && len(tokens) > 0 {
		return tokens[:n.random.IntN(len(tokens))], false
	}
	return tokens, true
}

// naive is what a caller would get by collecting all of one generation before
// looking at it.
func naive(generation string, length int) string {
	var out strings.Builder
	for i := 1; i <= length; i++ {
		out.WriteString(word(generation, i))
	}
	return out.String()
}

// TestAgainstNaive runs answers over bad links with dying engines. A complete
// answer equals the naive one of a single generation; an interrupted one is a
// beginning of it, and only when something had been delivered.
func TestAgainstNaive(t *testing.T) {
	complete, interrupted := 0, 0
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		n := &network{random: r, length: 1 + r.IntN(60), deaths: r.IntN(3)}
		s := &deliv.Stream{HoldUntilComplete: r.IntN(3) == 0, MaxBuffered: 1 + r.IntN(20), MaxResumes: 1 << 20}
		got, generation, outcome := drive(n, s)
		want := naive(generation, n.length)
		switch outcome {
		case retry.Done:
			complete++
			if got != want {
				t.Fatalf("seed %d: got %q, want %q", seed, got, want)
			}
		case retry.Interrupted:
			interrupted++
			if s.HoldUntilComplete || got == "" || !strings.HasPrefix(want, got) {
				t.Fatalf("seed %d: interrupted with %q of %q, held back %t", seed, got, want, s.HoldUntilComplete)
			}
		default:
			t.Fatalf("seed %d: outcome %v", seed, outcome)
		}
		if p := s.Position(); p.Sum != deliv.Checksum(0, got) || p.Offset != len(strings.Fields(got)) {
			t.Fatalf("seed %d: position %+v of %q", seed, p, got)
		}
	}
	if complete < 1000 || interrupted < 200 {
		t.Errorf("%d complete, %d interrupted: the test does not reach both", complete, interrupted)
	}
}

// drive runs one answer to its end and returns what the caller got, and the
// generation that it came from.
func drive(n *network, s *deliv.Stream) (got, generation string, outcome retry.Outcome) {
	var out strings.Builder
	begin := func() string {
		n.serial++
		generation = fmt.Sprint("g", n.serial)
		s.Begin(generation)
		return generation
	}
	from := 0
	begin()
	for range 100_000 {
		step := n.carry(s, generation, from, &out)
		switch step.Action {
		case deliv.Finish:
			return out.String(), generation, step.Outcome
		case deliv.Restart:
			begin()
			from = 0
		case deliv.Resume:
			from = step.ResumeAfter
		}
	}
	return out.String(), generation, retry.Unknown
}

// carry feeds one connection to the stream.
func (n *network) carry(s *deliv.Stream, generation string, from int, out *strings.Builder) deliv.Step {
	take := func(step deliv.Step) deliv.Step {
		for _, t := range step.Tokens {
			out.WriteString(t.Text)
		}
		return step
	}
	tokens, ended := n.link(generation, from)
	for _, t := range tokens {
		if n.random.IntN(40) == 0 {
			// A late token of an earlier generation crosses.
			take(s.Token("g0", deliv.Token{Offset: t.Offset, Text: "wrong "}))
		}
		if step := take(s.Token(generation, t)); step.Action != deliv.Continue {
			return step
		}
	}
	if n.deaths > 0 && n.random.IntN(3) == 0 {
		n.deaths--
		return take(s.GenerationLost(generation))
	}
	if ended {
		return take(s.End(generation, n.length))
	}
	return take(s.ConnectionLost(generation))
}

func TestResumesEnd(t *testing.T) {
	var s deliv.Stream
	s.Attach("g", handle.Position{Offset: 3})
	for i := range deliv.DefaultMaxResumes {
		if step := s.ConnectionLost("g"); step.Action != deliv.Resume || step.ResumeAfter != 3 {
			t.Fatalf("loss %d: %+v", i, step)
		}
	}
	if step := s.ConnectionLost("g"); step.Action != deliv.Finish || step.Outcome != retry.Interrupted {
		t.Errorf("after the last resume: %+v", step)
	}
}

func ExampleStream() {
	var s deliv.Stream
	s.Begin("g1")
	fmt.Println(len(s.Token("g1", deliv.Token{Offset: 2, Text: "world"}).Tokens))
	for _, t := range s.Token("g1", deliv.Token{Offset: 1, Text: "hello "}).Tokens {
		fmt.Print(t.Text)
	}
	step := s.End("g1", 2)
	fmt.Println("\n", step.Action == deliv.Finish, step.Outcome)
	// Output:
	// 0
	// hello world
	//  true done
}
