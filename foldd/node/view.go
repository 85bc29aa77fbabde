package node

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiafold.example/fold/place"
)

// ServiceView is what this VM sees and has under way of a service to which
// requests are forwarded.
type ServiceView struct {
	Service string
	// PlacedBy is the VM that places the requests, empty if each does by itself.
	PlacedBy string
	// Requests and Repeats count those of the last window, RepeatsLeft how many
	// more of the latter may be sent now.
	Requests, Retries, RetriesRemaining int
	Backends                            []BackendView
}

// BackendView is what this VM sees of a backend server.
type BackendView struct {
	ID      string
	Domain  string
	Leaving bool
	// Age is the time since the server itself was heard.
	Age time.Duration
	// BackedOff says that nothing is sent there after failures.
	BackedOff bool
	Load      place.Load
}

// ServiceViews returns the services to which requests are forwarded, by name.
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

func (n *Node) serviceView(now time.Time, service string) ServiceView {
	v := ServiceView{Service: service}
	if to, ok := n.placeSteward(now, service); ok {
		v.PlacedBy = to.ID
	}
	v.Requests, v.Retries, v.RetriesRemaining = n.repeatBudget(now, service).Usage(now)
	servers := n.table.OfService(service)
	loads := n.placer.LocalLoad(servers)
	for _, b := range servers {
		age, _ := n.table.Age(now, b.ID)
		v.Backends = append(v.Backends, BackendView{
			ID: b.ID, Domain: b.Domain, Leaving: b.Leaving, Age: age, BackedOff: n.placer.BackedOff(now, b.ID), Load: loads[b.ID],
		})
	}
	return v
}

// errorPrefix begins the names of the counters of the VM's own error answers.
const errorPrefix = "errors."

// ErrorCounts returns how many answers of each error code the VM has given of
// its own since it started.
func (n *Node) ErrorCounts() map[string]int64 {
	out := map[string]int64{}
	n.Metrics.Each(func(name string, m any) {
		code, ok := strings.CutPrefix(name, errorPrefix)
		if c, is := m.(metrics.Counter); ok && is {
			out[code] = c.Count()
		}
	})
	return out
}
