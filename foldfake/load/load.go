// Package load plays a load of forwarded requests in virtual time against
// simulated engines. A policy chooses the engine for each request; the outcomes
// say what the callers get. It is deterministic: the same scenario with the same
// policy always has the same outcomes.
package load

import (
	"container/heap"
	"strconv"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldfake/model"
)

// Engine describes one simulated engine.
type Engine struct {
	// Domain is its failure domain.
	Domain string
	Params model.Params
	// Slots is the number of requests at once that the engine announces; zero
	// means that it announces none.
	Slots int
	// StepFactor returns the factor by which a step that begins at a time from the start of
	// the play takes longer than Params say. If it is nil, the factor is 1.
	StepFactor func(at time.Duration) float64
}

// Request is one generation that a caller asks for.
type Request struct {
	// At is when the caller first sends it, from the start of the play.
	At time.Duration
	// Class names the requests whose lengths are learned together.
	Class string
	// Domain is the failure domain of the VM that the caller is connected to.
	Domain       string
	PromptTokens int
	// Length is the number of tokens after which the generation ends, unknown to
	// the policy, and MaxTokens the limit that the caller states.
	Length    int
	MaxTokens int
	// EventTokens is the number of tokens in an event, 1 if it is zero. The caller gets
	// tokens in whole events.
	EventTokens int
	// FirstToken is the time from the sending of the request within which the
	// first event is due. GapTarget is the target for the longest gap between two events,
	// zero if there is none.
	FirstToken time.Duration
	GapTarget  time.Duration
	// Retries is how often the caller sends the request again after a rejection.
	// It honours a Retry-After of up to a third of the time left until Deadline,
	// which counts from At.
	Retries  int
	Deadline time.Duration
}

// Outcome is what the caller of one request got.
type Outcome struct {
	Request
	// Rejections counts how often the request was rejected.
	Rejections int
	// SentAt is when the request was last sent.
	SentAt time.Duration
	// FirstTokenAt and EndedAt are the times of the first event and of the end from the
	// start of the play, zero if there was none.
	FirstTokenAt time.Duration
	EndedAt      time.Duration
	// MaxGap is the longest gap between two events.
	MaxGap time.Duration
	// Engine is the ID of the engine that ran the request, empty if none did.
	Engine string
	// EngineDomain is the failure domain of the engine that ran the request, empty
	// if none did.
	EngineDomain string
}

// OnTime reports whether the first event came within its target, no gap exceeded its
// target, and the generation ended before the deadline.
func (o *Outcome) OnTime() bool {
	return o.EndedAt > 0 && o.EndedAt-o.At <= o.Deadline && !o.FirstLate() && !o.GapLate()
}

// FirstLate reports whether the first event came after its target.
func (o *Outcome) FirstLate() bool { return o.FirstTokenAt-o.SentAt > o.FirstToken }

// GapLate reports whether a gap between two events exceeded its target.
func (o *Outcome) GapLate() bool { return o.GapTarget > 0 && o.MaxGap > o.GapTarget }

// Duration returns how long the generation ran at its engine after the first
// token, zero if it did not end.
func (o *Outcome) Duration() time.Duration {
	if o.EndedAt == 0 {
		return 0
	}
	return o.EndedAt - o.FirstTokenAt
}

// Policy places the requests. Pick has the meaning of place.Placer.Pick; the other
// functions report the progress and the end of the requests that were placed.
type Policy interface {
	Pick(now time.Time, servers []member.Backend, req place.Request) (place.Choice, bool)
	Begin(now time.Time, id string, req place.Request)
	Prefilled(now time.Time, id string, req place.Request)
	ObserveEvent(now time.Time, id string, run uint64, gap time.Duration, late bool) bool
	End(now time.Time, id string, req place.Request, result place.Result)
	ObserveLocal(now time.Time, loads map[string]place.Load)
	LocalLoad(now time.Time, servers []member.Backend) map[string]place.Load
	Learn(sample place.LengthSample)
}

const (
	// observeInterval is the time between two observations of the engines' pace.
	observeInterval = 250 * time.Millisecond
	// maxPlay bounds the virtual time of a play.
	maxPlay = 30 * time.Minute
)

// epoch is the time at which every play starts.
var epoch = time.Unix(1_000_000, 0)

// Play plays requests, which must be in the order of their arrival, against
// engines and returns their outcomes in the same order.
func Play(engines []Engine, requests []Request, policy Policy) []Outcome {
	p := &player{policy: policy, outcomes: make([]Outcome, len(requests)), open: len(requests)}
	for i, e := range engines {
		p.addEngine(i, e)
	}
	for i, r := range requests {
		p.outcomes[i].Request = r
		p.at(r.At, func() { p.send(uint64(i + 1)) })
	}
	p.at(observeInterval, p.observe)
	for p.open > 0 && len(p.events) > 0 && p.now < maxPlay {
		e := heap.Pop(&p.events).(*event)
		p.now = e.at
		e.run()
	}
	return p.outcomes
}

// player is a play in progress.
type player struct {
	policy   Policy
	now      time.Duration
	events   eventQueue
	sequence int
	engines  []*engine
	servers  []member.Backend
	outcomes []Outcome
	// open counts the requests that have neither ended nor been given up.
	open int
}

// engine is one engine of a play.
type engine struct {
	Engine
	id  string
	sim *model.Engine
	// runs holds the requests at the engine by the ID of their run.
	runs     map[string]*run
	stepping bool
}

// run is one request at an engine.
type run struct {
	index     int
	placement place.Request
	// generated is the number of tokens in the events so far, and lastEventAt the time of
	// the last event.
	generated   int
	lastEventAt time.Duration
}

func (p *player) addEngine(i int, e Engine) {
	id := "engine-" + strconv.Itoa(i)
	p.engines = append(p.engines, &engine{Engine: e, id: id, sim: model.New(e.Params), runs: map[string]*run{}})
	p.servers = append(p.servers, member.Backend{ID: id, Domain: e.Domain, Slots: e.Slots, MemoryTokens: model.New(e.Params).Params().MemoryTokens})
}

// time returns the current virtual time as the policy sees it.
func (p *player) time() time.Time { return epoch.Add(p.now) }

// observe lets the policy observe the pace of the engines.
func (p *player) observe() {
	p.policy.ObserveLocal(p.time(), p.policy.LocalLoad(p.time(), p.servers))
	p.at(p.now+observeInterval, p.observe)
}

// send places the request with a run ID and sends it to the chosen engine. A
// request that is rejected is sent again after the time that the policy states.
func (p *player) send(id uint64) {
	o := &p.outcomes[id-1]
	o.SentAt = p.now
	r := &run{index: int(id - 1)}
	r.placement = place.Request{
		Run:              place.Run{ID: id, Group: groupOf(o), BaseTokens: o.PromptTokens, MaxTokens: o.MaxTokens, GapTarget: o.GapTarget, EventTokens: o.EventTokens},
		PromptTokens:     o.PromptTokens,
		Progress:         func() int { return r.generated },
		Domain:           o.Domain,
		FirstTokenBudget: o.FirstToken,
	}
	choice, ok := p.policy.Pick(p.time(), p.servers, r.placement)
	if !ok || choice.Full {
		o.Rejections++
		p.sendAgain(id, choice.RetryAfter)
		return
	}
	p.policy.Begin(p.time(), choice.Server.ID, r.placement)
	p.start(r, choice.Server.ID)
}

// sendAgain sends a rejected request once more after a time, or gives it up if its
// caller has no retries left.
func (p *player) sendAgain(id uint64, after time.Duration) {
	o := &p.outcomes[id-1]
	if o.Rejections > o.Retries {
		p.open--
		return
	}
	left := o.At + o.Deadline - p.now
	p.at(p.now+min(after, left/3), func() { p.send(id) })
}

// start runs a request at an engine.
func (p *player) start(r *run, id string) {
	e := p.engine(id)
	o := &p.outcomes[r.index]
	o.Engine, o.EngineDomain = e.id, e.Domain
	runID := strconv.Itoa(r.index)
	if e.sim.Submit(model.Request{ID: runID, PromptTokens: o.PromptTokens, Length: o.Length}) != nil {
		p.policy.End(p.time(), e.id, r.placement, place.Rejected)
		p.open--
		return
	}
	e.runs[runID] = r
	if !e.stepping {
		e.stepping = true
		p.step(e)
	}
}

// step runs one step of an engine, and further ones until it is idle.
func (p *player) step(e *engine) {
	d, tokens := e.sim.Step()
	if d == 0 {
		e.stepping = false
		return
	}
	if e.StepFactor != nil {
		d = time.Duration(e.StepFactor(p.now) * float64(d))
	}
	p.at(p.now+d, func() {
		for _, t := range tokens {
			p.deliver(e, t)
		}
		p.step(e)
	})
}

// deliver records one token, and the event that it completes.
func (p *player) deliver(e *engine, t model.Token) {
	r := e.runs[t.ID]
	o := &p.outcomes[r.index]
	if t.Offset%max(o.EventTokens, 1) == 0 || t.Last {
		p.deliverEvent(e, r, t.Offset)
	}
	if !t.Last {
		return
	}
	o.EndedAt = p.now
	p.open--
	delete(e.runs, t.ID)
	p.policy.Learn(place.LengthSample{Group: groupOf(o), To: t.Offset, Ended: true})
	p.policy.End(p.time(), e.id, r.placement, place.Answered)
}

// deliverEvent records an event after which the run has generated the given number of
// tokens.
func (p *player) deliverEvent(e *engine, r *run, generated int) {
	o := &p.outcomes[r.index]
	r.generated = generated
	gap := time.Duration(0)
	if o.FirstTokenAt == 0 {
		o.FirstTokenAt = p.now
		p.policy.Prefilled(p.time(), e.id, r.placement)
		r.placement.PromptTokens = 0
	} else {
		gap = p.now - r.lastEventAt
		o.MaxGap = max(o.MaxGap, gap)
	}
	r.lastEventAt = p.now
	if o.GapTarget > 0 {
		p.policy.ObserveEvent(p.time(), e.id, r.placement.ID, gap, o.FirstLate() || o.GapLate())
	}
}

// groupOf returns the group whose lengths are learned together with the
// request's.
func groupOf(o *Outcome) learn.Group { return learn.Group{Class: o.Class} }

// engine returns the engine with an ID.
func (p *player) engine(id string) *engine {
	for _, e := range p.engines {
		if e.id == id {
			return e
		}
	}
	panic("policy chose the unknown engine " + id)
}
