package app_test

import (
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
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
