package limit_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
)

// Example shows a VM that sends a request to a server with a limit. It asks the issuer,
// which is another VM.
func Example() {
	now := time.Now()
	s := limit.Server{ID: "server"}
	view := limit.View{Self: "vm", Issuer: "issuer", Live: 2}
	var vm, issuer limit.Limiter
	vm.Observe(now, s, limit.ParseStatement([]string{"2"}))

	for range 2 {
		d := vm.Check(now, s, view)
		if d.Verdict == limit.Ask {
			request := vm.Request(s, view)
			reply, _ := issuer.Handle(now, request, limit.View{Self: "issuer", Issuer: "issuer", Live: 2})
			d, _ = vm.Resolve(now, now, "issuer", request, reply, false, view)
		}
		fmt.Println(d.Verdict == limit.Granted, d.RetryAfter)
		now = now.Add(d.RetryAfter)
	}
	// Output:
	// false 500ms
	// true 0s
}

const (
	vmID     = "vm"
	issuerID = "issuer"
)

// pair is a VM and an issuer that know of a limit.
type pair struct {
	vm, issuer limit.Limiter
	now        time.Time
}

func newPair(rate limit.Rate) *pair {
	p := &pair{now: playStart}
	for _, l := range []*limit.Limiter{&p.vm, &p.issuer} {
		l.Observe(p.now, server, named(rate))
		l.Tick(p.now)
	}
	return p
}

// advance lets time pass for both, without a pause.
func (p *pair) advance(d time.Duration) {
	for ; d > 0; d -= limit.TickInterval {
		p.now = p.now.Add(min(d, limit.TickInterval))
		p.vm.Tick(p.now)
		p.issuer.Tick(p.now)
	}
}

func (p *pair) vmView() limit.View { return limit.View{Self: vmID, Issuer: issuerID, Live: 2} }

func (p *pair) issuerView() limit.View { return limit.View{Self: issuerID, Issuer: issuerID, Live: 2} }

// ask asks the issuer for a permit. The VM is paused for the given time before it gets the
// answer.
func (p *pair) ask(pause time.Duration) (limit.Reply, limit.Decision) {
	q := p.vm.Request(server, p.vmView())
	askedAt := p.now
	reply, _ := p.issuer.Handle(p.now, q, p.issuerView())
	for ; pause > 0; pause -= limit.TickInterval {
		p.now = p.now.Add(min(pause, limit.TickInterval))
		p.issuer.Tick(p.now)
	}
	d, _ := p.vm.Resolve(p.now, askedAt, issuerID, q, reply, false, p.vmView())
	return reply, d
}

// TestPermitRunsOutDuringPause guards against a VM that was paused and then acts on a
// permit that it got before.
func TestPermitRunsOutDuringPause(t *testing.T) {
	p := newPair(10)
	p.ask(0)
	p.advance(time.Second)
	reply, d := p.ask(3 * time.Second)
	if !reply.Granted || d.Verdict != limit.Denied {
		t.Errorf("reply %+v, decision %+v; want a permit that has run out", reply, d)
	}
	p.advance(time.Second)
	if _, d := p.ask(0); d.Verdict != limit.Granted {
		t.Errorf("decision %+v without a pause, want a permit", d)
	}
}

// TestPausedIssuerSettlesFirst guards against an issuer that was paused and issues permits
// beside the VM that has taken over.
func TestPausedIssuerSettlesFirst(t *testing.T) {
	p := newPair(10)
	p.ask(0)
	p.advance(5 * time.Second)
	if reply, _ := p.ask(0); !reply.Granted {
		t.Fatalf("reply %+v before the pause, want a permit", reply)
	}
	p.now = p.now.Add(6 * time.Second)
	if reply, _ := p.ask(0); !reply.NotIssuer {
		t.Errorf("reply %+v after the pause, want none from an issuer that does not know the others' state", reply)
	}
	p.advance(3 * time.Second)
	p.ask(0)
	p.advance(time.Second)
	if reply, _ := p.ask(0); !reply.Granted {
		t.Errorf("reply %+v 4 s after the pause, want a permit", reply)
	}
}

// TestOwnShareIsPartOfLimit checks what a VM sends while the issuer does not answer.
func TestOwnShareIsPartOfLimit(t *testing.T) {
	p := newPair(10)
	for range 10 {
		p.ask(0)
		p.advance(100 * time.Millisecond)
	}
	sent := 0
	const length = 20 * time.Second
	for range length / (100 * time.Millisecond) {
		d := p.vm.Check(p.now, server, p.vmView())
		if d.Verdict == limit.Ask {
			d = p.vm.Fail(p.now, issuerID, p.vm.Request(server, p.vmView()), p.vmView())
		}
		if d.Verdict == limit.Granted {
			sent++
		}
		p.advance(100 * time.Millisecond)
	}
	// The VM was the only one to ask, so its share is nine tenths of the limit at most.
	if allowed := 10 * 20; sent > allowed || sent < allowed/2 {
		t.Errorf("sent %d in %v, want at most %d and not much less", sent, length, allowed)
	}
}

func TestUnknownIssuerIsRedirected(t *testing.T) {
	p := newPair(10)
	q := p.vm.Request(server, p.vmView())
	reply, _ := p.issuer.Handle(p.now, q, limit.View{Self: issuerID, Issuer: "another", Live: 3})
	d, _ := p.vm.Resolve(p.now, p.now, issuerID, q, reply, false, p.vmView())
	if d.Verdict != limit.Ask || d.Issuer != "another" {
		t.Fatalf("decision %+v, want the other issuer to be asked", d)
	}
	if d, _ := p.vm.Resolve(p.now, p.now, "another", q, reply, true, p.vmView()); d.Verdict == limit.Ask {
		t.Errorf("decision %+v after a redirection, want no further one", d)
	}
}

// TestEndOfLimitReachesIssuer checks that a VM that has missed the end of a limit learns
// of it from the issuer.
func TestEndOfLimitReachesIssuer(t *testing.T) {
	p := newPair(10)
	p.issuer.Observe(p.now, server, limit.Statement{})
	p.advance(time.Second)
	p.issuer.Observe(p.now, server, limit.Statement{})
	if _, d := p.ask(0); d.Verdict != limit.Free {
		t.Errorf("decision %+v, want no limit any more", d)
	}
	if d := p.vm.Check(p.now, server, p.vmView()); d.Verdict != limit.Free {
		t.Errorf("decision %+v of the VM itself, want no limit any more", d)
	}
}

// TestStartingVMIssuesNothing guards against a VM that has just started and issues permits
// beside the issuer that it doesn't know yet.
func TestStartingVMIssuesNothing(t *testing.T) {
	p := newPair(10)
	p.ask(0)
	p.advance(time.Second)
	starting := p.issuerView()
	starting.Starting = true
	if reply, _ := p.issuer.Handle(p.now, p.vm.Request(server, p.vmView()), starting); reply.Granted || !reply.NotIssuer {
		t.Errorf("reply %+v of a VM that has just started, want none", reply)
	}
	if reply, _ := p.ask(0); !reply.Granted {
		t.Errorf("reply %+v later, want a permit", reply)
	}
}

// TestRaisedLimitEndsDenial guards against a VM that waits for the next permit of a low
// limit after the server has raised it.
func TestRaisedLimitEndsDenial(t *testing.T) {
	p := newPair(0.1)
	p.ask(0)
	if d := p.vm.Check(p.now, server, p.vmView()); d.Verdict != limit.Denied {
		t.Fatalf("decision %+v, want none for seconds", d)
	}
	p.vm.Observe(p.now, server, named(50))
	if d := p.vm.Check(p.now, server, p.vmView()); d.Verdict != limit.Ask {
		t.Errorf("decision %+v after the limit was raised, want the issuer to be asked", d)
	}
}

// TestUsedIsReportedOnce guards against an issuer that takes back the same permits for each
// of several requests at once.
func TestUsedIsReportedOnce(t *testing.T) {
	p := newPair(10)
	p.ask(0)
	used := 0
	for range 30 {
		p.advance(100 * time.Millisecond)
		if p.vm.Fail(p.now, issuerID, p.vm.Request(server, p.vmView()), p.vmView()).Verdict == limit.Granted {
			used++
		}
	}
	first, second := p.vm.Request(server, p.vmView()), p.vm.Request(server, p.vmView())
	if first.Used != used || second.Used != 0 {
		t.Errorf("two requests report %d and %d, want %d and 0", first.Used, second.Used, used)
	}
	p.vm.Fail(p.now, issuerID, first, limit.View{Self: vmID, Issuer: issuerID, Live: 2})
	if again := p.vm.Request(server, p.vmView()); again.Used < used {
		t.Errorf("after a failure %d are reported, want %d again", again.Used, used)
	}
}
