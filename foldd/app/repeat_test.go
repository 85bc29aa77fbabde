package app_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/origin"
)

// TestRepeatedRequestThatCrashesServersIsQuarantined guards against a request that is
// sent again and again, to any VM, and crashes each server that begins it.
func TestRepeatedRequestThatCrashesServersIsQuarantined(t *testing.T) {
	tests := []struct {
		name  string
		kind  string
		crash origin.Behaviour
		sound origin.Behaviour
		parts string
	}{
		{"safe", spec.ForwardIdempotent, origin.Behaviour{CrashUnanswered: true}, origin.Behaviour{}, ""},
		{"unsafe", spec.ForwardNonIdempotent, origin.Behaviour{CrashUnanswered: true}, origin.Behaviour{}, ""},
		{"stream without parts", spec.ForwardStream, origin.Behaviour{Crash: true}, origin.Behaviour{Events: 10}, ""},
		{"stream with sound parts", spec.ForwardStream, origin.Behaviour{Crash: true}, origin.Behaviour{Events: 10}, "common:100,own:100"},
		{"stream that is not answered", spec.ForwardStream, origin.Behaviour{CrashUnanswered: true}, origin.Behaviour{Events: 10}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := &repeatRig{vms: startVMGroup(t, 3, repeatConfig(t, tt.kind), nil)}
			r.newServer = func(id string) (netip.AddrPort, func() bool) {
				s, err := origin.New(id, func(q *http.Request) origin.Behaviour {
					if strings.HasSuffix(q.URL.Path, "/bad") {
						r.crashes.Add(1)
						return tt.crash
					}
					return tt.sound
				})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(s.Close)
				return s.Addr(), s.Closed
			}
			r.send = func(vm int, id, path string) int {
				return sendForward(t, r.vms[vm], id, "/app/"+path, tt.parts)
			}
			r.check(t, "app")
		})
	}
}

// TestRepeatedCallThatCrashesServersIsQuarantined is the same for calls of the own
// interface.
func TestRepeatedCallThatCrashesServersIsQuarantined(t *testing.T) {
	t.Parallel()
	// A server that has crashed is forgotten soon. The lease is shorter than the time between
	// exchanges, so servers announce themselves to all VMs.
	const lease = 500 * time.Millisecond
	r := &repeatRig{pause: 3 * lease}
	r.vms = startVMGroup(t, 3, testConfig(), func(s *conf.Settings) { s.Limits.BackendLease = strict.Duration(lease) })
	r.newServer = func(string) (netip.AddrPort, func() bool) {
		s, closed := newCrashingService(&r.crashes)
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(s.Listener.Addr().String()), closed.Load
	}
	r.send = func(vm int, _, path string) int {
		res := callerRequest{method: http.MethodGet, path: "/lookup?" + path}.send(t, r.vms[vm])
		defer res.Body.Close()
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return 0
		}
		return res.StatusCode
	}
	r.check(t, "booking-app")
}

// newCrashingService starts a server that closes all its connections under a call for
// "bad", counts that in crashes, and sets closed.
func newCrashingService(crashes *atomic.Int64) (s *httptest.Server, closed *atomic.Bool) {
	closed = &atomic.Bool{}
	s = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "bad" {
			return
		}
		crashes.Add(1)
		closed.Store(true)
		s.Listener.Close()
		s.CloseClientConnections()
	}))
	s.Start()
	return s, closed
}

// repeatConfig returns a configuration with one forward of a kind.
func repeatConfig(t *testing.T, kind string) *spec.Document {
	t.Helper()
	d := testConfig()
	service := spec.Service{Name: "app", Kind: spec.KindPlain}
	if kind == spec.ForwardStream {
		service.Engine = &spec.Engine{Slots: 8, MemoryTokens: 100000, EventTokens: 4}
	}
	d.Services = append(d.Services, service)
	d.Forwards = []spec.Forward{{
		Name: "app", Host: "h.example", Prefix: "/app/", Kind: kind, Timeout: 5e9, Attempts: 2,
		Services: []spec.WeightedService{{Service: "app", Weight: 1}},
	}}
	if err := d.Validate(); err != nil {
		t.Fatal(err)
	}
	return d
}

// repeatRig is a group of VMs before servers that crash under some requests. Each server
// that crashes is replaced.
type repeatRig struct {
	vms     []*app.App
	servers int
	crashes atomic.Int64
	// newServer starts a server and returns its address, and whether it has crashed.
	newServer func(id string) (netip.AddrPort, func() bool)
	// send sends a request to a VM and returns its status, 0 if the response broke off.
	// Requests for "bad" crash servers.
	send func(vm int, id, path string) int
	// pause is the time after a crash in which no request is sent.
	pause time.Duration
}

// crashesHeld is the number of crashes after which a request must be held, within
// newsBound.
const crashesHeld = 3

// check sends a request until servers have crashed under it, and then again.
func (r *repeatRig) check(t *testing.T, service string) {
	t.Helper()
	for range 4 {
		r.startServer(t, service)
	}
	for i := 0; r.crashes.Load() < crashesHeld; i++ {
		r.sendAndReplace(t, service, i%3, fmt.Sprint("bad", i), "bad")
		r.sendAndReplace(t, service, i%3, fmt.Sprint("between", i), "good")
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(newsBound)
	before := r.crashes.Load()
	sound := 0
	const requests = 12
	for i := range requests {
		r.sendAndReplace(t, service, i%3, fmt.Sprint("late", i), "bad")
		if status := r.sendAndReplace(t, service, i%3, fmt.Sprint("sound", i), fmt.Sprint("good", i%4)); status == http.StatusOK {
			sound++
		}
	}
	if reached := r.crashes.Load() - before; reached > sendsAfter {
		t.Errorf("%d requests reached servers later than %v after %d crashes, want at most %d", reached, newsBound, crashesHeld, sendsAfter)
	}
	if sound < requests {
		t.Errorf("%d of %d sound requests of the same caller were served, want all", sound, requests)
	}
}

func (r *repeatRig) sendAndReplace(t *testing.T, service string, vm int, id, path string) int {
	t.Helper()
	before := r.crashes.Load()
	status := r.send(vm, id, path)
	crashed := r.crashes.Load() - before
	for range crashed {
		r.startServer(t, service)
	}
	if crashed > 0 {
		time.Sleep(r.pause)
	}
	return status
}

func (r *repeatRig) startServer(t *testing.T, service string) {
	t.Helper()
	r.servers++
	id := fmt.Sprint("s", r.servers)
	addr, crashed := r.newServer(id)
	for _, a := range r.vms {
		go announceUntil(t, a, member.Backend{ID: id, Addr: addr, Kind: spec.KindPlain, Service: service, Domain: "a", Epoch: 1}, crashed)
	}
	for _, a := range r.vms {
		waitFor(t, "server "+id+" to be known", func() bool { _, ok := a.Node.Backend(id); return ok })
	}
}
