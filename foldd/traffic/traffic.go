// Package traffic counts what a VM sends and receives, by kind of message: messages, bytes
// and new connections.
package traffic

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

// Kind is a kind of message.
type Kind int

// The kinds of messages.
const (
	// Other is what has no kind of its own.
	Other Kind = iota
	// ExchangePeriodic is an exchange with the digest of the live VMs, ExchangeUrgent one
	// without it, and ExchangeFollowUp an urgent one in place of one that has failed or takes
	// long. A VM that receives one can't tell it from other urgent ones.
	ExchangePeriodic
	ExchangeUrgent
	ExchangeFollowUp
	LoadReport
	PlacementRequest
	Permit
	// Config is the transfer of a configuration, and the question where one is in force.
	Config
	// Tickets are tickets and decisions of the scheduler.
	Tickets
	// Control is a call of the control group.
	Control
	Announcement
	// Request is a caller's request, or one that is forwarded to a backend server.
	Request
	// PassedOn is a caller's request that another VM serves.
	PassedOn
	kinds
)

var names = [kinds]string{
	"other", "exchangePeriodic", "exchangeUrgent", "exchangeFollowUp", "loadReport", "placementRequest", "permit", "config",
	"tickets", "control", "announcement", "request", "passedOn",
}

// String returns the kind's name in metrics.
func (k Kind) String() string { return names[k] }

// Direction is the side that began an exchange.
type Direction int

// The directions.
const (
	// Out is what this VM sends to others, with their responses.
	Out Direction = iota
	// In is what this VM receives, with its responses.
	In
	directions
)

var directionNames = [directions]string{"out", "in"}

// counters count the messages of one kind and direction.
type counters struct{ messages, sent, received, connections metrics.Counter }

// Counts counts messages in a registry of metrics. Use New to create it. It is safe for
// concurrent use.
type Counts struct {
	registry metrics.Registry
	// counters are registered with the first message of the kind and direction.
	counters [directions][kinds]atomic.Pointer[counters]
}

// New returns counts that register their metrics in r.
func New(r metrics.Registry) *Counts { return &Counts{registry: r} }

func (c *Counts) of(d Direction, k Kind) *counters {
	if k < 0 || k >= kinds {
		k = Other
	}
	if known := c.counters[d][k].Load(); known != nil {
		return known
	}
	prefix := "traffic." + directionNames[d] + "." + k.String()
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(prefix+name, c.registry) }
	n := &counters{get(".messages"), get(".sentBytes"), get(".receivedBytes"), get(".connections")}
	c.counters[d][k].Store(n)
	return n
}

// Add counts a message and its response.
func (c *Counts) Add(d Direction, k Kind, sent, received int64) {
	n := c.of(d, k)
	n.messages.Inc(1)
	n.sent.Inc(sent)
	n.received.Inc(received)
}

// AddConnection counts a connection that was opened for a message.
func (c *Counts) AddConnection(d Direction, k Kind) { c.of(d, k).connections.Inc(1) }

type kindKey struct{}

// With returns a context for a message of a kind.
func With(ctx context.Context, k Kind) context.Context { return context.WithValue(ctx, kindKey{}, k) }

// kindIn returns the kind in a context, or def if there is none.
func kindIn(ctx context.Context, def Kind) Kind {
	if k, ok := ctx.Value(kindKey{}).(Kind); ok {
		return k
	}
	return def
}

// Observe counts what p sends, of the kind in each request's context or else of the kind def.
// It must be called before p is used.
func (c *Counts) Observe(p *pool.Pool, def Kind) {
	p.OnDial = func(ctx context.Context) { c.AddConnection(Out, kindIn(ctx, def)) }
	p.OnExchange = func(ctx context.Context, u pool.Usage) { c.Add(Out, kindIn(ctx, def), u.Sent, u.Received) }
}

// Handler returns a handler that counts the requests to h, of the kind that SetKind has set
// or else of the kind that def returns. The heads of responses are not counted.
func (c *Counts) Handler(def func(r *http.Request) Kind, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := serve.CallerOf(r)
		caller.Tag = int(def(r))
		// A panic ends the request without a count.
		h.ServeHTTP(w, r)
		c.Add(In, Kind(caller.Tag), caller.Written(), caller.Received())
	})
}

// Transport counts the bodies of the calls that it passes on to Base, as far as their lengths
// are stated.
type Transport struct {
	Counts *Counts
	Kind   Kind
	Base   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Base.RoundTrip(r)
	var received int64
	if err == nil {
		received = max(res.ContentLength, 0)
	}
	t.Counts.Add(Out, t.Kind, max(r.ContentLength, 0), received)
	return res, err
}

// Always returns a function for Handler that returns k for each request.
func Always(k Kind) func(*http.Request) Kind { return func(*http.Request) Kind { return k } }

// SetKind sets the kind of a request that is being handled, by its context.
func SetKind(ctx context.Context, k Kind) { serve.CallerIn(ctx).Tag = int(k) }
