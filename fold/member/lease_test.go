package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiafold.example/fold/spec"
)

// announce returns the announcement seq of a plain backend server.
func announce(id string, seq uint64) BackendUpdate {
	addr := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(xxhash.Sum64String(id)))
	return BackendUpdate{Backend: Backend{ID: id, Addr: addr, Kind: spec.KindPlain, Epoch: 1, Seq: seq}}
}

// renewFrom renews the leases of to by the digest of from, which takes d to arrive.
func renewFrom(at time.Time, d time.Duration, from, to *Table) EqualBuckets {
	l := from.Leases(at)
	return to.RenewLeases(at.Add(d), &l).Equal
}

func TestRenewLeases(t *testing.T) {
	after := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name string
		// known is the announcement that both tables know from the start, and later
		// the one that the sender learns 3 s later.
		known, later BackendUpdate
		// prepare changes the receiver before it gets the digest.
		prepare func(receiver *Table)
		renewed bool
	}{
		{"later announcement", announce("e", 1), announce("e", 2), nil, true},
		{"same announcement", announce("e", 1), announce("e", 1), nil, false},
		{"lowest byte of the sequence number wraps", announce("e", 255), announce("e", 256), nil, true},
		{"earlier announcement", announce("e", 1), announce("e", 2), func(r *Table) { r.Merge(start, announce("e", 9), "") }, false},
		{"receiver knows that it is leaving", announce("e", 1), announce("e", 2), func(r *Table) { r.MarkLeaving(start, "e", 0) }, false},
		{"receiver knows another server of the bucket", announce("e", 1), announce("e", 2), func(r *Table) { r.Merge(start, announce(sameBucketAs("e"), 1), "") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sender, receiver Table
			sender.Merge(start, tt.known, "")
			receiver.Merge(start, tt.known, "")
			if tt.prepare != nil {
				tt.prepare(&receiver)
			}
			sender.Merge(after(3*time.Second), tt.later, "")
			renewFrom(after(4*time.Second), 0, &sender, &receiver)
			want := 4 * time.Second
			if tt.renewed {
				want = time.Second
			}
			if age, _ := receiver.Age(after(4*time.Second), "e"); age != want {
				t.Errorf("age %v, want %v", age, want)
			}
		})
	}
}

// sameBucketAs returns another ID of the bucket of an ID.
func sameBucketAs(id string) string {
	for i := 0; ; i++ {
		if other := fmt.Sprint("other-", i); leaseBucket(other) == leaseBucket(id) {
			return other
		}
	}
}

// TestDeadServerExpiresDespiteSlowDigests checks that two VMs whose messages take
// long don't renew the lease of a dead server for each other.
func TestDeadServerExpiresDespiteSlowDigests(t *testing.T) {
	const delay = 400 * time.Millisecond
	var a, b Table
	a.Merge(start, announce("e", 1), "")
	b.Merge(start, announce("e", 1), "")
	a.Merge(start.Add(delay), announce("e", 2), "")
	for at := start.Add(delay); at.Before(start.Add(DefaultLease + 2*delay)); at = at.Add(2 * delay) {
		renewFrom(at, delay, &a, &b)
		renewFrom(at.Add(delay), delay, &b, &a)
	}
	for name, table := range map[string]*Table{"a": &a, "b": &b} {
		if expired := table.Expire(start.Add(DefaultLease + 2*delay)); len(expired) != 1 {
			t.Errorf("%s still holds the lease %v after the last announcement", name, DefaultLease+delay)
		}
	}
}

func TestEqualBucketsCover(t *testing.T) {
	var all EqualBuckets
	for i := range all {
		all[i] = true
	}
	brief := announce("e", 2)
	brief.Brief = true
	engine := brief
	engine.Kind = spec.KindEngine
	if !all.Covers(&brief) {
		t.Error("a refresh is not covered by a digest of the same servers")
	}
	if full := announce("e", 2); all.Covers(&full) || all.Covers(&engine) || new(EqualBuckets).Covers(&brief) {
		t.Error("a digest covers a full update, an engine's load or a bucket with other servers")
	}
}

// TestChangeAfterDigestIsSent guards against an update that never reaches a VM which has shown
// in its last digest that it knew the same servers, before the update.
func TestChangeAfterDigestIsSent(t *testing.T) {
	var from, to Table
	add := func(table *Table, id string, port uint16, epoch uint64) {
		b := Backend{ID: id, Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), port), Kind: spec.KindPlain, Service: "s", Epoch: epoch, Seq: 1}
		if c := table.Merge(start, BackendUpdate{Backend: b}, ""); c != Changed {
			t.Fatalf("%s: change %v", id, c)
		}
	}
	const servers = 100
	for i := range servers {
		add(&from, fmt.Sprint("b", i), uint16(i), 1)
		add(&to, fmt.Sprint("b", i), uint16(i), 1)
	}
	digest := to.Leases(start)
	known := from.RenewLeases(start, &digest)
	if updates, _ := from.SinceExcept(start, 0, "to", known); len(updates) != 0 {
		t.Errorf("%d updates for a VM that knows all servers, want none", len(updates))
	}
	add(&from, "b7", 7, 2)
	add(&from, "new", servers, 1)
	if _, marked := from.MarkLeaving(start, "b9", 0); !marked {
		t.Fatal("not marked as leaving")
	}
	updates, _ := from.SinceExcept(start, 0, "to", known)
	var ids []string
	for _, u := range updates {
		ids = append(ids, u.ID)
		if u.Brief {
			t.Errorf("%s: brief update about what the VM doesn't know", u.ID)
		}
	}
	if got := fmt.Sprint(ids); got != "[b7 b9 new]" {
		t.Errorf("updates about %s, want [b7 b9 new]", got)
	}
}
