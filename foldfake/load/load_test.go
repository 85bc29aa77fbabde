package load_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldfake/load"
	"fuchsiafold.example/foldfake/model"
)

// leastRequests is the plainest policy: the engine with the fewest requests, and
// no rejection.
type leastRequests struct{ place.Placer }

func (p *leastRequests) Pick(now time.Time, servers []member.Backend, req place.Request) (place.Choice, bool) {
	best := 0
	loads := p.LocalLoad(now, servers)
	for i, s := range servers {
		if loads[s.ID].Requests < loads[servers[best].ID].Requests {
			best = i
		}
	}
	return place.Choice{Server: servers[best]}, true
}

// kind describes the requests of one class.
type kind struct {
	class string
	// perSecond is the mean rate of arrivals.
	perSecond    float64
	promptTokens int
	// length is the median length in tokens; the standard deviation of its
	// logarithm is spread.
	length     float64
	spread     float64
	maxTokens  int
	firstToken time.Duration
	deadline   time.Duration
}

// draw draws the requests of some kinds for a time, in the order of their
// arrival, from the callers of the domains in turn.
func draw(seed uint64, d time.Duration, kinds []kind, domains ...string) []load.Request {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0.0
	for _, k := range kinds {
		total += k.perSecond
	}
	var out []load.Request
	for at := 0.0; ; {
		at += random.ExpFloat64() / total
		if at >= d.Seconds() {
			return out
		}
		pick := random.Float64() * total
		k := kinds[0]
		for _, k = range kinds {
			if pick -= k.perSecond; pick < 0 {
				break
			}
		}
		length := int(k.length * math.Exp(k.spread*random.NormFloat64()))
		out = append(out, load.Request{
			At: time.Duration(at * float64(time.Second)), Class: k.class, Domain: domains[len(out)%len(domains)],
			PromptTokens: int(float64(k.promptTokens) * (0.6 + 0.8*random.Float64())),
			Length:       max(1, min(length, k.maxTokens)), MaxTokens: k.maxTokens, FirstToken: k.firstToken, Retries: 1, Deadline: k.deadline,
		})
	}
}

// served sums up what the callers of a class got.
type served struct {
	// asked counts the requests, ended those that were answered, and onTime those
	// whose answers were on time.
	asked, ended, onTime int
	// inProgress is the time that the runs generated in all, and inOther the part
	// of it in another failure domain than that of the caller's VM.
	inProgress, inOther time.Duration
}

// add adds the outcomes of a class.
func (s *served) add(outcomes []load.Outcome, class string) {
	for i := range outcomes {
		o := &outcomes[i]
		if o.Class != class {
			continue
		}
		s.asked++
		if o.EndedAt > 0 {
			s.ended++
		}
		if o.OnTime() {
			s.onTime++
		}
		s.inProgress += o.Duration()
		if o.EngineDomain != o.Domain {
			s.inOther += o.Duration()
		}
	}
}

var (
	drafts = kind{class: "draft", perSecond: 3.5, promptTokens: 3000, length: 350, spread: 0.7, maxTokens: 2200, firstToken: 1800 * time.Millisecond, deadline: 39 * time.Second}
	checks = kind{class: "check", perSecond: 5, promptTokens: 4500, length: 12, spread: 0.5, maxTokens: 40, firstToken: 1500 * time.Millisecond, deadline: 6 * time.Second}
)

// engineParams returns the parameters of an engine that takes slow times as long
// as the fastest for everything.
func engineParams(slow float64) model.Params {
	scale := func(d time.Duration) time.Duration { return time.Duration(slow * float64(d)) }
	return model.Params{
		MemoryTokens: 34_000, MaxBatch: 32, StepBase: scale(6 * time.Millisecond), StepPerSeq: scale(150 * time.Microsecond),
		StepPerKTok: scale(40 * time.Microsecond), PrefillPerKTok: scale(70 * time.Millisecond), PrefillChunk: 512,
	}
}

// seeds is the number of loads that each test draws and plays.
const seeds = 5

// playBoth plays the same loads with the placer and with leastRequests, and calls
// f with the outcomes for each load.
func playBoth(engines []load.Engine, draw func(seed uint64) []load.Request, f func(placer, plain []load.Outcome)) {
	for seed := range uint64(seeds) {
		requests := draw(seed)
		f(load.Play(engines, requests, &place.Placer{}), load.Play(engines, requests, &leastRequests{}))
	}
}

// TestLongRunsEndSooner plays long drafts beside short checks with large prompts
// on engines of two speeds in three failure domains. The less time a run takes,
// and the less of it in another domain, the fewer runs are lost when a VM or the
// link between domains fails.
func TestLongRunsEndSooner(t *testing.T) {
	var engines []load.Engine
	for i := range 9 {
		slow := 1.0
		if i%3 == 2 {
			slow = 1.6
		}
		engines = append(engines, load.Engine{Domain: string(rune('a' + i/3)), Params: engineParams(slow)})
	}
	var now, plain served
	playBoth(engines, func(seed uint64) []load.Request {
		return draw(seed, time.Minute, []kind{drafts, checks}, "a", "b", "c")
	}, func(a, b []load.Outcome) {
		now.add(a, "draft")
		plain.add(b, "draft")
	})
	if now.ended != now.asked {
		t.Errorf("%d of %d drafts ended", now.ended, now.asked)
	}
	if now.inProgress >= plain.inProgress {
		t.Errorf("drafts ran for %v, no less than the %v with the fewest requests", now.inProgress, plain.inProgress)
	}
	if now.inOther > now.inProgress/20 {
		t.Errorf("drafts ran in another failure domain for %v of %v, although their own had room", now.inOther, now.inProgress)
	}
}

// TestSlowEnginesGetPromptsInTime plays checks with large prompts on engines of
// which some read prompts three times as slowly as the others.
func TestSlowEnginesGetPromptsInTime(t *testing.T) {
	var engines []load.Engine
	for i := range 6 {
		slow := 1.0
		if i >= 4 {
			slow = 3
		}
		engines = append(engines, load.Engine{Domain: "a", Params: engineParams(slow)})
	}
	many := checks
	many.perSecond = 9
	var now, plain served
	playBoth(engines, func(seed uint64) []load.Request {
		return draw(seed, time.Minute, []kind{many}, "a")
	}, func(a, b []load.Outcome) {
		now.add(a, "check")
		plain.add(b, "check")
	})
	if 100*now.onTime < 99*now.asked {
		t.Errorf("%d of %d first tokens were on time, want 99 in 100", now.onTime, now.asked)
	}
	if now.onTime <= plain.onTime {
		t.Errorf("%d first tokens were on time, no more than the %d with the fewest requests", now.onTime, plain.onTime)
	}
}

// TestOverload plays a load that exceeds the engines' for half a minute, within a
// minute and a half. Callers come back once after a rejection. The plain policy
// takes whoever comes first and rejects nobody.
func TestOverload(t *testing.T) {
	var engines []load.Engine
	for range 6 {
		p := engineParams(1)
		p.MemoryTokens = 21_000
		engines = append(engines, load.Engine{Domain: "a", Params: p})
	}
	var now, plain [2]served
	playBoth(engines, func(seed uint64) []load.Request {
		return drawOverload(seed)
	}, func(a, b []load.Outcome) {
		for i, class := range []string{"draft", "check"} {
			now[i].add(a, class)
			plain[i].add(b, class)
		}
	})
	for i, class := range []string{"draft", "check"} {
		if now[i].onTime <= 2*plain[i].onTime {
			t.Errorf("%s: %d answers on time, want more than twice the %d of first come", class, now[i].onTime, plain[i].onTime)
		}
		if 100*now[i].onTime < 99*now[i].ended {
			t.Errorf("%s: %d of the %d answers on time, want 99 in 100: what can't be on time is rejected at once", class, now[i].onTime, now[i].ended)
		}
	}
	if 10*now[0].onTime < 9*now[0].asked {
		t.Errorf("%d of %d drafts served on time, want nine in ten: their callers can come back after the overload", now[0].onTime, now[0].asked)
	}
}

// drawOverload draws a load that takes two thirds of the engines' time for half a
// minute, then twice as much for half a minute, and then again two thirds.
func drawOverload(seed uint64) []load.Request {
	busy, quiet := []kind{drafts, checks}, []kind{drafts, checks}
	for i := range busy {
		busy[i].perSecond *= 2
		quiet[i].perSecond *= 0.5
	}
	const part = 30 * time.Second
	out := draw(seed, part, quiet, "a")
	for i, kinds := range [][]kind{busy, quiet} {
		for _, r := range draw(seed+uint64(100*(i+1)), part, kinds, "a") {
			r.At += time.Duration(i+1) * part
			out = append(out, r)
		}
	}
	return out
}
