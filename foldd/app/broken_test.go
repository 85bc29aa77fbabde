package app_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/origin"
)

// brokenResponses are responses that are none in HTTP, or that end before they are complete, to
// the request with the ID %s.
var brokenResponses = map[string]origin.Behaviour{
	"status 000":           {Raw: "HTTP/1.1 000 OK\r\nFold-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody"},
	"status 000, empty":    {Raw: "HTTP/1.1 000 OK\r\nFold-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"},
	"blank in a name":      {Raw: "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nX-Bad Name: 1\r\nContent-Length: 4\r\n\r\nbody"},
	"control byte":         {Raw: "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nX-\x02Bad: 1\r\nContent-Length: 4\r\n\r\nbody"},
	"blank in a refusal":   {Raw: "HTTP/1.1 503 Service Unavailable\r\nFold-Request-Id: %s\r\nFold-Not-Run: 1\r\nX-Bad Name: 1\r\nContent-Length: 0\r\n\r\n"},
	"blank after a length": {Raw: "HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nContent-Length : 4\r\n\r\nbody and more", Drop: true},
	"reset":                {Body: "a whole body", TruncateAt: 4, CloseDelimited: true, ResetEarly: true, ResetAfter: time.Millisecond},
	"reset, body unread":   {Body: "a whole body", TruncateAt: 4, CloseDelimited: true, ResetEarly: true, ResetAfter: time.Millisecond, StopReading: true},
}

// largeUpload is the size in bytes of a body that is not written at once.
const largeUpload = 12 << 20

// respondBroken returns a handler that sends a broken response.
func respondBroken(b origin.Behaviour) func(*http.Request) origin.Behaviour {
	return func(r *http.Request) origin.Behaviour {
		answer := b
		answer.Raw = strings.ReplaceAll(b.Raw, "%s", r.Header.Get("Fold-Request-Id"))
		return answer
	}
}

// startBroken starts a stand-in server of the plain service that sends broken responses, and
// announces it to a VM.
func startBroken(t *testing.T, a *app.App, b origin.Behaviour) *origin.Server {
	t.Helper()
	s, err := origin.New("broken", respondBroken(b))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	a.Node.ReceiveAnnouncement(member.Backend{ID: s.ID, Addr: s.Addr(), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
	return s
}

// allowLargeUploads changes settings for requests with bodies of largeUpload bytes. Servers that
// are announced once are known until the end of a test, however long such requests take.
func allowLargeUploads(s *conf.Settings) {
	s.Limits.MaxBody, s.Limits.BodyMemory = largeUpload, 8*largeUpload
	s.Limits.BackendLease = strict.Duration(time.Hour)
}

// TestBrokenResponseIsNoAnswerToOwnCall guards against callers of the own interface that get a
// broken response as a whole one, or are told that a call did not run that may have run.
func TestBrokenResponseIsNoAnswerToOwnCall(t *testing.T) {
	for name, b := range brokenResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", func(s *conf.Settings) {
				s.Control = &conf.Control{DataFolder: t.TempDir(), Bootstrap: true}
				allowLargeUploads(s)
			})
			waitFor(t, "the control replica to become leader", func() bool { return counter(a, "control.leaderChanges") > 0 })
			s := startBroken(t, a, b)
			for i := range 3 {
				r := atMostOnceRequest(fmt.Sprint(i))
				r.body = strings.Repeat("u", largeUpload)
				res := r.send(t, a)
				if res.StatusCode == http.StatusOK {
					body, _ := io.ReadAll(res.Body)
					t.Errorf("status 200, %q", body)
				} else if _, outcome := readError(t, res); outcome == "notRun" {
					t.Errorf("status %d, outcome notRun; the server began the call", res.StatusCode)
				}
			}
			if runs := s.RunCount(""); runs != 3 {
				t.Errorf("three calls ran %d times, want once each", runs)
			}
		})
	}
}

// TestOwnCallOfCrashedServerIsNotComplete guards against a part of a response that has neither a
// length nor chunks, and whose server's process has ended: the kernel closes its connections.
func TestOwnCallOfCrashedServerIsNotComplete(t *testing.T) {
	t.Parallel()
	for cut := range 4 {
		for attempt := 1; !crashesDuringOwnCall(t, 1+3*cut); attempt++ {
			if attempt == maxLateCrashes {
				t.Fatalf("the stand-in server took over %v to crash %d times", maxLinger, attempt)
			}
		}
	}
}

const (
	// maxLinger is the time within which the server of crashesDuringOwnCall has to end after
	// the connection was closed. A VM takes a server that is there for 20 ms for one that has
	// not crashed.
	maxLinger = 10 * time.Millisecond
	// maxLateCrashes bounds the plays with a server that took longer.
	maxLateCrashes = 20
)

// crashesDuringOwnCall sends a call to a server that crashes after cut bytes of its response, and
// checks that the caller gets an error. It returns false, without a result, if the server took
// longer than maxLinger to end.
func crashesDuringOwnCall(t *testing.T, cut int) bool {
	t.Helper()
	a := startControlVM(t, "a1")
	s := startBroken(t, a, origin.Behaviour{Body: "a whole body", TruncateAt: cut, CrashTruncated: true, CloseDelimited: true})
	res := atMostOnceRequest("1").send(t, a)
	waitFor(t, "the server to end", func() bool { return s.Lingered() > 0 })
	if res.StatusCode == http.StatusOK && s.Lingered() > maxLinger {
		return false
	}
	if res.StatusCode == http.StatusOK || s.RunCount("") != 1 {
		body, err := io.ReadAll(res.Body)
		t.Errorf("cut after %d bytes: status %d, body %q, error %v, %d runs; want an error response, one run", cut, res.StatusCode, body, err, s.RunCount(""))
	}
	return true
}

// TestUnframedResponseToOwnCallIsComplete is the case beside it in which the server is still
// there.
func TestUnframedResponseToOwnCallIsComplete(t *testing.T) {
	t.Parallel()
	a := startControlVM(t, "a1")
	startBroken(t, a, origin.Behaviour{Body: "a whole body", CloseDelimited: true})
	for i := range 3 {
		res := atMostOnceRequest(fmt.Sprint(i)).send(t, a)
		if body, err := io.ReadAll(res.Body); res.StatusCode != http.StatusOK || string(body) != "a whole body" || err != nil {
			t.Errorf("status %d, body %q, error %v", res.StatusCode, body, err)
		}
	}
}

// TestOwnCallIsRetriedAfterBrokenResponse checks that an idempotent call is sent to another
// server after a broken response.
func TestOwnCallIsRetriedAfterBrokenResponse(t *testing.T) {
	for name, b := range brokenResponses {
		if b.ResetEarly {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startEntry(t, "a1", nil)
			broken := startBroken(t, a, b)
			startService(t, "s2", a)
			for broken.RunCount("") < 2 {
				res := callerRequest{method: "GET", path: "/lookup"}.send(t, a)
				if body, err := io.ReadAll(res.Body); res.StatusCode != http.StatusOK || err != nil || !strings.Contains(string(body), `"path":"/lookup"`) {
					t.Fatalf("status %d, body %q, error %v; want the answer of the other server", res.StatusCode, body, err)
				}
			}
		})
	}
}

// TestBrokenResponseThroughOtherVM guards against broken responses that reach callers of a VM
// that passes their requests on to another VM, since it can't reach the servers.
func TestBrokenResponseThroughOtherVM(t *testing.T) {
	for name, b := range brokenResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := newCutOffRigWith(t, respondBroken(b), allowLargeUploads)
			for _, kind := range []string{spec.ForwardIdempotent, spec.ForwardNonIdempotent, spec.ForwardStream} {
				res, body, err := rig.callWith(context.Background(), t, kind, kind, strings.Repeat("u", largeUpload))
				if err == nil && res.StatusCode != http.StatusBadGateway {
					t.Errorf("%s: status %d, body %q; want 502 or a broken stream", kind, res.StatusCode, body)
				}
				if runs := rig.server.RunCount(kind); runs != 1 {
					t.Errorf("%s: ran %d times, want once", kind, runs)
				}
			}
		})
	}
}

// TestEarlyResponseThroughOtherVM guards sound servers: callers of a VM that passes their requests
// on, and of the own interface, get a response that its server sends, with neither a length nor
// chunks, before it has read a long request.
func TestEarlyResponseThroughOtherVM(t *testing.T) {
	b := origin.Behaviour{Body: origin.Event(1), CloseDelimited: true, RespondEarly: true, HalfClose: true}
	rig := newCutOffRigWith(t, respondBroken(b), allowLargeUploads)
	for _, kind := range []string{spec.ForwardIdempotent, spec.ForwardNonIdempotent, spec.ForwardStream} {
		res, body, err := rig.callWith(context.Background(), t, kind, kind, strings.Repeat("u", largeUpload))
		if err != nil || res.StatusCode != http.StatusOK || body != b.Body {
			t.Errorf("%s: %v, body %q, error %v; want the whole response", kind, res, body, err)
		}
	}
}

// TestEarlyResponseToOwnCall is the case of a call of the own interface.
func TestEarlyResponseToOwnCall(t *testing.T) {
	a := startEntry(t, "a1", func(s *conf.Settings) {
		s.Control = &conf.Control{DataFolder: t.TempDir(), Bootstrap: true}
		allowLargeUploads(s)
	})
	waitFor(t, "the control replica to become leader", func() bool { return counter(a, "control.leaderChanges") > 0 })
	startBroken(t, a, origin.Behaviour{Body: "a whole body", CloseDelimited: true, RespondEarly: true, HalfClose: true})
	r := atMostOnceRequest("1")
	r.body = strings.Repeat("u", largeUpload)
	res := r.send(t, a)
	if body, err := io.ReadAll(res.Body); res.StatusCode != http.StatusOK || string(body) != "a whole body" || err != nil {
		t.Errorf("status %d, body %q, error %v", res.StatusCode, body, err)
	}
}

// TestFailedOwnCallIsLogged checks that a line names the caller's request, its key, and what the
// server did.
func TestFailedOwnCallIsLogged(t *testing.T) {
	a := startControlVM(t, "a1")
	lines := test.NewLocal(a.Node.Log)
	startBroken(t, a, brokenResponses["blank in a name"])
	r := atMostOnceRequest("k1")
	r.header["Fold-Request-Id"] = "r1"
	r.send(t, a)
	for _, line := range lines.AllEntries() {
		err, _ := line.Data[logrus.ErrorKey].(error)
		if line.Message == "attempt at a backend server failed" && line.Data["request"] == "r1" && line.Data["key"] == "k1" && strings.Contains(fmt.Sprint(err), `malformed response: invalid name of a header field: "X-Bad Name"`) {
			return
		}
	}
	t.Error("no line names the request, its key and the malformed response")
}

// TestUnframedReplyOfOtherVMIsNotComplete guards against a response that ends with its connection
// and is taken for one of the VM that a request was passed to: a VM sends none, but a server that
// has got its address may.
func TestUnframedReplyOfOtherVMIsNotComplete(t *testing.T) {
	for _, kind := range []string{spec.ForwardIdempotent, spec.ForwardNonIdempotent, spec.ForwardStream} {
		t.Run(kind, func(t *testing.T) {
			rig := newCutOffRig(t, respondBroken(origin.Behaviour{}))
			addr := rig.other.Addrs().Peers
			rig.other.Close()
			l, err := net.Listen("tcp", addr.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			go answerForwards(l, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+origin.Event(1))
			res, body, err := rig.call(context.Background(), t, kind, kind)
			if err == nil && res.StatusCode == http.StatusOK {
				t.Errorf("status 200, body %q", body)
			}
		})
	}
}

// answerForwards answers each forwarded request with the given bytes, and closes its connection
// and all others.
func answerForwards(l net.Listener, response string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Host == "h.example" {
				_, _ = io.WriteString(c, response)
			}
		}()
	}
}
