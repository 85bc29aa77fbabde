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
	"fuchsiafold.example/netio/pool"
)

// lateStop is a move whose order to stop the run reaches the source late, or never.
type lateStop struct {
	// arrives is closed when the order reaches the source. The source then carries it out, whether
	// or not its reply is still awaited.
	arrives chan struct{}
	// given is closed when the order has been sent, and givenUp when its reply is not awaited any
	// more.
	given, givenUp chan struct{}
}

func newLateStop() *lateStop {
	return &lateStop{arrives: make(chan struct{}), given: make(chan struct{}), givenUp: make(chan struct{})}
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
				close(l.givenUp)
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
	r, a, b, result := startHeldStream(t, origin.Behaviour{CloseDelimited: true}, origin.Behaviour{Events: streamEvents, CloseDelimited: true})
	l := newLateStop()
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
// until the order to stop its run for a move has a reply, or is given up.
func TestCallerDoesNotWaitForStop(t *testing.T) {
	r := startVM(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5}))
	l := newLateStop()
	t.Cleanup(func() { close(l.arrives) })
	ended := make(chan struct{})
	go func() {
		_, _, _ = r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt", "Fold-Deadline-Ms", "700")
		close(ended)
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	b := r.backend("b", "models", respondWith(origin.Behaviour{}))
	r.relay.Mover = l.mover(a, b)
	r.announce(a, "models", true)
	<-l.given
	select {
	case <-ended:
	case <-l.givenUp:
		t.Error("caller held until the order was given up")
	}
}

// TestStreamOfSilentServerDoesNotWaitForStop guards against a resumable stream that goes on at
// another server only when the order to stop its run is given up, though its server, which can't be
// reached any more, will not reply.
func TestStreamOfSilentServerDoesNotWaitForStop(t *testing.T) {
	// maxWait is less than the time for which the reply is awaited after the end of a stream.
	const maxWait = 2 * time.Second
	r := startVM(t)
	r.node.ProbeServer = r.relay.ProbeServer
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	a := r.backend("a", "models", respondWith(origin.Behaviour{Events: streamEvents, Hold: release, HoldAt: 5, Unreachable: true}))
	l := newLateStop()
	t.Cleanup(func() { close(l.arrives) })
	results := make(chan streamResult, 1)
	go func() {
		_, body, err := r.sendAndRead(http.MethodPost, "/short/x", "1", "prompt")
		results <- streamResult{body, err}
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	b := r.backend("b", "models", respondWith(origin.Behaviour{Events: streamEvents}))
	r.relay.Mover = l.mover(a, b)
	r.announce(a, "models", true)
	waitFor(t, "the server to be found unreachable", func() bool { return r.node.Unreachable("a") })
	select {
	case <-l.givenUp:
	case <-time.After(maxWait):
		t.Errorf("the reply is still awaited %v after the server was found unreachable", maxWait)
	}
	if res := <-results; res.err != nil || res.body != allEvents() {
		t.Errorf("error %v, body %q", res.err, res.body)
	}
}

// TestStreamEndsBesideFailedStop guards against a stream that ends by itself, and counts as broken
// off because the order to stop its run has no reply yet, or had none some time before.
func TestStreamEndsBesideFailedStop(t *testing.T) {
	tests := []struct {
		name string
		// closeDelimited selects a stream without framing.
		closeDelimited bool
		// stop gives the order; ended is closed once the run has ended.
		stop func(ctx context.Context, ended <-chan struct{}) error
	}{
		{"with framing, reply lost long before", false, func(context.Context, <-chan struct{}) error { return errors.New("injected loss of the reply") }},
		{"without framing, order not sent", true, func(context.Context, <-chan struct{}) error {
			return &pool.Error{Err: errors.New("injected refusal of the connection")}
		}},
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
			// Longer than events that were made before the order may be under way.
			time.Sleep(500 * time.Millisecond)
			close(release)
			waitFor(t, "the run to end", func() bool { return !a.Running("1") })
			close(ended)
			if res := <-results; res.err != nil || res.body != allEvents() {
				t.Errorf("error %v, body %q", res.err, res.body)
			}
		})
	}
}
