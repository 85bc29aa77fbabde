// Package model is the stand-in for a model engine's scheduler: continuous
// batching, limited memory, a prefix cache and preemption with recompute. It
// does no input or output and reads no clock, so the same engine runs behind
// a socket in real time and inside a replay in virtual time.
package model

import (
	"errors"
	"sort"
	"time"
)

// ErrFull is returned by Submit when the engine's waiting queue is full.
var ErrFull = errors.New("waiting queue is full")

// ErrTooLarge is returned by Submit for a prompt that can never fit.
var ErrTooLarge = errors.New("prompt exceeds the engine's memory")

// ErrDraining is returned by Submit once the engine is leaving.
var ErrDraining = errors.New("engine is draining")

// Params describes an engine's speed and sizes. Zero fields take the values
// of DefaultParams.
type Params struct {
	// MemoryTokens is the number of tokens that the key-value memory holds.
	MemoryTokens int
	// MaxBatch is the largest number of generations decoded in one step.
	MaxBatch int
	// MaxWaiting bounds the waiting queue.
	MaxWaiting int
	// StepBase is the duration of a decode step with an empty batch.
	StepBase time.Duration
	// StepPerSeq is added to a step for each generation in the batch.
	StepPerSeq time.Duration
	// StepPerKTok is added to a step for each 1,000 tokens held in memory.
	StepPerKTok time.Duration
	// PrefillPerKTok is added to a step for each 1,000 tokens of prompts that
	// it computes. Tokens found in the prefix cache are not computed.
	PrefillPerKTok time.Duration
	// PrefillChunk bounds the tokens of prompts that one step computes.
	PrefillChunk int
}

// DefaultParams returns the engine that the emulator runs when nothing else
// is asked for.
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

// Request is one generation to run.
type Request struct {
	ID           string
	PromptTokens int
	// Length is the number of tokens after which the generation ends by itself.
	Length int
	// Priority orders waiting and preemption: a lower number goes first.
	Priority int
	// Prefix names the shared beginning of the prompt, if it has one.
	Prefix string
	// PrefixTokens is the size of that beginning in tokens.
	PrefixTokens int
}

// Token is one generated token.
type Token struct {
	ID string
	// Offset counts from 1.
	Offset int
	// Last marks the final token of its generation.
	Last bool
	// Preemptions counts how often its generation was taken from the batch.
	Preemptions int
}

// CacheEvent tells that a prefix entered or left the cache.
type CacheEvent struct {
	Prefix string
	Stored bool
}

// Load is the engine's account of its own work.
type Load struct {
	Running     int
	Waiting     int
	MemoryUsed  int
	Preemptions int
	Step        time.Duration
}

type seq struct {
	req Request
	// generated counts the tokens given out. It never falls: preemption drops
	// memory, not results.
	generated int
	// held is the memory in tokens; zero exactly while the sequence waits.
	held int
	// prefill is the number of tokens to compute before the next one comes.
	prefill     int
	order       uint64
	preemptions int
}

func (s *seq) before(o *seq) bool {
	if s.req.Priority != o.req.Priority {
		return s.req.Priority < o.req.Priority
	}
	return s.order < o.order
}

// Engine is one emulated model engine. Make it with New.
type Engine struct {
	p       Params
	running []*seq
	waiting []*seq
	byID    map[string]*seq
	// used is the sum of held over running and never exceeds MemoryTokens.
	used        int
	order       uint64
	preemptions int
	step        time.Duration
	draining    bool
	cache       prefixCache
	events      []CacheEvent
}

// New returns an idle engine.
func New(p Params) *Engine {
	return &Engine{p: p.withDefaults(), byID: map[string]*seq{}}
}

// Params returns the engine's sizes with defaults filled in.
func (e *Engine) Params() Params { return e.p }

// Submit queues a generation.
func (e *Engine) Submit(r Request) error {
	if e.draining {
		return ErrDraining
	}
	if r.PromptTokens+1 > e.p.MemoryTokens {
		return ErrTooLarge
	}
	if len(e.waiting) >= e.p.MaxWaiting {
		return ErrFull
	}
	r.Length = max(1, min(r.Length, e.p.MemoryTokens-r.PromptTokens))
	e.order++
	s := &seq{req: r, order: e.order}
	e.byID[r.ID] = s
	e.enqueue(s)
	return nil
}

func (e *Engine) enqueue(s *seq) {
	i := sort.Search(len(e.waiting), func(i int) bool { return s.before(e.waiting[i]) })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
}

// Cancel drops a generation and frees its memory. It reports whether the
// generation was known.
func (e *Engine) Cancel(id string) bool {
	s := e.byID[id]
	if s == nil {
		return false
	}
	e.remove(s)
	return true
}

func (e *Engine) remove(s *seq) {
	delete(e.byID, s.req.ID)
	e.used -= s.held
	s.held = 0
	e.running = without(e.running, s)
	e.waiting = without(e.waiting, s)
}

func without(list []*seq, s *seq) []*seq {
	for i, v := range list {
		if v == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Drain refuses new generations from now on; the running ones go on.
func (e *Engine) Drain() { e.draining = true }

// Idle reports whether nothing runs or waits.
func (e *Engine) Idle() bool { return len(e.byID) == 0 }

// Load returns the engine's account of its work.
func (e *Engine) Load() Load {
	return Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		MemoryUsed:  e.used,
		Preemptions: e.preemptions,
		Step:        e.step,
	}
}

// CacheEvents returns the cache's changes since the last call.
func (e *Engine) CacheEvents() []CacheEvent {
	ev := e.events
	e.events = nil
	return ev
}

// Step runs one decode step. It returns how long the step takes and the
// tokens that exist when it ends. A zero duration means that nothing runs.
func (e *Engine) Step() (time.Duration, []Token) {
	e.admit()
	e.grow()
	if len(e.running) == 0 {
		e.step = 0
		return 0, nil
	}
	d := e.stepTime(e.prefill())
	e.step = d
	return d, e.generate()
}

// prefill computes the next part of the prompts in the batch and returns the
// number of tokens computed.
func (e *Engine) prefill() int {
	left := e.p.PrefillChunk
	for _, s := range e.running {
		n := min(left, s.prefill)
		s.prefill -= n
		left -= n
	}
	return e.p.PrefillChunk - left
}

func (e *Engine) stepTime(prefill int) time.Duration {
	d := e.p.StepBase
	d += time.Duration(len(e.running)) * e.p.StepPerSeq
	d += time.Duration(e.used) * e.p.StepPerKTok / 1000
	d += time.Duration(prefill) * e.p.PrefillPerKTok / 1000
	return d
}

// admit moves waiting generations into the batch while they fit. A waiting
// generation preempts running ones of a worse priority when memory or batch is
// full.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		need := s.req.PromptTokens + s.generated + 1
		if !e.makeRoom(s, need) {
			break
		}
		e.waiting = e.waiting[1:]
		s.held = need
		e.used += need
		e.running = append(e.running, s)
		s.prefill = e.uncached(s)
	}
	e.cache.shrink(e.p.MemoryTokens-e.used, e.evicted)
}

func (e *Engine) evicted(prefix string) {
	e.events = append(e.events, CacheEvent{Prefix: prefix})
}

func (e *Engine) uncached(s *seq) int {
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

// makeRoom reports whether need tokens and a place in the batch are free for
// s, after preempting generations of a strictly worse priority.
func (e *Engine) makeRoom(s *seq, need int) bool {
	if !e.roomPossible(s, need) {
		return false
	}
	for len(e.running) >= e.p.MaxBatch || e.used+need > e.p.MemoryTokens {
		e.preempt(e.worst())
	}
	return true
}

func (e *Engine) roomPossible(s *seq, need int) bool {
	used, batch := e.used, len(e.running)
	for _, r := range e.running {
		if r.req.Priority > s.req.Priority {
			used -= r.held
			batch--
		}
	}
	return batch < e.p.MaxBatch && used+need <= e.p.MemoryTokens
}

func (e *Engine) worst() *seq {
	var w *seq
	for _, r := range e.running {
		if w == nil || w.before(r) {
			w = r
		}
	}
	return w
}

// grow makes sure that every generation in the batch has memory for one more
// token, preempting the worst ones when it runs out.
func (e *Engine) grow() {
	for e.used+len(e.running) > e.p.MemoryTokens && len(e.running) > 1 {
		e.preempt(e.worst())
	}
}

func (e *Engine) preempt(s *seq) {
	e.preemptions++
	s.preemptions++
	e.used -= s.held
	s.held = 0
	e.running = without(e.running, s)
	e.enqueue(s)
}

func (e *Engine) generate() []Token {
	tokens := make([]Token, 0, len(e.running))
	for _, s := range append([]*seq(nil), e.running...) {
		if s.prefill > 0 {
			continue
		}
		s.generated++
		last := s.generated >= s.req.Length
		tokens = append(tokens, Token{ID: s.req.ID, Offset: s.generated, Last: last, Preemptions: s.preemptions})
		if last {
			e.remove(s)
			continue
		}
		s.held++
		e.used++
	}
	return tokens
}
