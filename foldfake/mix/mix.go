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

// Workload is one class of work in a mix.
type Workload struct {
	Class  spec.Class
	Weight float64
	Length LengthDist
	// PromptMin and PromptMax bound prompts, drawn evenly, in tokens.
	PromptMin int
	PromptMax int
	// Prefixes is the number of beginnings that prompts share, PrefixTokens
	// their size; zero means none.
	Prefixes     int
	PrefixTokens int
}

// Mix is the traffic of one deployment.
type Mix struct {
	Name    string
	Model   string
	Engines int
	Entries int
	// WorkspaceShares holds the share of traffic of each workspace.
	WorkspaceShares []float64
	Workloads       []Workload
}

func class(name string, first, gap, completion time.Duration) spec.Class {
	return spec.Class{Name: name, Target: spec.Target{
		FirstToken: strict.Duration(first),
		TokenGap:   strict.Duration(gap),
		Completion: strict.Duration(completion),
	}}
}

// The targets of the users' classes of work.
const (
	checkFirst  = 400 * time.Millisecond
	streamFirst = 630 * time.Millisecond
	streamGap   = 29 * time.Millisecond
	overnight   = 8 * time.Hour
)

// tenWorkspaces is about ten workspaces, a few of them large.
var tenWorkspaces = []float64{0.30, 0.22, 0.15, 0.08, 0.06, 0.05, 0.05, 0.04, 0.03, 0.02}

// Derwent returns the mix of Derwent Money Help Collective: triage checks,
// case summaries that a caseworker waits for, and a few drafts.
func Derwent() Mix {
	return Mix{
		Name: "derwent", Model: "advice-7b", Engines: 10, Entries: 8, WorkspaceShares: tenWorkspaces,
		Workloads: []Workload{
			{Class: class("triage", checkFirst, 0, 0), Weight: 0.55, Length: CheckLengths, PromptMin: 120, PromptMax: 600, Prefixes: 6, PrefixTokens: 100},
			{Class: class("summary", streamFirst, streamGap, 0), Weight: 0.35, Length: SummaryLengths, PromptMin: 300, PromptMax: 1800, Prefixes: 12, PrefixTokens: 200},
			{Class: class("draft", 0, 0, overnight), Weight: 0.10, Length: DraftLengths, PromptMin: 300, PromptMax: 1500},
		},
	}
}

// Peachline returns the mix of Peachline Team Travel: roster checks, drafts of
// itineraries that may wait, and some that are watched as they come.
func Peachline() Mix {
	return Mix{
		Name: "peachline", Model: "planner-13b", Engines: 10, Entries: 9, WorkspaceShares: tenWorkspaces,
		Workloads: []Workload{
			{Class: class("roster", checkFirst, 0, 0), Weight: 0.50, Length: CheckLengths, PromptMin: 150, PromptMax: 800, Prefixes: 8, PrefixTokens: 120},
			{Class: class("preview", streamFirst, streamGap, 0), Weight: 0.15, Length: SummaryLengths, PromptMin: 200, PromptMax: 900, Prefixes: 8, PrefixTokens: 150},
			{Class: class("itinerary", 0, 0, overnight), Weight: 0.35, Length: ItineraryLengths, PromptMin: 300, PromptMax: 1600, Prefixes: 16, PrefixTokens: 250},
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

// Class returns the mix's class of a name.
func (m Mix) Class(name string) spec.Class {
	for _, w := range m.Workloads {
		if w.Class.Name == name {
			return w.Class
		}
	}
	return spec.Class{Name: name}
}

// draw returns one request.
func (m Mix) draw(r *rand.Rand) record.Arrival {
	w := m.Workloads[pick(r, m.Workloads, func(w Workload) float64 { return w.Weight })]
	a := record.Arrival{
		Workspace:       fmt.Sprintf("ws%d", pick(r, m.WorkspaceShares, func(s float64) float64 { return s })),
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

func pick[T any](r *rand.Rand, list []T, weight func(T) float64) int {
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

// Trace returns arrivals at random times for so long, at a rate per second.
func (m Mix) Trace(seed uint64, length time.Duration, perSecond float64) []record.Line {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []record.Line
	end := float64(length.Milliseconds())
	for at := 0.0; ; {
		at += r.ExpFloat64() / perSecond * 1000
		if at >= end {
			return out
		}
		a := m.draw(r)
		out = append(out, record.Line{AtMS: at, Arrival: &a})
	}
}

// Constants of the measurement of capacity.
const (
	capacityTime = 10 * time.Minute
	capacityWarm = time.Minute
)

// Capacity returns the requests a second that one engine completes when
// requests never run out, with the best fixed limit on its batch.
func (m Mix) Capacity(p model.Params) float64 {
	best := 0.0
	for limit := 4; limit <= 48; limit += 4 {
		best = max(best, m.saturate(p, limit))
	}
	return best
}

func (m Mix) saturate(p model.Params, limit int) float64 {
	r := rand.New(rand.NewPCG(99, uint64(limit)))
	e := model.New(p)
	var now time.Duration
	open, next, done := 0, 0, 0
	for now < capacityTime {
		for open < limit {
			a := m.draw(r)
			next++
			req := model.Request{ID: fmt.Sprint(next), PromptTokens: a.PromptTokens, Length: a.GeneratedTokens, Prefix: a.Prefix, PrefixTokens: a.PrefixTokens}
			if e.Submit(req) == nil {
				open++
			}
		}
		d, tokens := e.Step()
		now += d
		for _, t := range tokens {
			if !t.Last {
				continue
			}
			open--
			if now > capacityWarm {
				done++
			}
		}
	}
	return float64(done) / (capacityTime - capacityWarm).Seconds()
}
