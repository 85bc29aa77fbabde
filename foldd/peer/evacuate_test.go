package peer

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/wire"
)

var errCut = errors.New("the link is cut")

// withoutEvacuations returns an encoded message of an exchange as a VM of an earlier version
// sends or reads it. Messages that can't be decoded, since they are compressed, pass unchanged.
func withoutEvacuations(b []byte, m proto.Message) []byte {
	if proto.Unmarshal(b, m) != nil {
		return b
	}
	switch m := m.(type) {
	case *wire.ExchangeRequest:
		m.Evacuations, m.From.EvacuationsVersion = nil, 0
		for _, p := range m.Known {
			p.EvacuationsVersion = 0
		}
	case *wire.ExchangeResponse:
		m.Evacuations, m.From.EvacuationsVersion = nil, 0
		for _, p := range m.Known {
			p.EvacuationsVersion = 0
		}
	}
	out, err := proto.Marshal(m)
	if err != nil {
		return b
	}
	return out
}

// inForceAt returns the number of VMs at which a version is in force, without those that are
// cut or of an earlier version.
func (f *fleet) inForceAt(version uint64) (inForce, vms int) {
	for _, v := range f.vms {
		if v.cut.Load() || v.earlier {
			continue
		}
		vms++
		if v.node.Evacuations().Version == version {
			inForce++
		}
	}
	return inForce, vms
}

// awaitInForce waits until a version is in force everywhere and returns how long that took.
func (f *fleet) awaitInForce(t *testing.T, version uint64) time.Duration {
	t.Helper()
	begun := time.Now()
	for time.Since(begun) < time.Minute {
		if inForce, vms := f.inForceAt(version); inForce == vms {
			return time.Since(begun)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("version %d is not in force everywhere after a minute", version)
	return 0
}

func (f *fleet) start() {
	for _, v := range f.vms {
		v.service.Start()
	}
}

const (
	// evacuationSpread is the time within which an order is to be in force at all VMs, and
	// evacuationGoal the same without failures.
	evacuationSpread = 5 * time.Second
	evacuationGoal   = time.Second
	// deployedVMs is the number of VMs of a deployment.
	deployedVMs = 67
)

// TestOrderSpreads guards against VMs that learn of an order too late: in a deployment, also
// where a third of the VMs is of an earlier version, which passes nothing on. An operator must
// see at any VM that the others have confirmed it.
func TestOrderSpreads(t *testing.T) {
	for _, tt := range []struct {
		name    string
		earlier int
		within  time.Duration
	}{{"one version", 0, evacuationGoal}, {"a third of an earlier version", 3, evacuationSpread}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, deployedVMs)
				for i, v := range f.vms {
					v.earlier = tt.earlier > 0 && i%tt.earlier == tt.earlier-1
				}
				f.start()
				time.Sleep(2 * time.Second)
				set := evac.Set{}.Add("d1", time.Now())
				f.vms[0].node.ApplyEvacuations(set, "")
				if took := f.awaitInForce(t, 1); took > tt.within {
					t.Errorf("in force at all VMs after %v, want at most %v", took, tt.within)
				} else {
					t.Logf("in force at all VMs after %v", took)
				}
				time.Sleep(10 * time.Second)
				for _, v := range f.vms {
					if v.earlier {
						continue
					}
					for _, p := range v.node.Peers() {
						if earlier := f.byAddr[p.Addr.String()].earlier; !earlier && p.EvacuationsVersion != 1 || earlier && p.EvacuationsVersion != 0 {
							t.Fatalf("%s takes %s for a VM with version %d", v.node.Settings.ID, p.ID, p.EvacuationsVersion)
						}
					}
				}
				f.vms[1].node.ApplyEvacuations(set.Remove("d1"), "")
				if took := f.awaitInForce(t, 2); took > tt.within {
					t.Errorf("revoked at all VMs after %v, want at most %v", took, tt.within)
				}
				for _, v := range f.vms {
					v.node.Clock.Stop()
				}
				time.Sleep(restTime)
			})
		})
	}
}

// TestCutOffVMLearnsAfterCut guards against a VM that was cut off while an order was given and
// keeps its older set, or hands it to others.
func TestCutOffVMLearnsAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		f.start()
		set := evac.Set{}.Add("d1", time.Now())
		f.vms[0].node.ApplyEvacuations(set, "")
		f.awaitInForce(t, 1)
		lone := f.vms[9]
		lone.cut.Store(true)
		f.vms[0].node.ApplyEvacuations(set.Remove("d1"), "")
		f.awaitInForce(t, 2)
		time.Sleep(5 * time.Second)
		if lone.node.Evacuations().Version != 1 {
			t.Fatal("the VM that is cut off knows the new order")
		}
		lone.cut.Store(false)
		if took := f.awaitInForce(t, 2); took > evacuationSpread {
			t.Errorf("the VM learns of the order %v after the cut", took)
		}
		for _, v := range f.vms {
			v.node.Clock.Stop()
		}
		time.Sleep(restTime)
	})
}

// TestRestartedVMLearnsByFirstExchange guards against a VM that restarts without the control
// group and sends requests to evacuated servers for longer than its first exchange takes.
func TestRestartedVMLearnsByFirstExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.vms[0].node.ApplyEvacuations(evac.Set{}.Add("d1", time.Now()), "")
		f.awaitInForce(t, 1)
		f.add(t, 3)
		fresh := f.vms[3]
		if err := fresh.service.exchange(f.vms[1].node.Settings.Listen.Peers, urgent); err != nil {
			t.Fatal(err)
		}
		if !fresh.node.Evacuated("d1") {
			t.Error("the VM knows of no evacuation after its first exchange")
		}
		time.Sleep(restTime)
	})
}
