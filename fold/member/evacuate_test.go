package member

import (
	"testing"
	"time"
)

// TestEvacuationsVersionSpreads guards against a VM that seems not to follow an order although
// it has confirmed it: digests of VMs that know different versions must differ, and reports
// that a VM of an earlier version relays, without the field, must not take the version back.
func TestEvacuationsVersionSpreads(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b Group
	a.Self, b.Self = Peer{ID: "a", Epoch: 1}, Peer{ID: "b", Epoch: 1}
	c := Peer{ID: "c", Epoch: 1, Seq: 5}
	a.ReceiveDirect(now, c)
	b.ReceiveDirect(now, c)
	a.ReceiveDirect(now, b.Self)
	b.ReceiveDirect(now, a.Self)
	c.Seq, c.EvacuationsVersion = 6, 2
	a.ReceiveDirect(now, c)
	digest := b.Leases(now)
	for _, u := range a.Updates(now, a.RenewLeases(now, &digest)) {
		b.ReceiveRelayed(now, u)
	}
	if p, _ := b.Peer("c"); p.EvacuationsVersion != 2 {
		t.Errorf("the other VM knows version %d of c, want 2", p.EvacuationsVersion)
	}
	c.Seq, c.EvacuationsVersion = 7, 0
	b.ReceiveRelayed(now, PeerUpdate{Peer: c})
	if p, _ := b.Peer("c"); p.EvacuationsVersion != 2 || p.Seq != 7 {
		t.Errorf("after a report without the field, the other VM knows %+v, want version 2", p)
	}
	b.ReceiveDirect(now, Peer{ID: "d", Epoch: 1, Seq: 3})
	b.ReceiveRelayed(now, PeerUpdate{Peer: Peer{ID: "d", Epoch: 1, Seq: 3, EvacuationsVersion: 2}})
	if p, _ := b.Peer("d"); p.EvacuationsVersion != 2 {
		t.Errorf("a report with the same heartbeat leaves version %d, want 2", p.EvacuationsVersion)
	}
	before := b.Self.Seq
	b.SetEvacuationsVersion(now, 3)
	if b.Self.Seq == before {
		t.Errorf("the change of version is no new heartbeat")
	}
}
