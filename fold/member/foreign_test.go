package member_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
)

// announceForeign announces n servers of a service that no configuration names, each with
// another ID and address.
func announceForeign(t *member.Table, now time.Time, n int) {
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80)
		b := member.Backend{ID: fmt.Sprint("foreign-", i), Addr: addr, Service: "other", Seq: 1}
		t.Merge(now, member.BackendUpdate{Backend: b}, "")
	}
}

// TestForeignRecordsAreBounded guards against a writer that announces servers of services
// which the configuration doesn't name, until each VM spends its time and its links on them.
func TestForeignRecordsAreBounded(t *testing.T) {
	const maxForeign = 256
	now := time.Unix(0, 0)
	table := member.Table{NamesService: func(service string) bool { return service == "app" }}
	announceForeign(&table, now, 10_000)
	updates, _ := table.Since(now, 0, "")
	if len(updates) != maxForeign {
		t.Errorf("%d foreign records go to other VMs, want %d", len(updates), maxForeign)
	}
	sound := member.Backend{ID: "sound", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Service: "app", Seq: 1}
	if c := table.Merge(now, member.BackendUpdate{Backend: sound}, ""); c != member.Changed {
		t.Errorf("a server of a service that is named: %v, want %v", c, member.Changed)
	}
	known := updates[0].Backend
	known.Seq++
	if c := table.Merge(now, member.BackendUpdate{Backend: known}, ""); c != member.Refreshed {
		t.Errorf("a foreign record that is known: %v, want %v", c, member.Refreshed)
	}
	table.NamesService = func(string) bool { return true }
	announceForeign(&table, now, 1000)
	if n := len(table.Live()); n != 1000+1 {
		t.Errorf("%d servers after the configuration names the service, want 1001", n)
	}
}
