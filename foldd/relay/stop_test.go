package relay_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/origin"
)

// lateStop is a move whose order to stop the run reaches the source late, or never.
type lateStop struct {
	// arrives is closed when the order reaches the source. The source then carries it out, whether
	// or not its reply is still awaited.
	arrives chan struct{}
	// given is closed when the order has been sent.
	given chan struct{}
}

// mover returns a mover between two engines whose order to stop a run is held up.
func (l *lateStop) mover(engines ...*origin.Server) *relay.Mover {
	inner := newMover(engines...)
	type result struct {
		handle string
		err    error
	}
	return &relay.Mover{
		Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, relay.Reply, error) {
			if !stop {
				return inner.Copy(ctx, source, id, target, false)
			}
			replies := make(chan result, 1)
			go func() {
				<-l.arrives
				handle, _, err := inner.Copy(context.Background(), source, id, target, true)
				replies <- result{handle, err}
			}()
			close(l.given)
			select {
			case r := <-replies:
				return r.handle, relay.Reply{}, r.err
			case <-ctx.Done():
				return "", relay.Reply{}, ctx.Err()
			}
		},
		Free: inner.Free,
	}
}

// TestStreamGoesOnAfterLateStop guards against a stream that is lost because the order to stop its
// run for a move is held up: the run stops when the order arrives, and only the reply to the order
// has the handle by which it goes on at the other engine.
func TestStreamGoesOnAfterLateStop(t *testing.T) {
	r, a, b, result := startHeldStream(t, origin.Behaviour{}, origin.Behaviour{Events: streamEvents, CloseDelimited: true})
	l := &lateStop{arrives: make(chan struct{}), given: make(chan struct{})}
	r.relay.Mover = l.mover(a, b)
	r.announce(a, "models", true)
	<-l.given
	// Longer than any bound on a move's steps.
	time.Sleep(3500 * time.Millisecond)
	close(l.arrives)
	res := <-result
	if res.err != nil || res.body != allEvents() {
		t.Errorf("error %v, %d bytes of events; want none, %d", res.err, len(res.body), len(allEvents()))
	}
	if seen := b.LastRequest("1"); seen == nil || !strings.HasSuffix(seen.Header.Get("Fold-Resume"), "/last") {
		t.Errorf("the run was not resumed at the other engine; last request there: %+v", seen)
	}
}

// TestCallerDoesNotWaitForStop guards against a caller whose request has timed out and who is held
// until the order to stop its run for a move has a reply.
func TestCallerDoesNotWaitForStop(t *testing.T) {
	const deadline, slack = 700 * time.Millisecond, 500 * time.Millisecond
	r := startVM(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5}))
	l := &lateStop{arrives: make(chan struct{}), given: make(chan struct{})}
	t.Cleanup(func() { close(l.arrives) })
	ended := make(chan time.Duration)
	go func() {
		begun := time.Now()
		_, _, _ = r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt", "Fold-Deadline-Ms", "700")
		ended <- time.Since(begun)
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	b := r.backend("b", "models", respondWith(origin.Behaviour{}))
	r.relay.Mover = l.mover(a, b)
	r.announce(a, "models", true)
	<-l.given
	if took := <-ended; took > deadline+slack {
		t.Errorf("caller held for %v, want at most %v", took, deadline+slack)
	}
}

// TestStreamEndsBesideFailedStop guards against a stream that ends by itself, and counts as broken
// off because the order to stop its run has no reply yet, or had none.
func TestStreamEndsBesideFailedStop(t *testing.T) {
	tests := []struct {
		name string
		// closeDelimited selects a stream without framing.
		closeDelimited bool
		// stop gives the order; ended is closed once the run has ended.
		stop func(ctx context.Context, ended <-chan struct{}) error
	}{
		{"with framing, reply lost", false, func(context.Context, <-chan struct{}) error { return errors.New("injected loss of the reply") }},
		{"without framing, order arrives after the end", true, func(ctx context.Context, ended <-chan struct{}) error {
			<-ended
			time.Sleep(200 * time.Millisecond)
			return relay.ErrRunNotFound
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startVM(t)
			release, ended, given := make(chan struct{}), make(chan struct{}), make(chan struct{})
			a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5, CloseDelimited: tt.closeDelimited}))
			results := make(chan streamResult, 1)
			go func() {
				_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
				results <- streamResult{body, err}
			}()
			waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
			b := r.backend("b", "models", respondWith(origin.Behaviour{}))
			inner := newMover(a, b)
			r.relay.Mover = &relay.Mover{
				Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, relay.Reply, error) {
					if !stop {
						return inner.Copy(ctx, source, id, target, false)
					}
					close(given)
					return "", relay.Reply{}, tt.stop(ctx, ended)
				},
				Free: inner.Free,
			}
			r.announce(a, "models", true)
			<-given
			close(release)
			waitFor(t, "the run to end", func() bool { return !a.Running("1") })
			close(ended)
			if res := <-results; res.err != nil || res.body != allEvents() {
				t.Errorf("error %v, body %q", res.err, res.body)
			}
		})
	}
}
