package peer

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiafold.example/fold/member"
)

const (
	// hungFleetSize is the number of VMs besides the sender, half of them in each of two
	// failure domains.
	hungFleetSize = 40
	// hungPlays is the number of updates, each in a new fleet.
	hungPlays = 80
	// settleTime is how long a fleet exchanges before VMs hang.
	settleTime = 3 * time.Second
	// hungBefore is how long before an update they hang.
	hungBefore = 50 * time.Millisecond
)

// TestUpdatePassesHungVMsBeforeFirstAnswer guards against updates that wait for one hung VM
// after the other, each for as long as an exchange may take, while none has been answered.
func TestUpdatePassesHungVMsBeforeFirstAnswer(t *testing.T) {
	late, slowest := 0, time.Duration(0)
	for range hungPlays {
		synctest.Test(t, func(t *testing.T) {
			took := spreadFromAlone(t)
			slowest = max(slowest, took)
			if took > maxSpread {
				late++
			}
		})
	}
	t.Logf("slowest of %d updates: %v", hungPlays, slowest)
	if late > 0 {
		t.Errorf("%d of %d updates took over %v to reach all VMs that run", late, hungPlays, maxSpread)
	}
}

// spreadFromAlone returns how long an update by a VM, the only one of its failure domain, takes
// to reach those of two other domains that run. Two thirds of their VMs hang shortly before it.
func spreadFromAlone(t *testing.T) time.Duration {
	f := &fleet{byAddr: map[string]*fleetVM{}, calls: map[string]int{}, sent: map[string]int{}}
	f.add(t, 0)
	var running, hung []*fleetVM
	for i := range hungFleetSize {
		f.add(t, i/2*fleetDomains+1+i%2)
		v := f.vms[len(f.vms)-1]
		if i%6 < 4 {
			hung = append(hung, v)
		} else {
			running = append(running, v)
		}
	}
	for _, v := range f.vms {
		for _, o := range f.vms {
			v.node.ReceivePeer(o.node.Self())
		}
	}
	for _, v := range f.vms {
		time.Sleep(member.ExchangeInterval / time.Duration(len(f.vms)))
		v.service.Start()
	}
	time.Sleep(settleTime + rand.N(member.ExchangeInterval))
	for _, v := range hung {
		v.delay = time.Hour
	}
	time.Sleep(hungBefore)
	begun := time.Now()
	f.vms[0].node.ReceiveAnnouncement(server(0))
	for lacking(running) > 0 && time.Since(begun) < restTime {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(begun)
	for _, v := range f.vms {
		v.node.Clock.Stop()
	}
	time.Sleep(restTime)
	return took
}

// lacking returns how many VMs know no server.
func lacking(vms []*fleetVM) int {
	n := 0
	for _, v := range vms {
		if len(v.node.Backends()) == 0 {
			n++
		}
	}
	return n
}
