package soak

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os/exec"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
)

// broken returns the promises that a check found broken.
func broken(check func(f *findings)) []Promise {
	f := &findings{start: time.Now()}
	check(f)
	var out []Promise
	for _, v := range f.all() {
		out = append(out, v.Promise)
	}
	return out
}

func expect(t *testing.T, name string, got []Promise, want ...Promise) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(origin.Event(i))
	}
	return b.String()
}

// TestChecksOfStreamsCatch gives the checks streams with planted faults.
func TestChecksOfStreamsCatch(t *testing.T) {
	tests := []struct {
		name  string
		body  string
		ended bool
		want  []Promise
	}{
		{"whole", events(1, 5), true, nil},
		{"broken off", events(1, 3), false, nil},
		{"short but complete", events(1, 4), true, []Promise{WholeAnswers}},
		{"event lost", events(1, 2) + events(4, 5), true, []Promise{WholeAnswers}},
		{"event twice", events(1, 2) + events(2, 5), true, []Promise{WholeAnswers}},
		{"part of an event", events(1, 3) + "id: 4", false, []Promise{WholeAnswers}},
	}
	for _, tt := range tests {
		expect(t, tt.name, broken(func(f *findings) { checkStream(f, "1", tt.body, tt.ended, 5) }), tt.want...)
	}
}

// TestChecksOfGenerationsCatch gives the checks generations with planted faults.
func TestChecksOfGenerationsCatch(t *testing.T) {
	whole := func(text string, tokens int) generationAnswer {
		return generationAnswer{text: text, complete: true, tokens: tokens, checksum: fmt.Sprintf("%08x", crc32.Checksum([]byte(text), castagnoli))}
	}
	tests := []struct {
		name   string
		answer generationAnswer
		want   []Promise
	}{
		{"whole", whole("ab.1 ab.2 ab.3 ", 3), nil},
		{"interrupted", generationAnswer{text: "ab.1 ab.2 "}, nil},
		{"token lost", whole("ab.1 ab.3 ", 3), []Promise{WholeAnswers}},
		{"two generations", whole("ab.1 cd.2 ab.3 ", 3), []Promise{WholeAnswers}},
		{"short", whole("ab.1 ab.2 ", 2), []Promise{WholeAnswers}},
		{"wrong checksum", generationAnswer{text: "ab.1 ab.2 ab.3 ", complete: true, tokens: 3, checksum: "0"}, []Promise{WholeAnswers}},
	}
	for _, tt := range tests {
		expect(t, tt.name, broken(func(f *findings) { checkGeneration(f, "1", tt.answer, 3) }), tt.want...)
	}
}

func TestChecksOfRunsCatch(t *testing.T) {
	tests := []struct {
		name   string
		result result
		runs   int
		want   []Promise
	}{
		{"done", result{done: true, last: outcomeDone}, 1, nil},
		{"no answer", result{}, 1, nil},
		{"ran twice", result{done: true, last: outcomeDone}, 2, []Promise{AtMostOnce}},
		{"done but not run", result{done: true, last: outcomeDone}, 0, []Promise{TrueResults}},
		{"refused but run", result{last: outcomeNotRun}, 1, []Promise{TrueRefusals}},
	}
	for _, tt := range tests {
		expect(t, tt.name, broken(func(f *findings) { checkRuns(f, tt.result, tt.runs) }), tt.want...)
	}
	expect(t, "held", broken(func(f *findings) { checkHeld(f, "1", 4*time.Second, 2*time.Second) }), InTime)
	expect(t, "in time", broken(func(f *findings) { checkHeld(f, "1", 2*time.Second, 2*time.Second) }))
}

// TestChecksOfConfigurationCatch plants a VM that goes back, one that lags, and
// histories that no single server would give.
func TestChecksOfConfigurationCatch(t *testing.T) {
	now := time.Now()
	calmVM := func(since time.Duration) *vm {
		return &vm{id: "vm", process: new(exec.Cmd), lastDisturbed: now.Add(-since)}
	}
	looks := func(controls []*vm, revisions ...uint64) []Promise {
		return broken(func(f *findings) {
			o := &operators{findings: f, world: &world{vms: controls}, accepted: map[uint64]time.Time{2: now.Add(-2 * inForceBound)}}
			w := watcher{operators: o, vm: calmVM(time.Hour)}
			for _, r := range revisions {
				w.check(now, 1, r)
			}
		})
	}
	quorum := []*vm{calmVM(time.Hour), calmVM(0), calmVM(time.Hour)}
	expect(t, "forward", looks(quorum, 2, 3))
	expect(t, "back", looks(quorum, 3, 2), ConfigForward)
	expect(t, "stale", looks(quorum, 1), ConfigForward)
	expect(t, "stale without a quorum", looks([]*vm{calmVM(0), calmVM(0), calmVM(time.Hour)}, 1))
	expect(t, "back without a quorum", looks([]*vm{calmVM(0), calmVM(0), calmVM(0)}, 3, 2), ConfigForward)
	history := func(outputs ...applyOutput) []Promise {
		return broken(func(f *findings) {
			o := &operators{findings: f}
			for i, out := range outputs {
				o.history = append(o.history, porcupine.Operation{ClientId: 1, Input: applyInput{base: 1}, Output: out, Call: int64(2 * i), Return: int64(2*i + 1)})
			}
			o.checkHistory(1)
		})
	}
	expect(t, "accepted once", history(applyOutput{revision: 2}, applyOutput{conflict: true, revision: 2}))
	expect(t, "accepted twice", history(applyOutput{revision: 2}, applyOutput{revision: 2}), ConfigHistory)
	expect(t, "conflict without a change", history(applyOutput{conflict: true, revision: 1}), ConfigHistory)
	unknown := porcupine.Operation{ClientId: 2, Input: applyInput{base: 1}, Output: applyOutput{unknown: true}, Call: 0, Return: math.MaxInt64}
	expect(t, "conflict with a change that may be made", broken(func(f *findings) {
		o := &operators{findings: f, history: []porcupine.Operation{unknown, {ClientId: 1, Input: applyInput{base: 1}, Output: applyOutput{conflict: true}, Call: 1, Return: 2}}}
		o.checkHistory(1)
	}))
}

// TestPlantedFaultsInVMAreCaught lets callers talk to a VM that mixes answers up and
// sends a request twice.
func TestPlantedFaultsInVMAreCaught(t *testing.T) {
	backend, err := origin.New("s1", func(r *http.Request) origin.Behaviour {
		return origin.Behaviour{Body: "answer to " + r.Header.Get(headerRequest)}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	forward := func(r *http.Request) string {
		req, err := http.NewRequest(r.Method, "http://"+backend.Addr().String()+r.URL.Path, nil)
		if err != nil {
			return err.Error()
		}
		req.Header = r.Header.Clone()
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return err.Error()
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		return string(b)
	}
	lying := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := forward(r)
		if strings.HasSuffix(r.URL.Path, "twice") {
			forward(r)
		}
		if strings.HasSuffix(r.URL.Path, "mixed") {
			body = "answer to another"
		}
		if strings.HasSuffix(r.URL.Path, "refused") {
			w.Header().Set(headerOutcome, outcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if strings.HasSuffix(r.URL.Path, "promised") {
			w.WriteHeader(http.StatusTooManyRequests)
		}
		_, _ = io.WriteString(w, body)
	}))
	defer lying.Close()
	p, err := NewProxy(netip.MustParseAddrPort(lying.Listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for id, want := range map[string][]Promise{"v0-fine": nil, "v0-twice": {AtMostOnce}, "v0-mixed": {OwnAnswers}, "v0-refused": {TrueRefusals}, "v0-promised": {TrueRefusals}} {
		got := broken(func(f *findings) {
			c := &callers{findings: f, world: &world{vms: []*vm{{id: "vm", proxy: p}}}}
			c.write(&http.Client{}, 0, askWrite, id)
			c.checkResults(&servers{all: []*instance{{origin: backend}}})
		})
		expect(t, id, got, want...)
	}
}

// TestLeavingServerCatches sends a request to a server that has left.
func TestLeavingServerCatches(t *testing.T) {
	for calm, want := range map[bool][]Promise{true: {LeavingIdle}, false: nil} {
		got := broken(func(f *findings) {
			s := &servers{findings: f, calm: func(int, time.Time) bool { return calm }}
			x := &instance{service: serviceWrites, limited: limited{meter: &meter.Meter{}}, leavingSince: time.Now().Add(-2 * leaveBound)}
			s.behave(x, &http.Request{Header: http.Header{headerRequest: {"v0-write-1"}}})
		})
		expect(t, fmt.Sprint("calm ", calm), got, want...)
	}
}

// TestClaimHistoryCatches plants answers that no single run explains.
func TestClaimHistoryCatches(t *testing.T) {
	const open = math.MaxInt64
	done := func(body string) claimOutput { return claimOutput{outcome: outcomeDone, body: body} }
	send := func(call, end int64, out claimOutput) porcupine.Operation {
		return porcupine.Operation{Input: "key", Output: out, Call: call, Return: end}
	}
	notRun, none := claimOutput{outcome: outcomeNotRun}, claimOutput{}
	tests := []struct {
		name string
		ops  []porcupine.Operation
		want []Promise
	}{
		{"answer and replay", []porcupine.Operation{send(0, 1, done("a")), send(2, 3, done("a"))}, nil},
		{"two answers", []porcupine.Operation{send(0, 1, done("a")), send(2, 3, done("b"))}, []Promise{ClaimHistory}},
		{"not run, then done", []porcupine.Operation{send(0, 1, notRun), send(2, 3, done("a"))}, nil},
		{"done, then not run", []porcupine.Operation{send(0, 1, done("a")), send(2, 3, notRun)}, []Promise{ClaimHistory}},
		{"not run beside done", []porcupine.Operation{send(0, 4, done("a")), send(1, 2, notRun)}, nil},
		{"lost, then not run", []porcupine.Operation{send(0, open, none), send(2, 3, notRun)}, nil},
		{"lost, then done", []porcupine.Operation{send(0, open, none), send(2, 3, done("a"))}, nil},
	}
	for _, tt := range tests {
		expect(t, tt.name, broken(func(f *findings) {
			c := &callers{findings: f, claims: tt.ops}
			c.checkClaims()
		}), tt.want...)
	}
}

// TestLimitCatches sends more requests than a server's limit allows, all at once or as many
// as it takes.
func TestLimitCatches(t *testing.T) {
	for _, tt := range []struct {
		gap  time.Duration
		calm bool
		want []Promise
	}{{100 * time.Millisecond, true, []Promise{LimitKept}}, {100 * time.Millisecond, false, nil}, {time.Second / limitRate, true, nil}} {
		l := limited{meter: &meter.Meter{}}
		l.name(true)
		got := broken(func(f *findings) {
			for at, now := time.Duration(0), time.Now(); at < 10*time.Second; at += tt.gap {
				if l.arrive(now.Add(at), 0, func(int, time.Time) bool { return tt.calm }) > 0 {
					f.add(LimitKept, "", "")
					return
				}
			}
		})
		expect(t, fmt.Sprintf("a request each %v, calm %t", tt.gap, tt.calm), got, tt.want...)
	}
}

// TestStatementsCatch sends requests to a server that has said that it wants none.
func TestStatementsCatch(t *testing.T) {
	for _, tt := range []struct {
		what  string
		say   func(s *statements)
		gap   time.Duration
		count int
		calm  bool
		want  []Promise
		// first is the behaviour under the first request.
		first origin.Behaviour
	}{
		{what: "leaving", say: (*statements).sayLeaving, gap: 600 * time.Millisecond, count: 2, calm: true, want: []Promise{SaidLeaving}},
		{what: "leaving, at once", say: (*statements).sayLeaving, gap: 100 * time.Millisecond, count: 2, calm: true},
		{what: "leaving, VM disturbed", say: (*statements).sayLeaving, gap: 600 * time.Millisecond, count: 2, calm: false},
		{what: "leaving, first response has no such field", say: (*statements).sayLeaving, gap: 600 * time.Millisecond, count: 2, calm: true, first: origin.Behaviour{Endless: origin.EndlessChunks}},
		{what: "leaving, second response has it", say: (*statements).sayLeaving, gap: 600 * time.Millisecond, count: 3, calm: true, want: []Promise{SaidLeaving}, first: origin.Behaviour{Endless: origin.EndlessChunks}},
		{what: "turns away", say: func(s *statements) { s.turnAway(true) }, gap: 600 * time.Millisecond, count: 4, calm: true, want: []Promise{LeftAlone}},
		{what: "turns away, first response is endless", say: func(s *statements) { s.turnAway(true) }, gap: 600 * time.Millisecond, count: 4, calm: true, first: origin.Behaviour{Endless: origin.EndlessEvent}},
		{what: "turns away, second response says it", say: func(s *statements) { s.turnAway(true) }, gap: 600 * time.Millisecond, count: 5, calm: true, want: []Promise{LeftAlone}, first: origin.Behaviour{Endless: origin.EndlessEvent}},
		{what: "turns away, two more", say: func(s *statements) { s.turnAway(true) }, gap: 600 * time.Millisecond, count: 3, calm: true},
		{what: "turns away, after the time", say: func(s *statements) { s.turnAway(true) }, gap: awayTime, count: 9, calm: true},
	} {
		got := broken(func(f *findings) {
			var s statements
			tt.say(&s)
			start := time.Now()
			for i := range tt.count {
				var b origin.Behaviour
				if i == 0 {
					b = tt.first
				}
				if p := s.arrive(start.Add(time.Duration(i)*tt.gap), 0, 0, true, &b, func(int, time.Time) bool { return tt.calm }); p != "" {
					f.add(p, "", "")
					return
				}
			}
		})
		expect(t, tt.what, got, tt.want...)
	}
}

func TestPlanDependsOnSeedAlone(t *testing.T) {
	first := NewPlan(1, DefaultLength, vmCount, controlCount, len(layout))
	if again := NewPlan(1, DefaultLength, vmCount, controlCount, len(layout)); !reflect.DeepEqual(first, again) {
		t.Error("two plans of one seed differ")
	}
	overlapping, kinds := 0, map[Kind]bool{}
	for seed := range uint64(50) {
		plan := NewPlan(seed, DefaultLength, vmCount, controlCount, len(layout))
		for i, f := range plan {
			kinds[f.Kind] = true
			if i > 0 && f.At < plan[i-1].end() {
				overlapping++
			}
		}
	}
	if len(kinds) != 31 || overlapping < 50 {
		t.Errorf("50 plans have %d kinds of faults, and %d that overlap", len(kinds), overlapping)
	}
}

// TestProxyModes checks what reaches a caller in each mode.
func TestProxyModes(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer s.Close()
	p, err := NewProxy(netip.MustParseAddrPort(s.Listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for _, tt := range []struct {
		mode     Mode
		answered bool
	}{{Pass, true}, {Delay, true}, {Reset, false}, {Silence, false}, {HalfOpen, false}, {Pass, true}} {
		p.SetMode(tt.mode)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Close = true
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			res.Body.Close()
		}
		cancel()
		if (err == nil) != tt.answered {
			t.Errorf("mode %d: error %v, want an answer: %t", tt.mode, err, tt.answered)
		}
	}
}
