package ctrl

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiafold.example/fold/repl"
)

// report returns what a VM tells operators.
func (vm *rigVM) report(t *testing.T) repl.GroupReport {
	t.Helper()
	r, err := vm.server.Report(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// member returns the report's member on a VM.
func member(t *testing.T, r repl.GroupReport, vm string) repl.MemberReport {
	t.Helper()
	for _, m := range r.Members {
		if m.VM == vm {
			return m
		}
	}
	t.Fatalf("report %+v has no member on %s", r, vm)
	return repl.MemberReport{}
}

// TestLeaderReportsMemberThatIsBehind guards against a member that lacks data while the leader
// shows a group that is whole, and against one that is shown as behind after it has caught up.
func TestLeaderReportsMemberThatIsBehind(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const founders, changes = 3, 10
		g := newGroupRig(t, founders)
		index := g.leader(t)
		leader, lost := g.vms[index], g.vms[(index+1)%founders]
		// Longer than a new leader takes to learn what the others have.
		time.Sleep(time.Second)
		r := leader.report(t)
		if !r.Leads || r.Leader != leader.addr.String() || r.Term == 0 || r.Voters != founders || r.Quorum != 2 || r.LossEndsGroup {
			t.Errorf("report of a whole group: %+v", r)
		}
		g.stop(lost)
		for i := range uint64(changes) {
			g.apply(t, 10+i)
		}
		time.Sleep(maxLag + time.Second)
		r = leader.report(t)
		if !r.LossEndsGroup {
			t.Errorf("report %+v, want that one more loss ends the group", r)
		}
		m := member(t, r, lost.addr.String())
		if !m.Voter || m.Contact != repl.Unreachable || m.SilenceMillis < maxLag.Milliseconds() {
			t.Errorf("member %+v, want a voter that has been unreachable for more than %v", m, maxLag)
		}
		if p := m.Progress; p == nil || p.State == "" || p.Entries < changes || p.Bytes == 0 || p.BehindMillis < maxLag.Milliseconds() {
			t.Errorf("progress %+v, want at least %d entries, for more than %v", m.Progress, changes, maxLag)
		}
		g.start(t, lost)
		time.Sleep(maxLag + time.Second)
		r = leader.report(t)
		m = member(t, r, lost.addr.String())
		if r.LossEndsGroup || m.Contact != repl.Reachable || m.Progress.Entries != 0 || m.Progress.BehindMillis != 0 {
			t.Errorf("after the VM has caught up: report %+v, member %+v", r, m)
		}
	})
}

// TestFollowerReportsNoProgress guards against figures of a replica that can't know them.
func TestFollowerReportsNoProgress(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const founders = 3
		g := newGroupRig(t, founders)
		index := g.leader(t)
		follower := g.vms[(index+1)%founders]
		time.Sleep(time.Second)
		r := follower.report(t)
		if r.Leads || r.Leader != g.vms[index].addr.String() || r.LossEndsGroup || r.Voters != founders {
			t.Errorf("report of a follower: %+v", r)
		}
		for _, m := range r.Members {
			if m.Progress != nil || m.VM != follower.addr.String() && m.Contact != repl.ContactUnknown {
				t.Errorf("member %+v, want neither progress nor contact", m)
			}
		}
	})
}

// TestReplicaWithoutLeaderReportsWhoIsMissing guards against voters that are gone shown like
// those that answer, and against a lost disk shown like a VM that is stopped.
func TestReplicaWithoutLeaderReportsWhoIsMissing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const founders = 5
		g := newGroupRig(t, founders)
		g.leader(t)
		live, wiped := g.vms[:2], g.vms[2]
		for _, vm := range g.vms[2:] {
			g.stop(vm)
		}
		wiped.loseDisk(t)
		g.start(t, wiped)
		time.Sleep(10 * time.Second)
		r := live[0].report(t)
		if r.Leader != "" || r.LeaderlessMillis == 0 {
			t.Errorf("report %+v, want no leader, and since when", r)
		}
		for i, vm := range g.vms {
			m := member(t, r, vm.addr.String())
			want := repl.Reachable
			if i >= len(live) {
				want = repl.Unreachable
			}
			if m.Contact != want || (m.ReplacedBy != "") != (vm == wiped) {
				t.Errorf("%s: member %+v, want it %s", vm.addr.String(), m, want)
			}
		}
	})
}

// TestReportEndsWithItsContext guards against operators who wait for a replica that stands
// still, and get what it writes while they read it.
func TestReportEndsWithItsContext(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 1)
		vm := g.vms[0]
		stood := make(chan error)
		go func() { stood <- vm.server.do(t.Context(), func(time.Time) { time.Sleep(2 * time.Second) }) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, err := vm.server.Report(ctx)
		if !errors.Is(err, context.DeadlineExceeded) || r.Replica != "" {
			t.Errorf("report %+v, error %v; want none and a deadline exceeded", r, err)
		}
		if err := <-stood; err != nil {
			t.Error(err)
		}
	})
}
