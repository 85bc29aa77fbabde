package app_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/origin"
)

// TestCallThatRanIsNotReportedNotRun guards against a call that a server has begun, and
// that is reported as not run because no other server is left for a retry.
func TestCallThatRanIsNotReportedNotRun(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "vm0", nil)
	var crashes atomic.Int64
	s, _ := newCrashingService(&crashes)
	t.Cleanup(s.Close)
	a.Node.ReceiveAnnouncement(member.Backend{ID: "s1", Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
	res := callerRequest{method: http.MethodGet, path: "/lookup?bad"}.send(t, a)
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	if outcome := res.Header.Get("Fold-Outcome"); crashes.Load() != 1 || outcome != "unknown" {
		t.Errorf("status %d, outcome %q after %d runs, want the outcome unknown after one", res.StatusCode, outcome, crashes.Load())
	}
}

// TestFalsePromiseThroughOtherVM guards against callers of a VM that can't reach a server, who are
// told by the server's own status that their request has not run.
func TestFalsePromiseThroughOtherVM(t *testing.T) {
	t.Parallel()
	rig := newCutOffRig(t, func(*http.Request) origin.Behaviour {
		return origin.Behaviour{Status: http.StatusServiceUnavailable, Body: "failed"}
	})
	for _, kind := range []string{spec.ForwardIdempotent, spec.ForwardNonIdempotent, spec.ForwardStream, "resumable"} {
		res, body, err := rig.call(t.Context(), t, kind, kind)
		if err != nil {
			t.Fatal(err)
		}
		if outcome := res.Header.Get("Fold-Outcome"); res.StatusCode != http.StatusBadGateway || outcome != "unknown" || rig.server.RunCount(kind) != 1 {
			t.Errorf("%s: status %d, outcome %q, body %q after %d runs; want 502, unknown, one", kind, res.StatusCode, outcome, body, rig.server.RunCount(kind))
		}
	}
}

// TestStatusOfOwnCallIsNoPromise guards against a call of the own interface that is reported as not
// run, or that is sent to a second server, because of the status of a server that has run it. What
// has run is stated in Fold-Outcome there, so the status itself is passed on.
func TestStatusOfOwnCallIsNoPromise(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		a := startEntry(t, "vm0", nil)
		var runs atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			w.WriteHeader(status)
		}))
		t.Cleanup(s.Close)
		a.Node.ReceiveAnnouncement(member.Backend{ID: "s1", Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
		res := callerRequest{method: http.MethodGet, path: "/lookup"}.send(t, a)
		if outcome := res.Header.Get("Fold-Outcome"); res.StatusCode != status || outcome != "done" || runs.Load() != 1 {
			t.Errorf("status %d, outcome %q after %d runs; want %d, done, one", res.StatusCode, outcome, runs.Load(), status)
		}
	}
}

// TestRefusedCallIsNotReportedDone guards against a call that a server says it did not begin, and that
// is reported, or kept under its key, as done because of the status beside that.
func TestRefusedCallIsNotReportedDone(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		a := startEntry(t, "vm0", nil)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Fold-Not-Run", "1")
			w.WriteHeader(status)
		}))
		t.Cleanup(s.Close)
		a.Node.ReceiveAnnouncement(member.Backend{ID: "s1", Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
		res := callerRequest{method: http.MethodGet, path: "/lookup"}.send(t, a)
		if outcome := res.Header.Get("Fold-Outcome"); res.StatusCode != http.StatusServiceUnavailable || outcome != "notRun" {
			t.Errorf("refused with %d: status %d, outcome %q; want 503, notRun", status, res.StatusCode, outcome)
		}
	}
}
