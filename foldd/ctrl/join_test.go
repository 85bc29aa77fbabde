package ctrl

import (
	"net/netip"
	"testing"
	"time"
)

// maxRejoin is how long a VM that has lost its disk may take to vote again: the shortest time
// after which a deployment may lose the next disk.
const maxRejoin = 4 * time.Second

// loseDiskAndAwaitVote lets a VM lose its disk and returns how long it takes until n live
// VMs vote.
func (g *groupRig) loseDiskAndAwaitVote(t *testing.T, vm *rigVM, n int) time.Duration {
	t.Helper()
	g.stop(vm)
	vm.loseDisk(t)
	begun := time.Now()
	g.start(t, vm)
	g.awaitVoters(t, n)
	return time.Since(begun)
}

// TestVMJoinsThroughFollower guards against a VM with a new disk that never joins because
// it knows only VMs that don't lead.
func TestVMJoinsThroughFollower(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		leader := g.leader(t)
		follower, lost := g.vms[(leader+1)%3], g.vms[(leader+2)%3]
		lost.conf.Peers = func() []netip.AddrPort { return []netip.AddrPort{follower.addr} }
		if took := g.loseDiskAndAwaitVote(t, lost, 3); took > maxRejoin {
			t.Errorf("voted again after %v, want at most %v", took, maxRejoin)
		}
	})
}

// TestSilentVMDelaysNoJoin guards against a VM with a new disk that waits for a control VM
// which is silent, while the next disk may be lost.
func TestSilentVMDelaysNoJoin(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		addrs := vmAddrs(5)
		g := &groupRig{}
		for i, addr := range addrs {
			g.addControlVM(t, addr, addrs[:3])
			g.vms[i].conf.Peers = func() []netip.AddrPort { return addrs }
		}
		g.apply(t, 1)
		g.awaitVoters(t, 5)
		leader := g.leader(t)
		silent, lost := g.vms[(leader+1)%5], g.vms[(leader+2)%5]
		order := append([]netip.AddrPort{silent.addr}, addrs...)
		lost.conf.Peers = func() []netip.AddrPort { return order }
		g.network.hang(silent.addr.String())
		if took := g.loseDiskAndAwaitVote(t, lost, 4); took > maxRejoin {
			t.Errorf("voted again after %v, want at most %v", took, maxRejoin)
		}
	})
}

// TestStoppedReplicaAwaitsNoJoinAnswer guards against a replica that ends, and is started
// again, only once control VMs that are silent would have answered its join request.
func TestStoppedReplicaAwaitsNoJoinAnswer(t *testing.T) {
	for after := 4 * time.Second; after < 6*time.Second; after += 200 * time.Millisecond {
		inBubble(t, func(t *testing.T) {
			g := newGroupRig(t, 3)
			for _, vm := range g.vms[1:] {
				g.network.hang(vm.addr.String())
			}
			time.Sleep(after)
			begun := time.Now()
			g.stop(g.vms[0])
			if took := time.Since(begun); took != 0 {
				t.Errorf("%v after the others went silent: stopped within %v, want at once", after, took)
			}
		})
	}
}
