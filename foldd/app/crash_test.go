package app_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/origin"
)

// crashRig is a group of VMs that forward streams to engines which crash under
// prompts with the part "bad". Each engine that crashes is replaced.
type crashRig struct {
	t       *testing.T
	vms     []*app.App
	engines int
	crashes atomic.Int64
}

func startCrashRig(t *testing.T, vms, engines int) *crashRig {
	t.Helper()
	d := testConfig()
	d.Services = append(d.Services, spec.Service{Name: "models", Kind: spec.KindPlain, Engine: &spec.Engine{Slots: 8, MemoryTokens: 100000, EventTokens: 4}})
	d.Forwards = []spec.Forward{{Name: "draft", Host: "h.example", Prefix: "/draft/", Kind: spec.ForwardStream, Timeout: 20e9, Services: []spec.WeightedService{{Service: "models", Weight: 1}}}}
	if err := d.Validate(); err != nil {
		t.Fatal(err)
	}
	r := &crashRig{t: t, vms: startVMGroup(t, vms, d, nil)}
	for range engines {
		r.startEngine()
	}
	return r
}

// startVMGroup starts VMs that know each other, with a configuration in force. adjust, if
// not nil, changes their settings.
func startVMGroup(t *testing.T, vms int, d *spec.Document, adjust func(*conf.Settings)) []*app.App {
	t.Helper()
	var out []*app.App
	for i := range vms {
		a := startEntry(t, fmt.Sprint("vm", i), func(s *conf.Settings) {
			for _, other := range out {
				s.Peers = append(s.Peers, other.Addrs().Peers)
			}
			if adjust != nil {
				adjust(s)
			}
		})
		a.Node.ApplyIndex(spec.NewIndex(d, 2))
		out = append(out, a)
	}
	for _, a := range out {
		waitFor(t, "the VMs to know each other", func() bool { return len(a.Node.Peers()) == vms-1 })
	}
	return out
}

func (r *crashRig) startEngine() {
	r.engines++
	id := fmt.Sprint("e", r.engines)
	e, err := origin.New(id, func(q *http.Request) origin.Behaviour {
		if strings.Contains(q.Header.Get("Fold-Prompt-Parts"), "bad:") {
			r.crashes.Add(1)
			return origin.Behaviour{Crash: true}
		}
		return origin.Behaviour{Events: 10, Gap: time.Millisecond}
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(e.Close)
	go announceUntil(r.t, r.vms[0], member.Backend{ID: e.ID, Addr: e.Addr(), Kind: spec.KindPlain, Service: "models", Domain: "a", Epoch: 1}, e.Closed)
	for _, a := range r.vms {
		waitFor(r.t, "engine "+id+" to be known", func() bool { _, ok := a.Node.Backend(id); return ok })
	}
}

// announceInterval is a small part of the lease of a backend server.
const announceInterval = 200 * time.Millisecond

// announceUntil announces a backend server to a VM until it has crashed or the test ends.
func announceUntil(t *testing.T, to *app.App, b member.Backend, crashed func() bool) {
	for !crashed() && t.Context().Err() == nil {
		b.Seq++
		to.Node.ReceiveAnnouncement(b)
		time.Sleep(announceInterval)
	}
}

// send sends a request whose prompt has the given shared parts to a VM, and
// returns its status, or 0 if the response broke off. It replaces an engine that
// has crashed.
func (r *crashRig) send(vm int, id string, shared ...string) int {
	r.t.Helper()
	before := r.crashes.Load()
	parts := ""
	for _, part := range append(slices.Clone(shared), "own"+id) {
		parts += part + ":100,"
	}
	status := sendForward(r.t, r.vms[vm], id, "/draft/x", strings.TrimSuffix(parts, ","))
	if r.crashes.Load() > before {
		r.startEngine()
	}
	return status
}

// sendForward sends a request to be forwarded to a VM, and returns its status, or 0 if the
// response broke off.
func sendForward(t *testing.T, to *app.App, id, path, parts string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+to.Addrs().Callers.String()+path, strings.NewReader("prompt"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+alphaKey)
	req.Header.Set("Fold-Request-Id", id)
	req.Header.Set("Fold-Prompt-Parts", parts)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

const (
	// newsBound is the time in which every VM must know what a part of a prompt
	// has done, and crashesBefore the number of crashes after which it counts.
	newsBound     = 3 * time.Second
	crashesBefore = 5
	// sendsAfter is the number of requests that may reach engines from then on.
	sendsAfter = 3
)

// TestPromptThatCrashesEnginesIsQuarantined sends requests to three VMs in turn: one
// part of their prompts crashes every engine, its other parts are sound.
func TestPromptThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	r := startCrashRig(t, 3, 4)
	for i := range crashesBefore {
		r.send(i%3, fmt.Sprint("bad", i), "common", "bad")
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(newsBound)
	before := r.crashes.Load()
	sound := 0
	const requests = 24
	for i := range requests {
		r.send(i%3, fmt.Sprint("late", i), "common", "bad")
		if r.send(i%3, fmt.Sprint("sound", i), "common", fmt.Sprint("side", i%4)) == http.StatusOK {
			sound++
		}
	}
	if reached := r.crashes.Load() - before; reached > sendsAfter {
		t.Errorf("%d requests reached engines later than %v after %d crashes, want at most %d", reached, newsBound, crashesBefore, sendsAfter)
	}
	if sound < requests {
		t.Errorf("%d of %d sound requests with the same key and first part were served, want all", sound, requests)
	}
}

// TestGenerationThatCrashesEnginesIsQuarantined sends prompts to two VMs in turn that
// begin with the same text. Each engine crashes at its first token.
func TestGenerationThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	// An engine that has crashed is forgotten soon.
	const lease = 500 * time.Millisecond
	first := startEntry(t, "vm0", func(s *conf.Settings) { s.Limits.BackendLease = strict.Duration(lease) })
	second := startEntry(t, "vm1", func(s *conf.Settings) {
		s.Limits.BackendLease = strict.Duration(lease)
		s.Peers = append(s.Peers, first.Addrs().Peers)
	})
	vms := []*app.App{first, second}
	for _, a := range vms {
		waitFor(t, "the VMs to know each other", func() bool { return len(a.Node.Peers()) == 1 })
	}
	var engines []*host.Engine
	crashes := 0
	// replaceCrashed counts the engines that have crashed and starts others.
	replaceCrashed := func() {
		engines = slices.DeleteFunc(engines, (*host.Engine).Closed)
		for len(engines) < 5 {
			crashes++
			engines = append(engines, startEngineWith(t, host.Config{ID: fmt.Sprint("e", crashes), CrashPrompt: "bad"}, vms...))
		}
	}
	replaceCrashed()
	crashes = 0
	generate := func(vm int, start string) bool {
		prompt := fmt.Sprintf("%-300s %d [len=5]", start, time.Now().UnixNano())
		r := readAnswer(callerRequest{class: "summary", body: fmt.Sprintf(`{"model":"advice-7b","prompt":%q,"stream":true}`, prompt)}.send(t, vms[vm]), nil)
		before := crashes
		if replaceCrashed(); crashes > before {
			time.Sleep(3 * lease)
		}
		return r.summary != nil && r.summary.Outcome == "done"
	}
	for i := 0; crashes < crashesBefore; i++ {
		before := crashes
		if generate(i%2, "bad"); crashes == before {
			break // The prompt is held already.
		}
	}
	time.Sleep(newsBound)
	before := crashes
	for i := range 4 {
		generate(i%2, "bad")
		if !generate(i%2, "good") {
			t.Error("a sound generation was not served")
		}
	}
	if n := crashes - before; n > sendsAfter {
		t.Errorf("%d engines crashed later than %v after %d crashes, want at most %d", n, newsBound, crashesBefore, sendsAfter)
	}
}
