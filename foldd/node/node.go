// Package node holds what one foldd process knows and decides: it runs the
// core's state machines under one lock and hands their decisions to the
// requests that wait for them.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/ticket"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/netio/clock"
)

// Intervals of the node's own work.
const (
	pollInterval   = 20 * time.Millisecond
	expireInterval = 500 * time.Millisecond
	// controlSilence is the time without news of any control VM after which they
	// count as lost.
	controlSilence = 4 * time.Second
)

// directPeers is the size of a group in which each VM tells urgent news to all
// others by itself, so that no silent VM in between holds it up.
const directPeers = 32

// Node is the state of one process. Make it with New.
type Node struct {
	Settings *conf.Settings
	Log      *logrus.Logger
	Metrics  metrics.Registry
	Clock    *clock.Service
	// Decode reads a configuration; New sets it to spec.Parse.
	Decode func(document []byte) (*spec.Document, error)
	// RequestPlacement asks the VM that places a service's requests; nil places all
	// here. It is called without the lock.
	RequestPlacement func(ctx context.Context, to member.Peer, a PlacementRequest) (PlacementResponse, error)
	// BackendChanged is called, without the lock, when a backend server is new,
	// has started again or leaves.
	BackendChanged func(b member.Backend)
	// Gossip is called, without the lock, when news must reach the VMs at the
	// given addresses at once.
	Gossip func(to []netip.AddrPort)

	index atomic.Pointer[spec.Index]
	// drainedAt is when the shutdown began, in nanoseconds; zero before.
	drainedAt atomic.Int64
	// abandoned is set once the process gives up its requests in progress.
	abandoned atomic.Bool
	streams   atomic.Int64
	ids       atomic.Uint64

	// SendTickets and SendDecisions hand messages for another VM to the
	// transport, which keeps their order and calls StewardLost when a batch did
	// not get through. They are called with the lock held and must not block.
	SendTickets   func(to netip.AddrPort, steward ticket.SchedulerID, b *ticket.Batch)
	SendDecisions func(to member.Peer, list []ticket.Decision)

	// started is when the process started.
	started time.Time

	meters meters
	// recorder is set before the first request, or never.
	recorder *recorder

	mu      sync.Mutex
	desk    *ticket.Client
	board   *ticket.Server
	table   member.Table
	group   member.Group
	budget  retry.Budget
	random  *rand.Rand
	waiters map[uint64]chan Decision
	// calls counts the plain calls in flight at each backend server.
	calls    map[string]int
	controls []netip.AddrPort
	// controlSilent is set while no control VM is heard.
	controlSilent bool
	// ticking is set while a tick is due.
	ticking bool
	// placer places forwarded requests; repeats is the retry budget of each
	// service.
	placer place.Placer
	// distrusted holds the VMs that are not asked for places, silent the failure
	// domains of which none is; told is what was
	// last told of each service's load; telling is set while the next is due.
	distrusted avoidance
	silent     avoidance
	told       map[string]told
	// growth is what the VM that places for all is told next of runs' lengths, by
	// service; lastRun is the number of the last run.
	growth  map[string][]place.LengthSample
	lastRun atomic.Uint64
	telling bool
	repeats map[string]*retry.WindowBudget
}

// New returns a node without a configuration.
func New(s *conf.Settings, log *logrus.Logger) *Node {
	n := &Node{
		Settings:       s,
		Log:            log,
		Metrics:        metrics.NewRegistry(),
		Clock:          clock.New(),
		Gossip:         func([]netip.AddrPort) {},
		Decode:         spec.Parse,
		BackendChanged: func(member.Backend) {},
		board:          ticket.NewServer(sched.New(sched.Options{Domain: s.Domain})),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiters:        map[uint64]chan Decision{},
		calls:          map[string]int{},
		placer:         place.Placer{Domain: s.Domain},
		started:        time.Now(),
		repeats:        map[string]*retry.WindowBudget{},
		distrusted:     avoidance{},
		silent:         avoidance{},
		told:           map[string]told{},
		growth:         map[string][]place.LengthSample{},
	}
	n.group.Self = member.Peer{
		ID:     s.ID,
		Addr:   s.Listen.Peers,
		Domain: s.Domain,
		Region: s.Region,
		Epoch:  uint64(time.Now().UnixNano()),
		// A VM that names no address for callers serves none.
		ServesCallers:     s.Listen.Callers.IsValid(),
		HasControlReplica: s.Control != nil,
	}
	n.table.Lease = time.Duration(s.Limits.BackendLease)
	n.group.Seeds = slices.Clone(s.Peers)
	n.controls = slices.Clone(s.ControlVMs)
	n.group.MaxDirectPeers = directPeers
	// Without a steward several VMs share the engines by late reports, and
	// looking at two at random keeps them from running to the same one.
	own := sched.New(sched.Options{Domain: s.Domain, SampleSize: 2, Random: n.random})
	n.desk = ticket.NewClient(s.ID, n.group.Self.Epoch, own, n.steward)
	n.Clock.Every(expireInterval, n.expire)
	return n
}

// SetSeeds replaces the addresses at which other VMs and control VMs are
// looked for.
func (n *Node) SetSeeds(peers, controls []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.Seeds = slices.Clone(peers)
	n.controls = slices.Clone(controls)
}

// ControlSeeds returns the addresses of the settings at which control VMs are
// looked for.
func (n *Node) ControlSeeds() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controls
}

// Count adds to a counter.
func (n *Node) Count(name string, delta int64) {
	metrics.GetOrRegisterCounter(name, n.Metrics).Inc(delta)
}

// Observe adds a duration to a histogram, in microseconds.
func (n *Node) Observe(name string, d time.Duration) {
	h := metrics.GetOrRegister(name, newHistogram).(metrics.Histogram)
	h.Update(d.Microseconds())
}

func newHistogram() metrics.Histogram {
	const (
		sampleSize = 1028
		alpha      = 0.015
	)
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, alpha))
}

// Index returns the configuration in force, or nil before the first one.
func (n *Node) Index() *spec.Index { return n.index.Load() }

// ApplyIndex puts a configuration in force unless a newer one is. It reports
// whether it did.
func (n *Node) ApplyIndex(x *spec.Index) bool {
	for {
		old := n.index.Load()
		if old != nil && old.Revision() >= x.Revision() {
			return false
		}
		if n.index.CompareAndSwap(old, x) {
			n.Log.WithField("revision", x.Revision()).Info("configuration in force")
			return true
		}
	}
}

// ApplyDocument puts a configuration in force that came from the named VM, or
// from the control part if the name is empty, and passes the news on.
func (n *Node) ApplyDocument(revision uint64, document []byte, from string) error {
	if x := n.Index(); x != nil && x.Revision() >= revision {
		return nil
	}
	d, err := n.Decode(document)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", revision, err)
	}
	if n.ApplyIndex(spec.NewIndex(d, revision).WithSource(document)) {
		n.Gossip(n.urgentTargets(from))
	}
	return nil
}

// Draining reports whether the process is shutting down.
func (n *Node) Draining() bool { return n.drainedAt.Load() != 0 }

// Ready reports whether new callers can be served: a configuration is in force
// and the process is not shutting down.
func (n *Node) Ready() bool { return n.Index() != nil && !n.Draining() }

// DrainingSince returns when the shutdown began, and false before it.
func (n *Node) DrainingSince() (time.Time, bool) {
	at := n.drainedAt.Load()
	return time.Unix(0, at), at != 0
}

// Random returns a random number in [0, 1).
func (n *Node) Random() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

// Drain turns the health red and refuses new requests.
func (n *Node) Drain() {
	if n.drainedAt.CompareAndSwap(0, time.Now().UnixNano()) {
		n.Log.WithField("streams", n.Streams()).Info("draining")
		n.Gossip(n.urgentTargets(""))
	}
}

// Abandon says that the process ends without finishing its requests.
func (n *Node) Abandon() { n.abandoned.Store(true) }

// Abandoned reports whether Abandon was called.
func (n *Node) Abandoned() bool { return n.abandoned.Load() }

// Streams returns the number of requests in progress.
func (n *Node) Streams() int64 { return n.streams.Load() }

// AcquireStream counts a request in progress; the caller calls Leave if it returns
// true. It returns false when the limit is reached.
func (n *Node) AcquireStream() bool {
	if n.streams.Add(1) > int64(n.Settings.Limits.MaxStreams) {
		n.streams.Add(-1)
		return false
	}
	return true
}

// ReleaseStream ends what Enter began.
func (n *Node) ReleaseStream() { n.streams.Add(-1) }

// NextID returns an ID for a request, unique in this process.
func (n *Node) NextID() uint64 { return n.ids.Add(1) }

// Submit queues a request; the verdict comes on the returned channel.
func (n *Node) Submit(r *sched.Request) <-chan Decision {
	ch := make(chan Decision, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiters[r.ID] = ch
	now := time.Now()
	n.desk.Submit(now, r)
	n.poll(now)
	return ch
}

// Cancel drops a request that waits or whose verdict is no longer wanted.
func (n *Node) Cancel(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	delete(n.waiters, id)
	n.desk.Cancel(now, id)
	n.poll(now)
}

// Progress tells how far a request has come.
func (n *Node) Progress(id uint64, generated int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.desk.Progress(time.Now(), id, generated)
}

// Finish ends a dispatched request.
func (n *Node) Finish(id uint64, r sched.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.desk.Finish(now, id, r)
	n.poll(now)
}

// CountFirstAttempt counts a first attempt for the retry budget.
func (n *Node) CountFirstAttempt() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget.Deposit()
}

// TakeRetry takes a retry from the budget and returns the wait before it.
func (n *Node) TakeRetry(attempt int) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if attempt >= retry.MaxAttempts || !n.budget.Withdraw() {
		return 0, false
	}
	return retry.Backoff(attempt, n.random.Float64()), true
}

// RequestCounts returns the number of requests that wait and that are at engines, by
// class.
func (n *Node) RequestCounts() (queued, running map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.desk.Counts()
}
