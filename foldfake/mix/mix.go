package mix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
	"fuchsiafold.example/foldfake/model"
)

// Workload describes the requests of one class in a mix. Weight is the class's
// share of the requests, relative to the other workloads.
type Workload struct {
	Class  spec.Class
	Weight float64
	Length LengthDist
	// Prompt lengths in tokens are uniformly distributed from PromptMin up to,
	// but not including, PromptMax.
	PromptMin int
	PromptMax int
	// Prefixes is the number of different shared prompt prefixes, zero for none.
	// PrefixTokens is the length of each in tokens.
	Prefixes     int
	PrefixTokens int
}

// Mix describes the traffic of one deployment and the number of its engines and
// entry VMs.
type Mix struct {
	Name    string
	Model   string
	Engines int
	Entries int
	// WorkspaceShares holds each workspace's share of the requests, relative to
	// the other workspaces.
	WorkspaceShares []float64
	Workloads       []Workload
}

// newClass returns a class with the given targets. A zero duration means no
// target.
func newClass(name string, firstToken, tokenGap, completion time.Duration) spec.Class {
	return spec.Class{Name: name, Target: spec.Target{
		FirstToken: strict.Duration(firstToken),
		TokenGap:   strict.Duration(tokenGap),
		Completion: strict.Duration(completion),
	}}
}

// Latency targets of the users' request classes: checks (triage, roster), streamed
// answers (summary, preview) and answers that nobody waits for (draft, itinerary).
const (
	checkFirstToken     = 400 * time.Millisecond
	streamFirstToken    = 630 * time.Millisecond
	streamTokenGap      = 29 * time.Millisecond
	overnightCompletion = 8 * time.Hour
)

// tenWorkspaceShares are the shares of ten workspaces, a few of them large.
var tenWorkspaceShares = []float64{0.30, 0.22, 0.15, 0.08, 0.06, 0.05, 0.05, 0.04, 0.03, 0.02}

// Derwent returns the mix of Derwent Money Help Collective: short triage checks,
// case summaries that a caseworker waits for, and a few drafts without a target
// for the first token.
func Derwent() Mix {
	return Mix{
		Name: "derwent", Model: "advice-7b", Engines: 10, Entries: 8, WorkspaceShares: tenWorkspaceShares,
		Workloads: []Workload{
			{Class: newClass("triage", checkFirstToken, 0, 0), Weight: 0.55, Length: CheckLengths, PromptMin: 120, PromptMax: 600, Prefixes: 6, PrefixTokens: 100},
			{Class: newClass("summary", streamFirstToken, streamTokenGap, 0), Weight: 0.35, Length: SummaryLengths, PromptMin: 300, PromptMax: 1800, Prefixes: 12, PrefixTokens: 200},
			{Class: newClass("draft", 0, 0, overnightCompletion), Weight: 0.10, Length: DraftLengths, PromptMin: 300, PromptMax: 1500},
		},
	}
}

// Peachline returns the mix of Peachline Team Travel: short roster checks,
// itinerary drafts that nobody waits for, and some previews that are read while
// they are generated.
func Peachline() Mix {
	return Mix{
		Name: "peachline", Model: "planner-13b", Engines: 10, Entries: 9, WorkspaceShares: tenWorkspaceShares,
		Workloads: []Workload{
			{Class: newClass("roster", checkFirstToken, 0, 0), Weight: 0.50, Length: CheckLengths, PromptMin: 150, PromptMax: 800, Prefixes: 8, PrefixTokens: 120},
			{Class: newClass("preview", streamFirstToken, streamTokenGap, 0), Weight: 0.15, Length: SummaryLengths, PromptMin: 200, PromptMax: 900, Prefixes: 8, PrefixTokens: 150},
			{Class: newClass("itinerary", 0, 0, overnightCompletion), Weight: 0.35, Length: ItineraryLengths, PromptMin: 300, PromptMax: 1600, Prefixes: 16, PrefixTokens: 250},
		},
	}
}

// Mixes returns all mixes by name.
func Mixes() map[string]Mix {
	out := map[string]Mix{}
	for _, m := range []Mix{Derwent(), Peachline()} {
		out[m.Name] = m
	}
	return out
}

// Class returns the mix's class with the name, or a class without targets if
// there is none.
func (m Mix) Class(name string) spec.Class {
	for _, w := range m.Workloads {
		if w.Class.Name == name {
			return w.Class
		}
	}
	return spec.Class{Name: name}
}

// drawArrival returns a random request.
func (m Mix) drawArrival(r *rand.Rand) record.Arrival {
	w := m.Workloads[weightedIndex(r, m.Workloads, func(w Workload) float64 { return w.Weight })]
	a := record.Arrival{
		Workspace:       fmt.Sprintf("ws%d", weightedIndex(r, m.WorkspaceShares, func(s float64) float64 { return s })),
		Class:           w.Class.Name,
		Model:           m.Model,
		PromptTokens:    w.PromptMin + r.IntN(w.PromptMax-w.PromptMin),
		GeneratedTokens: w.Length.Draw(r),
	}
	if w.Prefixes > 0 {
		a.Prefix = fmt.Sprintf("%s-%d", w.Class.Name, r.IntN(w.Prefixes))
		a.PrefixTokens = min(w.PrefixTokens, a.PromptTokens)
	}
	return a
}

// weightedIndex returns the index of a random element of list. The probability of
// an element is proportional to its weight.
func weightedIndex[T any](r *rand.Rand, list []T, weight func(T) float64) int {
	total := 0.0
	for _, v := range list {
		total += weight(v)
	}
	x := r.Float64() * total
	for i, v := range list {
		if x -= weight(v); x < 0 {
			return i
		}
	}
	return len(list) - 1
}

// Trace returns Poisson arrivals with a mean rate of perSecond over the given
// length of time.
func (m Mix) Trace(seed uint64, length time.Duration, perSecond float64) []record.Line {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []record.Line
	endMS := float64(length.Milliseconds())
	for atMS := 0.0; ; {
		atMS += r.ExpFloat64() / perSecond * 1000
		if atMS >= endMS {
			return out
		}
		a := m.drawArrival(r)
		out = append(out, record.Line{AtMS: atMS, Arrival: &a})
	}
}

// Constants of the capacity measurement, in the engine's virtual time.
const (
	// capacityDuration includes capacityWarmup, in which requests that complete
	// are not counted.
	capacityDuration = 10 * time.Minute
	capacityWarmup   = time.Minute
)

// Capacity returns the number of requests per second that one saturated engine
// completes with the best fixed limit on the requests in flight. It tries limits
// from 4 to 48.
func (m Mix) Capacity(p model.Params) float64 {
	best := 0.0
	for batchLimit := 4; batchLimit <= 48; batchLimit += 4 {
		best = max(best, m.saturatedRate(p, batchLimit))
	}
	return best
}

// saturatedRate returns the number of requests per second that one engine
// completes while batchLimit requests are always in flight.
func (m Mix) saturatedRate(p model.Params, batchLimit int) float64 {
	r := rand.New(rand.NewPCG(99, uint64(batchLimit)))
	e := model.New(p)
	var now time.Duration
	inFlight, lastID, completed := 0, 0, 0
	for now < capacityDuration {
		for inFlight < batchLimit {
			a := m.drawArrival(r)
			lastID++
			req := model.Request{ID: fmt.Sprint(lastID), PromptTokens: a.PromptTokens, Length: a.GeneratedTokens, Prefix: a.Prefix, PrefixTokens: a.PrefixTokens}
			if e.Submit(req) == nil {
				inFlight++
			}
		}
		d, tokens := e.Step()
		now += d
		for _, t := range tokens {
			if !t.Last {
				continue
			}
			inFlight--
			if now > capacityWarmup {
				completed++
			}
		}
	}
	return float64(completed) / (capacityDuration - capacityWarmup).Seconds()
}
