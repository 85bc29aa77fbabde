package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
)

// coldLimiter returns a limiter for which all servers are cold.
func coldLimiter(rate limit.Rate) *limit.Limiter {
	return &limit.Limiter{ColdRate: func(time.Time, limit.Server) limit.Rate { return rate }}
}

// ownShareGrants returns the largest number of requests in a second that VMs send by their
// own shares, after a time without callers in which permits could accumulate. view returns a
// VM's view, and before what it saw earlier.
func ownShareGrants(view func(vm int) limit.View, before limit.View) int {
	const step = 10 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 2))
	var vms []*limit.Limiter
	for range coldVMs {
		l := coldLimiter(startRate)
		l.Random = r.Float64
		l.ObserveView(playStart, before)
		vms = append(vms, l)
	}
	var grants []int
	for now := playStart; now.Before(playStart.Add(40 * time.Second)); now = now.Add(step) {
		n := 0
		idle := now.After(playStart.Add(time.Second)) && now.Before(playStart.Add(30*time.Second))
		for i, l := range vms {
			v := view(i)
			if !idle && l.Check(now, server, v).Verdict == limit.Granted {
				n++
			} else if !idle && v.Issuer != v.Self {
				if l.Fail(now, v.Issuer, l.Request(server, v), v).Verdict == limit.Granted {
					n++
				}
			}
		}
		grants = append(grants, n)
	}
	most, sum := 0, 0
	for i, n := range grants {
		sum += n
		if i >= int(time.Second/step) {
			sum -= grants[i-int(time.Second/step)]
		}
		most = max(most, sum)
	}
	return most
}

// TestOwnSharesOfColdServer guards against VMs that can't reach an issuer sending more than
// their small part of the start rate, whose issuers may issue all of it.
func TestOwnSharesOfColdServer(t *testing.T) {
	known := limit.View{Self: "vm", Issuer: "issuer", Live: coldVMs, Service: "m", StartRate: startRate}
	cases := map[string]struct {
		view   func(vm int) limit.View
		before limit.View
	}{
		"the issuer is lost": {func(int) limit.View { return known }, known},
		"the others were forgotten": {func(int) limit.View {
			v := known
			v.Live = 1
			return v
		}, known},
		"all VMs have just started": {func(vm int) limit.View {
			id := fmt.Sprint(vm)
			return limit.View{Self: id, Issuer: id, Live: 1, Starting: true, Service: "m", StartRate: startRate}
		}, limit.View{Service: "m"}},
	}
	for name, c := range cases {
		// What the users' bound leaves beside an issuer that issues the whole rate and a full
		// bucket, which holds one permit and those of 200 ms.
		allowed := 1.5*startRate + 5 - (startRate + 1 + 0.2*startRate)
		if most := ownShareGrants(c.view, c.before); float64(most) > allowed {
			t.Errorf("%s: %d requests in a second, allowed are %.1f", name, most, allowed)
		}
	}
}

// coldPair returns an issuer for which no server is cold, and a view of it as the issuer.
func coldPair() (*limit.Limiter, limit.View) {
	v := limit.View{Self: issuerID, Issuer: issuerID, Live: 2, Service: "m", StartRate: startRate}
	l := &limit.Limiter{}
	l.ObserveView(playStart, v)
	return l, v
}

// TestIssuerLearnsOfColdServerFromRequest guards against an issuer that knows nothing of a
// cold server yet and grants every request for a permit.
func TestIssuerLearnsOfColdServerFromRequest(t *testing.T) {
	issuer, v := coldPair()
	vm := coldLimiter(startRate)
	now := playStart.Add(time.Minute)
	granted := 0
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		reply, _ := issuer.Handle(now, vm.Request(server, limit.View{Self: vmID}), v)
		if reply.NotIssuer || reply.Share <= 0 {
			t.Fatalf("answer %+v, want one of an issuer with a share", reply)
		}
		if reply.Granted {
			granted++
		}
	}
	if granted < 20 || granted > 28 {
		t.Errorf("%d permits in a second, want about %v", granted, startRate)
	}
}

// TestUnawareIssuerIsNotBelieved guards against an issuer of an older build, which grants
// each request for a server that has named no rate limit, and states no share.
func TestUnawareIssuerIsNotBelieved(t *testing.T) {
	vm := coldLimiter(startRate)
	v := limit.View{Self: vmID, Issuer: issuerID, Live: coldVMs, Service: "m", StartRate: startRate}
	sent := 0
	for i := range 100 {
		now := playStart.Add(time.Duration(i) * 10 * time.Millisecond)
		d := vm.Check(now, server, v)
		if d.Verdict == limit.Ask {
			q := vm.Request(server, v)
			d, _ = vm.Resolve(now, now, issuerID, q, limit.Reply{Granted: true, Entry: q.Entry}, false, v)
		}
		if d.Verdict == limit.Granted {
			sent++
		}
	}
	if sent > 1 {
		t.Errorf("%d requests in a second by the permits of an issuer that doesn't limit them, want at most 1 by the own share", sent)
	}
}

// TestResumedIssuerWaits guards against an issuer that was paused and issues permits beside
// the one that has taken over.
func TestResumedIssuerWaits(t *testing.T) {
	l, v := coldPair()
	now := playStart
	for range 60 {
		now = now.Add(limit.TickInterval)
		l.Tick(now)
		l.ObserveView(now, v)
	}
	now = now.Add(20 * time.Second)
	q := coldLimiter(startRate).Request(server, limit.View{Self: vmID})
	for range 8 {
		if reply, _ := l.Handle(now, q, v); !reply.NotIssuer {
			t.Fatalf("%v after the pause: answer %+v, want none of an issuer", now.Sub(playStart)-50*time.Second, reply)
		}
		now = now.Add(limit.TickInterval)
		l.Tick(now)
	}
}

// TestNewIssuerWaits guards against an issuer on one side of a cut that begins before the one
// on the other side knows of the cut.
func TestNewIssuerWaits(t *testing.T) {
	l, v := coldPair()
	other := v
	other.Issuer = "another"
	l.ObserveView(playStart.Add(time.Minute), other)
	now := playStart.Add(2 * time.Minute)
	l.ObserveView(now, v)
	q := coldLimiter(startRate).Request(server, limit.View{Self: vmID})
	if reply, _ := l.Handle(now.Add(4*time.Second), q, v); !reply.NotIssuer {
		t.Errorf("4 s after it became the issuer: answer %+v, want none of an issuer", reply)
	}
	if reply, _ := l.Handle(now.Add(6*time.Second), q, v); reply.NotIssuer {
		t.Errorf("6 s after it became the issuer: answer %+v, want one of an issuer", reply)
	}
}

// TestColdServerWithNamedLimit guards against a start rate that replaces a lower limit, and
// against one that outlasts the cold time.
func TestColdServerWithNamedLimit(t *testing.T) {
	cold := true
	l := &limit.Limiter{ColdRate: func(time.Time, limit.Server) limit.Rate {
		if cold {
			return startRate
		}
		return 0
	}}
	v := limit.View{Self: vmID, Issuer: issuerID, Live: 2, Service: "m", StartRate: startRate}
	if d := l.Check(playStart, server, v); d.Verdict != limit.Ask || d.Rate != startRate {
		t.Errorf("cold: %+v, want a request for a permit by the start rate", d)
	}
	l.Observe(playStart, server, limit.Statement{Named: true, Rate: 5})
	if d := l.Check(playStart, server, v); d.Verdict != limit.Ask || d.Rate != 5 {
		t.Errorf("cold with a limit: %+v, want a request for a permit by the lower limit", d)
	}
	cold = false
	if d := l.Check(playStart, limit.Server{ID: "other"}, v); d.Verdict != limit.Free {
		t.Errorf("warm: %+v, want no limit", d)
	}
}

// TestLowStartRateIsUsed guards against a start rate of less than one request a second whose
// permits are lost because callers come seldom.
func TestLowStartRateIsUsed(t *testing.T) {
	issuer, v := coldPair()
	issuer.ColdRate = func(time.Time, limit.Server) limit.Rate { return 0.5 }
	for i := range 10 {
		now := playStart.Add(time.Minute + time.Duration(i)*2700*time.Millisecond)
		if d := issuer.Check(now, server, v); i > 0 && d.Verdict != limit.Granted {
			t.Errorf("request %d, 2.7 s after the one before: %+v, want a permit", i, d)
		}
	}
}
