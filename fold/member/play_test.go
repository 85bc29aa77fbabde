package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// Estimates of the size of messages in bytes.
const (
	messageBytes = 350
	recordBytes  = 90
	bucketBytes  = 5
	leaseBytes   = 2
)

// playDomains is the number of failure domains of a played fleet.
const playDomains = 5

// playSeeds is the number of VMs that all others know from the start.
const playSeeds = 3

// seedPeriod and seedInterval are the time for which a VM contacts all seeds after its
// start, and the time between two contacts.
const (
	seedPeriod   = 3 * time.Second
	seedInterval = 250 * time.Millisecond
)

// fleet is a group of VMs that exchange in virtual time.
type fleet struct {
	t      *testing.T
	r      *rand.Rand
	now    time.Time
	events eventQueue
	vms    []*playVM
	byAddr map[netip.AddrPort]*playVM
	// loss is the share of the messages that are lost.
	loss float64
	// retransmits is set if a lost message arrives later instead, as over TCP.
	retransmits bool
	// cut reports whether no message passes between two VMs; nil if none is cut.
	cut func(a, b *playVM) bool
}

// playVM is one VM of a fleet.
type playVM struct {
	group *Group
	peer  Peer
	dead  bool
	// deadSince is when the VM last died.
	deadSince time.Time
	// started is when the process started. bytes counts what it has sent.
	started time.Time
	bytes   int
	// generation is increased by a restart, which voids the timers of the process.
	generation int
}

type playEvent struct {
	at  time.Time
	run func()
}

type eventQueue []playEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(playEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func newFleet(t *testing.T, size int, seed uint64) *fleet {
	f := &fleet{t: t, r: rand.New(rand.NewPCG(seed, 7)), now: start, byAddr: map[netip.AddrPort]*playVM{}}
	for i := range size {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1)
		v := &playVM{peer: Peer{ID: fmt.Sprintf("vm-%03d", i), Addr: addr, Domain: fmt.Sprint("d", i%playDomains), ServesCallers: i >= playSeeds}}
		f.vms = append(f.vms, v)
		f.byAddr[addr] = v
	}
	for _, v := range f.vms {
		f.start(v, f.now.Add(time.Duration(f.r.IntN(300))*time.Millisecond))
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, playEvent{f.now.Add(d), run})
}

// start starts the process of a VM at a time.
func (f *fleet) start(v *playVM, at time.Time) {
	v.generation++
	generation := v.generation
	v.dead, v.started = false, at
	self := v.peer
	self.Epoch = uint64(at.UnixNano())
	v.group = &Group{Self: self}
	for _, s := range f.vms[:playSeeds] {
		if s != v {
			v.group.Seeds = append(v.group.Seeds, s.peer.Addr)
		}
	}
	every := func(first, interval time.Duration, run func() bool) {
		var tick func()
		tick = func() {
			if v.generation == generation && !v.dead && run() {
				f.after(interval, tick)
			}
		}
		f.after(at.Sub(f.now)+first, tick)
	}
	every(0, seedInterval, func() bool {
		for _, addr := range v.group.Seeds {
			f.exchange(v, addr)
		}
		return f.now.Sub(at) < seedPeriod
	})
	every(ExchangeInterval, ExchangeInterval, func() bool {
		for _, addr := range v.group.ExchangeTargets(f.now, f.r) {
			f.exchange(v, addr)
		}
		return true
	})
}

// send delivers a message to a VM after a delay, unless it is lost. A VM that was started
// again meanwhile gets it too, as the address is the same.
func (f *fleet) send(from, to *playVM, bytes int, deliver func()) {
	from.bytes += bytes
	delay := time.Duration(1000+f.r.IntN(4000)) * time.Microsecond
	if f.retransmits {
		delay += f.retransmission()
	} else if f.r.Float64() < f.loss {
		return
	}
	if f.cut != nil && f.cut(from, to) {
		return
	}
	f.after(delay, func() {
		if !to.dead && !to.started.After(f.now) {
			deliver()
		}
	})
}

func digestBytes(l *Leases) int {
	n := 0
	for _, b := range l {
		n += bucketBytes + leaseBytes*len(b.Leases)
	}
	return n
}

// minRetransmission is the time after which a lost message is sent again for the first time.
const minRetransmission = 200 * time.Millisecond

// retransmission returns the delay of a message by losses, each of which doubles the time
// until it is sent again.
func (f *fleet) retransmission() time.Duration {
	total := time.Duration(0)
	for wait := minRetransmission; f.r.Float64() < f.loss; wait *= 2 {
		total += wait
	}
	return total
}

// exchange plays one exchange, with a second request if the other VM lacks reports.
func (f *fleet) exchange(v *playVM, addr netip.AddrPort) {
	f.request(v, addr, nil, true)
	f.watch(v, addr)
}

func (f *fleet) request(v *playVM, addr netip.AddrPort, known []PeerUpdate, again bool) {
	o := f.byAddr[addr]
	if o == nil || o == v {
		return
	}
	v.group.Beat(f.now)
	digest, self := v.group.Leases(f.now), v.group.Self
	f.send(v, o, messageBytes+digestBytes(&digest)+recordBytes*len(known), func() {
		g := o.group
		g.Beat(f.now)
		g.ReceiveDirect(f.now, self)
		f.adopt(o, self)
		for _, u := range known {
			g.ReceiveRelayed(f.now, u)
		}
		reply := g.Updates(f.now, g.RenewLeases(f.now, &digest))
		replyDigest, replySelf := g.Leases(f.now), g.Self
		f.send(o, v, messageBytes+digestBytes(&replyDigest)+recordBytes*len(reply), func() {
			v.group.ReceiveDirect(f.now, replySelf)
			f.adopt(v, replySelf)
			for _, u := range reply {
				v.group.ReceiveRelayed(f.now, u)
			}
			lacking := v.group.Updates(f.now, v.group.RenewLeases(f.now, &replyDigest))
			if again && len(lacking) > 0 {
				f.request(v, addr, lacking, false)
			}
		})
	})
}

// runUntil plays until a time after the start.
func (f *fleet) runUntil(d time.Duration) {
	end := start.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(playEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// alive returns the VMs that run.
func (f *fleet) alive() []*playVM {
	var out []*playVM
	for _, v := range f.vms {
		if !v.dead {
			out = append(out, v)
		}
	}
	return out
}

// disagreement returns the smallest number of others that a VM counts as live, the largest,
// and the number of VMs that are believed to place the requests of a service.
func (f *fleet) disagreement() (least, most, placers int) {
	alive := f.alive()
	least = len(alive)
	believed := map[string]bool{}
	for _, v := range alive {
		n := len(v.group.Live(f.now))
		least, most = min(least, n), max(most, n)
		believed[v.group.PlacementVM(f.now, "service", "", false, func(Peer) bool { return false }).ID] = true
	}
	return least, most, len(believed)
}

// checkAgreed fails the test unless every VM counts exactly the others as live and all
// believe the same one to place.
func (f *fleet) checkAgreed(what string) {
	f.t.Helper()
	want := len(f.alive()) - 1
	if least, most, placers := f.disagreement(); least != want || most != want || placers != 1 {
		f.t.Errorf("%s: VMs count %d to %d of %d others as live, and %d VMs are believed to place; want all and one", what, least, most, want, placers)
	}
}

// resetBytes starts the count of the bytes that VMs send.
func (f *fleet) resetBytes() {
	for _, v := range f.vms {
		v.bytes = 0
	}
}

// Targets: the traffic of one VM that sends for the control of the system at the size of
// 330 VMs, on average, and what no VM may exceed.
const (
	meanBytesPerSecond = 7_000
	mostBytesPerSecond = 4 * meanBytesPerSecond
)

// checkBytes fails the test if VMs have sent more than the targets in the given time.
func (f *fleet) checkBytes(what string, in time.Duration) {
	f.t.Helper()
	total, most := 0, 0
	for _, v := range f.vms {
		total += v.bytes
		most = max(most, v.bytes)
	}
	mean := float64(total) / float64(len(f.vms)) / in.Seconds()
	peak := float64(most) / in.Seconds()
	f.t.Logf("%s: %d VMs send %.0f bytes a second on average, %.0f at most", what, len(f.vms), mean, peak)
	if mean > meanBytesPerSecond || peak > mostBytesPerSecond {
		f.t.Errorf("%s: a VM sends %.0f bytes a second on average and %.0f at most, want at most %d and %d", what, mean, peak, meanBytesPerSecond, mostBytesPerSecond)
	}
}

// TestFleetAgrees plays fleets of several sizes, of which VMs die, start again and are cut
// off, with and without lost messages.
func TestFleetAgrees(t *testing.T) {
	for _, size := range []int{25, 87, 200, 330} {
		for _, loss := range []float64{0, 0.1} {
			t.Run(fmt.Sprintf("%d VMs, %.0f%% lost", size, 100*loss), func(t *testing.T) {
				t.Parallel()
				playFleet(t, size, loss)
			})
		}
	}
}

func playFleet(t *testing.T, size int, loss float64) {
	f := newFleet(t, size, uint64(size))
	f.loss = loss
	at := 5 * time.Second
	f.runUntil(at)
	f.checkAgreed("5 s after a cold start")

	f.resetBytes()
	for range 30 {
		at += time.Second
		f.runUntil(at)
		f.checkAgreed(fmt.Sprint("in steady state, after ", at))
	}
	f.checkBytes("steady state", 30*time.Second)

	// A VM that dies is gone within its lease and 2 s.
	for i := range size / 20 {
		f.vms[playSeeds+i*7].dead = true
	}
	at += PeerLease + 2*time.Second
	f.runUntil(at)
	f.checkAgreed("a twentieth died, after their lease and 2 s")

	// A sixth starts again, in a wave.
	f.resetBytes()
	for i := range size / 6 {
		f.start(f.vms[playSeeds+i*5], f.now.Add(time.Duration(i)*30*time.Millisecond))
	}
	at += time.Duration(size/6)*30*time.Millisecond + 5*time.Second
	f.runUntil(at)
	for _, v := range f.vms {
		if v.dead {
			f.start(v, f.now)
		}
	}
	at += PeerLease + 5*time.Second
	f.runUntil(at)
	f.checkAgreed("after a wave of restarts")

	// A failure domain is cut off and comes back.
	f.cut = func(a, b *playVM) bool { return (a.peer.Domain == "d2") != (b.peer.Domain == "d2") }
	at += PeerLease + 5*time.Second
	f.runUntil(at)
	f.cut = nil
	at += 5 * time.Second
	f.runUntil(at)
	f.checkAgreed("5 s after a failure domain came back")
}
