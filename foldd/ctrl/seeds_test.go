package ctrl

import (
	"net/netip"
	"testing"
	"time"
)

// TestSeedWithoutReplicaIsReplaced guards against a group that keeps a seed as a voter
// which has no control replica, such as an entry VM that accepts operators' calls.
func TestSeedWithoutReplicaIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := &groupRig{}
		addrs := vmAddrs(4)
		entry := addrs[2]
		seeds := []netip.AddrPort{addrs[0], addrs[1], entry}
		g.addControlVM(t, addrs[0], seeds)
		g.addControlVM(t, addrs[1], seeds)
		g.apply(t, 1)
		g.addControlVM(t, addrs[3], seeds)
		time.Sleep(10 * time.Second)
		members, _, err := g.vms[0].server.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		voters := map[netip.AddrPort]bool{}
		for _, m := range members.Members {
			if m.Voter {
				voters[m.Addr] = true
			}
		}
		if len(voters) != 3 || voters[entry] {
			t.Errorf("voters %v, want the three control VMs and not %v", voters, entry)
		}
	})
}
