package app_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/origin"
)

// cutOffRig is an entry VM that can't reach a backend server, and one that can.
type cutOffRig struct {
	cutOff, other *app.App
	server        *origin.Server
	// seq is that of the last announcement.
	seq uint64
}

// newCutOffRig starts the VMs, which know each other, and a server of two services that
// behaves as behave says. The VM that is cut off knows the server at an address where
// nothing listens.
func newCutOffRig(t *testing.T, behave func(r *http.Request) origin.Behaviour) *cutOffRig {
	t.Helper()
	return newCutOffRigWith(t, behave, func(*conf.Settings) {})
}

// newCutOffRigWith is newCutOffRig for VMs whose settings edit changes.
func newCutOffRigWith(t *testing.T, behave func(r *http.Request) origin.Behaviour, edit func(*conf.Settings)) *cutOffRig {
	t.Helper()
	server, err := origin.New("s1", behave)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	rig := &cutOffRig{server: server}
	rig.other = startEntry(t, "b1", edit)
	rig.cutOff = startEntry(t, "a1", func(s *conf.Settings) {
		s.Peers = []netip.AddrPort{rig.other.Addrs().Peers}
		edit(s)
	})
	rig.apply(t)
	waitFor(t, "the VMs to know each other", func() bool {
		return len(rig.cutOff.Node.Peers()) == 1 && len(rig.other.Node.Peers()) == 1
	})
	rig.announceApart(server.Addr(), unusedAddr(t))
	return rig
}

// unusedAddr returns an address that refuses connections until the end of the test. A socket
// that is bound and doesn't listen holds it, so that no one else can listen there.
func unusedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(name.(*syscall.SockaddrInet4).Port))
}

// apply puts a configuration with a forward of each kind in force.
func (r *cutOffRig) apply(t *testing.T) {
	t.Helper()
	d := testConfig()
	for _, kind := range []string{spec.ForwardIdempotent, spec.ForwardNonIdempotent, spec.ForwardStream} {
		d.Forwards = append(d.Forwards, spec.Forward{Name: kind, Host: "h.example", Prefix: "/" + kind + "/", Kind: kind, Timeout: 5e9, Attempts: 2, Services: []spec.WeightedService{{Service: "booking-app", Weight: 1}}})
	}
	d.Forwards = append(d.Forwards, spec.Forward{Name: "resumable", Host: "h.example", Prefix: "/resumable/", Kind: spec.ForwardStream, Resumable: true, Timeout: 5e9, Attempts: 2, Services: []spec.WeightedService{{Service: "booking-app", Weight: 1}}})
	if err := d.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, a := range []*app.App{r.cutOff, r.other} {
		a.Node.ApplyIndex(spec.NewIndex(d, 2))
	}
}

// announceApart makes the server known to the other VM at an address, and to the VM that is
// cut off at another one. The VMs tell each other what they hear, and keep the first of two
// announcements with the same seq: it goes on until each has its own.
func (r *cutOffRig) announceApart(reachable, unreachable netip.AddrPort) {
	for !knowsServerAt(r.other, reachable) || !knowsServerAt(r.cutOff, unreachable) {
		r.seq++
		r.announce(r.other, reachable)
		r.announce(r.cutOff, unreachable)
	}
}

func knowsServerAt(a *app.App, addr netip.AddrPort) bool {
	b, ok := a.Node.Backend("s1")
	return ok && b.Addr == addr
}

// announceNewer makes the server known to a VM at an address that all others learn too.
func (r *cutOffRig) announceNewer(a *app.App, addr netip.AddrPort) {
	r.seq++
	r.announce(a, addr)
}

func (r *cutOffRig) announce(a *app.App, addr netip.AddrPort) {
	a.Node.ReceiveAnnouncement(member.Backend{ID: "s1", Addr: addr, Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: r.seq})
}

// call sends a request of a kind to the VM that is cut off, with pairs of names and values
// in its header.
func (r *cutOffRig) call(ctx context.Context, t *testing.T, kind, id string, header ...string) (*http.Response, string, error) {
	t.Helper()
	return r.callWith(ctx, t, kind, id, "body of "+id, header...)
}

// callWith is call for a request with a body.
func (r *cutOffRig) callWith(ctx context.Context, t *testing.T, kind, id, text string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.cutOff.Addrs().Callers.String()+"/"+kind+"/x?q=1", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+alphaKey)
	req.Header.Set("Fold-Request-Id", id)
	req.Header.Set("Fold-Deadline-Ms", "4000")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// TestVMCutOffFromServersStillServes guards against callers of a VM that can't reach any
// backend server being rejected although another VM can: their requests of all kinds are
// served through it, unchanged and once.
func TestVMCutOffFromServersStillServes(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(r *http.Request) origin.Behaviour {
		if strings.HasPrefix(r.URL.Path, "/"+spec.ForwardStream+"/") {
			return origin.Behaviour{Events: 5}
		}
		return origin.Behaviour{Status: http.StatusCreated, Body: "answer"}
	})
	for _, kind := range []string{spec.ForwardIdempotent, spec.ForwardNonIdempotent, spec.ForwardStream} {
		for i := range 3 {
			id := fmt.Sprint(kind, i)
			res, body, err := rig.call(t.Context(), t, kind, id)
			if err != nil {
				t.Fatal(err)
			}
			wantStatus, wantBody := http.StatusCreated, "answer"
			if kind == spec.ForwardStream {
				wantStatus, wantBody = http.StatusOK, origin.Event(1)+origin.Event(2)+origin.Event(3)+origin.Event(4)+origin.Event(5)
			}
			if res.StatusCode != wantStatus || body != wantBody {
				t.Errorf("%s: status %d, body %.100q, want %d, %.100q", id, res.StatusCode, body, wantStatus, wantBody)
				continue
			}
			if n := rig.server.RunCount(id); n != 1 {
				t.Errorf("%s ran %d times, want once", id, n)
			}
			got := rig.server.LastRequest(id)
			if got.Method != http.MethodPost || got.URI != "/"+kind+"/x?q=1" || got.Body != "body of "+id {
				t.Errorf("%s reached the server as %s %s with body %q", id, got.Method, got.URI, got.Body)
			}
			for name := range got.Header {
				if strings.HasPrefix(name, "Fold-Peer") || name == "Authorization" {
					t.Errorf("%s: the server got the header %s", id, name)
				}
			}
		}
	}
}

// TestPositionIsPassedOn guards against callers that get events twice because the VM that serves
// them does not know their position.
func TestPositionIsPassedOn(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Events: 4} })
	for path, want := range map[string]string{
		"resumable":        origin.Event(3) + origin.Event(4),
		spec.ForwardStream: origin.Event(1) + origin.Event(2) + origin.Event(3) + origin.Event(4),
	} {
		if _, body, err := rig.call(t.Context(), t, path, path, "Last-Event-Id", "2"); err != nil || body != want {
			t.Errorf("%s: error %v, body %q; want %q", path, err, body, want)
		}
	}
}

// TestStreamGoesOnThroughOtherVM guards against a resumable stream that breaks off because its VM
// can't reach a server to go on at, though another VM can.
func TestStreamGoesOnThroughOtherVM(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Events: 5} })
	crashing, err := origin.New("s1", func(*http.Request) origin.Behaviour { return origin.Behaviour{Events: 5, CrashAfter: 2} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(crashing.Close)
	rig.announceApart(rig.server.Addr(), crashing.Addr())
	rig.cutOff.Node.ReceiveAnnouncement(member.Backend{ID: "s2", Addr: unusedAddr(t), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
	for range 20 {
		// Earlier requests that the budget for retries is a share of.
		rig.cutOff.Node.CountForward("booking-app")
	}
	_, body, err := rig.call(t.Context(), t, "resumable", "1")
	if want := origin.Event(1) + origin.Event(2) + origin.Event(3) + origin.Event(4) + origin.Event(5); err != nil || body != want {
		t.Errorf("error %v, body %q; want %q", err, body, want)
	}
	if got := rig.server.LastRequest("1"); got == nil || got.Header.Get("Last-Event-Id") != "2" {
		t.Errorf("the other VM's server got %+v, want position 2", got)
	}
}

// TestPartialEventIsDroppedBeforeOtherVM guards against a stream that goes on through another VM
// and joins part of an event of the first server with that VM's events.
func TestPartialEventIsDroppedBeforeOtherVM(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Events: 3} })
	crashing, err := origin.New("s1", func(*http.Request) origin.Behaviour { return origin.Behaviour{Crash: true} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(crashing.Close)
	rig.announceApart(rig.server.Addr(), crashing.Addr())
	lost := member.Backend{ID: "s2", Addr: unusedAddr(t), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1}
	rig.cutOff.Node.ReceiveAnnouncement(lost)
	for range 2 {
		// No server is left to send the request to.
		rig.cutOff.Node.ConnectFailed(lost, syscall.ECONNREFUSED)
	}
	for range 20 {
		// Earlier requests that the budget for retries is a share of.
		rig.cutOff.Node.CountForward("booking-app")
	}
	_, body, err := rig.call(t.Context(), t, "resumable", "1")
	if want := origin.Event(1) + origin.Event(2) + origin.Event(3); err != nil || body != want {
		t.Errorf("error %v, body %q; want %q", err, body, want)
	}
}

// TestQuarantinedStreamIsNotPassedOn guards against a request that crashes servers, and that is
// passed to a VM that may not know of its quarantine yet.
func TestQuarantinedStreamIsNotPassedOn(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Events: 3} })
	crashing, err := origin.New("s1", func(*http.Request) origin.Behaviour { return origin.Behaviour{CrashUnanswered: true} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(crashing.Close)
	rig.announceApart(rig.server.Addr(), crashing.Addr())
	lost := member.Backend{ID: "s2", Addr: unusedAddr(t), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1}
	rig.cutOff.Node.ReceiveAnnouncement(lost)
	for i := range 2 {
		rig.cutOff.Node.ConnectFailed(lost, syscall.ECONNREFUSED)
		rig.cutOff.Node.PromptLost([]string{"bad"}, member.Backend{ID: fmt.Sprint("crashed", i), Epoch: 1}, true)
		time.Sleep(600 * time.Millisecond)
	}
	for range 20 {
		// Earlier requests that the budget for retries is a share of.
		rig.cutOff.Node.CountForward("booking-app")
	}
	res, body, err := rig.call(t.Context(), t, "resumable", "1", "Fold-Prompt-Parts", "bad:10,own:10")
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusBadGateway || res.Header.Get("Fold-Outcome") != "unknown" || rig.server.RunCount("1") != 0 || crashing.RunCount("1") != 1 {
		t.Errorf("status %d, outcome %q, body %q, %d runs after %d; want 502, none after one", res.StatusCode, res.Header.Get("Fold-Outcome"), body, rig.server.RunCount("1"), crashing.RunCount("1"))
	}
	if n := metrics.GetOrRegisterCounter("peer.passed", rig.cutOff.Node.Metrics).Count(); n != 0 {
		t.Errorf("passed to another VM %d times, want never", n)
	}
}

// TestRequestPassedOnOutcomes checks what callers of a VM that is cut off are told when the
// server or the other VM fails, and how often the request runs.
func TestRequestPassedOnOutcomes(t *testing.T) {
	t.Parallel()
	started := make(chan string, 10)
	rig := newCutOffRig(t, func(r *http.Request) origin.Behaviour {
		id := r.Header.Get("Fold-Request-Id")
		started <- id
		switch {
		case strings.HasPrefix(id, "cut"):
			return origin.Behaviour{Events: 5, TruncateAt: 2}
		case strings.HasPrefix(id, "full"):
			return origin.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true}
		}
		return origin.Behaviour{Hang: true}
	})
	res, body, err := rig.call(t.Context(), t, spec.ForwardStream, "cut1")
	if err == nil {
		t.Errorf("a stream that broke off looks complete: status %d, body %.100q", res.StatusCode, body)
	}
	if n := rig.server.RunCount("cut1"); n != 1 {
		t.Errorf("the stream ran %d times, want once", n)
	}
	res, body, err = rig.call(t.Context(), t, spec.ForwardNonIdempotent, "full1")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" {
		t.Errorf("rejected by the server: %v, %v, %.100q; want 503, not run", err, res, body)
	}
	for len(started) > 0 {
		<-started
	}
	lost := make(chan struct{})
	go func() {
		<-started
		rig.other.Close()
		close(lost)
	}()
	res, body, err = rig.call(t.Context(), t, spec.ForwardNonIdempotent, "lost1")
	<-lost
	if err == nil && (res.StatusCode < http.StatusInternalServerError || res.Header.Get("Fold-Outcome") == "notRun") {
		t.Errorf("the other VM was lost while the server worked: status %d, %.100q; want an unknown outcome", res.StatusCode, body)
	}
	if n := rig.server.RunCount("lost1"); n > 1 {
		t.Errorf("the request ran %d times, want at most once", n)
	}
}

// TestRequestIsPassedOnOnce guards against requests that VMs which are all cut off pass to
// each other: the caller is told at once that nothing ran.
func TestRequestIsPassedOnOnce(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "answer"} })
	rig.announceNewer(rig.other, unusedAddr(t))
	for i := range 5 {
		id := fmt.Sprint("r", i)
		res, body, err := rig.call(t.Context(), t, spec.ForwardNonIdempotent, id)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" {
			t.Errorf("%s: %v, %v, %.100q; want 503, not run", id, err, res, body)
		}
	}
	if n := counter(rig.cutOff, "peer.received"); n != 0 {
		t.Errorf("%d requests came back to the VM that passed them on, want none", n)
	}
	if n := counter(rig.cutOff, "peer.failed"); n == 0 || n > 2 {
		t.Errorf("the other VM was asked in vain %d times, want once or twice until it is left out", n)
	}
}

// TestCallerOfCutOffVMDisconnects checks that a caller's disconnection reaches the server of
// a request that was passed on.
func TestCallerOfCutOffVMDisconnects(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour {
		return origin.Behaviour{Events: 1000, Gap: 20 * time.Millisecond}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = rig.call(ctx, t, spec.ForwardStream, "s1")
	}()
	waitFor(t, "the stream to begin", func() bool { return rig.server.EventsSent("s1") > 2 })
	cancel()
	<-done
	waitFor(t, "the server to notice the disconnection", func() bool { return !rig.server.Running("s1") })
}

// TestVMUsesServersAgainAfterCut checks that a VM sends requests itself as soon as it can
// reach the server again, and that neither VM counts a request twice.
func TestVMUsesServersAgainAfterCut(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "answer"} })
	if res, _, err := rig.call(t.Context(), t, spec.ForwardIdempotent, "during"); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("during the cut: %v, %v", err, res)
	}
	if a, b := counter(rig.cutOff, "peer.passed"), counter(rig.other, "peer.received"); a != 1 || b != 1 {
		t.Fatalf("%d passed, %d received, want one", a, b)
	}
	waitFor(t, "the server to be unreachable", func() bool { return counter(rig.cutOff, "reach.lost") == 1 })
	rig.announceNewer(rig.cutOff, rig.server.Addr())
	waitFor(t, "the server to be reachable again", func() bool { return counter(rig.cutOff, "reach.regained") == 1 })
	if res, _, err := rig.call(t.Context(), t, spec.ForwardIdempotent, "after"); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("after the cut: %v, %v", err, res)
	}
	if n := counter(rig.cutOff, "peer.passed"); n != 1 {
		t.Errorf("%d requests were passed on, want only the one during the cut", n)
	}
}

// TestLeavingServerIsLearnedThroughPeer guards against a VM that has passed on the answer of a
// leaving server, through another VM, and sends that server new requests later.
func TestLeavingServerIsLearnedThroughPeer(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{spec.ForwardIdempotent, spec.ForwardNonIdempotent, spec.ForwardStream} {
		rig := newCutOffRig(t, func(*http.Request) origin.Behaviour {
			if kind == spec.ForwardStream {
				return origin.Behaviour{Events: 2, Leaving: origin.Head}
			}
			return origin.Behaviour{Body: "answer", Leaving: origin.Head}
		})
		res, _, err := rig.call(t.Context(), t, kind, "first")
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v, %v", kind, err, res)
		}
		for name := range res.Header {
			if strings.HasPrefix(name, "Fold-Peer") {
				t.Errorf("%s: the caller got the header %s", kind, name)
			}
		}
		rig.cutOff.Node.ReceiveAnnouncement(member.Backend{ID: "s1", Addr: rig.server.Addr(), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 2})
		if b, ok := rig.cutOff.Node.Backend("s1"); !ok || !b.Leaving {
			t.Errorf("%s: the VM counts the server as leaving: %t, want true", kind, b.Leaving)
		}
	}
}

// TestOwnCallAtCutOffVMStillServed guards against plain calls of the own interface being
// rejected at a VM that can't reach any server although another VM can.
func TestOwnCallAtCutOffVMStillServed(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "answer"} })
	for range 3 {
		res := callerRequest{method: http.MethodGet, path: "/lookup"}.send(t, rig.cutOff)
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK || string(body) != "answer" {
			t.Errorf("status %d, body %.100q, error %v; want the server's answer", res.StatusCode, body, err)
		}
	}
}
