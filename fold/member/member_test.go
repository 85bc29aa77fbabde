package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func heard(seq uint64, leaving bool, age time.Duration) BackendUpdate {
	return BackendUpdate{Age: age, Backend: Backend{ID: "e", Epoch: 1, Seq: seq, Leaving: leaving}}
}

func TestMerge(t *testing.T) {
	after := func(d time.Duration) time.Time { return start.Add(d) }
	restarted := heard(1, false, 0)
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
		{"later news", heard(1, false, 0), after(time.Second), heard(2, false, 0), Refreshed, true, false},
		{"older news", heard(2, false, 0), after(time.Second), heard(1, false, 0), Stale, true, false},
		{"older news that it leaves", heard(2, false, 0), after(time.Second), heard(1, true, 0), Changed, true, true},
		{"older news after it leaves", heard(2, true, 0), after(time.Second), heard(1, true, 0), Stale, true, true},
		{"the same news", heard(1, false, 0), after(time.Second), heard(1, false, 0), Stale, true, false},
		{"it leaves", heard(1, false, 0), after(time.Second), heard(2, true, 0), Changed, true, true},
		{"leaving is not taken back", heard(1, true, 0), after(time.Second), heard(2, false, 0), Refreshed, true, true},
		{"a new start", heard(9, true, 0), after(time.Second), restarted, Changed, true, false},
		{"news older than the lease", heard(1, false, 0), after(time.Second), heard(2, false, DefaultLease), Stale, true, false},
		{"delayed news after the lease", heard(5, false, 0), after(2 * DefaultLease), heard(4, false, 0), Stale, false, false},
		{"back after the lease", heard(5, true, 0), after(2 * DefaultLease), heard(6, false, 0), Changed, true, true},
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

// fleet is VMs in failure domains that have all heard of each other.
func fleet(domains, vms int) map[netip.AddrPort]*Group {
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

// TestUrgentNewsReachesAll follows urgent news from VM to VM: in two hops it
// is everywhere, and no VM sends more than one message to each of its own
// failure domain and one to each other domain.
func TestUrgentNewsReachesAll(t *testing.T) {
	for _, size := range [][2]int{{1, 3}, {3, 3}, {17, 19}} {
		all := fleet(size[0], size[1])
		r := rand.New(rand.NewPCG(1, 1))
		var first *Group
		for _, g := range all {
			first = g
			break
		}
		know := map[string]bool{first.Self.ID: true}
		hop := map[*Group]string{first: ""}
		hops := 0
		for ; len(hop) > 0; hops++ {
			next := map[*Group]string{}
			for g, from := range hop {
				targets := g.UrgentTargets(start, from, r)
				if most := size[0] + size[1]; len(targets) > most {
					t.Errorf("%v: %d messages from one VM, want at most %d", size, len(targets), most)
				}
				for _, addr := range targets {
					if p := all[addr]; !know[p.Self.ID] {
						know[p.Self.ID] = true
						next[p] = g.Self.ID
					}
				}
			}
			hop = next
		}
		if len(know) != len(all) || hops > 3 {
			t.Errorf("%v: %d of %d VMs know after %d hops", size, len(know), len(all), hops)
		}
	}
}

// TestStewardIsAgreed: VMs that know the same others name the same steward,
// and the loss of a VM moves only its own models.
func TestStewardIsAgreed(t *testing.T) {
	all := fleet(1, 12)
	before := map[string]string{}
	for i := range 200 {
		model := fmt.Sprint("m", i)
		for _, g := range all {
			p, ok := g.Scheduler(start, model)
			if !ok || (before[model] != "" && before[model] != p.ID) {
				t.Fatalf("%s: %q and %q", model, before[model], p.ID)
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
	for model, was := range before {
		if p, _ := g.Scheduler(start, model); p.ID != was && was != "vm-0-3" {
			t.Errorf("%s moved from %s to %s", model, was, p.ID)
		}
	}
}

// TestEveryoneIsHeard runs the periodic exchanges of a large failure domain:
// no live VM's lease runs out, although each exchanges with only a few.
func TestEveryoneIsHeard(t *testing.T) {
	all := fleet(1, 20)
	r := rand.New(rand.NewPCG(2, 2))
	now := start
	for range 120 {
		now = now.Add(ExchangeInterval)
		for _, g := range all {
			for _, addr := range g.ExchangeTargets(now, r) {
				o := all[addr]
				known, back := g.SamplePeers(now, r), o.SamplePeers(now, r)
				o.ReceiveDirect(now, g.Self)
				g.ReceiveDirect(now, o.Self)
				for _, h := range known {
					o.ReceiveRelayed(now, h)
				}
				for _, h := range back {
					g.ReceiveRelayed(now, h)
				}
			}
		}
		for _, g := range all {
			if n := len(g.Live(now)); n != 19 {
				t.Fatalf("after %v %s hears %d of 19", now.Sub(start), g.Self.ID, n)
			}
		}
	}
}

// TestBriefNews tells a VM that knows a backend server only what changes, and
// one that does not is not misled.
func TestBriefNews(t *testing.T) {
	full := heard(1, false, 0)
	full.Model, full.MemoryTokens = "m", 24_000
	var a, b, c Table
	a.Merge(start, full, "")
	news, version := a.Since(start, 0, "")
	if news[0].Brief {
		t.Fatal("the first news is brief")
	}
	b.Merge(start, news[0], "a")
	next := full
	next.Seq, next.Load.Running = 2, 7
	a.Merge(start, next, "")
	news, version = a.Since(start, version, "")
	if len(news) != 1 || !news[0].Brief {
		t.Fatalf("news of the load: %+v", news)
	}
	brief := BackendUpdate{Brief: true, Backend: Backend{ID: "e", Epoch: 1, Seq: 2, Load: news[0].Load}}
	if ch := b.Merge(start, brief, "a"); ch != Refreshed {
		t.Errorf("change %d", ch)
	}
	if got, _ := b.Get("e"); got.Model != "m" || got.MemoryTokens != 24_000 || got.Load.Running != 7 {
		t.Errorf("got %+v", got)
	}
	if ch := c.Merge(start, brief, "a"); ch != Unknown || len(c.Live()) != 0 {
		t.Errorf("an unknown server: change %d, present %v", ch, c.Live())
	}
	next.Seq, next.Leaving = 3, true
	a.Merge(start, next, "")
	if news, _ = a.Since(start, version, ""); len(news) != 1 || news[0].Brief {
		t.Errorf("news that it leaves: %+v", news)
	}
}

// TestAddressReuse gives a backend server's address to another one: the first
// is gone, and its word that was held up does not bring it back.
func TestAddressReuse(t *testing.T) {
	old, late, next := heard(1, false, 0), heard(2, false, 0), heard(1, false, 0)
	old.Addr = netip.MustParseAddrPort("10.0.0.1:80")
	late.Addr, next.Addr = old.Addr, old.Addr
	next.ID = "f"
	// The second server may or may not tell that it started later.
	for _, epoch := range []uint64{old.Epoch, old.Epoch + 1} {
		next.Epoch = epoch
		var table Table
		table.Merge(start, old, "")
		table.Merge(start.Add(time.Second), next, "")
		if c := table.Merge(start.Add(2*time.Second), late, ""); c != Stale {
			t.Errorf("epoch %d: late news: change %d, want Stale", epoch, c)
		}
		if _, ok := table.Get("e"); ok {
			t.Errorf("epoch %d: the first server is present", epoch)
		}
		if _, ok := table.Get("f"); !ok {
			t.Errorf("epoch %d: the second server is not present", epoch)
		}
	}
}

// TestLeaveReachesOthers marks a server as leaving at a VM that lags behind
// another one in its news.
func TestLeaveReachesOthers(t *testing.T) {
	var lagging, ahead Table
	lagging.Merge(start, heard(3, false, 0), "")
	ahead.Merge(start, heard(9, false, 0), "")
	if _, ok := lagging.MarkLeaving(start, "e", 0); !ok {
		t.Fatal("no news")
	}
	news, _ := lagging.Since(start, 0, "")
	if c := ahead.Merge(start, news[0], "v"); c != Changed {
		t.Errorf("change %d, want Changed", c)
	}
	if b, _ := ahead.Get("e"); !b.Leaving || b.Seq != 9 {
		t.Errorf("leaving %t, sequence %d; want true, 9", b.Leaving, b.Seq)
	}
}

// TestSummaryTellsWhatWasHeardHere tells another failure domain of a server
// that announced itself to a VM outside its own domain.
func TestSummaryTellsWhatWasHeardHere(t *testing.T) {
	var table Table
	here, told := heard(1, false, 0), heard(1, false, 0)
	here.Domain, told.Domain, told.ID = "b", "b", "f"
	told.Addr = netip.MustParseAddrPort("10.0.0.2:80")
	table.Merge(start, here, "")
	table.Merge(start, told, "another")
	news, _ := table.Since(start, 0, "")
	out := Summary(news, "a")
	if len(out) != 1 || out[0].ID != "e" {
		t.Errorf("summary %v, want only the server that was heard here", out)
	}
}

// TestPlacer names one VM for all that hear the same ones, passes over those
// that can't place, and comes back to it.
func TestPlacer(t *testing.T) {
	var peers []Peer
	for _, id := range []string{"a", "b", "c", "d"} {
		peers = append(peers, Peer{ID: id, ServesCallers: true, Epoch: 1})
	}
	peers = append(peers, Peer{ID: "control", HasControlReplica: true, Epoch: 1})
	nobody := func(Peer) bool { return false }
	view := func(self int, skip string) Peer {
		g := Group{Self: peers[self]}
		for i, p := range peers {
			if i != self && p.ID != skip {
				g.ReceiveDirect(start, p)
			}
		}
		return g.PlacementVM(start, "service", false, nobody)
	}
	first := view(0, "")
	// Among many VMs the news of one may be nearly as old as its lease.
	late := Group{Self: peers[4]}
	for _, p := range peers[:4] {
		age := time.Second
		if p.ID == first.ID {
			age = PeerLease - time.Second
		}
		late.ReceiveRelayed(start, PeerUpdate{Peer: p, Age: age})
	}
	if p := late.PlacementVM(start, "service", false, nobody); p.ID != first.ID {
		t.Errorf("with old news of %s: %s", first.ID, p.ID)
	}
	for i := range 4 {
		if p := view(i, ""); p.ID != first.ID {
			t.Errorf("VM %s names %s, VM a names %s", peers[i].ID, p.ID, first.ID)
		}
	}
	other := 0
	if peers[0].ID == first.ID {
		other = 1
	}
	second := view(other, first.ID)
	if second.ID == first.ID || !second.ServesCallers {
		t.Errorf("without %s: %+v", first.ID, second)
	}
	g := Group{Self: peers[other]}
	for i, p := range peers {
		if i != other {
			g.ReceiveDirect(start, p)
		}
	}
	if p := g.PlacementVM(start, "service", false, func(p Peer) bool { return p.ID == first.ID }); p.ID != second.ID {
		t.Errorf("with %s distrusted: %s, want %s", first.ID, p.ID, second.ID)
	}
}
