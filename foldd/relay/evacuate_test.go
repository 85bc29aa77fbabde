package relay_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/origin"
)

// backendIn is backend for a failure domain other than the VM's.
func (r *testVM) backendIn(domain, id, service string, behave func(r *http.Request) origin.Behaviour) *origin.Server {
	r.t.Helper()
	s, err := origin.New(id, behave)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(s.Close)
	r.node.ReceiveAnnouncement(member.Backend{ID: id, Addr: s.Addr(), Kind: spec.KindPlain, Service: service, Domain: domain, Epoch: 1, Seq: 1})
	return s
}

func evacuated(domains ...string) evac.Set {
	var s evac.Set
	for _, d := range domains {
		s = s.Add(d, time.Unix(1, 0))
	}
	return s
}

// TestNoRequestReachesEvacuatedServers guards against forwards of any kind, with their retries,
// at evacuated servers, and against runs in progress there that end. With all domains
// evacuated, requests are rejected at once as not run, with a time to come back.
func TestNoRequestReachesEvacuatedServers(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	stream := respondWith(origin.Behaviour{Events: 20, Hold: release, HoldAt: 5})
	engine := r.backend("engine", "models", stream)
	running := make(chan string, 1)
	go func() {
		_, body, _ := r.sendAndRead(http.MethodPost, "/draft/x", "running", "prompt")
		running <- body
	}()
	waitFor(t, "the stream to run", func() bool { return engine.EventsSent("running") >= 5 })
	failing := respondWith(origin.Behaviour{Status: http.StatusInternalServerError})
	near := r.backend("near", "app", failing)
	far := r.backendIn("b", "far", "app", failing)
	farEngine := r.backendIn("b", "far-engine", "models", respondWith(origin.Behaviour{Events: 3}))
	r.node.ApplyEvacuations(evacuated("a"), "")
	for _, path := range []string{"/read/x", "/write/x", "/draft/x"} {
		for _, n := range []string{"1", "2", "3", "4"} {
			id := path + n
			if _, _, err := r.sendAndRead(http.MethodPost, path, id, "body"); err != nil {
				t.Errorf("%s: %v", path, err)
			}
			if near.LastRequest(id) != nil || engine.LastRequest(id) != nil {
				t.Errorf("request %s reached an evacuated server", id)
			}
			if far.LastRequest(id) == nil && farEngine.LastRequest(id) == nil {
				t.Errorf("request %s reached no server", id)
			}
		}
	}
	r.node.ApplyEvacuations(evacuated("a", "b"), "")
	for _, path := range []string{"/read/x", "/write/x", "/draft/x"} {
		res, err := r.send(http.MethodPost, path, "left", "body")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Fold-Outcome") != "notRun" || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s without a server: status %d, %v; want 503, not run, with Retry-After", path, res.StatusCode, res.Header)
		}
	}
	close(release)
	if body := <-running; strings.Count(body, "id: ") != 20 {
		t.Errorf("the run in progress has sent %d events, want 20", strings.Count(body, "id: "))
	}
	if n := engine.RunCount("running"); n != 1 {
		t.Errorf("the run in progress ran %d times", n)
	}
}

// TestCopyTargetIsEvacuated guards against a run that is copied, or stopped and copied, to a
// server whose domain was evacuated after the server was chosen: it moves to another one, and
// the caller gets every event once.
func TestCopyTargetIsEvacuated(t *testing.T) {
	for _, when := range []string{"during the first copy", "before the first copy"} {
		t.Run(when, func(t *testing.T) {
			r := startVM(t)
			release := make(chan struct{})
			behave := respondWith(origin.Behaviour{Events: 40, Hold: release, HoldAt: 5})
			source := r.backend("source", "models", behave)
			done := make(chan string, 1)
			go func() {
				_, body, _ := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
				done <- body
			}()
			waitFor(t, "the stream to run", func() bool { return source.EventsSent("1") >= 5 })
			first := r.backendIn("b", "first", "models", behave)
			second := r.backendIn("c", "second", "models", behave)
			mover := newMover(source, first, second)
			inner := mover.Copy
			var freed []string
			mover.Free = func(_ context.Context, _ netip.AddrPort, handle string) (relay.Reply, error) {
				freed = append(freed, handle)
				return relay.Reply{}, nil
			}
			domain := map[netip.AddrPort]string{first.Addr(): "b", second.Addr(): "c"}
			var order, target string
			mover.Copy = func(ctx context.Context, from netip.AddrPort, id string, to netip.AddrPort, stop bool) (string, relay.Reply, error) {
				if order == "" {
					order = domain[to]
					r.node.ApplyEvacuations(evacuated(order), "")
					if when == "before the first copy" {
						// As for an engine that still reads the prompt: the copy is tried again.
						return "", relay.Reply{}, relay.ErrNoRoom
					}
				} else if domain[to] == order {
					t.Errorf("copy to the evacuated domain, stop %t", stop)
				}
				target = domain[to]
				return inner(ctx, from, id, to, stop)
			}
			r.relay.Mover = mover
			r.announce(source, "models", true)
			waitFor(t, "the stream to move", func() bool { return first.Running("1") || second.Running("1") })
			close(release)
			if body := <-done; strings.Count(body, "id: ") != 40 {
				t.Errorf("%d events, want 40", strings.Count(body, "id: "))
			}
			if target == order {
				t.Errorf("the run moved to the evacuated domain %s", target)
			}
			if when == "during the first copy" && len(freed) != 1 {
				t.Errorf("freed the copies %v, want that at the evacuated server", freed)
			}
		})
	}
}

// TestRunStaysOutOfEvacuatedDomain guards against runs that return to their VM's own domain
// while that is evacuated.
func TestRunStaysOutOfEvacuatedDomain(t *testing.T) {
	r := startVM(t)
	far := r.backendIn("b", "far", "models", respondWith(origin.Behaviour{Events: 500, Gap: 5 * time.Millisecond}))
	near := r.backend("near", "models", respondWith(origin.Behaviour{Events: 3}))
	r.relay.Mover = newMover(far, near)
	r.node.ApplyEvacuations(evacuated("a"), "")
	_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt", "Fold-Prompt-Tokens", "100", "Fold-Max-Tokens", "20000")
	if err != nil || strings.Count(body, "id: ") != 500 || near.LastRequest("1") != nil {
		t.Errorf("error %v, %d events, request at the evacuated server: %t", err, strings.Count(body, "id: "), near.LastRequest("1") != nil)
	}
}
