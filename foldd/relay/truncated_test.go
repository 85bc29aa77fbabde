package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldfake/origin"
)

const streamEvents = 20

// allEvents returns the body of a complete stream of streamEvents events.
func allEvents() string {
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(origin.Event(i + 1))
	}
	return b.String()
}

// checkTruncated checks that a caller can tell that its stream broke off, and that
// it got whole events only.
func checkTruncated(t *testing.T, body string, err error) {
	t.Helper()
	if err == nil {
		t.Error("broken stream ended as a complete one")
	}
	if !strings.HasPrefix(allEvents(), body) || body != "" && !strings.HasSuffix(body, "\n\n") {
		t.Errorf("caller got %q, want whole events only", body)
	}
}

// TestBrokenStreamIsNotComplete lets engines break streams off in every framing.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	tests := []struct {
		name      string
		behaviour origin.Behaviour
	}{
		{"chunked, within an event", origin.Behaviour{TruncateAt: 8}},
		{"chunked with a final chunk, within an event", origin.Behaviour{TruncateAt: 8, CleanEnd: true}},
		{"close-delimited, within an event", origin.Behaviour{TruncateAt: 8, CloseDelimited: true}},
		{"close-delimited, within the first event", origin.Behaviour{TruncateAt: 1, CloseDelimited: true}},
		{"close-delimited, within the last event", origin.Behaviour{TruncateAt: streamEvents, CloseDelimited: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startVM(t)
			tt.behaviour.Events = streamEvents
			e := r.backend("e", "models", respondWith(tt.behaviour))
			_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
			checkTruncated(t, body, err)
			if e.RunCount("1") != 1 {
				t.Errorf("stream ran %d times, want 1", e.RunCount("1"))
			}
		})
	}
}

// TestEmptyStreamIsNotComplete lets an engine close its connection after the
// header of a close-delimited stream.
func TestEmptyStreamIsNotComplete(t *testing.T) {
	r := startVM(t)
	r.backend("e", "models", respondWith(origin.Behaviour{CloseDelimited: true}))
	_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
	checkTruncated(t, body, err)
}

// TestCloseDelimitedStreamIsComplete checks that a stream without framing that ends
// after a whole event is passed on as complete.
func TestCloseDelimitedStreamIsComplete(t *testing.T) {
	r := startVM(t)
	r.backend("e", "models", respondWith(origin.Behaviour{Events: streamEvents, CloseDelimited: true}))
	if _, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt"); err != nil || body != allEvents() {
		t.Errorf("error %v, body %q", err, body)
	}
}

// TestStreamOfCrashedEngineIsNotComplete lets an engine crash between two events of a
// stream without framing.
func TestStreamOfCrashedEngineIsNotComplete(t *testing.T) {
	r := startVM(t)
	r.backend("e", "models", respondWith(origin.Behaviour{Events: streamEvents, CrashAfter: 8, CloseDelimited: true}))
	_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
	checkTruncated(t, body, err)
}

// TestPlainResponseOfCrashedServerIsNotComplete guards against a response with neither a length
// nor chunks that looks complete though its server's process ended halfway.
func TestPlainResponseOfCrashedServerIsNotComplete(t *testing.T) {
	for i, linger := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond} {
		for attempt := 1; !crashesHalfway(t, 1+4*i, linger); attempt++ {
			if attempt == maxLateCrashes {
				t.Fatalf("the stand-in server took over %v to crash %d times", maxLinger, attempt)
			}
		}
	}
}

// TestErrorOfCrashedEngineIsNotComplete is the same for a failure response to a stream, which is
// passed on as it comes.
func TestErrorOfCrashedEngineIsNotComplete(t *testing.T) {
	for attempt := 1; !crashesInError(t); attempt++ {
		if attempt == maxLateCrashes {
			t.Fatalf("the stand-in server took over %v to crash %d times", maxLinger, attempt)
		}
	}
}

// crashesInError is crashesHalfway for a stream that gets a failure response.
func crashesInError(t *testing.T) bool {
	t.Helper()
	r := startVM(t)
	crashing := r.backend("e1", "models", respondWith(origin.Behaviour{Status: http.StatusInternalServerError, Body: "whole answer", TruncateAt: 5, CrashTruncated: true, CloseDelimited: true}))
	_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "b")
	waitFor(t, "the server to end", func() bool { return crashing.Lingered() > 0 })
	if err == nil && crashing.Lingered() > maxLinger {
		return false
	}
	if err == nil {
		t.Errorf("body %q ended as a complete one", body)
	}
	return true
}

// TestCloseDelimitedErrorIsComplete is the case beside it in which the engine is still there.
func TestCloseDelimitedErrorIsComplete(t *testing.T) {
	r := startVM(t)
	r.backend("e1", "models", respondWith(origin.Behaviour{Status: http.StatusInternalServerError, Body: "whole answer", CloseDelimited: true}))
	if status, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "b"); status != http.StatusInternalServerError || body != "whole answer" || err != nil {
		t.Errorf("status %d, body %q, error %v", status, body, err)
	}
}

const (
	// maxLinger is the time within which the server of crashesHalfway has to end after the
	// connection was closed. A VM takes a server that is there for 20 ms for one that has not
	// crashed. On a busy machine a pause of 3 ms took up to 189 ms.
	maxLinger = 10 * time.Millisecond
	// maxLateCrashes bounds the plays with a server that took longer.
	maxLateCrashes = 20
)

// crashesHalfway sends a request to a server that crashes after cut bytes of its response, and
// checks that the caller gets an error. It returns false, without a result, if the server took
// longer than maxLinger to end.
func crashesHalfway(t *testing.T, cut int, linger time.Duration) bool {
	t.Helper()
	r := startVM(t)
	crashing := r.backend("s1", "app", respondWith(origin.Behaviour{Body: "whole answer", TruncateAt: cut, CrashTruncated: true, CrashLinger: linger, CloseDelimited: true}))
	status, body, _ := r.sendAndRead(http.MethodPost, "/write/x", "1", "b")
	waitFor(t, "the server to end", func() bool { return crashing.Lingered() > 0 })
	if status == http.StatusOK && crashing.Lingered() > maxLinger {
		return false
	}
	if status != http.StatusBadGateway || crashing.RunCount("1") != 1 {
		t.Errorf("cut after %d bytes: status %d, body %q, %d runs; want 502, one", cut, status, body, crashing.RunCount("1"))
	}
	return true
}

// TestCloseDelimitedPlainResponseIsComplete is the case beside
// TestPlainResponseOfCrashedServerIsNotComplete in which the server is still there.
func TestCloseDelimitedPlainResponseIsComplete(t *testing.T) {
	r := startVM(t)
	r.backend("s1", "app", respondWith(origin.Behaviour{Body: "whole answer", CloseDelimited: true}))
	for i := range 5 {
		if status, body, err := r.sendAndRead(http.MethodPost, "/write/x", fmt.Sprint(i), "b"); status != http.StatusOK || body != "whole answer" || err != nil {
			t.Errorf("status %d, body %q, error %v", status, body, err)
		}
	}
}

// TestResponseOfFullServerIsComplete guards against whole responses without framing that are cut
// off, or not believed, because their server has no room for another connection at that moment.
func TestResponseOfFullServerIsComplete(t *testing.T) {
	tests := []struct {
		name, path, service string
		behaviour           origin.Behaviour
		status              int
		body                string
	}{
		{"stream", "/draft/x", "models", origin.Behaviour{Events: streamEvents, CloseDelimited: true}, http.StatusOK, allEvents()},
		{"resumable stream", "/short/x", "models", origin.Behaviour{Events: streamEvents, CloseDelimited: true}, http.StatusOK, allEvents()},
		{"failure response to a stream", "/draft/x", "models", origin.Behaviour{Status: http.StatusInternalServerError, Body: "whole answer", CloseDelimited: true}, http.StatusInternalServerError, "whole answer"},
		{"request that may run once", "/write/x", "app", origin.Behaviour{Body: "whole answer", CloseDelimited: true}, http.StatusOK, "whole answer"},
		{"idempotent request", "/read/x", "app", origin.Behaviour{Body: "whole answer", CloseDelimited: true}, http.StatusOK, "whole answer"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startVM(t)
			var s *origin.Server
			s = r.backend("s1", tt.service, func(*http.Request) origin.Behaviour {
				s.SetFull(true)
				return tt.behaviour
			})
			for i := range 3 {
				s.SetFull(false)
				id := fmt.Sprint(i)
				status, body, err := r.sendAndRead(http.MethodPost, tt.path, id, "b")
				if status != tt.status || body != tt.body || err != nil || s.RunCount(id) != 1 {
					t.Errorf("status %d, body %q, error %v, %d runs; want %d, whole, one", status, body, err, s.RunCount(id), tt.status)
				}
			}
			if s.TurnedAway() != 6 {
				t.Errorf("%d connections beside those of three requests, want two for each", s.TurnedAway())
			}
			if r.failedAttempts() != 0 {
				t.Errorf("%d attempts count as failed", r.failedAttempts())
			}
		})
	}
}

// TestStreamNeedsChunks checks that a caller whose protocol has no chunks, and who
// so can't tell a broken stream, gets none.
func TestStreamNeedsChunks(t *testing.T) {
	r := startVM(t)
	e := r.backend("e", "models", respondWith(origin.Behaviour{Events: streamEvents, TruncateAt: 8}))
	_, reader := r.sendRaw("POST /draft/x HTTP/1.0\r\nHost: h.example\r\nFold-Request-Id: 1\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusHTTPVersionNotSupported || e.RunCount("1") != 0 {
		t.Errorf("status %d, %d runs; want 505, none", res.StatusCode, e.RunCount("1"))
	}
}

// startHeldStream starts a stream that is held after its fifth event at the engine
// a, which handles requests by atSource otherwise, and a second engine b that handles them
// by atTarget. Once a leaves, the stream's caller sends its body and error on the returned
// channel.
func startHeldStream(t *testing.T, atSource, atTarget origin.Behaviour) (r *testVM, a, b *origin.Server, result <-chan streamResult) {
	t.Helper()
	r = startVM(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	atSource.Events, atSource.Hold, atSource.HoldAt = streamEvents, release, 5
	a = r.backend("a", "models", respondWith(atSource))
	results := make(chan streamResult, 1)
	go func() {
		_, body, err := r.sendAndRead(http.MethodPost, "/draft/x", "1", "prompt")
		results <- streamResult{body, err}
	}()
	waitFor(t, "the stream to be held", func() bool { return a.EventsSent("1") == 5 })
	return r, a, r.backend("b", "models", respondWith(atTarget)), results
}

type streamResult struct {
	body string
	err  error
}

// TestBrokenResumedStreamIsNotComplete breaks a stream off after it was moved.
func TestBrokenResumedStreamIsNotComplete(t *testing.T) {
	r, a, b, result := startHeldStream(t, origin.Behaviour{CloseDelimited: true}, origin.Behaviour{Events: streamEvents, TruncateAt: 12, CloseDelimited: true})
	r.relay.Mover = newMover(a, b)
	r.announce(a, "models", true)
	res := <-result
	checkTruncated(t, res.body, res.err)
}

// TestStreamStoppedByFailedMoveIsNotComplete stops a run whose final copy then
// fails, so that its stream ends without an error.
func TestStreamStoppedByFailedMoveIsNotComplete(t *testing.T) {
	stopByFailedMove(t, origin.Behaviour{CloseDelimited: true}, false)
}

// TestStreamStoppedInGoodOrderIsNotComplete is the same for an engine that ends the stream of a
// stopped run with its final chunk.
func TestStreamStoppedInGoodOrderIsNotComplete(t *testing.T) {
	stopByFailedMove(t, origin.Behaviour{}, true)
}

// TestStoppedStreamWithEventUnderWayIsNotComplete guards against an event that was under way
// when the run was stopped and that is taken as proof that the run went on.
func TestStoppedStreamWithEventUnderWayIsNotComplete(t *testing.T) {
	stopByFailedMove(t, origin.Behaviour{CloseDelimited: true, LateEvents: 2, LateBy: 100 * time.Millisecond}, false)
}

// TestStreamStoppedLateIsNotComplete guards against an order to stop a run that is held up on its
// way and counts as lost once the run has gone on for a while: the stream of the run, which it
// stops when it arrives, then ended as a complete one.
func TestStreamStoppedLateIsNotComplete(t *testing.T) {
	stopByFailedMove(t, origin.Behaviour{CloseDelimited: true, LateEvents: 2, LateBy: 700 * time.Millisecond}, false)
}

// stopByFailedMove stops the run of a stream for a move whose answer is lost, and checks what
// its caller gets. With clean, the engine ends the response of the stopped run without an error.
func stopByFailedMove(t *testing.T, atSource origin.Behaviour, clean bool) {
	t.Helper()
	r, a, b, result := startHeldStream(t, atSource, origin.Behaviour{})
	a.CleanStop = clean
	inner := newMover(a, b)
	r.relay.Mover = &relay.Mover{
		Copy: func(ctx context.Context, source netip.AddrPort, id string, target netip.AddrPort, stop bool) (string, relay.Reply, error) {
			handle, reply, err := inner.Copy(ctx, source, id, target, stop)
			if stop {
				return "", relay.Reply{}, errors.New("injected loss of the response")
			}
			return handle, reply, err
		},
		Free: inner.Free,
	}
	r.announce(a, "models", true)
	res := <-result
	checkTruncated(t, res.body, res.err)
}

// TestFullServerIsReachable guards against a server that resets new connections for want of room,
// and that counts as cut off from this VM.
func TestFullServerIsReachable(t *testing.T) {
	for cause, reachable := range map[syscall.Errno]bool{syscall.ECONNRESET: true, syscall.ECONNREFUSED: false} {
		r := startVM(t)
		s := r.backend("s1", "app", respondWith(origin.Behaviour{}))
		r.relay.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", cause)}
		}
		for range 3 {
			r.relay.ProbeServer(member.Backend{ID: s.ID, Addr: s.Addr(), Service: "app"})
		}
		if r.node.Unreachable(s.ID) == reachable {
			t.Errorf("after %v the server counts as reachable: %t", cause, !reachable)
		}
	}
}
