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

// tokenText returns the text of a token. It differs between generations.
func tokenText(generation string, offset int) string {
	return fmt.Sprintf("%s.%d ", generation, offset)
}

// network simulates connections that are truncated and that duplicate and
// reorder tokens. It delivers one generation at a time.
type network struct {
	random *rand.Rand
	length int
	// failuresLeft is the number of engine failures still to be simulated.
	failuresLeft int
	// generations is the number of generations started.
	generations int
}

// connectionTokens returns the tokens that one connection carries after an
// offset, and whether the engine reports the length at its end.
func (n *network) connectionTokens(generation string, after int) (tokens []deliv.Token, ended bool) {
	for i := after + 1; i <= n.length; i++ {
		t := deliv.Token{Offset: i, Text: tokenText(generation, i)}
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

// expectedAnswer returns the complete text of a generation.
func expectedAnswer(generation string, length int) string {
	var out strings.Builder
	for i := 1; i <= length; i++ {
		out.WriteString(tokenText(generation, i))
	}
	return out.String()
}

// TestAnswerMatchesOneGeneration guards against answers that lose, duplicate or
// reorder tokens or mix two generations. Connections are truncated and reordered
// and engines fail. A complete answer must equal the text of one generation. An
// interrupted answer must be a non-empty prefix of it, and must not occur if
// answers are withheld until complete.
func TestAnswerMatchesOneGeneration(t *testing.T) {
	complete, interrupted := 0, 0
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 1))
		n := &network{random: r, length: 1 + r.IntN(60), failuresLeft: r.IntN(3)}
		s := &deliv.Stream{HoldUntilComplete: r.IntN(3) == 0, MaxBuffered: 1 + r.IntN(20), MaxResumes: 1 << 20}
		got, generation, outcome := runAnswer(n, s)
		want := expectedAnswer(generation, n.length)
		switch outcome {
		case retry.Done:
			complete++
			if got != want {
				t.Fatalf("seed %d: got %q, want %q", seed, got, want)
			}
		case retry.Interrupted:
			interrupted++
			if s.HoldUntilComplete || got == "" || !strings.HasPrefix(want, got) {
				t.Fatalf("seed %d: interrupted answer %q, want a non-empty prefix of %q; HoldUntilComplete is %t, want false", seed, got, want, s.HoldUntilComplete)
			}
		default:
			t.Fatalf("seed %d: got outcome %v, want done or interrupted", seed, outcome)
		}
		if p := s.Position(); p.Sum != deliv.Checksum(0, got) || p.Offset != len(strings.Fields(got)) {
			t.Fatalf("seed %d: position %+v does not match the delivered text %q", seed, p, got)
		}
	}
	if complete < 1000 || interrupted < 200 {
		t.Errorf("got %d complete and %d interrupted answers, want at least 1000 and 200", complete, interrupted)
	}
}

// runAnswer runs one answer to its end. It returns the text that the caller
// received, the generation that the text came from and the outcome.
func runAnswer(n *network, s *deliv.Stream) (got, generation string, outcome retry.Outcome) {
	var out strings.Builder
	begin := func() string {
		n.generations++
		generation = fmt.Sprint("g", n.generations)
		s.Begin(generation)
		return generation
	}
	after := 0
	begin()
	for range 100_000 {
		step := n.runConnection(s, generation, after, &out)
		switch step.Action {
		case deliv.Finish:
			return out.String(), generation, step.Outcome
		case deliv.Restart:
			begin()
			after = 0
		case deliv.Resume:
			after = step.ResumeAfter
		}
	}
	return out.String(), generation, retry.Unknown
}

// runConnection passes the tokens of one connection to the stream. It returns the
// first step that is not Continue, or the step at the end of the connection.
func (n *network) runConnection(s *deliv.Stream, generation string, after int, out *strings.Builder) deliv.Step {
	deliver := func(step deliv.Step) deliv.Step {
		for _, t := range step.Tokens {
			out.WriteString(t.Text)
		}
		return step
	}
	tokens, ended := n.connectionTokens(generation, after)
	for _, t := range tokens {
		if n.random.IntN(40) == 0 {
			// A delayed token of an earlier generation arrives.
			deliver(s.Token("g0", deliv.Token{Offset: t.Offset, Text: "wrong "}))
		}
		if step := deliver(s.Token(generation, t)); step.Action != deliv.Continue {
			return step
		}
	}
	if n.failuresLeft > 0 && n.random.IntN(3) == 0 {
		n.failuresLeft--
		return deliver(s.GenerationLost(generation))
	}
	if ended {
		return deliver(s.End(generation, n.length))
	}
	return deliver(s.ConnectionLost(generation))
}

// TestResumesAreLimited guards against endless resumptions of a generation that
// yields no new token.
func TestResumesAreLimited(t *testing.T) {
	var s deliv.Stream
	s.Attach("g", handle.Position{Offset: 3})
	for i := range deliv.DefaultMaxResumes {
		if step := s.ConnectionLost("g"); step.Action != deliv.Resume || step.ResumeAfter != 3 {
			t.Fatalf("lost connection %d: got %+v, want to resume after offset 3", i, step)
		}
	}
	if step := s.ConnectionLost("g"); step.Action != deliv.Finish || step.Outcome != retry.Interrupted {
		t.Errorf("after the last resumption: got %+v, want to finish as interrupted", step)
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
