package peer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
	"fuchsiafold.example/foldd/node"
)

const (
	// coldVMs and coldServers are the sizes of a fleet that starts at once, and coldSeeds the
	// number of VMs that all others know, to which servers announce themselves.
	coldVMs     = 60
	coldServers = 300
	coldSeeds   = 3
	// announceInterval is the time between two announcements of a server.
	announceInterval = 1200 * time.Millisecond
	// coldShare is the share of a core of each VM.
	coldShare = 0.2
	// coldTime is how long the start is played.
	coldTime = 6 * time.Second
)

// TestColdStartDoesNotMultiplyExchanges guards against VMs that, all started at once, send each
// other so many exchanges that none of them gets on: one for each server that announces itself,
// for each VM, and others in place of those that take too long for it.
func TestColdStartDoesNotMultiplyExchanges(t *testing.T) {
	synctest.Test(t, playColdStart)
}

// maxColdExchanges bounds the exchanges of a start. All servers announce themselves once within
// announceInterval, which is so many rounds of gossip (node.gossipInterval) at each seed, and
// each round takes an exchange with each VM, or maxSentOverNeeded. Besides, each VM contacts the
// seeds each 175 ms at least (seedInterval less seedJitter) for minSeedPeriod, and exchanges with
// up to four VMs a second, with a second call for each.
const (
	gossipRounds     = float64(announceInterval/(50*time.Millisecond)) + 1
	seedContacts     = float64(minSeedPeriod)/(float64(seedInterval)*(1-seedJitter)) + 1
	maxColdExchanges = coldVMs * (coldSeeds*gossipRounds*maxSentOverNeeded + 2*coldSeeds*seedContacts + 2*4*float64(coldTime/time.Second))
)

// newColdFleet returns a fleet whose VMs know the addresses of the seeds only.
func newColdFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{byAddr: map[string]*fleetVM{}, calls: map[string]int{}, sent: map[string]int{}}
	for i := range size {
		f.add(t, i)
	}
	var seeds []netip.AddrPort
	for _, v := range f.vms[:coldSeeds] {
		seeds = append(seeds, v.node.Settings.Listen.Peers)
	}
	for i, v := range f.vms {
		own := slices.Clone(seeds)
		if i < coldSeeds {
			own = slices.Delete(own, i, i+1)
		}
		v.node.SetSeeds(own, nil)
	}
	return f
}

func counter(v *fleetVM, name string) int64 {
	return metrics.GetOrRegisterCounter(name, v.node.Metrics).Count()
}

func playColdStart(t *testing.T) {
	f := newColdFleet(t, coldVMs)
	for _, v := range f.vms {
		v.share = coldShare
		v.service.Start()
	}
	for round := range int(coldTime / announceInterval) {
		for i := range coldServers {
			time.Sleep(announceInterval / coldServers)
			b := member.Backend{
				ID: fmt.Sprint("b", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 9000),
				Kind: spec.KindPlain, Service: "s", Domain: fmt.Sprint("d", i%fleetDomains), Epoch: 1, Seq: uint64(round + 1),
			}
			f.vms[i%coldSeeds].node.ReceiveAnnouncement(b)
		}
	}
	calls, sent := f.exchanges()
	followUps, failed := int64(0), int64(0)
	for _, v := range f.vms {
		followUps += counter(v, "peers.followUps")
		failed += counter(v, "peers.exchangesFailed")
		if got := len(v.node.Backends()); got != coldServers {
			t.Errorf("%s knows %d servers, want %d", v.node.Settings.ID, got, coldServers)
		}
	}
	for _, v := range f.vms {
		v.node.Clock.Stop()
	}
	time.Sleep(restTime)
	t.Logf("%d exchanges, %d bytes, %d follow-ups, %d exchanges failed", calls, sent, followUps, failed)
	if float64(calls) > maxColdExchanges || failed > 0 {
		t.Errorf("%d exchanges, of which %d failed; want at most %.0f, and none that fails", calls, failed, maxColdExchanges)
	}
}

// TestChangeKnownFromSeedIsPassedOn guards against a change that the VMs of a failure domain lack:
// the seed that has learned of it chooses a VM to pass it on that has just started and knows it
// already, from its own exchange with the seed.
func TestChangeKnownFromSeedIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, coldVMs)
		seed, fresh := f.vms[0], f.vms[1]
		cold := server(1)
		cold.ColdFor = time.Minute
		seed.node.ReceiveFromSeed([]member.BackendUpdate{{Backend: cold}}, "")
		known := func() (vms, all int) {
			for _, v := range f.vms {
				if v.node.Settings.Domain == fresh.node.Settings.Domain {
					all++
					vms += len(v.node.Backends())
				}
			}
			return vms, all
		}
		if err := fresh.service.exchangeWith(seed.node.Settings.Listen.Peers, seedContact); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if vms, _ := known(); vms != 1 {
			t.Fatalf("%d VMs of the failure domain know the server after the contact, want one", vms)
		}
		seed.service.exchangeUrgently([]netip.AddrPort{fresh.node.Settings.Listen.Peers})
		time.Sleep(time.Second)
		if vms, all := known(); vms != all {
			t.Errorf("%d of %d VMs of the failure domain know the server", vms, all)
		}
		time.Sleep(restTime)
	})
}

// maxUrgentSpread bounds the time until all VMs know what must not wait, while other servers
// announce themselves all the time: two VMs may each begin a round of gossip 50 ms later, besides
// the time of two exchanges.
const maxUrgentSpread = 2*50*time.Millisecond + 20*time.Millisecond

// TestUrgentChangesDuringGossipRounds guards against the rounds of gossip that delay what must not
// wait: a server that leaves, one that becomes cold, an evacuation and a configuration.
func TestUrgentChangesDuringGossipRounds(t *testing.T) {
	document := func(revision uint64) *spec.Index {
		service := spec.Service{Name: "s", ColdStart: &spec.ColdStart{Rate: 25, Duration: strict.Duration(time.Second)}}
		return spec.NewIndex(&spec.Document{Services: []spec.Service{service}}, revision)
	}
	backend := func(v *fleetVM) member.Backend {
		for _, b := range v.node.Backends() {
			if b.ID == server(0).ID {
				return b
			}
		}
		return member.Backend{}
	}
	for _, tt := range []struct {
		name   string
		change func(n *node.Node)
		known  func(v *fleetVM) bool
	}{
		{"cold", func(n *node.Node) {
			cold := server(0)
			cold.Seq, cold.ColdFor = 2, time.Minute
			n.ReceiveAnnouncement(cold)
		}, func(v *fleetVM) bool { return backend(v).ColdFor > 0 }},
		{"leaving", func(n *node.Node) {
			leaving := server(0)
			leaving.Seq, leaving.Leaving = 2, true
			n.ReceiveAnnouncement(leaving)
		}, func(v *fleetVM) bool { return backend(v).Leaving }},
		{"evacuation", func(n *node.Node) { n.ApplyEvacuations(evac.Set{}.Add("d1", time.Now()), "") },
			func(v *fleetVM) bool { return v.node.Evacuated("d1") }},
		{"configuration", func(n *node.Node) {
			if err := n.ApplyDocument(2, []byte("{}"), ""); err != nil {
				t.Error(err)
			}
		}, func(v *fleetVM) bool { return v.node.Index().Revision() == 2 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			// The change comes at different times after the beginning of a round.
			slowest := time.Duration(0)
			for phase := range 13 {
				synctest.Test(t, func(t *testing.T) {
					slowest = max(slowest, spreadAmidRounds(t, document(1), 100+2*phase, tt.change, tt.known))
				})
			}
			t.Logf("known at all VMs after %v at most", slowest)
			if slowest > maxUrgentSpread {
				t.Errorf("known at all VMs after %v, want at most %v", slowest, maxUrgentSpread)
			}
		})
	}
}

// spreadAmidRounds returns the time until all VMs know a change at the first VM, while servers
// announce themselves to the seeds. As many of them do so before it as count says.
func spreadAmidRounds(t *testing.T, x *spec.Index, count int, change func(n *node.Node), known func(v *fleetVM) bool) time.Duration {
	f := newFleet(t, coldVMs)
	for _, v := range f.vms {
		v.node.ApplyIndex(x)
	}
	f.vms[0].node.ReceiveAnnouncement(server(0))
	time.Sleep(500 * time.Millisecond)
	defer time.Sleep(restTime)
	var begun time.Time
	for i := 1; i < 2*count; i++ {
		f.vms[i%coldSeeds].node.ReceiveAnnouncement(server(i))
		if i == count {
			begun = time.Now()
			change(f.vms[0].node)
		}
		time.Sleep(2 * time.Millisecond)
		if i >= count && !slices.ContainsFunc(f.vms, func(v *fleetVM) bool { return !known(v) }) {
			return time.Since(begun)
		}
	}
	t.Error("not known at all VMs")
	return 0
}
