// Package deliv turns what arrives from engines into one answer: every token
// once, in order, from a single generation. It decides when to resume, when
// to run again elsewhere and when the answer must end as interrupted.
package deliv

import (
	"hash/crc32"

	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/retry"
)

// Defaults of a Stream.
const (
	// DefaultMaxBuffered bounds the tokens held that arrived ahead of a gap.
	DefaultMaxBuffered = 256
	// DefaultMaxResumes bounds the resumptions in a row without a new token.
	DefaultMaxResumes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum extends the CRC-32C of an answer by the text that follows.
func Checksum(sum uint32, text string) uint32 {
	return crc32.Update(sum, castagnoli, []byte(text))
}

// Token is one token of a generation. Offsets count from 1.
type Token struct {
	Offset int
	Text   string
	Last   bool
}

// Action is what the owner of a Stream does next.
type Action int

// The verbs.
const (
	// Continue: read on.
	Continue Action = iota
	// Resume: attach again to the same generation, after Step.From.
	Resume
	// Restart: run the request again as a new generation.
	Restart
	// Finish: end the answer with Step.Outcome.
	Finish
)

// Step is the answer to one event.
type Step struct {
	// Tokens holds the tokens to pass to the caller now, in order.
	Tokens []Token
	Action Action
	// ResumeAfter is the offset after which Resume asks for tokens.
	ResumeAfter int
	Outcome     retry.Outcome
}

// Stream is the delivery of one answer. The zero value with a call of Begin
// is ready to use; the exported fields are set before that.
type Stream struct {
	// HoldUntilComplete holds the answer back until it is complete, which makes a restart
	// invisible to the caller.
	HoldUntilComplete bool
	// MaxBuffered and MaxResumes take their defaults when zero.
	MaxBuffered int
	MaxResumes  int

	generation string
	// position covers exactly the tokens returned in Step.Deliver.
	position handle.Position
	// next is the offset expected from the engine. It runs ahead of position
	// only while an answer is held back whole.
	next int
	// ahead holds tokens beyond next, and at most MaxBuffered of them.
	ahead map[int]Token
	// held is the answer so far of a Whole stream.
	held    []Token
	resumes int
	done    bool
}

// Begin starts the answer as the given generation.
func (s *Stream) Begin(generation string) {
	s.generation = generation
	s.next = s.position.Offset + 1
	s.ahead = nil
	s.held = nil
	s.resumes = 0
}

// Attach continues a generation of which the caller already has p.
func (s *Stream) Attach(generation string, p handle.Position) {
	s.position = p
	s.Begin(generation)
}

// Position returns what the caller has.
func (s *Stream) Position() handle.Position { return s.position }

// ReceivedOffset returns the offset up to which tokens have arrived in order. It is
// ahead of Position only while an answer is held back whole.
func (s *Stream) ReceivedOffset() int { return s.next - 1 }

// Generation returns the generation that the answer comes from.
func (s *Stream) Generation() string { return s.generation }

// Token takes one token that arrived for a generation. Tokens of other
// generations, repeated ones and those after the end are dropped.
func (s *Stream) Token(generation string, t Token) Step {
	if s.done || generation != s.generation || t.Offset < s.next {
		return Step{}
	}
	if t.Offset > s.next {
		return s.buffer(t)
	}
	s.resumes = 0
	ready := []Token{t}
	s.next++
	for len(s.ahead) > 0 && !ready[len(ready)-1].Last {
		a, ok := s.ahead[s.next]
		if !ok {
			break
		}
		delete(s.ahead, s.next)
		ready = append(ready, a)
		s.next++
	}
	return s.accept(ready, ready[len(ready)-1].Last)
}

func (s *Stream) buffer(t Token) Step {
	if len(s.ahead) >= s.maxBuffered() {
		return s.resume()
	}
	if s.ahead == nil {
		s.ahead = map[int]Token{}
	}
	s.ahead[t.Offset] = t
	return Step{}
}

// accept takes the next tokens in order; last says that the answer ends with
// them.
func (s *Stream) accept(ready []Token, last bool) Step {
	if s.HoldUntilComplete {
		s.held = append(s.held, ready...)
		if !last {
			return Step{}
		}
		ready, s.held = s.held, nil
	}
	for _, t := range ready {
		s.position.Sum = Checksum(s.position.Sum, t.Text)
	}
	s.position.Offset += len(ready)
	if !last {
		return Step{Tokens: ready}
	}
	s.done = true
	return Step{Tokens: ready, Action: Finish, Outcome: retry.Done}
}

// End says that the engine has stated the number of tokens of a generation.
// It finishes an answer of which the last token is here already, and asks for
// what is missing otherwise.
func (s *Stream) End(generation string, total int) Step {
	if s.done || generation != s.generation {
		return Step{}
	}
	if s.next-1 < total {
		return s.resume()
	}
	return s.accept(nil, true)
}

// ConnectionLost says that the connection to the generation broke, stalled or
// closed before the last token.
func (s *Stream) ConnectionLost(generation string) Step {
	if s.done || generation != s.generation {
		return Step{}
	}
	return s.resume()
}

func (s *Stream) resume() Step {
	s.resumes++
	if s.resumes > s.maxResumes() {
		return s.GenerationLost(s.generation)
	}
	s.ahead = nil
	return Step{Action: Resume, ResumeAfter: s.next - 1}
}

// GenerationLost says that the generation is gone. Nothing delivered: it may run
// again elsewhere. Something delivered: the answer ends as interrupted, since
// a second generation must not follow the first in one answer.
func (s *Stream) GenerationLost(generation string) Step {
	if s.done || generation != s.generation {
		return Step{}
	}
	if s.position.Offset == 0 {
		s.held, s.ahead = nil, nil
		return Step{Action: Restart}
	}
	s.done = true
	return Step{Action: Finish, Outcome: retry.Interrupted}
}

func (s *Stream) maxBuffered() int {
	if s.MaxBuffered == 0 {
		return DefaultMaxBuffered
	}
	return s.MaxBuffered
}

func (s *Stream) maxResumes() int {
	if s.MaxResumes == 0 {
		return DefaultMaxResumes
	}
	return s.MaxResumes
}
