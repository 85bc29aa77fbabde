package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/wire"
)

const (
	// evacuationBound is the time in which an acknowledged order must be in force.
	evacuationBound = 5 * time.Second
	// connectedTime is how long a VM and a quorum must have been left alone for the VM to
	// count as connected: an election and the query of a VM that starts take up to 1 s each,
	// and a VM asks again every second.
	connectedTime = 3 * time.Second
	// orderTimeout bounds one attempt of an order, and orderTime the time for which it is
	// resent.
	orderTimeout = time.Second
	orderTime    = 5 * time.Second
	// staleTime is the time after which an attempt without an acknowledgement takes no
	// effect any more. It may be held by a proxy, then by a suspended VM, and then wait for
	// a quorum.
	staleTime = 6 * time.Second
	// orderGap is the longest pause after an order that is soon followed by the next one,
	// and minHeld and maxHeld bound the others. An order is checked only after
	// evacuationBound.
	orderGap = time.Second
	minHeld  = 6 * time.Second
	maxHeld  = 9 * time.Second
	// heldTime is the time for which the last orders are checked at the end.
	heldTime = time.Second
	// orderRaceChance is the chance that two opposite orders race before one is given that
	// holds, and evacuateChance the chance that the latter evacuates.
	orderRaceChance = 0.5
	evacuateChance  = 0.7
)

// evacuatedDomains are the failure domains that operators evacuate. Each service has
// servers elsewhere.
var evacuatedDomains = []string{"domain-vm2", "domain-vm3"}

// order is an order about a failure domain.
type order struct {
	domain string
	undo   bool
	began  time.Time
	// acknowledged is zero without an acknowledgement. From settled on, no attempt takes
	// effect; it is zero while the order is being sent.
	acknowledged, settled time.Time
}

// orders holds the orders of a run. The zero value is empty. It is safe for concurrent use.
type orders struct {
	mu   sync.Mutex
	list []*order
	// checked counts the observations that a known state applied to, by kind.
	checked map[string]int
}

// begin adds an order that is being sent from now on.
func (o *orders) begin(now time.Time, domain string, undo bool) *order {
	o.mu.Lock()
	defer o.mu.Unlock()
	x := &order{domain: domain, undo: undo, began: now}
	o.list = append(o.list, x)
	return x
}

// end notes how an order has ended. failed is when its last attempt without an
// acknowledgement ended, zero if there was none.
func (o *orders) end(x *order, now, failed time.Time, acknowledged bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x.settled = now
	if acknowledged {
		x.acknowledged = now
	}
	if !failed.IsZero() {
		x.settled = failed.Add(staleTime)
	}
}

// inForce returns the order that must be in force about a domain, nil if that is not known:
// the last one acknowledged evacuationBound ago, unless an opposite one may have taken
// effect after it. A nil orders has none.
func (o *orders) inForce(now time.Time, domain string) *order {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var last *order
	for _, x := range o.list {
		known := x.domain == domain && !x.acknowledged.IsZero() && now.Sub(x.acknowledged) > evacuationBound
		if known && (last == nil || x.began.After(last.began)) {
			last = x
		}
	}
	for _, x := range o.list {
		opposite := last != nil && x.domain == domain && x.undo != last.undo
		if opposite && (x.settled.IsZero() || x.settled.After(last.began)) {
			return nil
		}
	}
	return last
}

func (o *orders) countChecked(kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checked == nil {
		o.checked = map[string]int{}
	}
	o.checked[kind]++
}

// counts returns the numbers of orders, of those acknowledged, and of observations checked.
func (o *orders) counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := map[string]int{"orders.all": len(o.list)}
	for _, x := range o.list {
		if !x.acknowledged.IsZero() {
			counts["orders.acknowledged"]++
		}
	}
	for kind, n := range o.checked {
		counts["orders."+kind] = n
	}
	return counts
}

// evacuate gives orders about a domain until more ends. Some race with each other.
func (o *operators) evacuate(ctx, more context.Context, domain string, r *rand.Rand) {
	for more.Err() == nil {
		if r.Float64() < orderRaceChance {
			first, second := r.IntN(len(o.world.vms)), r.IntN(len(o.world.vms))
			var race sync.WaitGroup
			race.Go(func() { o.order(ctx, first, domain, false) })
			race.Go(func() { o.order(ctx, second, domain, true) })
			race.Wait()
		}
		o.order(ctx, r.IntN(len(o.world.vms)), domain, r.Float64() >= evacuateChance)
		held := time.Duration(r.Float64() * float64(orderGap))
		if r.Float64() < 0.5 {
			held = minHeld + time.Duration(r.Float64()*float64(maxHeld-minHeld))
		}
		sleep(more, held)
	}
}

// holdOrders leaves the last orders in force, evacuates the last domain, and waits until the
// checks have applied to VMs that are all left alone. What was acknowledged before must have
// survived the faults.
func (o *operators) holdOrders(ctx context.Context) {
	o.order(ctx, 0, evacuatedDomains[len(evacuatedDomains)-1], false)
	sleep(ctx, evacuationBound+heldTime)
}

// order sends an order to one VM after another until one acknowledges it, orderTime has
// passed, or ctx ends.
func (o *operators) order(ctx context.Context, vm int, domain string, undo bool) {
	x := o.world.orders.begin(time.Now(), domain, undo)
	var failed time.Time
	for i := 0; ctx.Err() == nil && time.Since(x.began) < orderTime; i++ {
		err := o.world.vms[(vm+i)%len(o.world.vms)].order(ctx, domain, undo)
		if err == nil {
			o.world.orders.end(x, time.Now(), failed, true)
			return
		}
		failed = time.Now()
		sleep(ctx, 50*time.Millisecond)
	}
	if ctx.Err() == nil && o.quorumSince(x.began) {
		o.findings.add(Evacuated, "", "an order about %s was not acknowledged within %v", domain, orderTime)
	}
	o.world.orders.end(x, time.Now(), failed, false)
}

// order sends an order to the VM, and again for as long as it names an outdated version of the set
// of evacuated domains.
func (v *vm) order(ctx context.Context, domain string, undo bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	version := uint64(0)
	for {
		res, err := v.client.Evacuate(ctx, connect.NewRequest(&wire.EvacuateRequest{Domain: domain, Undo: undo, IfVersion: &version}))
		if err != nil {
			return fmt.Errorf("order at %s: %w", v.id, err)
		}
		if !res.Msg.GetOutdated() {
			return nil
		}
		version = res.Msg.GetEvacuations().GetVersion()
	}
}

// checkEvacuated checks that a request that begins work does not reach an evacuated server
// from a connected VM. A request for another server gets 421 and doesn't count.
func (s *servers) checkEvacuated(x *instance, r *http.Request, id string) {
	now := time.Now()
	if misdirected(x, r) || !s.isEvacuated(now) || !s.connected(s.passes.sender(id), now.Add(-connectedTime)) {
		return
	}
	s.orders.countChecked("requestsWhileEvacuated")
	in := s.orders.inForce(now, x.domain)
	if in == nil || in.undo {
		return
	}
	s.findings.add(Evacuated, id, "reached a server of %s %v after the order was acknowledged", x.domain, now.Sub(in.acknowledged).Round(time.Millisecond))
}

// misdirected reports whether a request is for another server than the one it reached, which
// answers with 421.
func misdirected(x *instance, r *http.Request) bool {
	backend := r.Header.Get("Fold-Backend")
	return x.origin != nil && backend != "" && backend != x.origin.ID
}

// isEvacuated reports whether any domain must be evacuated.
func (s *servers) isEvacuated(now time.Time) bool {
	return slices.ContainsFunc(evacuatedDomains, func(domain string) bool {
		in := s.orders.inForce(now, domain)
		return in != nil && !in.undo
	})
}

// observe checks a request of the own interface. What names a generation that exists begins
// no work.
func (s *servers) observe(x *instance, r *http.Request) {
	if x.service == serviceOnce {
		s.checkEvacuated(x, r, r.Header.Get(headerKey))
		return
	}
	if r.Method != http.MethodPost || r.URL.Path != "/v1/completions" {
		return
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), errReader{err}))
	// The request ID is part of the prompt, see generate.
	if _, rest, found := bytes.Cut(body, []byte("Notes of ")); found {
		id, _, _ := bytes.Cut(rest, []byte("."))
		s.checkEvacuated(x, r, string(id))
	}
}

// errReader returns the error of a body that was read before.
type errReader struct{ err error }

func (e errReader) Read([]byte) (int, error) { return 0, cmp.Or(e.err, io.EOF) }

// checkEvacuations checks the set of evacuated domains that a VM shows, read at a time.
func (w *watcher) checkEvacuations(at time.Time, incarnation int, set *wire.Evacuations) {
	o := w.operators
	if incarnation == w.incarnation && set.GetVersion() < w.setVersion {
		o.findings.add(Evacuated, "", "%s went back from set %d of evacuated domains to %d", w.vm.id, w.setVersion, set.GetVersion())
	}
	w.setVersion = set.GetVersion()
	since := at.Add(-connectedTime)
	if !w.vm.calmSince(since) || !o.quorumSince(since) {
		return
	}
	shown := map[string]bool{}
	for _, e := range set.GetDomains() {
		shown[e.GetDomain()] = true
	}
	for _, domain := range evacuatedDomains {
		in := o.world.orders.inForce(at, domain)
		if in == nil {
			continue
		}
		o.world.orders.countChecked("statusOfKnownOrder")
		// An order that began after the status was read doesn't count against it.
		if again := o.world.orders.inForce(time.Now(), domain); again == in && shown[domain] == in.undo {
			o.findings.add(Evacuated, "", "%s shows %s evacuated: %v, against an order acknowledged %v before", w.vm.id, domain, shown[domain], at.Sub(in.acknowledged).Round(time.Millisecond))
		}
	}
}
