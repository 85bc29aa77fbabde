package limit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// constant returns a limit that does not change.
func constant(rate float64) (func(time.Duration) string, func(time.Duration) float64) {
	return func(time.Duration) string { return fmt.Sprint(rate) }, func(time.Duration) float64 { return rate }
}

// withLimit returns c with a limit that does not change.
func withLimit(rate float64, c playCase) playCase {
	c.limit, c.allowed = constant(rate)
	return c
}

// halves holds the VMs of the second half of seven for a time.
func halves(s span) map[int]span { return map[int]span{4: s, 5: s, 6: s} }

// inTurn returns a restart of each VM, one after the other.
func inTurn(vms int) map[int]span {
	out := map[int]span{}
	for i := range vms {
		at := 10*seconds + time.Duration(i)*3*seconds
		out[i] = span{at, at + 2*seconds}
	}
	return out
}

// together returns a restart of all VMs at once.
func together(vms int, s span) map[int]span {
	out := map[int]span{}
	for i := range vms {
		out[i] = s
	}
	return out
}

func playCases() []playCase {
	even, uneven := []float64{5}, []float64{30, 1}
	lastOnly := []float64{0.2, 0.2, 0.2, 0.2, 0.2, 0.2, 30}
	cases := []playCase{
		withLimit(5.2, playCase{name: "even traffic", vms: 7, rate: even, length: 40 * seconds, wantShare: 0.9}),
		withLimit(5.2, playCase{name: "one VM has the traffic", vms: 7, rate: uneven, length: 40 * seconds, wantShare: 0.9}),
		withLimit(5.2, playCase{name: "a VM that is not the issuer has the traffic", vms: 7, rate: lastOnly, length: 40 * seconds, wantShare: 0.9}),
		withLimit(3.4, playCase{name: "demand is the limit", vms: 7, rate: []float64{3.4 / 7}, length: 60 * seconds, wantShare: 0.6}),
		withLimit(5.2, playCase{name: "many VMs", vms: 78, rate: []float64{10, 0.5}, length: 40 * seconds, wantShare: 0.9}),
		withLimit(60, playCase{name: "high limit", vms: 7, rate: []float64{60, 10}, length: 30 * seconds, wantShare: 0.9}),
		withLimit(0.5, playCase{name: "low limit", vms: 7, rate: even, length: 60 * seconds, wantShare: 0.9}),
		withLimit(0, playCase{name: "limit of zero", vms: 7, rate: even, length: 60 * seconds}),
		withLimit(1e6, playCase{name: "limit above any traffic", vms: 7, rate: even, length: 20 * seconds}),
		withLimit(5.2, playCase{name: "issuer is killed", vms: 7, rate: lastOnly, length: 40 * seconds, dead: map[int]span{0: {10 * seconds, 100 * seconds}}, wantShare: 0.8}),
		withLimit(5.2, playCase{name: "issuer of many is killed", vms: 78, rate: []float64{10, 0.5}, length: 60 * seconds, dead: map[int]span{0: {10 * seconds, 100 * seconds}}, wantShare: 0.8}),
		withLimit(5.2, playCase{name: "issuer restarts", vms: 7, rate: even, length: 40 * seconds, dead: map[int]span{0: {10 * seconds, 12 * seconds}}, wantShare: 0.8}),
		withLimit(5.2, playCase{name: "VMs restart in turn", vms: 7, rate: even, length: 60 * seconds, dead: inTurn(7), wantShare: 0.8}),
		withLimit(5.2, playCase{name: "all VMs restart", vms: 7, rate: even, length: 40 * seconds, dead: together(7, span{10 * seconds, 11 * seconds}), wantShare: 0.8}),
		withLimit(5.2, playCase{name: "issuer is paused", vms: 7, rate: even, length: 40 * seconds, paused: map[int]span{0: {10 * seconds, 15 * seconds}}, wantShare: 0.8}),
		withLimit(5.2, playCase{name: "issuer is paused for long", vms: 7, rate: even, length: 60 * seconds, paused: map[int]span{0: {10 * seconds, 25 * seconds}}, wantShare: 0.8}),
		withLimit(5.2, playCase{name: "VM is paused", vms: 7, rate: even, length: 40 * seconds, paused: map[int]span{3: {10 * seconds, 15 * seconds}}, wantShare: 0.9}),
		withLimit(5.2, playCase{name: "three of seven are cut off", vms: 7, rate: even, length: 60 * seconds, cut: halves(span{10 * seconds, 40 * seconds}), wantShare: 0.8}),
		withLimit(5.2, playCase{name: "issuer is cut off", vms: 7, rate: even, length: 60 * seconds, cut: map[int]span{0: {10 * seconds, 40 * seconds}}, wantShare: 0.7}),
		withLimit(5.2, playCase{name: "calls between VMs are lost", vms: 7, rate: even, length: 60 * seconds, lost: 0.05, wantShare: 0.9}),
		withLimit(5.2, playCase{name: "many calls between VMs are lost", vms: 7, rate: even, length: 60 * seconds, lost: 0.4, wantShare: 0.6}),
		withLimit(20, playCase{name: "half of the calls between many VMs are lost", vms: 30, rate: even, length: 60 * seconds, lost: 0.5, wantShare: 0.6}),
		withLimit(5.2, playCase{name: "half are cut off for long", vms: 8, rate: even, length: 80 * seconds, cut: together(4, span{10 * seconds, 70 * seconds}), wantShare: 0.8}),
		withLimit(5.2, playCase{name: "responses without the limit", vms: 7, rate: even, length: 60 * seconds, bare: 0.1, wantShare: 0.9}),
	}
	steps := func(at time.Duration) float64 { return []float64{20, 2, 0.5, 8, 5}[at/(10*seconds)%5] }
	cases = append(cases, playCase{
		name: "limit changes", vms: 7, rate: []float64{30, 2}, length: 60 * seconds, wantShare: 0.85,
		limit: func(at time.Duration) string { return fmt.Sprint(steps(at)) },
		// A change is learned from a response, which may be as far away as the limit is low.
		allowed: func(at time.Duration) float64 { return max(steps(at), steps(max(at-2*seconds, 0))) },
	}, playCase{
		name: "limit makes no sense at times", vms: 7, rate: even, length: 60 * seconds, wantShare: 0.85,
		limit: func(at time.Duration) string {
			n := at / (50 * time.Millisecond)
			if n%2 == 0 {
				return "5.2"
			}
			return []string{"-3", "NaN", "", "5,2"}[n/2%4]
		},
		allowed: func(time.Duration) float64 { return 5.2 },
	}, playCase{
		name: "limit is named for a time", vms: 7, rate: even, length: 40 * seconds,
		limit: func(at time.Duration) string { return map[bool]string{true: "5.2"}[at < 15*seconds] },
		allowed: func(at time.Duration) float64 {
			return map[bool]float64{true: 5.2, false: 1e6}[at < 15*seconds-ruleSpan]
		},
	})
	return cases
}

// TestPlays plays loads and faults, and checks that the VMs together keep to the limit and
// use what it allows.
func TestPlays(t *testing.T) {
	const seeds = 10
	for _, c := range playCases() {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				p := newPlay(t, c, seed)
				p.run()
				p.check()
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

// TestEndOfLimitIsLearned checks that a server whose limit has ended gets all requests
// again, from every VM.
func TestEndOfLimitIsLearned(t *testing.T) {
	limit := func(at time.Duration) string { return map[bool]string{true: "0"}[at < 15*seconds] }
	p := newPlay(t, playCase{vms: 7, rate: []float64{5}, length: 60 * seconds, limit: limit, allowed: func(time.Duration) float64 { return 0 }}, 1)
	p.run()
	sent := map[int]int{}
	for _, a := range p.arrivals {
		if a.at >= 40*seconds {
			sent[a.vm]++
		}
	}
	for vm := range p.vms {
		if sent[vm] < 60 {
			t.Errorf("VM %d sent %d requests in the 20 s that begin 25 s after the end of the limit, want about 100", vm, sent[vm])
		}
	}
}
