package limit

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestParseRetryAfter guards against a server that turns requests away and gets them all the same,
// because of the number of digits in which it says for how long.
func TestParseRetryAfter(t *testing.T) {
	tests := []struct {
		values []string
		want   RetryAfter
	}{
		{nil, RetryAfter{}},
		{[]string{"2"}, RetryAfter{Wait: 2 * time.Second}},
		{[]string{"0.25"}, RetryAfter{Wait: 250 * time.Millisecond}},
		{[]string{"0"}, RetryAfter{}},
		{[]string{"1", "3"}, RetryAfter{Wait: 3 * time.Second}},
		{[]string{"1.8199999999999998"}, RetryAfter{Wait: 1819999999}},
		{[]string{"0000000000002.0000000000"}, RetryAfter{Wait: 2 * time.Second}},
		{[]string{"31536000000000000000000"}, RetryAfter{Wait: maxCooldown, Shortened: true}},
		{[]string{strings.Repeat("9", 400)}, RetryAfter{Wait: maxCooldown, Shortened: true}},
		{[]string{"31536000"}, RetryAfter{Wait: maxCooldown, Shortened: true}},
		{[]string{"-1"}, RetryAfter{Invalid: "-1"}},
		{[]string{"NaN"}, RetryAfter{Invalid: "NaN"}},
		{[]string{"1e3"}, RetryAfter{Invalid: "1e3"}},
		{[]string{"soon"}, RetryAfter{Invalid: "soon"}},
		{[]string{"Fri, 04 Dec 2026 12:00:00 GMT"}, RetryAfter{Invalid: "Fri, 04 Dec 2026 12:00:00 GMT"}},
	}
	for _, tt := range tests {
		if got := ParseRetryAfter(tt.values); got != tt.want {
			t.Errorf("ParseRetryAfter(%q) = %+v, want %+v", tt.values, got, tt.want)
		}
	}
}

func TestLeavingEndsOnlyWithNewStart(t *testing.T) {
	l := &Limiter{}
	s := Server{ID: "a", Epoch: 2}
	if !l.ObserveLeaving(s) || l.ObserveLeaving(s) {
		t.Error("the first response that says so is not the only new one")
	}
	now := time.Unix(1000, 0)
	l.Forget("a")
	l.Tick(now.Add(time.Hour))
	for _, tt := range []struct {
		server Server
		use    Use
		want   bool
	}{
		{s, Begin, true},
		{Server{ID: "a", Epoch: 1}, Begin, true},
		{s, Continue, false},
		{Server{ID: "a", Epoch: 3}, Begin, false},
		{Server{ID: "b", Epoch: 2}, Begin, false},
	} {
		if _, got := l.Withhold(now, tt.server, tt.use); got != tt.want {
			t.Errorf("Withhold(%+v, %d) = %t, want %t", tt.server, tt.use, got, tt.want)
		}
	}
}

// TestCooldownsInPlay plays a server that turns requests away at random, and requests of
// all uses. Within no time that the server named does it get more than two, and it gets
// requests again afterwards.
func TestCooldownsInPlay(t *testing.T) {
	const step, steps = 20 * time.Millisecond, 3000
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		l, now, s := &Limiter{}, time.Unix(1000, 0), Server{ID: "a", Epoch: 1}
		type span struct{ from, to time.Time }
		var named []span
		var sends []time.Time
		for range steps {
			now = now.Add(step)
			l.Tick(now)
			use := Use(r.IntN(3))
			if _, withheld := l.Withhold(now, s, use); withheld {
				continue
			}
			l.Sending(now, s)
			sends = append(sends, now)
			if r.IntN(10) == 0 {
				wait := time.Duration(r.IntN(4000)) * time.Millisecond
				l.ObserveRetryAfter(now, s, wait)
				named = append(named, span{now, now.Add(wait)})
			}
		}
		for _, n := range named {
			got := 0
			for _, at := range sends {
				if at.After(n.from) && at.Before(n.to) {
					got++
				}
			}
			if got > cooldownAllowance {
				t.Fatalf("seed %d: %d requests in a time of %v", seed, got, n.to.Sub(n.from))
			}
		}
		if len(named) < 10 {
			t.Fatalf("seed %d: only %d times named: the server gets no requests", seed, len(named))
		}
	}
}
