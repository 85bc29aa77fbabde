// Package node holds the state of one foldd process. It runs the state machines
// of the fold packages under one lock and delivers their decisions to waiting
// requests.
//
// A VM may have several roles. An entry VM serves callers. A control VM runs a
// control replica (see package ctrl). The scheduler of a model is the VM that
// schedules the model's generations for its failure domain (see package ticket).
// The placement VM of a service chooses the backend server of each forwarded
// request for its region (see package place). Every VM determines the scheduler
// and the placement VM by itself, from the live VMs that it knows.
//
// A VM that is shutting down is draining; a backend server that is shutting down
// is leaving. An epoch identifies one start of a VM or of a backend server.
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
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/fold/reach"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/ticket"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/memory"
	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/netio/bound"
	"fuchsiafold.example/netio/clock"
)

// Intervals of periodic work.
const (
	pollInterval   = 20 * time.Millisecond
	expireInterval = 500 * time.Millisecond
	// controlTimeout is the time without a report from any control VM after
	// which the control VMs count as unreachable.
	controlTimeout = 4 * time.Second
)

// maxDirectPeers is the largest number of live peers to which a VM sends urgent
// updates directly, so that an unresponsive VM in between cannot delay them.
const maxDirectPeers = 32

// Node is the state of one foldd process. Use New to create one.
type Node struct {
	Settings *conf.Settings
	Log      *logrus.Logger
	Metrics  metrics.Registry
	// Traffic counts the messages of this VM in Metrics.
	Traffic *traffic.Counts
	Clock   *clock.Service
	// Answers is the memory for bodies of backend servers' responses.
	Answers bound.Memory
	// Memory decides whether the process may take more requests.
	Memory memory.Guard
	// Decode parses a configuration document. New sets it to spec.Parse.
	Decode func(document []byte) (*spec.Document, error)
	// RequestPlacement sends a request for a placement, or only a load report,
	// to the placement VM of a service. If it is nil, all requests are placed
	// locally. It is called without the lock.
	RequestPlacement func(ctx context.Context, to member.Peer, req PlacementRequest) (PlacementResponse, error)
	// RequestPermit asks another VM for a permit to send a request to a server of a
	// service. If it is nil, this VM uses its own share of each rate limit. It is called
	// without the lock.
	RequestPermit func(ctx context.Context, to member.Peer, service string, q limit.Request) (limit.Reply, error)
	// BackendChanged is called, without the lock, when a backend server is new,
	// has restarted or is leaving.
	BackendChanged func(b member.Backend)
	// ProbeServer opens a connection to a backend server and calls ServerAnswered or
	// ConnectFailed. If it is nil, no server is probed. It is not set after the first request.
	ProbeServer func(b member.Backend)
	// Gossip is called, without the lock, when an update must reach the VMs at
	// the given addresses at once.
	Gossip func(to []netip.AddrPort)

	index atomic.Pointer[spec.Index]
	// drainedAt is when the drain began, nil before. The time has a monotonic reading:
	// a step of the clock doesn't change how long the drain has taken.
	drainedAt atomic.Pointer[time.Time]
	// end is canceled by EndRequests.
	end         context.Context
	endRequests context.CancelFunc
	// abandoned is set when the process ends without finishing the requests in
	// progress.
	abandoned atomic.Bool
	// streams counts the requests in progress, streamed or not.
	streams atomic.Int64
	// ids is the last ID that NextID returned.
	ids atomic.Uint64

	// SendTickets and SendDecisions pass messages for another VM to the
	// transport, which keeps their order and calls SchedulerLost when a batch
	// is not delivered. They are called with the lock held and must not block.
	SendTickets   func(to netip.AddrPort, scheduler ticket.SchedulerID, b *ticket.Batch)
	SendDecisions func(to member.Peer, list []ticket.Decision)

	// started is when the process started.
	started time.Time

	measures policyMeasures
	// recorder is nil if recording is off. It is not set after the first request.
	recorder *recorder

	// mu is the lock of the node. It protects the fields below, except lastRunID,
	// which is atomic, and group.Self.Epoch, which does not change.
	mu sync.Mutex
	// ticketClient holds the requests for generations that reached this VM, and
	// ticketServer the tickets, of this and other VMs, that this VM schedules.
	ticketClient *ticket.Client
	ticketServer *ticket.Server
	// table holds the backend servers, and group the VMs.
	table       member.Table
	group       member.Group
	retryBudget retry.Budget
	random      *rand.Rand
	// waiters holds, by request ID, the channels that Submit returned and on which
	// no decision was sent yet.
	waiters map[uint64]chan Decision
	// calls counts the calls in flight to each backend server of a plain
	// service. Servers without calls have no entry.
	calls        map[string]int
	controlSeeds []netip.AddrPort
	// gossipRounds are the last rounds of gossip of updates from servers themselves, and from
	// other VMs.
	gossipRounds [2]gossipRound
	seedChanges  seedChanges
	leaving      leavingMarks
	// controlLost is set while no control VM is reachable.
	controlLost bool
	// controlReached is set once a control VM was reachable, and controlNeverReached if none
	// was by the end of startupPeriod.
	controlReached, controlNeverReached bool
	// tickScheduled is set while a tick is pending on the clock.
	tickScheduled bool
	// placer places forwarded requests.
	placer place.Placer
	// backedOffVMs holds the VMs from which no placement is requested for now,
	// backedOffDomains the failure domains of which no VM is asked. sentReports
	// holds the last load reports sent.
	backedOffVMs     retry.Pauses
	backedOffDomains retry.Pauses
	sentReports      map[reportKey]sentReport
	// reach holds which servers this VM can reach. probesAt is when the next probe is
	// pending on the clock, zero if none is.
	reach    reach.Table
	probesAt time.Time
	// passes holds the requests that other VMs serve for this one.
	passes passes
	// crowdedUntil is until when a failure domain counts as crowded, by its name.
	crowdedUntil map[string]time.Time
	// otherPlacementLogged is when a request that another VM places was last logged.
	otherPlacementLogged time.Time
	// lengthSamples holds, by service, the length samples for the next load
	// report to the placement VM.
	lengthSamples map[string][]place.LengthSample
	// lastRunID is the last ID that NextRunID returned.
	lastRunID atomic.Uint64
	// reportScheduled is set while the next load report is pending on the clock.
	reportScheduled bool
	// forwardBudgets holds the retry budget of each service.
	forwardBudgets map[string]*retry.WindowBudget
	// poison holds what is known of prompts that crash engines, and quarantined the
	// parts that were in quarantine when that was last logged.
	poison      poison.Table
	quarantined map[string]poison.Quarantine
	// promptGossip is the state of urgent updates on prompts, and promptAcks what other VMs
	// have applied of them, by VM ID.
	promptGossip promptGossip
	promptAcks   map[string]promptAck
	// droppedLosses is what the next log line about forgotten losses tells.
	droppedLosses droppedLosses
	// quarantineChanged is called when quarantined has changed; nil if nothing is.
	quarantineChanged func()
	// limits keeps requests within the rate limits of backend servers.
	limits limits
	// evacuations is the set of evacuated failure domains in force.
	evacuations evac.Set
	// sendsHeld is closed by ReleaseSends; nil if sends were never held. It is not set after
	// the first request.
	sendsHeld     chan struct{}
	releasedSends sync.Once
}

// New returns a node without a configuration.
func New(s *conf.Settings, log *logrus.Logger) *Node {
	n := &Node{
		Settings:         s,
		Log:              log,
		Metrics:          metrics.NewRegistry(),
		Clock:            clock.New(),
		Answers:          bound.Memory{Limit: int64(s.Limits.AnswerMemory)},
		Gossip:           func([]netip.AddrPort) {},
		Decode:           spec.Parse,
		BackendChanged:   func(member.Backend) {},
		ticketServer:     ticket.NewServer(sched.New(sched.Options{Domain: s.Domain})),
		random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiters:          map[uint64]chan Decision{},
		calls:            map[string]int{},
		placer:           place.Placer{Domain: s.Domain},
		started:          time.Now(),
		forwardBudgets:   map[string]*retry.WindowBudget{},
		backedOffVMs:     retry.Pauses{},
		backedOffDomains: retry.Pauses{},
		sentReports:      map[reportKey]sentReport{},
		crowdedUntil:     map[string]time.Time{},
		lengthSamples:    map[string][]place.LengthSample{},
		limits:           limits{sends: map[string]*limitedSends{}, logged: map[string]time.Time{}, invalidLogged: map[string]time.Time{}, backlogs: map[string]*limit.Backlog{}},
	}
	n.Traffic = traffic.New(n.Metrics)
	n.group.Self = member.Peer{
		ID:     s.ID,
		Addr:   s.Listen.Peers,
		Domain: s.Domain,
		Region: s.Region,
		Epoch:  uint64(clock.Wall().UnixNano()),
		// A VM without an address for callers serves none.
		ServesCallers:     s.Listen.Callers.IsValid(),
		HasControlReplica: s.Control != nil,
	}
	n.end, n.endRequests = context.WithCancel(context.Background())
	n.table.Lease = time.Duration(s.Limits.BackendLease)
	n.table.NamesService = n.namesService
	n.group.Seeds = slices.Clone(s.Peers)
	n.controlSeeds = slices.Clone(s.ControlVMs)
	n.group.MaxDirectPeers = maxDirectPeers
	// Without a common scheduler, several VMs schedule on the same engines, whose
	// loads they learn with a delay. Choosing between two random engines keeps the
	// VMs from all picking the same one.
	local := sched.New(sched.Options{Domain: s.Domain, SampleSize: 2, Random: n.random})
	n.ticketClient = ticket.NewClient(s.ID, n.group.Self.Epoch, local, n.schedulerFor)
	n.limits.Random = n.random.Float64
	n.limits.ColdRate = n.coldRate
	n.table.ColdStart, n.table.Starting = n.coldStart, n.Starting
	n.Clock.Every(expireInterval, n.expire)
	n.watchMemory()
	n.Clock.Every(limit.TickInterval, n.tickLimits)
	return n
}

// SetSeeds replaces the addresses for discovering other VMs and control VMs.
func (n *Node) SetSeeds(peers, controlSeeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group.Seeds = slices.Clone(peers)
	n.controlSeeds = slices.Clone(controlSeeds)
}

// ControlSeeds returns the configured addresses for discovering control VMs.
func (n *Node) ControlSeeds() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlSeeds
}

// Count adds delta to the named counter.
func (n *Node) Count(name string, delta int64) {
	metrics.GetOrRegisterCounter(name, n.Metrics).Inc(delta)
}

// Gauge sets the named gauge.
func (n *Node) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, n.Metrics).Update(value)
}

// Observe records a duration in the named histogram, in microseconds.
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

// ApplyIndex puts a configuration in force unless the one in force has the same
// or a later revision. It reports whether it did.
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

// ApplyDocument puts a configuration in force unless the one in force has the
// same or a later revision, and gossips the change. from is the VM that sent the
// document, empty for the control group. It returns an error if the document
// cannot be decoded.
func (n *Node) ApplyDocument(revision uint64, document []byte, from string) error {
	if x := n.Index(); x != nil && x.Revision() >= revision {
		return nil
	}
	d, err := n.Decode(document)
	if err != nil {
		return fmt.Errorf("decode configuration revision %d: %w", revision, err)
	}
	if n.ApplyIndex(spec.NewIndex(d, revision).WithSource(document)) {
		n.Gossip(n.urgentTargets(from))
	}
	return nil
}

// Draining reports whether the process is shutting down, which Drain starts.
func (n *Node) Draining() bool { return n.drainedAt.Load() != nil }

// Ready reports whether new callers can be served: a configuration is in force
// and the process is not shutting down.
func (n *Node) Ready() bool { return n.Index() != nil && !n.Draining() }

// DrainingSince returns when the shutdown began, and false before it.
func (n *Node) DrainingSince() (time.Time, bool) {
	at := n.drainedAt.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// Random returns a random number in [0, 1).
func (n *Node) Random() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

// Drain starts the shutdown: the VM is no longer ready and rejects new requests.
func (n *Node) Drain() {
	now := time.Now()
	if n.drainedAt.CompareAndSwap(nil, &now) {
		n.Log.WithField("streams", n.Streams()).Info("draining")
		n.Gossip(n.urgentTargets(""))
	}
}

// ErrEnding is the cancellation cause of requests that are still in progress at the end of
// the shutdown.
var ErrEnding = eris.New("this VM is shutting down")

// EndRequests cancels the requests in progress that wait for a backend server, so that their
// callers get an answer before the process ends.
func (n *Node) EndRequests() { n.endRequests() }

// UntilEnd returns a context that is canceled, with the cause ErrEnding, by EndRequests. The
// caller must call the returned function.
func (n *Node) UntilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(n.end, func() { cancel(ErrEnding) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Abandon records that the process ends without finishing its requests.
func (n *Node) Abandon() { n.abandoned.Store(true) }

// Abandoned reports whether Abandon was called.
func (n *Node) Abandoned() bool { return n.abandoned.Load() }

// Streams returns the number of requests in progress.
func (n *Node) Streams() int64 { return n.streams.Load() }

// AcquireStream counts a request in progress. If it returns true, the caller
// must call ReleaseStream when the request ends. It returns false when the limit
// is reached.
func (n *Node) AcquireStream() bool {
	if n.streams.Add(1) > int64(n.Settings.Limits.MaxStreams) {
		n.streams.Add(-1)
		return false
	}
	return true
}

// ReleaseStream ends a request counted by AcquireStream.
func (n *Node) ReleaseStream() { n.streams.Add(-1) }

// NextID returns an ID for a request, unique in this process.
func (n *Node) NextID() uint64 { return n.ids.Add(1) }

// Submit queues a request. Its decision is sent on the returned channel.
func (n *Node) Submit(r *sched.Request) <-chan Decision {
	ch := make(chan Decision, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiters[r.ID] = ch
	now := time.Now()
	n.avoidEvacuated(r)
	n.ticketClient.Submit(now, r)
	n.poll(now)
	return ch
}

// Cancel drops a request that is waiting or whose decision is no longer needed.
func (n *Node) Cancel(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	delete(n.waiters, id)
	n.ticketClient.Cancel(now, id)
	n.poll(now)
}

// Progress records how many tokens have been generated for a dispatched request.
func (n *Node) Progress(id uint64, generated int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ticketClient.Progress(time.Now(), id, generated)
}

// Finish records how a dispatched request ended.
func (n *Node) Finish(id uint64, r sched.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.ticketClient.Finish(now, id, r)
	n.poll(now)
}

// CountFirstAttempt counts a first attempt for the retry budget.
func (n *Node) CountFirstAttempt() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retryBudget.Deposit()
}

// TakeRetry takes a retry from the retry budget and returns the back-off before
// it. It returns false if the attempts or the budget are used up.
func (n *Node) TakeRetry(attempt int) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if attempt >= retry.MaxAttempts || !n.retryBudget.Withdraw() {
		return 0, false
	}
	return retry.Backoff(attempt, n.random.Float64()), true
}

// RequestCounts returns the number of queued requests and of requests running at
// engines, by class.
func (n *Node) RequestCounts() (queued, running map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ticketClient.Counts()
}
