package load_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldfake/load"
	"fuchsiafold.example/foldfake/model"
)

// fleet is a policy in which several VMs forward the requests. Each reports its load to a
// placement VM, which chooses the engines.
type fleet struct {
	vms       []*place.Placer
	placement *place.Placer
	// delay is the age of load reports when they arrive. If it is zero, placement requests
	// carry loads as well.
	delay time.Duration
	// lost is set if there is no placement VM: each VM chooses by what it knows.
	lost bool
	// hideTargets hides the gap targets from the placers.
	hideTargets bool
	// servers holds the servers by their IDs alone.
	servers []member.Backend
	// reports holds the load reports under way, and last the last one of each VM.
	reports []fleetReport
	last    []fleetReport
}

// fleetReport is the load report of a VM.
type fleetReport struct {
	at    time.Time
	vm    int
	loads map[string]place.Load
}

// newFleet returns a fleet of some VMs.
func newFleet(vms int) *fleet {
	f := &fleet{placement: &place.Placer{}, last: make([]fleetReport, vms)}
	for range vms {
		f.vms = append(f.vms, &place.Placer{})
	}
	return f
}

// vm returns the VM that forwards a run.
func (f *fleet) vm(run uint64) *place.Placer { return f.vms[run%uint64(len(f.vms))] }

// apply applies the load reports that have arrived.
func (f *fleet) apply(now time.Time) {
	for len(f.reports) > 0 && now.Sub(f.reports[0].at) >= f.delay {
		r := f.reports[0]
		f.reports = f.reports[1:]
		for id, l := range r.loads {
			if l.MaxGap > 0 {
				l.MaxGapAge += now.Sub(r.at)
				r.loads[id] = l
			}
		}
		f.placement.UpdatePeerLoad(now, strconv.Itoa(r.vm), r.loads)
	}
}

func (f *fleet) Pick(now time.Time, servers []member.Backend, req place.Request) (place.Choice, bool) {
	if f.hideTargets {
		req.GapTarget = 0
	}
	req.Random = float64(req.ID*7919%1000) / 1000
	if f.lost {
		return f.vm(req.ID).Pick(now, servers, req)
	}
	f.apply(now)
	vm := int(req.ID % uint64(len(f.vms)))
	if f.delay == 0 {
		f.placement.UpdatePeerLoad(now, strconv.Itoa(vm), f.vms[vm].LocalLoad(now, servers))
	}
	c, ok := f.placement.Pick(now, servers, req)
	if ok && !c.Full {
		f.placement.Reserve(now, strconv.Itoa(vm), c.Server.ID, req)
	}
	return c, ok
}

func (f *fleet) Begin(now time.Time, id string, req place.Request) {
	if f.hideTargets {
		req.GapTarget = 0
	}
	f.vm(req.ID).Begin(now, id, req)
}

func (f *fleet) Prefilled(now time.Time, id string, req place.Request) {
	f.vm(req.ID).Prefilled(now, id, req)
}

func (f *fleet) ObserveEvent(now time.Time, id string, run uint64, gap time.Duration, late bool) bool {
	if f.hideTargets {
		return false
	}
	urgent := f.vm(run).ObserveEvent(now, id, run, gap, late)
	if i := int(run % uint64(len(f.vms))); urgent && now.Sub(f.last[i].at) >= 100*time.Millisecond && !f.lost {
		f.report(now, i)
	}
	return urgent
}

// report sends the load report of a VM.
func (f *fleet) report(now time.Time, i int) {
	loads := f.vms[i].LocalLoad(now, f.servers)
	f.last[i] = fleetReport{at: now, vm: i, loads: loads}
	f.reports = append(f.reports, fleetReport{at: now, vm: i, loads: maps.Clone(loads)})
}

func (f *fleet) End(now time.Time, id string, req place.Request, result place.Result) {
	f.vm(req.ID).End(now, id, req, result)
}

// LocalLoad implements load.Policy; ObserveLocal asks each VM instead.
func (f *fleet) LocalLoad(_ time.Time, servers []member.Backend) map[string]place.Load {
	out := map[string]place.Load{}
	for _, s := range servers {
		out[s.ID] = place.Load{}
	}
	return out
}

// ObserveLocal lets each VM observe its runs, and report its load if it has changed or is
// due to be reported again.
func (f *fleet) ObserveLocal(now time.Time, all map[string]place.Load) {
	if f.servers == nil {
		for id := range all {
			f.servers = append(f.servers, member.Backend{ID: id})
		}
		slices.SortFunc(f.servers, func(a, b member.Backend) int { return strings.Compare(a.ID, b.ID) })
	}
	servers := f.servers
	for i, vm := range f.vms {
		loads := vm.LocalLoad(now, servers)
		vm.ObserveLocal(now, loads)
		last := &f.last[i]
		if maps.EqualFunc(loads, last.loads, place.Load.SameRequests) && now.Sub(last.at) < time.Second {
			continue
		}
		f.report(now, i)
	}
	f.apply(now)
}

func (f *fleet) Learn(sample place.LengthSample) {
	f.placement.Learn(sample)
	if f.lost {
		for _, vm := range f.vms {
			vm.Learn(sample)
		}
	}
}

// gapTarget is the target for gaps of the mixed load.
const gapTarget = 180 * time.Millisecond

// mixedEngines returns the engines of the mixed load. If equal is set, they are all of one
// speed and without slow periods.
func mixedEngines(seed uint64, d time.Duration, equal bool) []load.Engine {
	params := model.Params{
		MemoryTokens: 26_821, MaxBatch: 24, StepBase: 7 * time.Millisecond, StepPerSeq: 120 * time.Microsecond,
		StepPerKTok: 1, PrefillPerKTok: 8 * time.Millisecond * 1000 / 112, PrefillChunk: 112,
	}
	var out []load.Engine
	for i := range 44 {
		e := load.Engine{Domain: "a", Params: params, Slots: 24}
		if !equal {
			speed := 1.2
			if i%4 == 0 {
				speed = 0.55
			}
			slow := slowPeriods(rand.New(rand.NewPCG(seed, uint64(i))), d)
			e.StepFactor = func(at time.Duration) float64 {
				if slow(at) {
					return 2.5 * speed
				}
				return speed
			}
		}
		out = append(out, e)
	}
	return out
}

// slowPeriods returns whether an engine is slow at a time: for 15% of the time, in periods of
// 600 ms.
func slowPeriods(random *rand.Rand, d time.Duration) func(time.Duration) bool {
	const period = 600 * time.Millisecond
	const meanBetween = float64(period) * 0.85 / 0.15
	var begins []time.Duration
	for at := time.Duration(0); at < 2*d; {
		at += time.Duration(random.ExpFloat64() * meanBetween)
		begins = append(begins, at)
		at += period
	}
	next := 0
	return func(at time.Duration) bool {
		for next < len(begins) && at >= begins[next]+period {
			next++
		}
		return next < len(begins) && at >= begins[next]
	}
}

// mixedLoad draws the two kinds for a time, with a wave of 55% within 15 s.
func mixedLoad(seed uint64, d time.Duration, draftRate, shortRate float64, shortPrompt int) []load.Request {
	random := rand.New(rand.NewPCG(seed, 3))
	const wave, period = 0.55, 15.0
	total := (draftRate + shortRate) * (1 + wave)
	var out []load.Request
	for at := 0.0; ; {
		at += random.ExpFloat64() / total
		if at >= d.Seconds() {
			return out
		}
		pick := random.Float64() * (draftRate + shortRate)
		if random.Float64()*(1+wave) > 1+wave*math.Sin(2*math.Pi*at/period) {
			continue
		}
		r := load.Request{At: time.Duration(at * float64(time.Second)), Domain: "a", EventTokens: 4, GapTarget: gapTarget, Retries: 1}
		if pick < draftRate {
			events := max(1, min(445, int(170*math.Exp(0.45*random.NormFloat64()))))
			r.Class, r.PromptTokens, r.Length, r.MaxTokens = "draft", 3080, 4*events, 1780
			r.FirstToken, r.Deadline = 1800*time.Millisecond, 39*time.Second
		} else {
			r.Class, r.PromptTokens, r.Length, r.MaxTokens = "short", shortPrompt, 4*(1+random.IntN(3)), 40
			r.FirstToken, r.Deadline = 1500*time.Millisecond, 6*time.Second
		}
		out = append(out, r)
	}
}

// mixedResult counts what the callers of one kind got.
type mixedResult struct {
	asked, ended, onTime, firstLate, gapLate float64
	// firstSeconds holds the times until the first event in seconds.
	firstSeconds []float64
}

// sumMixed counts what the callers of a class got whose requests came after a time.
func sumMixed(outcomes []load.Outcome, class string, after time.Duration) mixedResult {
	var m mixedResult
	for i := range outcomes {
		o := &outcomes[i]
		if o.Class != class || o.At < after {
			continue
		}
		m.asked++
		if o.EndedAt == 0 {
			continue
		}
		m.ended++
		m.firstSeconds = append(m.firstSeconds, (o.FirstTokenAt - o.SentAt).Seconds())
		switch {
		case o.OnTime():
			m.onTime++
		case o.FirstLate():
			m.firstLate++
		case o.GapLate():
			m.gapLate++
		}
	}
	return m
}

// merge adds another result.
func (m *mixedResult) merge(o mixedResult) {
	m.asked += o.asked
	m.ended += o.ended
	m.onTime += o.onTime
	m.firstLate += o.firstLate
	m.gapLate += o.gapLate
	m.firstSeconds = append(m.firstSeconds, o.firstSeconds...)
}

// share returns a number of requests in percent of those that ended.
func (m *mixedResult) share(n float64) float64 { return 100 * n / m.ended }

// first returns a quantile of the time until the first event, in seconds.
func (m *mixedResult) first(q float64) float64 {
	x := slices.Sorted(slices.Values(m.firstSeconds))
	return x[int(q*float64(len(x)-1))]
}

// deployment is a variant of the mixed load.
type deployment struct {
	name string
	// load is the share of the engines' capacity, roughly.
	load        float64
	equal       bool
	shortPrompt int
	delay       time.Duration
	lost        bool
}

// The policies that are compared.
const (
	firstCome  = "first come"
	noTargets  = "no gap targets"
	gapTargets = "gap targets"
)

// mixedPlayTime is the time for which the load is drawn, and mixedWarmUp the part of it that
// doesn't count.
const (
	mixedPlayTime = 75 * time.Second
	mixedWarmUp   = 30 * time.Second
)

// play plays the mixed load and returns what the callers of both kinds got.
func (d deployment) play(seed uint64, policy string) (drafts, shorts mixedResult) {
	// Deployment L has 21.2 drafts and 24 short generations a second, about 0.75 of what its
	// engines can serve.
	scale := d.load / 0.75
	requests := mixedLoad(seed, mixedPlayTime, 21.2*scale, 24*scale, d.shortPrompt)
	var p load.Policy = &leastRequests{}
	if policy != firstCome {
		f := newFleet(77)
		f.delay, f.lost, f.hideTargets = d.delay, d.lost, policy == noTargets
		p = f
	}
	out := load.Play(mixedEngines(seed, mixedPlayTime, d.equal), requests, p)
	return sumMixed(out, "draft", mixedWarmUp), sumMixed(out, "short", mixedWarmUp)
}

// TestGapTargetsAreMet guards against drafts that are late because the prompts of others are
// read beside them on slow engines: fewer of them are late than without knowledge of the gap
// targets, and no more short generations.
func TestGapTargetsAreMet(t *testing.T) {
	for _, tt := range []struct {
		deployment
		// want is the largest share of drafts late by a gap, of that without gap targets.
		want float64
	}{
		{deployment{load: 0.8, shortPrompt: 2550}, 0.9},
		{deployment{load: 0.8, shortPrompt: 2550, equal: true}, 1},
	} {
		var before, now [2]mixedResult
		for seed := range uint64(2) {
			for _, x := range []struct {
				policy string
				sum    *[2]mixedResult
			}{{noTargets, &before}, {gapTargets, &now}} {
				a, b := tt.play(seed, x.policy)
				x.sum[0].merge(a)
				x.sum[1].merge(b)
			}
		}
		// An engine whose memory is full delays single drafts whatever the policy.
		if now[0].gapLate > tt.want*before[0].gapLate+now[0].asked/500 {
			t.Errorf("equal %t: %.0f of %.0f drafts late by a gap, want at most %.1f of the %.0f without gap targets", tt.equal, now[0].gapLate, now[0].asked, tt.want, before[0].gapLate)
		}
		for i, kind := range []string{"drafts", "short generations"} {
			if now[i].onTime < 0.99*before[i].onTime {
				t.Errorf("equal %t: %.0f %s on time, want no less than the %.0f without gap targets", tt.equal, now[i].onTime, kind, before[i].onTime)
			}
		}
	}
}

// TestMixedTable prints the table of docs/design/mixed-prompts.md. It runs if
// FOLD_MIXED_SEEDS is set to the number of loads to play of each kind, and only the
// deployments named in FOLD_MIXED if that is set.
func TestMixedTable(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("FOLD_MIXED_SEEDS"))
	if seeds < 2 {
		t.Skip("FOLD_MIXED_SEEDS is not set")
	}
	stale := 300 * time.Millisecond
	for _, d := range []deployment{
		{name: "load 0.5", load: 0.5, shortPrompt: 2550},
		{name: "load 0.8", load: 0.8, shortPrompt: 2550},
		{name: "load 1.1", load: 1.1, shortPrompt: 2550},
		{name: "300 tokens, 0.5", load: 0.5, shortPrompt: 300},
		{name: "300 tokens, 0.8", load: 0.8, shortPrompt: 300},
		{name: "300 tokens, 1.1", load: 1.1, shortPrompt: 300},
		{name: "equal, 0.8", load: 0.8, shortPrompt: 2550, equal: true},
		{name: "equal, 1.1", load: 1.1, shortPrompt: 2550, equal: true},
		{name: "stale, 0.8", load: 0.8, shortPrompt: 2550, delay: stale},
		{name: "lost, 0.8", load: 0.8, shortPrompt: 2550, lost: true},
	} {
		if only := os.Getenv("FOLD_MIXED"); only != "" && !strings.Contains(only, d.name) {
			continue
		}
		for _, policy := range []string{firstCome, noTargets, gapTargets} {
			if only := os.Getenv("FOLD_POLICY"); only != "" && !strings.Contains(only, policy) {
				continue
			}
			fmt.Println(d.line(seeds, policy))
		}
	}
}

// line plays several loads, two at a time, and returns a line of the table.
func (d deployment) line(seeds int, policy string) string {
	columns := make([][]float64, 11)
	for i := range columns {
		columns[i] = make([]float64, seeds)
	}
	var wg sync.WaitGroup
	limit := make(chan struct{}, 2)
	for seed := range seeds {
		limit <- struct{}{}
		wg.Go(func() {
			a, b := d.play(uint64(seed), policy)
			for i, v := range []float64{
				a.share(a.firstLate), a.share(a.gapLate), 100 * (1 - a.ended/a.asked), 100 * a.onTime / a.asked,
				b.share(b.firstLate), b.share(b.gapLate), 100 * (1 - b.ended/b.asked), 100 * b.onTime / b.asked,
				1000 * b.first(0.5), 1000 * b.first(0.99),
				(a.onTime + b.onTime) / (mixedPlayTime - mixedWarmUp).Seconds(),
			} {
				columns[i][seed] = v
			}
			<-limit
		})
	}
	wg.Wait()
	out := fmt.Sprintf("| %-15s | %-14s", d.name, policy)
	for i, c := range columns {
		if i == 8 || i == 9 {
			out += fmt.Sprintf(" | %4.0f", mean(c))
			continue
		}
		out += fmt.Sprintf(" | %.1f ± %.1f", mean(c), standardError(c))
	}
	return out + " |"
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

// standardError returns the standard error of the mean.
func standardError(x []float64) float64 {
	m, sum := mean(x), 0.0
	for _, v := range x {
		sum += (v - m) * (v - m)
	}
	return math.Sqrt(sum / float64(len(x)-1) / float64(len(x)))
}
