package ctrl

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/wire"
)

// order sends an order to a VM once.
func order(t *testing.T, vm *rigVM, domain string, undo bool) (evac.Set, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
	defer cancel()
	res, err := vm.client.Evacuate(ctx, &wire.EvacuateRequest{Domain: domain, Undo: undo, UnixMillis: 1000})
	return peer.FromEvacuations(res.GetEvacuations()), err
}

// orderAtAnyOf sends an order to one VM after the other until one acknowledges it.
func orderAtAnyOf(t *testing.T, vms []*rigVM, domain string, undo bool) evac.Set {
	t.Helper()
	begun := time.Now()
	for i := 0; time.Since(begun) < time.Minute; i++ {
		if set, err := order(t, vms[i%len(vms)], domain, undo); err == nil {
			return set
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("order for %s was not acknowledged within a minute", domain)
	return evac.Set{}
}

// checkLatest checks that each VM reads the set with a version.
func checkLatest(t *testing.T, vms []*rigVM, version uint64, domain string, evacuated bool) {
	t.Helper()
	for _, vm := range vms {
		ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
		res, err := vm.client.Latest(ctx)
		cancel()
		if set := peer.FromEvacuations(res.GetEvacuations()); err != nil || set.Version != version || set.Has(domain) != evacuated {
			t.Errorf("%v reads %+v, error %v; want version %d with %s evacuated: %t", vm.addr, set, err, version, domain, evacuated)
		}
	}
}

// TestAcknowledgedOrderSurvivesLossOfTwoDisks guards against an order that is acknowledged
// before enough replicas have it: the leader and another VM are lost with their disks right
// after it. Each replica, also one that is started again, reports the set to its VM.
func TestAcknowledgedOrderSurvivesLossOfTwoDisks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := &groupRig{}
		addrs := vmAddrs(6)
		var reported [6]atomic.Uint64
		for i, addr := range addrs {
			vm := g.newControlVM(t, addr, addrs)
			vm.conf.OnEvacuations = func(s evac.Set) { reported[i].Store(s.Version) }
			g.start(t, vm)
		}
		g.apply(t, 1)
		orderAtAnyOf(t, g.vms, "a", false)
		orderAtAnyOf(t, g.vms, "b", false)
		leader := g.leader(t)
		for _, i := range []int{leader, (leader + 1) % 6} {
			g.stop(g.vms[i])
			g.vms[i].loseDisk(t)
			reported[i].Store(0)
		}
		for _, i := range []int{leader, (leader + 1) % 6} {
			g.start(t, g.vms[i])
		}
		time.Sleep(maxRecovery)
		checkLatest(t, g.vms, 2, "b", true)
		for i := range reported {
			if v := reported[i].Load(); v != 2 {
				t.Errorf("%v has reported version %d to its VM, want 2", addrs[i], v)
			}
		}
	})
}

// TestOrderWithoutAcknowledgement guards against an order that has another effect when it is
// sent again, as its acknowledgement was lost or the leader with it.
func TestOrderWithoutAcknowledgement(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond} {
		t.Run(fmt.Sprint("leader lost after ", delay), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				g := newGroupRig(t, 3)
				g.addEntryVMs(t, 1)
				entry := g.vms[3:]
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					_, _ = order(t, entry[0], "a", false)
				}()
				time.Sleep(delay)
				leader := g.vms[g.leader(t)]
				g.stop(leader)
				<-sent
				set := orderAtAnyOf(t, entry, "a", false)
				again := orderAtAnyOf(t, entry, "a", false)
				if set.Version != 1 || !set.Has("a") || again.Version != 1 {
					t.Errorf("set %+v, after a resend %+v; want version 1", set, again)
				}
				if undone := orderAtAnyOf(t, entry, "a", true); undone.Version != 2 || undone.Has("a") {
					t.Errorf("set %+v after the order was revoked", undone)
				}
				g.start(t, leader)
				time.Sleep(maxRecovery)
				checkLatest(t, g.vms, 2, "a", false)
			})
		})
	}
}

// orderIf sends an order to a VM once that is about a version of the set.
func orderIf(t *testing.T, vm *rigVM, domain string, undo bool, version uint64) (*wire.EvacuateResponse, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
	defer cancel()
	return vm.client.Evacuate(ctx, &wire.EvacuateRequest{Domain: domain, Undo: undo, UnixMillis: 1000, IfVersion: &version})
}

// TestLateOrderIsNotCarriedOut guards against an order that undoes later ones, as it was held up on
// its way or in a VM that was frozen. An order that is already in effect is acknowledged.
func TestLateOrderIsNotCarriedOut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		g.addEntryVMs(t, 1)
		entry := g.vms[3]
		steps := []struct {
			what     string
			undo     bool
			about    uint64
			outdated bool
			version  uint64
		}{
			{"the first order", false, 0, false, 1},
			{"a resend", false, 0, false, 1},
			{"a revocation that knows of no order", true, 0, true, 1},
			{"a revocation", true, 1, false, 2},
			{"an evacuation that is late", false, 0, true, 2},
			{"the next evacuation", false, 2, false, 3},
			{"the revocation again, late", true, 1, true, 3},
			{"a revocation of a version that is still to come", true, 4, true, 3},
			{"a resend of the first order, late", false, 0, false, 3},
		}
		for _, s := range steps {
			res, err := orderIf(t, entry, "a", s.undo, s.about)
			set := peer.FromEvacuations(res.GetEvacuations())
			if err != nil || res.GetOutdated() != s.outdated || set.Version != s.version || set.Has("a") != (s.version%2 == 1) {
				t.Errorf("%s: error %v, outdated %t, set %+v; want outdated %t, version %d", s.what, err, res.GetOutdated(), set, s.outdated, s.version)
			}
		}
	})
}

// TestOrdersAboutSameVersion guards against two orders about the same version that are both carried
// out, as the first one is in the log but not committed when the second one comes.
func TestOrdersAboutSameVersion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const orders = 8
		g := newGroupRig(t, 3)
		leader := g.vms[g.leader(t)]
		results := make(chan *wire.EvacuateResponse, orders)
		for i := range orders {
			go func() {
				res, err := orderIf(t, leader, fmt.Sprint("d", i), false, 0)
				if err != nil {
					t.Errorf("order %d: %v", i, err)
				}
				results <- res
			}()
		}
		carriedOut := 0
		for range orders {
			if res := <-results; !res.GetOutdated() {
				carriedOut++
			}
		}
		if carriedOut != 1 {
			t.Errorf("%d orders were carried out, want one", carriedOut)
		}
	})
}

// TestOrderWithoutQuorum guards against an order that is acknowledged without a quorum, and
// against one that can't be given again once there is one.
func TestOrderWithoutQuorum(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		leader := g.leader(t)
		others := []*rigVM{g.vms[(leader+1)%3], g.vms[(leader+2)%3]}
		for _, vm := range others {
			g.stop(vm)
		}
		if set, err := order(t, g.vms[leader], "a", false); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("set %+v, error %v; want no quorum", set, err)
		}
		for _, vm := range others {
			g.start(t, vm)
		}
		if set := orderAtAnyOf(t, g.vms, "a", false); set.Version != 1 || !set.Has("a") {
			t.Errorf("set %+v after the order was sent again, want version 1", set)
		}
	})
}

// TestImpossibleOrder guards against an order that can never be valid and is resent, or
// accepted.
func TestImpossibleOrder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		for _, name := range []string{"", string(make([]byte, evac.MaxName+1))} {
			_, err := order(t, g.vms[0], name, false)
			var rejected *connect.Error
			if !errors.As(err, &rejected) || rejected.Code() != connect.CodeInvalidArgument {
				t.Errorf("a name of %d bytes: error %v, want it rejected", len(name), err)
			}
		}
	})
}
