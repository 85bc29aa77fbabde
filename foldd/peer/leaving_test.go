package peer

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiafold.example/foldd/node"
)

// newFleetWithServer returns a fleet whose VMs all know a backend server, which has announced
// itself to the first one.
func newFleetWithServer(t *testing.T, size int) *fleet {
	t.Helper()
	f := newFleet(t, size)
	// Exchanges with silent VMs end.
	t.Cleanup(func() { time.Sleep(restTime) })
	f.vms[0].node.ReceiveAnnouncement(server(0))
	time.Sleep(time.Second)
	f.checkLeaving(t, f.vms, false)
	return f
}

// checkLeaving checks that VMs know whether the server is leaving.
func (f *fleet) checkLeaving(t *testing.T, vms []*fleetVM, want bool) {
	t.Helper()
	for _, v := range vms {
		if b, ok := v.node.Backend(server(0).ID); !ok || b.Leaving != want {
			t.Errorf("%s knows the server: %t, as leaving: %t, want %t", v.node.Settings.ID, ok, b.Leaving, want)
		}
	}
}

// depart lets the server tell a VM that it is leaving, and returns how long it waited for the
// acknowledgement.
func (v *fleetVM) depart(t *testing.T, wantErr error) time.Duration {
	t.Helper()
	begun := time.Now()
	v.node.MarkBackendLeaving(server(0).ID, 0)
	if err := v.node.AwaitLeavingKnown(t.Context(), server(0).ID); !errors.Is(err, wantErr) {
		t.Errorf("%s: error %v, want %v", v.node.Settings.ID, err, wantErr)
	}
	return time.Since(begun)
}

const (
	// maxQuickAck is within which a departure is acknowledged if all VMs respond, and maxAck if
	// one does.
	maxQuickAck = 50 * time.Millisecond
	maxAck      = 350 * time.Millisecond
	// maxRelay is the time within which a VM that has an update passes it on in its domain.
	maxRelay = 100 * time.Millisecond
)

// TestAcknowledgedDepartureOutlivesVM guards against requests to a server that has left, as the
// VM that has acknowledged its departure was lost before any other one knew. Servers don't
// repeat an acknowledged departure.
func TestAcknowledgedDepartureOutlivesVM(t *testing.T) {
	for _, size := range []int{2, 6, 67} {
		t.Run(fmt.Sprint(size, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithServer(t, size)
				took := f.vms[1].depart(t, nil)
				f.vms[1].cut.Store(true)
				if took > maxQuickAck {
					t.Errorf("acknowledged after %v, want at most %v", took, maxQuickAck)
				}
				time.Sleep(maxRelay)
				f.checkLeaving(t, f.vms, true)
				if again := f.vms[0].depart(t, nil); again > maxAck {
					t.Errorf("acknowledged again after %v, want at most %v", again, maxAck)
				}
			})
		})
	}
}

// TestDepartureBesideSilentVM guards against a departure that is not acknowledged, or late, because
// a VM is silent.
func TestDepartureBesideSilentVM(t *testing.T) {
	for _, size := range []int{6, 67} {
		t.Run(fmt.Sprint(size, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithServer(t, size)
				f.vms[size-1].delay = time.Minute
				if took := f.vms[0].depart(t, nil); took > maxAck {
					t.Errorf("acknowledged after %v, want at most %v", took, maxAck)
				}
				time.Sleep(maxRelay)
				f.checkLeaving(t, f.vms[:size-1], true)
			})
		})
	}
}

// TestDepartureThatNobodyConfirms guards against a departure that is acknowledged by a VM whose
// messages reach no other one, as long as another one counts as reachable, and against one that
// such a VM never acknowledges: the server may know of no other VM.
func TestDepartureThatNobodyConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWithServer(t, 6)
		for _, v := range f.vms[1:] {
			v.delay = time.Minute
		}
		if took := f.vms[0].depart(t, node.ErrLeavingUnconfirmed); took > time.Second {
			t.Errorf("refused after %v, want at most a second", took)
		}
		time.Sleep(time.Second)
		f.vms[0].depart(t, nil)
	})
}

// TestDepartureToldTwice guards against a departure that only the VM knows to which the first
// one, which was lost before it acknowledged anything, had told it. The server tells that VM next.
func TestDepartureToldTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWithServer(t, 6)
		for _, v := range f.vms[2:] {
			v.cut.Store(true)
		}
		f.vms[0].node.MarkBackendLeaving(server(0).ID, 0)
		time.Sleep(maxQuickAck)
		for _, v := range f.vms[2:] {
			v.cut.Store(false)
		}
		f.vms[0].cut.Store(true)
		f.checkLeaving(t, f.vms[:2], true)
		f.checkLeaving(t, f.vms[2:], false)
		f.vms[1].depart(t, nil)
		f.vms[1].cut.Store(true)
		f.checkLeaving(t, f.vms, true)
	})
}

// TestDepartureToldToStartingVM guards against a VM that has just started, knows no other VM yet,
// and acknowledges a departure alone.
func TestDepartureToldToStartingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		f.add(t, 0)
		f.add(t, 1)
		starting, seed := f.vms[0].node, f.vms[1]
		seed.cut.Store(true)
		starting.SetSeeds([]netip.AddrPort{seed.node.Self().Addr}, nil)
		leaving := server(0)
		leaving.Leaving = true
		starting.ReceiveAnnouncement(leaving)
		f.vms[0].depart(t, node.ErrLeavingUnconfirmed)
		time.Sleep(restTime)
		f.vms[0].depart(t, nil)
	})
}
