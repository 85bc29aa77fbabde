// Package model simulates a model engine: continuous batching, limited key-value
// memory, a prefix cache, and preemption with recompute. It does no input or
// output and reads no clock, so the same code runs behind a socket in real time
// and inside a replay in virtual time.
package model

import (
	"errors"
	"sort"
	"time"
)

// ErrFull is returned by Submit when the engine's waiting queue is full.
var ErrFull = errors.New("waiting queue is full")

// ErrTooLarge is returned by Submit for a prompt that, with its first generated
// token, needs more than the engine's whole memory.
var ErrTooLarge = errors.New("prompt exceeds the engine's memory")

// ErrDraining is returned by Submit after a call to Drain.
var ErrDraining = errors.New("engine is draining")

// Params configures an engine's speed and limits. A zero field means the value
// from DefaultParams.
type Params struct {
	// MemoryTokens is the capacity of the key-value memory in tokens.
	MemoryTokens int
	// MaxBatch is the maximum number of generations decoded in one step.
	MaxBatch int
	// MaxWaiting is the maximum length of the waiting queue.
	MaxWaiting int
	// StepBase is the duration of a decode step with an empty batch.
	StepBase time.Duration
	// StepPerSeq is added to a step's duration for each generation in the batch.
	StepPerSeq time.Duration
	// StepPerKTok is added to a step's duration for every 1,000 tokens of memory
	// in use.
	StepPerKTok time.Duration
	// PrefillPerKTok is added to a step's duration for every 1,000 prompt tokens
	// that it computes. Tokens found in the prefix cache are not computed. After a
	// preemption the generated tokens are computed again like prompt tokens.
	PrefillPerKTok time.Duration
	// PrefillChunk is the maximum number of tokens computed in this way in one step.
	PrefillChunk int
}

// DefaultParams returns the parameters used for fields that a Params leaves
// zero.
func DefaultParams() Params {
	return Params{
		MemoryTokens:   24_000,
		MaxBatch:       48,
		MaxWaiting:     512,
		StepBase:       8 * time.Millisecond,
		StepPerSeq:     250 * time.Microsecond,
		StepPerKTok:    350 * time.Microsecond,
		PrefillPerKTok: 40 * time.Millisecond,
		PrefillChunk:   256,
	}
}

func (p Params) withDefaults() Params {
	d := DefaultParams()
	if p.MemoryTokens == 0 {
		p.MemoryTokens = d.MemoryTokens
	}
	if p.MaxBatch == 0 {
		p.MaxBatch = d.MaxBatch
	}
	if p.MaxWaiting == 0 {
		p.MaxWaiting = d.MaxWaiting
	}
	if p.StepBase == 0 {
		p.StepBase = d.StepBase
	}
	if p.StepPerSeq == 0 {
		p.StepPerSeq = d.StepPerSeq
	}
	if p.StepPerKTok == 0 {
		p.StepPerKTok = d.StepPerKTok
	}
	if p.PrefillPerKTok == 0 {
		p.PrefillPerKTok = d.PrefillPerKTok
	}
	if p.PrefillChunk == 0 {
		p.PrefillChunk = d.PrefillChunk
	}
	return p
}

// Request describes one generation to run.
type Request struct {
	ID           string
	PromptTokens int
	// Length is the number of tokens after which the generation ends on its own.
	// Submit limits it to at least 1 and to what fits in the engine's memory.
	Length int
	// Priority orders admission and preemption. A request with a lower number is
	// admitted first and preempted last.
	Priority int
	// Prefix identifies the part at the start of the prompt that other prompts
	// share. It is empty if there is none.
	Prefix string
	// PrefixTokens is the length of the shared prefix in tokens.
	PrefixTokens int
}

// Token is one generated token. ID is the ID of its Request.
type Token struct {
	ID string
	// Offset is the token's position in the generation, starting at 1.
	Offset int
	// Last marks the final token of its generation.
	Last bool
	// Preemptions is how often the generation has been preempted so far.
	Preemptions int
}

// CacheEvent reports that a prefix was stored in the prefix cache, or evicted
// from it if Stored is false.
type CacheEvent struct {
	Prefix string
	Stored bool
}

// Load is the engine's load: the generations that run and wait, the tokens of
// memory in use without the prefix cache, the preemptions since the start, and the
// duration of the last step, zero if nothing ran in it.
type Load struct {
	Running     int
	Waiting     int
	MemoryUsed  int
	Preemptions int
	Step        time.Duration
}

// sequence is a submitted generation that runs or waits.
type sequence struct {
	req Request
	// generated counts the tokens returned by Step. It never decreases:
	// preemption releases memory but keeps the generated tokens.
	generated int
	// kvTokens is the key-value memory in use, in tokens. It is zero if and only
	// if the sequence waits.
	kvTokens int
	// prefillRemaining is the number of tokens still to compute before the next
	// token can be generated.
	prefillRemaining int
	// order is the position in the order of submission.
	order       uint64
	preemptions int
}

// before reports whether s is admitted before o and preempted after it.
func (s *sequence) before(o *sequence) bool {
	if s.req.Priority != o.req.Priority {
		return s.req.Priority < o.req.Priority
	}
	return s.order < o.order
}

// Engine is a simulated model engine, created by New. It is not safe for
// concurrent use.
type Engine struct {
	params  Params
	running []*sequence
	// waiting is sorted by sequence.before.
	waiting []*sequence
	byID    map[string]*sequence
	// usedTokens is the sum of kvTokens over running. It never exceeds
	// MemoryTokens.
	usedTokens int
	// submitted counts the accepted requests.
	submitted   uint64
	preemptions int
	// lastStep is the duration of the last step, zero if nothing ran in it.
	lastStep time.Duration
	draining bool
	cache    prefixCache
	events   []CacheEvent
}

// New returns an idle engine.
func New(p Params) *Engine {
	return &Engine{params: p.withDefaults(), byID: map[string]*sequence{}}
}

// Params returns the engine's parameters with defaults filled in.
func (e *Engine) Params() Params { return e.params }

// Submit adds a generation to the waiting queue. It returns ErrDraining,
// ErrTooLarge or ErrFull if the engine rejects the request.
func (e *Engine) Submit(r Request) error {
	if e.draining {
		return ErrDraining
	}
	if r.PromptTokens+1 > e.params.MemoryTokens {
		return ErrTooLarge
	}
	if len(e.waiting) >= e.params.MaxWaiting {
		return ErrFull
	}
	r.Length = max(1, min(r.Length, e.params.MemoryTokens-r.PromptTokens))
	e.submitted++
	s := &sequence{req: r, order: e.submitted}
	e.byID[r.ID] = s
	e.enqueue(s)
	return nil
}

// enqueue inserts a sequence into the waiting queue at its sorted position.
func (e *Engine) enqueue(s *sequence) {
	i := sort.Search(len(e.waiting), func(i int) bool { return s.before(e.waiting[i]) })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
}

// Cancel removes a generation that runs or waits, and frees its memory. It
// reports whether there was one with the ID.
func (e *Engine) Cancel(id string) bool {
	s := e.byID[id]
	if s == nil {
		return false
	}
	e.remove(s)
	return true
}

func (e *Engine) remove(s *sequence) {
	delete(e.byID, s.req.ID)
	e.usedTokens -= s.kvTokens
	s.kvTokens = 0
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
}

// without removes s from list and returns the shortened list. It reuses the
// backing array.
func without(list []*sequence, s *sequence) []*sequence {
	for i, v := range list {
		if v == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Drain makes the engine reject new generations. Those that run or wait
// continue.
func (e *Engine) Drain() { e.draining = true }

// Idle reports whether no generation runs or waits.
func (e *Engine) Idle() bool { return len(e.byID) == 0 }

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	return Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		MemoryUsed:  e.usedTokens,
		Preemptions: e.preemptions,
		Step:        e.lastStep,
	}
}

// CacheEvents returns the changes of the prefix cache since the last call.
func (e *Engine) CacheEvents() []CacheEvent {
	ev := e.events
	e.events = nil
	return ev
}

// Step runs one decode step. It returns the step's duration and the tokens that
// it generates, which are available at the end of the step. A zero duration
// means that nothing runs. The caller must let the duration pass before it calls
// Step again.
func (e *Engine) Step() (time.Duration, []Token) {
	e.admit()
	e.ensureStepMemory()
	if len(e.running) == 0 {
		e.lastStep = 0
		return 0, nil
	}
	d := e.stepTime(e.prefill())
	e.lastStep = d
	return d, e.generate()
}

// prefill computes up to PrefillChunk of the tokens that the batch needs before it
// can generate, and returns the number of tokens computed.
func (e *Engine) prefill() int {
	remaining := e.params.PrefillChunk
	for _, s := range e.running {
		n := min(remaining, s.prefillRemaining)
		s.prefillRemaining -= n
		remaining -= n
	}
	return e.params.PrefillChunk - remaining
}

// stepTime returns the duration of a step in which prefill computes the given
// number of tokens.
func (e *Engine) stepTime(prefillTokens int) time.Duration {
	d := e.params.StepBase
	d += time.Duration(len(e.running)) * e.params.StepPerSeq
	d += time.Duration(e.usedTokens) * e.params.StepPerKTok / 1000
	d += time.Duration(prefillTokens) * e.params.PrefillPerKTok / 1000
	return d
}

// admit moves waiting generations into the batch while they fit with one more
// token each. If the memory or the batch is full, a waiting generation preempts
// running ones with a higher priority number. The prefix cache then shrinks to the
// memory that is left.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		need := s.req.PromptTokens + s.generated + 1
		if !e.makeRoom(s, need) {
			break
		}
		e.waiting = e.waiting[1:]
		s.kvTokens = need
		e.usedTokens += need
		e.running = append(e.running, s)
		s.prefillRemaining = e.cachePrefix(s)
	}
	e.cache.shrink(e.params.MemoryTokens-e.usedTokens, e.recordEviction)
}

func (e *Engine) recordEviction(prefix string) {
	e.events = append(e.events, CacheEvent{Prefix: prefix})
}

// cachePrefix looks up the prefix of a sequence in the prefix cache and stores it
// if it is missing. It returns the number of tokens that must be computed before
// the sequence generates its next token.
func (e *Engine) cachePrefix(s *sequence) int {
	total := s.req.PromptTokens + s.generated
	if s.req.Prefix == "" {
		return total
	}
	if e.cache.touch(s.req.Prefix) {
		return max(0, total-s.req.PrefixTokens)
	}
	e.cache.store(s.req.Prefix, s.req.PrefixTokens)
	e.events = append(e.events, CacheEvent{Prefix: s.req.Prefix, Stored: true})
	return total
}

// makeRoom frees need tokens and a slot in the batch for s by preempting
// generations with a higher priority number. It reports whether s fits. If it
// can't, nothing is preempted.
func (e *Engine) makeRoom(s *sequence, need int) bool {
	if !e.canMakeRoom(s, need) {
		return false
	}
	for len(e.running) >= e.params.MaxBatch || e.usedTokens+need > e.params.MemoryTokens {
		e.preempt(e.firstToPreempt())
	}
	return true
}

// canMakeRoom reports whether s would fit if every generation with a higher
// priority number were preempted.
func (e *Engine) canMakeRoom(s *sequence, need int) bool {
	used, batch := e.usedTokens, len(e.running)
	for _, r := range e.running {
		if r.req.Priority > s.req.Priority {
			used -= r.kvTokens
			batch--
		}
	}
	return batch < e.params.MaxBatch && used+need <= e.params.MemoryTokens
}

// firstToPreempt returns the running sequence with the highest priority number,
// and the last submitted of these, or nil if none runs.
func (e *Engine) firstToPreempt() *sequence {
	var candidate *sequence
	for _, r := range e.running {
		if candidate == nil || candidate.before(r) {
			candidate = r
		}
	}
	return candidate
}

// ensureStepMemory preempts generations until each one left in the batch has
// memory for one more token. It never preempts the last one, which fits because
// Submit limits its length.
func (e *Engine) ensureStepMemory() {
	for e.usedTokens+len(e.running) > e.params.MemoryTokens && len(e.running) > 1 {
		e.preempt(e.firstToPreempt())
	}
}

// preempt moves a running sequence back to the waiting queue and frees its
// memory.
func (e *Engine) preempt(s *sequence) {
	e.preemptions++
	s.preemptions++
	e.usedTokens -= s.kvTokens
	s.kvTokens = 0
	e.running = without(e.running, s)
	e.enqueue(s)
}

// generate returns one token of each running generation whose prefill is
// complete, and removes those that end.
func (e *Engine) generate() []Token {
	tokens := make([]Token, 0, len(e.running))
	for _, s := range append([]*sequence(nil), e.running...) {
		if s.prefillRemaining > 0 {
			continue
		}
		s.generated++
		last := s.generated >= s.req.Length
		tokens = append(tokens, Token{ID: s.req.ID, Offset: s.generated, Last: last, Preemptions: s.preemptions})
		if last {
			e.remove(s)
			continue
		}
		s.kvTokens++
		e.usedTokens++
	}
	return tokens
}
