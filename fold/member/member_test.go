package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func update(seq uint64, leaving bool, age time.Duration) BackendUpdate {
	return BackendUpdate{Age: age, Backend: Backend{ID: "e", Epoch: 1, Seq: seq, Leaving: leaving}}
}

func TestMerge(t *testing.T) {
	after := func(d time.Duration) time.Time { return start.Add(d) }
	restarted := update(1, false, 0)
	restarted.Epoch = 2
	tests := []struct {
		name    string
		first   BackendUpdate
		at      time.Time
		second  BackendUpdate
		change  Change
		present bool
		leaving bool
	}{
		{"later update", update(1, false, 0), after(time.Second), update(2, false, 0), Refreshed, true, false},
		{"older update", update(2, false, 0), after(time.Second), update(1, false, 0), Stale, true, false},
		{"older update that it is leaving", update(2, false, 0), after(time.Second), update(1, true, 0), Changed, true, true},
		{"older update after the leaving mark", update(2, true, 0), after(time.Second), update(1, true, 0), Stale, true, true},
		{"same update again", update(1, false, 0), after(time.Second), update(1, false, 0), Stale, true, false},
		{"later update that it is leaving", update(1, false, 0), after(time.Second), update(2, true, 0), Changed, true, true},
		{"leaving mark is kept", update(1, true, 0), after(time.Second), update(2, false, 0), Refreshed, true, true},
		{"restart", update(9, true, 0), after(time.Second), restarted, Changed, true, false},
		{"update older than the lease", update(1, false, 0), after(time.Second), update(2, false, DefaultLease), Stale, true, false},
		{"delayed update after the lease expired", update(5, false, 0), after(2 * DefaultLease), update(4, false, 0), Stale, false, false},
		{"later update after the lease expired", update(5, true, 0), after(2 * DefaultLease), update(6, false, 0), Changed, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table Table
			table.Merge(start, tt.first, "")
			table.Expire(tt.at)
			if c := table.Merge(tt.at, tt.second, ""); c != tt.change {
				t.Errorf("change %d, want %d", c, tt.change)
			}
			b, present := table.Get("e")
			if present != tt.present || (present && b.Leaving != tt.leaving) {
				t.Errorf("present %t, leaving %t; want %t, %t", present, b.Leaving, tt.present, tt.leaving)
			}
		})
	}
}

// connectedGroups returns the groups of VMs in several failure domains, by address.
// Each VM has a direct report of all others.
func connectedGroups(domains, vms int) map[netip.AddrPort]*Group {
	var peers []Peer
	for d := range domains {
		for i := range vms {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 1)
			peers = append(peers, Peer{ID: fmt.Sprintf("vm-%d-%d", d, i), Addr: addr, Domain: fmt.Sprint("d", d), Region: fmt.Sprint("r", d/3), Epoch: 1})
		}
	}
	out := map[netip.AddrPort]*Group{}
	for _, self := range peers {
		g := &Group{Self: self}
		for _, p := range peers {
			g.ReceiveDirect(start, p)
		}
		out[self.Addr] = g
	}
	return out
}

// TestUrgentUpdateReachesAllVMs relays an urgent update from VM to VM. All VMs have
// it after two hops, and no VM sends more than one message to each VM of its own
// failure domain and one to each other domain.
func TestUrgentUpdateReachesAllVMs(t *testing.T) {
	for _, size := range [][2]int{{1, 3}, {3, 3}, {17, 19}} {
		all := connectedGroups(size[0], size[1])
		r := rand.New(rand.NewPCG(1, 1))
		var first *Group
		for _, g := range all {
			first = g
			break
		}
		reached := map[string]bool{first.Self.ID: true}
		hop := map[*Group]string{first: ""}
		hops := 0
		for ; len(hop) > 0; hops++ {
			next := map[*Group]string{}
			for g, from := range hop {
				targets := g.UrgentTargets(start, from, r)
				if limit := size[0] + size[1]; len(targets) > limit {
					t.Errorf("%v: %d messages from one VM, want at most %d", size, len(targets), limit)
				}
				for _, addr := range targets {
					if p := all[addr]; !reached[p.Self.ID] {
						reached[p.Self.ID] = true
						next[p] = g.Self.ID
					}
				}
			}
			hop = next
		}
		if len(reached) != len(all) || hops > 3 {
			t.Errorf("%v: %d of %d VMs have the update after %d rounds, want all after at most 3", size, len(reached), len(all), hops)
		}
	}
}

// TestVMsAgreeOnScheduler checks that VMs that know the same peers choose the same
// scheduler, and that the loss of a VM moves only the models that it scheduled.
func TestVMsAgreeOnScheduler(t *testing.T) {
	all := connectedGroups(1, 12)
	before := map[string]string{}
	for i := range 200 {
		model := fmt.Sprint("m", i)
		for _, g := range all {
			p, ok := g.Scheduler(start, model)
			if !ok || (before[model] != "" && before[model] != p.ID) {
				t.Fatalf("model %s: schedulers %q and %q, want the same at every VM", model, before[model], p.ID)
			}
			before[model] = p.ID
		}
	}
	var g *Group
	for _, v := range all {
		if v.Self.ID != "vm-0-3" {
			g = v
		}
	}
	delete(g.peers, "vm-0-3")
	for model, previous := range before {
		if p, _ := g.Scheduler(start, model); p.ID != previous && previous != "vm-0-3" {
			t.Errorf("model %s moved from live scheduler %s to %s", model, previous, p.ID)
		}
	}
}

// TestGossipKeepsAllPeersLive runs the periodic exchanges of a large failure domain.
// No live VM's lease expires, although each VM exchanges with only a few others.
func TestGossipKeepsAllPeersLive(t *testing.T) {
	all := connectedGroups(1, 20)
	r := rand.New(rand.NewPCG(2, 2))
	now := start
	for range 120 {
		now = now.Add(ExchangeInterval)
		for _, g := range all {
			for _, addr := range g.ExchangeTargets(now, r) {
				o := all[addr]
				g.Beat(now)
				o.Beat(now)
				o.ReceiveDirect(now, g.Self)
				g.ReceiveDirect(now, o.Self)
				request, reply := g.Leases(now), o.Leases(now)
				for _, u := range o.Updates(now, o.RenewLeases(now, &request)) {
					g.ReceiveRelayed(now, u)
				}
				for _, u := range g.Updates(now, g.RenewLeases(now, &reply)) {
					o.ReceiveRelayed(now, u)
				}
			}
		}
		for _, g := range all {
			if n := len(g.Live(now)); n != 19 {
				t.Fatalf("after %v: VM %s has %d live peers, want 19", now.Sub(start), g.Self.ID, n)
			}
		}
	}
}

// TestBriefUpdate checks that a VM that knows a backend server receives only the
// changed fields, that a VM that does not know it ignores a brief update, and that
// an update that it is leaving is sent in full.
func TestBriefUpdate(t *testing.T) {
	full := update(1, false, 0)
	full.Model, full.MemoryTokens = "m", 24_000
	var a, b, c Table
	a.Merge(start, full, "")
	updates, version := a.Since(start, 0, "")
	if updates[0].Brief {
		t.Fatal("first update is brief, want a full one")
	}
	b.Merge(start, updates[0], "a")
	next := full
	next.Seq, next.Load.Running = 2, 7
	a.Merge(start, next, "")
	updates, version = a.Since(start, version, "")
	if len(updates) != 1 || !updates[0].Brief {
		t.Fatalf("updates after a change of load: %+v, want one brief update", updates)
	}
	brief := BackendUpdate{Brief: true, Backend: Backend{ID: "e", Epoch: 1, Seq: 2, Load: updates[0].Load}}
	if ch := b.Merge(start, brief, "a"); ch != Refreshed {
		t.Errorf("brief update of a known server: change %d, want Refreshed", ch)
	}
	if got, _ := b.Get("e"); got.Model != "m" || got.MemoryTokens != 24_000 || got.Load.Running != 7 {
		t.Errorf("after a brief update: %+v, want model m, 24000 memory tokens, 7 running", got)
	}
	if ch := c.Merge(start, brief, "a"); ch != Unknown || len(c.Live()) != 0 {
		t.Errorf("brief update of an unknown server: change %d, live %v; want Unknown and none live", ch, c.Live())
	}
	next.Seq, next.Leaving = 3, true
	a.Merge(start, next, "")
	if updates, _ = a.Since(start, version, ""); len(updates) != 1 || updates[0].Brief {
		t.Errorf("updates after the server started leaving: %+v, want one full update", updates)
	}
}

// TestAddressReuse gives a backend server's address to another server. The first
// server is removed, and a delayed update of it does not make it live again.
func TestAddressReuse(t *testing.T) {
	old, late, next := update(1, false, 0), update(2, false, 0), update(1, false, 0)
	old.Addr = netip.MustParseAddrPort("10.0.0.1:80")
	late.Addr, next.Addr = old.Addr, old.Addr
	next.ID = "f"
	// The second server may or may not report that it started later.
	for _, epoch := range []uint64{old.Epoch, old.Epoch + 1} {
		next.Epoch = epoch
		var table Table
		table.Merge(start, old, "")
		table.Merge(start.Add(time.Second), next, "")
		if c := table.Merge(start.Add(2*time.Second), late, ""); c != Stale {
			t.Errorf("epoch %d: delayed update: change %d, want Stale", epoch, c)
		}
		if _, ok := table.Get("e"); ok {
			t.Errorf("epoch %d: first server is live, want it removed", epoch)
		}
		if _, ok := table.Get("f"); !ok {
			t.Errorf("epoch %d: second server is not live", epoch)
		}
	}
}

// TestLeavingSupersedesHigherSequence marks a server as leaving at a VM that has an
// older update of it than another VM. The other VM must apply the mark and keep its
// higher sequence number.
func TestLeavingSupersedesHigherSequence(t *testing.T) {
	var lagging, ahead Table
	lagging.Merge(start, update(3, false, 0), "")
	ahead.Merge(start, update(9, false, 0), "")
	if _, ok := lagging.MarkLeaving(start, "e", 0); !ok {
		t.Fatal("MarkLeaving reported no change")
	}
	updates, _ := lagging.Since(start, 0, "")
	if c := ahead.Merge(start, updates[0], "v"); c != Changed {
		t.Errorf("change %d, want Changed", c)
	}
	if b, _ := ahead.Get("e"); !b.Leaving || b.Seq != 9 {
		t.Errorf("leaving %t, sequence %d; want true, 9", b.Leaving, b.Seq)
	}
}

// TestSummaryIncludesDirectReports checks that a summary for another failure domain
// includes a server that announced itself to a VM outside its own domain.
func TestSummaryIncludesDirectReports(t *testing.T) {
	var table Table
	direct, relayed := update(1, false, 0), update(1, false, 0)
	direct.Domain, relayed.Domain, relayed.ID = "b", "b", "f"
	relayed.Addr = netip.MustParseAddrPort("10.0.0.2:80")
	table.Merge(start, direct, "")
	table.Merge(start, relayed, "another")
	updates, _ := table.Since(start, 0, "")
	out := Summary(updates, "a")
	if len(out) != 1 || out[0].ID != "e" {
		t.Errorf("summary %v, want only the server that announced itself to this VM", out)
	}
}

// TestPlacementVM checks that VMs with the same live peers choose the same placement
// VM, also if its report is nearly as old as its lease, and that they choose
// another one while it is unknown or backed off.
func TestPlacementVM(t *testing.T) {
	var peers []Peer
	for _, id := range []string{"a", "b", "c", "d"} {
		peers = append(peers, Peer{ID: id, ServesCallers: true, Epoch: 1})
	}
	peers = append(peers, Peer{ID: "control", HasControlReplica: true, Epoch: 1})
	noneBackedOff := func(Peer) bool { return false }
	placementVM := func(self int, skip string) Peer {
		g := Group{Self: peers[self]}
		for i, p := range peers {
			if i != self && p.ID != skip {
				g.ReceiveDirect(start, p)
			}
		}
		return g.PlacementVM(start, "service", "", false, noneBackedOff)
	}
	first := placementVM(0, "")
	// In a large group, a VM's report may be nearly as old as its lease.
	late := Group{Self: peers[4]}
	for _, p := range peers[:4] {
		age := time.Second
		if p.ID == first.ID {
			age = PeerLease - time.Second
		}
		late.ReceiveRelayed(start, PeerUpdate{Peer: p, Age: age})
	}
	if p := late.PlacementVM(start, "service", "", false, noneBackedOff); p.ID != first.ID {
		t.Errorf("with an old report of %s: placement VM %s, want the same", first.ID, p.ID)
	}
	for i := range 4 {
		if p := placementVM(i, ""); p.ID != first.ID {
			t.Errorf("VM %s chose placement VM %s, VM a chose %s", peers[i].ID, p.ID, first.ID)
		}
	}
	other := 0
	if peers[0].ID == first.ID {
		other = 1
	}
	second := placementVM(other, first.ID)
	if second.ID == first.ID || !second.ServesCallers {
		t.Errorf("without %s: placement VM %+v, want another one that serves callers", first.ID, second)
	}
	g := Group{Self: peers[other]}
	for i, p := range peers {
		if i != other {
			g.ReceiveDirect(start, p)
		}
	}
	if p := g.PlacementVM(start, "service", "", false, func(p Peer) bool { return p.ID == first.ID }); p.ID != second.ID {
		t.Errorf("with %s backed off: placement VM %s, want %s", first.ID, p.ID, second.ID)
	}
}

// TestNewVMTakesNoPlacementsOver checks that a VM which starts later than the others
// becomes the placement VM of no service before they are gone, and that all VMs are
// candidates after a common start.
func TestNewVMTakesNoPlacementsOver(t *testing.T) {
	const services = 50
	noneBackedOff := func(Peer) bool { return false }
	chosen := func(epochs ...time.Duration) map[string]int {
		g := Group{Self: Peer{ID: "control"}}
		for i, e := range epochs {
			g.ReceiveDirect(start, Peer{ID: string(rune('a' + i)), ServesCallers: true, Epoch: uint64(start.Add(e).UnixNano())})
		}
		count := map[string]int{}
		for i := range services {
			count[g.PlacementVM(start, fmt.Sprint("service", i), "", false, noneBackedOff).ID]++
		}
		return count
	}
	if got := chosen(0, time.Second, time.Minute); got["c"] != 0 || got["a"] == 0 || got["b"] == 0 {
		t.Errorf("services by placement VM %v, want none at c, which started a minute later", got)
	}
	if got := chosen(0, time.Second, startWindow); got["c"] == 0 {
		t.Errorf("services by placement VM %v, want some at c, which started with the others", got)
	}
	if got := chosen(time.Minute); got["a"] != services {
		t.Errorf("services by placement VM %v, want all at a", got)
	}
}

// TestVMWithClockSetBackIsKnownAgain guards against a VM that starts again with its clock
// set back, and whose reports are taken for those of an earlier start for ever.
func TestVMWithClockSetBackIsKnownAgain(t *testing.T) {
	before := Peer{ID: "a", Epoch: uint64(start.Add(time.Hour).UnixNano()), Revision: 1}
	after := Peer{ID: "a", Epoch: uint64(start.UnixNano()), Revision: 2}
	revision := func(g *Group, now time.Time) uint64 {
		for _, p := range g.Live(now) {
			return p.Revision
		}
		return 0
	}
	for _, relayed := range []bool{false, true} {
		var g Group
		receive := func(now time.Time, p Peer) {
			if relayed {
				g.ReceiveRelayed(now, PeerUpdate{Peer: p})
				return
			}
			g.ReceiveDirect(now, p)
		}
		receive(start, before)
		now := start.Add(time.Second)
		receive(now, after)
		if got := revision(&g, now); got != before.Revision {
			t.Errorf("relayed %t: revision %d a second later, want the one of the later start: the report may be late", relayed, got)
		}
		for ; now.Before(start.Add(PeerLease + 2*time.Second)); now = now.Add(time.Second) {
			receive(now, after)
		}
		if got := revision(&g, now); got != after.Revision {
			t.Errorf("relayed %t: revision %d once the lease of the earlier process has ended, want the one of the process that reports", relayed, got)
		}
		g.ReceiveRelayed(now, PeerUpdate{Peer: before, Age: PeerLease - time.Second})
		if got := revision(&g, now); got != after.Revision {
			t.Errorf("relayed %t: an old report of the ended process counts again", relayed)
		}
	}
}

// TestVMHeardOfAgainIsLiveAtOnce guards against a VM whose lease has ended and of which a
// relayed report arrives, and that counts as live only once the list is made anew.
func TestVMHeardOfAgainIsLiveAtOnce(t *testing.T) {
	var g Group
	g.ReceiveDirect(start, Peer{ID: "a", Epoch: 1, Seq: 1})
	now := start.Add(PeerLease + time.Second)
	g.ReceiveDirect(now, Peer{ID: "b", Epoch: 1, Seq: 1})
	if live := g.Live(now); len(live) != 1 {
		t.Fatalf("live VMs %v, want b", live)
	}
	g.ReceiveRelayed(now, PeerUpdate{Peer: Peer{ID: "a", Epoch: 1, Seq: 2}, Age: 2 * time.Second})
	if live := g.Live(now); len(live) != 2 {
		t.Errorf("live VMs %v, want a and b", live)
	}
}
