package node

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/place"
)

// ServiceView is this VM's view of a service to which requests are forwarded, and
// its load there.
type ServiceView struct {
	Service string
	// PlacedBy is the ID of the placement VM, empty if this VM places the
	// service's requests itself.
	PlacedBy string
	// Requests and Retries count this VM's first attempts and retries within the
	// window of the retry budget. RetriesRemaining is how many more retries may be
	// sent now.
	Requests, Retries, RetriesRemaining int
	// Issuer is the ID of the VM that issues the permits for servers with a rate limit
	// and for cold servers, empty if there is none.
	Issuer   string
	Backends []BackendView
}

// BackendView is this VM's view of a backend server, and its load there.
type BackendView struct {
	ID      string
	Domain  string
	Leaving bool
	// Age is the time since the server itself last reported.
	Age time.Duration
	// BackedOff is set while this VM is backed off from the server after a failure, and
	// then sends requests there only if no other is left, and while the server wants no
	// request from this VM.
	BackedOff bool
	// Limit is the rate limit of the server, Ended if it has none.
	Limit limit.Entry
	// ColdFor is the time for which the server stays cold, and StartRate what limits
	// requests to it meanwhile. Both are zero if requests are not limited for that.
	ColdFor   time.Duration
	StartRate float64
	Load      place.Load
}

// ServiceViews returns a view of each service to which requests are forwarded,
// ordered by name.
func (n *Node) ServiceViews() []ServiceView {
	x := n.Index()
	if x == nil {
		return nil
	}
	forwarded := map[string]bool{}
	for _, f := range x.Document().Forwards {
		for _, s := range f.Services {
			forwarded[s.Service] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var out []ServiceView
	for service := range forwarded {
		out = append(out, n.serviceView(now, service))
	}
	slices.SortFunc(out, func(a, b ServiceView) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// serviceView returns the view of a service. The caller holds the lock.
func (n *Node) serviceView(now time.Time, service string) ServiceView {
	v := ServiceView{Service: service}
	if to, ok := n.homePlacementVM(now, service); ok {
		v.PlacedBy = to.ID
	}
	v.Requests, v.Retries, v.RetriesRemaining = n.forwardBudget(now, service).Usage(now)
	servers := n.table.OfService(service)
	loads := n.placer.LocalLoad(time.Now(), servers)
	for _, b := range servers {
		age, _ := n.table.Age(now, b.ID)
		_, cooling := n.limits.Cooldown(now, serverOf(b))
		rate, cold := n.table.Cold(now, b.ID, b.Epoch)
		v.Backends = append(v.Backends, BackendView{
			ID: b.ID, Domain: b.Domain, Leaving: b.Leaving, Age: age, BackedOff: cooling || n.placer.BackedOff(now, b.ID), Load: loads[b.ID],
			Limit: n.limits.Entry(serverOf(b)), ColdFor: cold, StartRate: rate,
		})
	}
	if slices.ContainsFunc(v.Backends, func(b BackendView) bool { return !b.Limit.Ended || b.StartRate > 0 }) {
		v.Issuer = n.limitView(now, service).Issuer
	}
	return v
}

// errorPrefix is the prefix of the names of the counters of error responses that
// this VM generates itself.
const errorPrefix = "errors."

// ErrorCounts returns, by error code, the number of error responses that this VM
// has generated itself since it started.
func (n *Node) ErrorCounts() map[string]int64 {
	out := map[string]int64{}
	n.Metrics.Each(func(name string, m any) {
		code, ok := strings.CutPrefix(name, errorPrefix)
		if c, isCounter := m.(metrics.Counter); ok && isCounter {
			out[code] = c.Count()
		}
	})
	return out
}
