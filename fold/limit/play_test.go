package limit_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
)

// play plays VMs before one server in virtual time.
type play struct {
	t      *testing.T
	c      playCase
	random *rand.Rand
	now    time.Duration
	events events
	// seq is the number of events so far, which orders those of the same time.
	seq    int
	vms    []*playVM
	server limit.Server
	// namedAt is when the server first named a limit, negative before.
	namedAt time.Duration
	// arrivals holds the requests that arrived at the server, in this order.
	arrivals []arrival
	// refused counts the requests that got no permit.
	refused int
}

type arrival struct {
	at time.Duration
	vm int
}

type playVM struct {
	id      int
	name    string
	limiter limit.Limiter
	// heard holds when each VM was last heard of.
	heard []time.Duration
	// startedAt is when the VM started.
	startedAt time.Duration
	// toldAt is when the VM first got a response that names a limit, negative before.
	toldAt time.Duration
}

// span is a time from the start of the play to another.
type span struct{ from, to time.Duration }

func (s span) has(at time.Duration) bool { return at >= s.from && at < s.to }

type playCase struct {
	name string
	vms  int
	// rate is the number of requests a second at each VM; the last one is that of all
	// further VMs.
	rate []float64
	// limit returns the header value of the server, empty for none.
	limit func(at time.Duration) string
	// allowed is the highest limit in force at a time, for the check.
	allowed func(at time.Duration) float64
	length  time.Duration
	// dead and paused hold VMs that are not there for a time; a dead one starts again,
	// with an empty memory. cut holds the VMs that are cut off from the others but not from
	// the server.
	dead, paused, cut map[int]span
	// lost is the share of calls between VMs that get no answer in time.
	lost float64
	// bare is the share of responses that lack the limit.
	bare float64
	// wantShare is the part of what the limits allow that must be used at least.
	wantShare float64
}

// The parameters of the plays.
const (
	oneWay      = time.Millisecond
	callTimeout = 100 * time.Millisecond
	serveTime   = 50 * time.Millisecond
	gossipTime  = time.Second
	peerLease   = 10 * time.Second
	lostTime    = time.Minute
	startupTime = 5 * time.Second
	startWindow = 10 * time.Second
	// The bounds of the users' rule: from newsTime after a server first named a limit, it
	// gets in any ruleSpan at most one and a half times what that allows, and 5.
	newsTime = 3 * time.Second
	ruleSpan = 4 * time.Second
	// passTime is the time after which a VM that has passed on a limit counts.
	passTime = 500 * time.Millisecond
)

var playStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (p *play) after(d time.Duration, f func()) {
	p.seq++
	heap.Push(&p.events, event{at: p.now + d, seq: p.seq, f: f})
}

func (p *play) clock() time.Time { return playStart.Add(p.now) }

func newPlay(t *testing.T, c playCase, seed uint64) *play {
	p := &play{t: t, c: c, random: rand.New(rand.NewPCG(seed, 1)), server: limit.Server{ID: "s", Epoch: 7}, namedAt: -1}
	for i := range c.vms {
		vm := &playVM{id: i, name: fmt.Sprintf("vm%03d", i), heard: make([]time.Duration, c.vms), toldAt: -1}
		vm.limiter.Random = p.random.Float64
		p.vms = append(p.vms, vm)
		p.start(vm)
		p.after(p.pause(i), func() { p.arrive(vm) })
		if s, ok := c.dead[i]; ok {
			p.after(s.to, func() { p.restart(vm) })
		}
	}
	return p
}

// start starts the periodic work of a VM.
func (p *play) start(vm *playVM) {
	p.after(time.Duration(p.random.Int64N(int64(limit.TickInterval))), func() { p.tick(vm) })
	p.after(time.Duration(p.random.Int64N(int64(gossipTime))), func() { p.gossip(vm) })
}

func (p *play) restart(vm *playVM) {
	vm.startedAt, vm.toldAt = p.now, -1
	vm.limiter = limit.Limiter{Random: p.random.Float64}
	for i := range vm.heard {
		vm.heard[i] = -lostTime
	}
	p.start(vm)
}

func (p *play) run() {
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		if e.at > p.c.length {
			return
		}
		p.now = e.at
		e.f()
	}
}

// up reports whether a VM runs.
func (p *play) up(vm int) bool {
	return !p.c.dead[vm].has(p.now) && !p.c.paused[vm].has(p.now)
}

func (p *play) reach(a, b int) bool {
	return p.up(a) && p.up(b) && p.c.cut[a].has(p.now) == p.c.cut[b].has(p.now)
}

// pause returns the time to the next request at a VM.
func (p *play) pause(vm int) time.Duration {
	rate := p.c.rate[min(vm, len(p.c.rate)-1)]
	return time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
}

// resumed calls f when the VM runs: at once, or at the end of its pause. What a dead VM
// would do is dropped.
func (p *play) resumed(vm int, f func()) {
	switch s := p.c.paused[vm]; {
	case p.c.dead[vm].has(p.now):
	case s.has(p.now):
		p.after(s.to-p.now, f)
	default:
		f()
	}
}

func (p *play) tick(vm *playVM) {
	p.after(limit.TickInterval, func() { p.resumed(vm.id, func() { p.tick(vm) }) })
	vm.limiter.Tick(p.clock())
}

// gossip exchanges what two VMs know.
func (p *play) gossip(vm *playVM) {
	p.after(gossipTime, func() { p.resumed(vm.id, func() { p.gossip(vm) }) })
	for _, other := range p.vms {
		if other == vm || !p.reach(vm.id, other.id) || p.random.Float64() < p.c.lost {
			continue
		}
		vm.heard[other.id], other.heard[vm.id] = p.now, p.now
		for _, e := range vm.limiter.Share(p.clock()) {
			other.limiter.Merge(p.clock(), e)
		}
	}
}

// view returns a VM's view of the others. The issuer is the first of the live ones that
// started first.
func (p *play) view(vm *playVM) limit.View {
	v := limit.View{Self: vm.name, Starting: p.now-vm.startedAt < startupTime && vm.startedAt > 0}
	live := []*playVM{}
	for _, other := range p.vms {
		silence := p.now - vm.heard[other.id]
		switch {
		case other == vm || silence < peerLease:
			live = append(live, other)
		case silence < lostTime:
			v.Lost++
		}
	}
	v.Live = len(live)
	first := slices.MinFunc(live, func(a, b *playVM) int { return cmp.Compare(a.startedAt, b.startedAt) }).startedAt
	v.Issuer = live[slices.IndexFunc(live, func(o *playVM) bool { return o.startedAt-first <= startWindow })].name
	return v
}

func (p *play) byName(name string) *playVM {
	for _, vm := range p.vms {
		if vm.name == name {
			return vm
		}
	}
	return nil
}

// arrive handles a request of a caller at a VM.
func (p *play) arrive(vm *playVM) {
	p.after(p.pause(vm.id), func() { p.arrive(vm) })
	if p.up(vm.id) {
		p.decide(vm, vm.limiter.Check(p.clock(), p.server, p.view(vm)), false)
	}
}

func (p *play) decide(vm *playVM, d limit.Decision, redirected bool) {
	switch d.Verdict {
	case limit.Free, limit.Granted:
		p.send(vm)
	case limit.Denied:
		p.refused++
	case limit.Ask:
		p.ask(vm, d.Issuer, redirected)
	}
}

// ask asks another VM for a permit.
func (p *play) ask(vm *playVM, issuer string, redirected bool) {
	askedAt, to := p.now, p.byName(issuer)
	answered := false
	q := vm.limiter.Request(p.server, p.view(vm))
	p.after(oneWay, func() {
		if !p.reach(vm.id, to.id) || p.random.Float64() < p.c.lost {
			return
		}
		reply, _ := to.limiter.Handle(p.clock(), q, p.view(to))
		p.after(oneWay, func() {
			p.resumed(vm.id, func() {
				if answered || !p.reach(vm.id, to.id) {
					return
				}
				answered = true
				d, _ := vm.limiter.Resolve(p.clock(), playStart.Add(askedAt), issuer, q, reply, redirected, p.view(vm))
				p.decide(vm, d, true)
			})
		})
	})
	p.after(callTimeout, func() {
		p.resumed(vm.id, func() {
			if !answered {
				answered = true
				p.decide(vm, vm.limiter.Fail(p.clock(), issuer, q, p.view(vm)), true)
			}
		})
	})
}

// send sends a request to the server, which answers.
func (p *play) send(vm *playVM) {
	p.after(oneWay, func() {
		p.arrivals = append(p.arrivals, arrival{at: p.now, vm: vm.id})
		value := p.c.limit(p.now)
		if value != "" && p.namedAt < 0 {
			p.namedAt = p.now
		}
		if p.random.Float64() < p.c.bare {
			value = ""
		}
		p.after(serveTime, func() { p.resumed(vm.id, func() { p.answer(vm, value) }) })
	})
}

func (p *play) answer(vm *playVM, value string) {
	st := limit.Statement{}
	if value != "" {
		st = limit.ParseStatement([]string{value})
	}
	if st.Named && vm.toldAt < 0 {
		vm.toldAt = p.now
	}
	if vm.limiter.Observe(p.clock(), p.server, st) == limit.Named {
		p.gossipNow(vm)
	}
}

// gossipNow sends what a VM knows to the others at once.
func (p *play) gossipNow(vm *playVM) {
	p.after(oneWay, func() {
		for _, other := range p.vms {
			if other != vm && p.reach(vm.id, other.id) {
				for _, e := range vm.limiter.Share(p.clock()) {
					other.limiter.Merge(p.clock(), e)
				}
			}
		}
	})
}

// excused reports whether the rule leaves out a VM at a time, because it was cut off,
// paused or restarted lately.
func (p *play) excused(vm int, at time.Duration) bool {
	return p.faulty(vm, at, func(s span) span { return span{s.from, s.to + newsTime} })
}

// unknown reports whether the others can't know yet that a VM is cut off, paused or dead.
func (p *play) unknown(vm int, at time.Duration) bool {
	return p.faulty(vm, at, func(s span) span { return span{s.from, s.from + peerLease + 2*gossipTime} })
}

// faulty reports whether a time is in the span that of returns for a fault of a VM.
func (p *play) faulty(vm int, at time.Duration, of func(span) span) bool {
	for _, fault := range []map[int]span{p.c.dead, p.c.paused, p.c.cut} {
		if s, ok := fault[vm]; ok && of(s).has(at) {
			return true
		}
	}
	return false
}

// check checks the rule, also for all VMs once the others can know of faults, and the
// use of the limits from newsTime after the first was named.
func (p *play) check() {
	p.t.Helper()
	p.checkSpans("VMs that were told", func(a arrival) bool {
		told := p.vms[a.vm].toldAt
		return told >= 0 && a.at >= told+passTime && !p.excused(a.vm, a.at)
	})
	p.checkSpans("all VMs", func(a arrival) bool { return !p.unknown(a.vm, a.at) })
	p.checkUse()
}

// checkSpans checks what the server got in each ruleSpan that ends with an arrival, from
// newsTime after the first limit was named, of the requests that count.
func (p *play) checkSpans(of string, counts func(arrival) bool) {
	p.t.Helper()
	counted := p.arrivals[:0:0]
	for _, a := range p.arrivals {
		if p.namedAt >= 0 && a.at >= p.namedAt+newsTime && counts(a) {
			counted = append(counted, a)
		}
	}
	first := 0
	for i, a := range counted {
		for counted[first].at < a.at-ruleSpan {
			first++
		}
		highest := 0.0
		for at := counted[first].at; at <= a.at; at += 100 * time.Millisecond {
			highest = max(highest, p.c.allowed(at))
		}
		if most := 1.5*highest*ruleSpan.Seconds() + 5; float64(i+1-first) > most {
			p.t.Fatalf("%d requests of %s in the %v to %v, allowed are %.1f", i+1-first, of, ruleSpan, a.at, most)
		}
	}
}

// checkUse checks that the requests used the wanted part of what the limits allow.
func (p *play) checkUse() {
	p.t.Helper()
	used, allowed := 0, 0.0
	for _, a := range p.arrivals {
		if a.at >= p.namedAt+newsTime {
			used++
		}
	}
	const step = 10 * time.Millisecond
	for at := p.namedAt + newsTime; at < p.c.length; at += step {
		allowed += p.c.allowed(at) * step.Seconds()
	}
	if share := float64(used) / allowed; share < p.c.wantShare {
		p.t.Errorf("%d of %.1f requests that the limits allow were sent, a share of %.2f, want %.2f; %d were refused", used, allowed, share, p.c.wantShare, p.refused)
	}
}

const seconds = time.Second
