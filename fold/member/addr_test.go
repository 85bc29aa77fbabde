package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// TestAddressIndexHoldsAllRecords guards against a record that is missing from the index by
// address, or listed at an address that it has left: two servers would then share an address, or
// one that started would be ignored.
func TestAddressIndexHoldsAllRecords(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var table Table
	now := start
	for range 20_000 {
		now = now.Add(time.Duration(r.IntN(400)) * time.Millisecond)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(20))}), 1)
		b := Backend{ID: fmt.Sprint("b", r.IntN(30)), Addr: addr, Service: "s", Epoch: uint64(r.IntN(3)), Seq: uint64(r.IntN(1000))}
		table.Merge(now, BackendUpdate{Backend: b, Age: time.Duration(r.IntN(3000)) * time.Millisecond}, "")
		if r.IntN(50) == 0 {
			now = now.Add(time.Duration(r.IntN(40)) * DefaultLease)
			table.Expire(now)
		}
		listed, live := 0, map[netip.AddrPort]string{}
		for _, ids := range table.atAddr {
			listed += len(ids)
		}
		if listed != len(table.records) {
			t.Fatalf("%d records listed by address, %d in all", listed, len(table.records))
		}
		for id, x := range table.records {
			if !slices.Contains(table.atAddr[x.Addr], id) {
				t.Fatalf("%s is not listed at %v", id, x.Addr)
			}
			if x.removed {
				continue
			}
			if other := live[x.Addr]; other != "" {
				t.Fatalf("%s and %s are both live at %v", id, other, x.Addr)
			}
			live[x.Addr] = id
		}
	}
}
