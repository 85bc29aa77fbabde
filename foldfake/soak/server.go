package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/foldfake/plain"
)

// Names of the services in the configuration of a soak.
const (
	serviceEngines = "advice-models"
	serviceOnce    = "booking-app"
	serviceDrafts  = "drafts"
	serviceWrites  = "writes"
	serviceNotes   = "notes"
	serviceCold    = "lookups"
	modelName      = "advice-7b"
)

// layout lists the service of each backend server.
var layout = []string{
	serviceEngines, serviceEngines, serviceEngines, serviceOnce, serviceOnce,
	serviceDrafts, serviceDrafts, serviceDrafts, serviceWrites, serviceWrites,
	serviceNotes, serviceNotes, serviceNotes,
	serviceCold, serviceCold, serviceCold,
}

// domains lists the failure domain of each backend server. Those of domain-vm1 are never
// evacuated.
var domains = []string{
	"domain-vm1", "domain-vm3", "domain-vm2", "domain-vm1", "domain-vm2",
	"domain-vm1", "domain-vm3", "domain-vm2", "domain-vm1", "domain-vm2",
	"domain-vm1", "domain-vm3", "domain-vm2",
	"domain-vm1", "domain-vm3", "domain-vm2",
}

// pace returns the time that a step takes at the servers of a failure domain, of the normal
// one.
func pace(domain string) float64 {
	if domain == domains[0] {
		return 0.55
	}
	return 1.2
}

// firstForwarded is the index in layout of the first server that forwards go to.
const firstForwarded = 5

// firstNotes is that of the first server of streams that may be resumed. The faults of the
// servers from there on are drawn by themselves.
const firstNotes = 10

// firstCold is that of the first server that is cold after its start.
const firstCold = 13

const (
	// announceInterval is a small part of the lease of a backend server.
	announceInterval = 300 * time.Millisecond
	// leaveTime is how long a backend server that leaves goes on, and leaveBound the
	// time after which it must get nothing new.
	leaveTime  = 3500 * time.Millisecond
	leaveBound = 2 * time.Second
	// draftEvents is the length of a forwarded stream, and draftGap the time between
	// its events.
	draftEvents = 40
	draftGap    = 8 * time.Millisecond
)

// instance is one backend server from its start to its end.
type instance struct {
	service string
	// domain is the failure domain that the server announces.
	domain string
	proxy  *Proxy
	engine *host.Engine
	plain  *plain.Service
	origin *origin.Server
	cancel context.CancelFunc

	mu sync.Mutex
	// leavingSince is when the server announced that it leaves, zero before.
	leavingSince time.Time
	// breaking is set while the server breaks its answers off, and endless while a part of
	// them has no end.
	breaking, endless bool
	// limited watches the limit that a server of forwards names. It doesn't change.
	limited limited
	// cold counts the requests that come while the server is cold.
	cold cold
	// statements is what a server of forwards says of itself.
	statements statements
}

// servers holds the backend servers of a soak.
type servers struct {
	entries  []netip.AddrPort
	findings *findings
	// calm reports whether a VM, by its index, was left alone since a time.
	calm func(vm int, since time.Time) bool
	// connected reports the same of a VM and of a quorum of the control group.
	connected func(vm int, since time.Time) bool
	orders    *orders
	// old is set if programs of an earlier version play, too: the configuration has no start
	// rate, which they reject, and no response is malformed, which they pass on.
	old bool
	// whileCold counts the requests to cold servers.
	whileCold atomic.Int64
	// passes holds the requests that one VM has passed on to another.
	passes passes

	mu      sync.Mutex
	current []*instance
	all     []*instance
	started int
}

// quiet returns a logger for stand-ins, whose log says nothing of the system.
func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// startAll starts a server for each entry of the layout.
func (s *servers) startAll() error {
	s.current = make([]*instance, len(layout))
	for i := range layout {
		if err := s.replace(i); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a new server in the place of number i.
func (s *servers) replace(i int) error {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("s%d", s.started)
	s.mu.Unlock()
	x, err := s.newInstance(id, layout[i], domains[i])
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current[i] = x
	s.all = append(s.all, x)
	return nil
}

func (s *servers) newInstance(id, service, domain string) (*instance, error) {
	// The target is set once the server listens.
	p, err := NewProxy(netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	x := &instance{service: service, domain: domain, proxy: p, cancel: func() {}, limited: limited{meter: &meter.Meter{}}}
	observed := &meter.Meter{Observe: func(r *http.Request) { s.observe(x, r) }}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	var addr netip.AddrPort
	switch service {
	case serviceEngines:
		params := model.Params{StepBase: time.Duration(pace(domain) * float64(2*time.Millisecond)), StepPerSeq: time.Microsecond, StepPerKTok: time.Microsecond, PrefillPerKTok: time.Millisecond}
		x.engine, err = host.New(host.Config{ID: id, Addr: loopback, Advertise: p.Addr(), Service: service, Model: modelName, Domain: domain, Params: params, Entries: s.entries, Interval: announceInterval, Log: quiet(), Meter: observed})
		if err == nil {
			addr = x.engine.Addr()
		}
	case serviceOnce:
		x.plain, err = plain.New(plain.Config{ID: id, Addr: loopback, Advertise: p.Addr(), Service: service, Domain: domain, Entries: s.entries, Interval: announceInterval, Log: quiet(), Meter: observed})
		if err == nil {
			addr = x.plain.Addr()
		}
	default:
		x.origin, err = origin.New(id, func(r *http.Request) origin.Behaviour { return s.behave(x, r) })
		if err == nil {
			x.origin.Meter = x.limited.meter
			if service == serviceCold && !s.old {
				x.cold.start(time.Now())
			}
			addr = x.origin.Addr()
			var ctx context.Context
			ctx, x.cancel = context.WithCancel(context.Background())
			go s.announceLoop(ctx, x)
		}
	}
	if err != nil {
		p.Close()
		return nil, fmt.Errorf("start backend server %s: %w", id, err)
	}
	p.setTarget(addr)
	return x, nil
}

func (p *Proxy) setTarget(a netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = a
}

// behave returns what a stand-in of a forwarded service does with a request. It checks
// that a server that leaves gets none from a VM that was left alone.
func (s *servers) behave(x *instance, r *http.Request) origin.Behaviour {
	id := r.Header.Get(headerRequest)
	x.mu.Lock()
	leaving, breaking, endless := x.leavingSince, x.breaking, x.endless
	x.mu.Unlock()
	s.checkLimit(x, r)
	s.checkCold(x, r, id)
	s.checkEvacuated(x, r, id)
	if !leaving.IsZero() && time.Since(leaving) > leaveBound && s.calm(s.passes.sender(id), leaving) && r.Header.Get("Fold-Resume") == "" {
		s.findings.add(LeavingIdle, id, "reached a server %v after it announced that it leaves", time.Since(leaving).Round(time.Millisecond))
	}
	b := origin.Behaviour{Body: "answer to " + id}
	if x.service == serviceDrafts || x.service == serviceNotes {
		b = origin.Behaviour{Events: draftEvents, Gap: time.Duration(pace(x.domain) * float64(draftGap))}
	}
	if breaking {
		breakAnswer(&b, id)
	}
	if breaking && !s.old {
		malformAnswer(&b, id)
	}
	if endless {
		b.Endless = endlessPart(id)
	}
	s.checkStatements(x, r, &b)
	return b
}

// breakAnswer makes a behaviour break off in a way that depends on the request's ID.
func breakAnswer(b *origin.Behaviour, id string) {
	x := hashOf(id)
	b.CloseDelimited = x&1 != 0
	b.TruncateAt = 1 + int(x>>3)%5
	if b.Events > 0 {
		b.TruncateAt = 1 + int(x>>3)%draftEvents
	}
	b.CleanEnd = x&2 != 0
	// A body without framing that ends without a reset looks whole.
	b.Reset = b.Events == 0
	b.Drop = x&28 == 28
}

// malformAnswer makes a behaviour send a response that is none in HTTP, or a status that tells
// callers that a request has not run that has, for a part of the requests each by their IDs.
func malformAnswer(b *origin.Behaviour, id string) {
	switch x := hashOf(id); x >> 8 % 4 {
	case 0:
		b.Raw = origin.Malformed(id, int(x>>10))
	case 1:
		*b = origin.Behaviour{Status: promises[x>>10%uint32(len(promises))], Body: "failed", CloseDelimited: b.CloseDelimited}
	}
}

// hashOf returns a number that depends on a request's ID.
func hashOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return h.Sum32()
}

// announceLoop announces a stand-in of a forwarded service to the VMs in turn.
func (s *servers) announceLoop(ctx context.Context, x *instance) {
	a := host.Announcement{ID: x.origin.ID, Addr: x.proxy.Addr().String(), Kind: "plain", Service: x.service, Domain: x.domain, Epoch: uint64(time.Now().UnixNano())}
	for {
		x.mu.Lock()
		a.Leaving = !x.leavingSince.IsZero()
		x.mu.Unlock()
		a.ColdMillis = uint64(x.cold.left(time.Now()).Milliseconds())
		a.Seq++
		for i := range s.entries {
			if host.Announce(ctx, s.entries[(int(a.Seq)+i)%len(s.entries)].String(), "", a) == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// leave lets a server announce that it leaves.
func (x *instance) leave() {
	switch {
	case x.engine != nil:
		x.engine.Leave()
	case x.plain != nil:
		x.plain.Leave()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	// The next announcement, which a VM must accept first, says so.
	x.leavingSince = time.Now().Add(announceInterval + statusTimeout)
}

// setBreaking lets a server break off its answers, or ends that.
func (x *instance) setBreaking(on bool) {
	x.mu.Lock()
	x.breaking = on
	x.mu.Unlock()
	switch {
	case x.engine != nil && on:
		x.engine.Inject(host.Fault{Kind: host.FaultDrop, Tokens: 3})
	case x.engine != nil:
		x.engine.Inject(host.Fault{Kind: host.FaultNone})
	case x.plain != nil && on:
		x.plain.Inject(plain.FaultLoseAnswer)
	case x.plain != nil:
		x.plain.Inject("")
	}
}

// setEndless lets a server send bytes without end, or ends that.
func (x *instance) setEndless(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endless = on
}

func (x *instance) close() {
	x.cancel()
	// Nobody reaches a server that has crashed.
	x.proxy.listener.Close()
	if x.engine != nil {
		_ = x.engine.Close()
	}
	if x.plain != nil {
		_ = x.plain.Close()
	}
	if x.origin != nil {
		x.origin.Close()
	}
	x.proxy.Close()
}

// at returns the current server number i.
func (s *servers) at(i int) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current[i]
}

func (s *servers) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.all {
		x.close()
	}
}

// runs returns how often a request or a call with an idempotency key ran.
func (s *servers) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, x := range s.all {
		if x.plain != nil {
			n += x.plain.RunCount(id)
		}
		if x.origin != nil {
			n += x.origin.RunCount(id)
		}
	}
	return n
}

// vmOf returns the index of the VM that a request was sent to, from its ID.
func vmOf(id string) int {
	text, _, _ := strings.Cut(strings.TrimPrefix(id, "v"), "-")
	// An ID that no caller of the soak made has no VM.
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}
