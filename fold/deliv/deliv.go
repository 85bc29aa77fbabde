// Package deliv assembles the tokens received from engines into one answer. The
// answer has every token exactly once, in order and from a single generation.
// The package decides when to resume a generation, when to run the request
// again as a new generation and when to end the answer as interrupted.
package deliv

import (
	"hash/crc32"

	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/retry"
)

// Defaults of a Stream.
const (
	// DefaultMaxBuffered is the maximum number of tokens buffered after a gap.
	DefaultMaxBuffered = 256
	// DefaultMaxResumes is the maximum number of consecutive resumptions without
	// a new token.
	DefaultMaxResumes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of an answer whose checksum so far is sum,
// extended by text.
func Checksum(sum uint32, text string) uint32 {
	return crc32.Update(sum, castagnoli, []byte(text))
}

// Token is one token of a generation. Offsets count from 1.
type Token struct {
	Offset int
	Text   string
	Last   bool
}

// Action is what the owner of a Stream must do next.
type Action int

const (
	// Continue means to keep reading from the current connection.
	Continue Action = iota
	// Resume means to reconnect to the same generation and request the tokens
	// after Step.ResumeAfter.
	Resume
	// Restart means to run the request again as a new generation.
	Restart
	// Finish means to end the answer with Step.Outcome.
	Finish
)

// Step is the result of one event on a Stream.
type Step struct {
	// Tokens are the tokens to send to the caller now, in order.
	Tokens []Token
	Action Action
	// ResumeAfter is the offset of the last token that need not be sent again.
	// It is set if Action is Resume.
	ResumeAfter int
	// Outcome is set if Action is Finish.
	Outcome retry.Outcome
}

// Stream tracks the delivery of one answer. Set the exported fields, then call
// Begin or Attach before any other method. It is not safe for concurrent use.
type Stream struct {
	// HoldUntilComplete withholds the answer from the caller until it is
	// complete, so that a restart is invisible to the caller.
	HoldUntilComplete bool
	// MaxBuffered and MaxResumes default to DefaultMaxBuffered and
	// DefaultMaxResumes when zero.
	MaxBuffered int
	MaxResumes  int

	generation string
	// position covers the answer up to the position given to Attach and the
	// tokens returned in Step.Tokens since.
	position handle.Position
	// nextOffset is the offset of the next token expected from the engine. It is
	// more than one above position.Offset only while the answer is withheld.
	nextOffset int
	// buffered holds tokens that arrived after a gap, by offset. All offsets are
	// above nextOffset, and there are at most MaxBuffered of them.
	buffered map[int]Token
	// withheld is the answer so far if HoldUntilComplete is set.
	withheld []Token
	// resumes counts the consecutive resumptions without a new token.
	resumes int
	done    bool
}

// Begin starts receiving the given generation and discards all tokens that
// have not been delivered to the caller.
func (s *Stream) Begin(generation string) {
	s.generation = generation
	s.nextOffset = s.position.Offset + 1
	s.buffered = nil
	s.withheld = nil
	s.resumes = 0
}

// Attach starts receiving the given generation after position p, up to which
// the caller already has the answer.
func (s *Stream) Attach(generation string, p handle.Position) {
	s.position = p
	s.Begin(generation)
}

// Position returns the position up to which the answer has been delivered to
// the caller.
func (s *Stream) Position() handle.Position { return s.position }

// ReceivedOffset returns the offset up to which tokens have arrived in order.
// It is above the offset of Position only while the answer is withheld.
func (s *Stream) ReceivedOffset() int { return s.nextOffset - 1 }

// Generation returns the ID of the generation that the answer comes from.
func (s *Stream) Generation() string { return s.generation }

// Token handles a token received for a generation. It drops tokens of other
// generations, duplicates and tokens received after the end of the answer.
func (s *Stream) Token(generation string, t Token) Step {
	if s.done || generation != s.generation || t.Offset < s.nextOffset {
		return Step{}
	}
	if t.Offset > s.nextOffset {
		return s.buffer(t)
	}
	s.resumes = 0
	ready := []Token{t}
	s.nextOffset++
	for len(s.buffered) > 0 && !ready[len(ready)-1].Last {
		a, ok := s.buffered[s.nextOffset]
		if !ok {
			break
		}
		delete(s.buffered, s.nextOffset)
		ready = append(ready, a)
		s.nextOffset++
	}
	return s.accept(ready, ready[len(ready)-1].Last)
}

// buffer stores a token that arrived after a gap. If the buffer is full, it
// resumes the generation after the last token before the gap.
func (s *Stream) buffer(t Token) Step {
	if len(s.buffered) >= s.maxBuffered() {
		return s.resume()
	}
	if s.buffered == nil {
		s.buffered = map[int]Token{}
	}
	s.buffered[t.Offset] = t
	return Step{}
}

// accept appends the tokens, which are the next ones in order, to the answer and
// advances the position unless the answer is withheld. If last is set, the
// answer is complete.
func (s *Stream) accept(ready []Token, last bool) Step {
	if s.HoldUntilComplete {
		s.withheld = append(s.withheld, ready...)
		if !last {
			return Step{}
		}
		ready, s.withheld = s.withheld, nil
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

// End handles an engine's report of the total number of tokens of a generation.
// It finishes the answer if all of them have been received, and resumes the
// generation otherwise.
func (s *Stream) End(generation string, total int) Step {
	if s.done || generation != s.generation {
		return Step{}
	}
	if s.nextOffset-1 < total {
		return s.resume()
	}
	return s.accept(nil, true)
}

// ConnectionLost handles a connection to the generation that failed, stalled or
// was closed before the last token.
func (s *Stream) ConnectionLost(generation string) Step {
	if s.done || generation != s.generation {
		return Step{}
	}
	return s.resume()
}

// resume discards the buffered tokens and resumes the generation. After too
// many consecutive resumptions without a new token, it treats the generation as
// lost.
func (s *Stream) resume() Step {
	s.resumes++
	if s.resumes > s.maxResumes() {
		return s.GenerationLost(s.generation)
	}
	s.buffered = nil
	return Step{Action: Resume, ResumeAfter: s.nextOffset - 1}
}

// GenerationLost handles the loss of the generation at its engine. If no token
// has been delivered to the caller, the request may run again as a new
// generation. Otherwise the answer ends as interrupted, because one answer must
// not mix tokens of two generations.
func (s *Stream) GenerationLost(generation string) Step {
	if s.done || generation != s.generation {
		return Step{}
	}
	if s.position.Offset == 0 {
		s.withheld, s.buffered = nil, nil
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
