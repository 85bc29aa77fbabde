package node

import (
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
)

// coldStart returns what the configuration in force says of cold servers of a service, nil
// if their requests are not limited.
func (n *Node) coldStart(service string) *spec.ColdStart {
	x := n.Index()
	if x == nil {
		return nil
	}
	s, ok := x.Service(service)
	if !ok {
		return nil
	}
	return s.ColdStart
}

// startRate returns the start rate of a service, zero if it has none.
func (n *Node) startRate(service string) limit.Rate {
	c := n.coldStart(service)
	if c == nil {
		return 0
	}
	return limit.Rate(c.Rate)
}

// coldRate returns the start rate of a server, zero if it isn't cold or has none. The caller
// holds the lock.
func (n *Node) coldRate(now time.Time, s limit.Server) limit.Rate {
	rate, _ := n.table.Cold(now, s.ID, s.Epoch)
	return limit.Rate(rate)
}

// coldLeft returns the time until a server is no longer limited because it is cold, zero if it
// isn't or has named a rate limit besides. The caller holds the lock.
func (n *Node) coldLeft(now time.Time, b member.Backend) time.Duration {
	if _, named := n.limits.Rate(serverOf(b)); named {
		return 0
	}
	_, left := n.table.Cold(now, b.ID, b.Epoch)
	return left
}

// mayBeCold reports whether servers of a service may be cold and limited for it. The caller
// holds the lock.
func (n *Node) mayBeCold(now time.Time, service string) bool {
	return n.table.AnyCold(now) && n.coldStart(service) != nil
}

// observeColdViews records which VMs share the start rates of services. The caller holds the
// lock.
func (n *Node) observeColdViews(now time.Time) {
	x := n.Index()
	if x == nil {
		return
	}
	for _, s := range x.Document().Services {
		if s.ColdStart != nil {
			n.limits.ObserveView(now, n.limitView(now, s.Name))
		}
	}
}

// recordLimited returns the counts of what is sent to a server with a limit, for a decision
// by the given rate, and counts the decision if the server is cold. The caller holds the lock.
func (n *Node) recordLimited(now time.Time, b member.Backend, rate limit.Rate, count string) *limitedSends {
	sends := n.limits.sendsTo(b)
	sends.rate, sends.cold = rate, n.coldRate(now, serverOf(b)) > 0
	if sends.cold {
		n.Count(count, 1)
	}
	return sends
}
