// Package place chooses the backend server for a forwarded request. A backend
// server that generates tokens is called an engine. Many VMs share the engines,
// so one placement VM chooses for all VMs of a service, using the load that each
// of them reports. A VM that can't reach the placement VM chooses by its own
// load.
package place

import (
	"maps"
	"slices"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/retry"
)

// Request describes a request to be placed at a server.
type Request struct {
	Run
	// PromptTokens is the part of the run's memory that has to be read before
	// the first token.
	PromptTokens int
	// Progress returns the number of tokens that the run has generated so far.
	// If nil, Run.Generated is used.
	Progress func() int
	// Exclude lists the IDs of servers that must not be chosen.
	Exclude []string
	// Domain is the failure domain whose servers are preferred. If empty, the
	// placer's own domain is used.
	Domain string
	// Scope, if not empty, is the failure domain whose servers may be chosen. A run that
	// may stay where it is may stay in another one.
	Scope string
	// Copy is set for a run whose memory is copied from another server.
	Copy *Copy
	// FirstTokenBudget is the time left until the first token is due, zero if
	// there is no deadline.
	FirstTokenBudget time.Duration
	// Random, in [0, 1), breaks ties between servers of equal cost.
	Random float64
}

// Copy describes a copy of a run's memory between servers.
type Copy struct {
	// Source is the ID of the server to copy from, and Domain its failure
	// domain.
	Source string
	Domain string
	// Duration is how long the copy takes within a failure domain. A copy to
	// another failure domain takes twice as long.
	Duration time.Duration
	// MayStay means that the run may stay at Source, which Pick then chooses
	// unless the move saves more than it costs. If it is not set, Source must be
	// in Exclude.
	MayStay bool
}

// Stays reports whether choosing the server leaves the run where it is.
func (req *Request) Stays(id string) bool {
	return req.Copy != nil && req.Copy.MayStay && req.Copy.Source == id
}

// inScope reports whether a server may be chosen by its failure domain. One that names none
// may always be.
func (req *Request) inScope(s *member.Backend) bool {
	return req.Scope == "" || s.Domain == "" || s.Domain == req.Scope || req.Stays(s.ID)
}

// Choice is the server chosen for a request.
type Choice struct {
	Server member.Backend
	// CopyDelay is the wait before the copy of a run's memory begins, because a
	// server's link carries one copy at a time.
	CopyDelay time.Duration
	// Full reports that Server, although it has the lowest cost, has no capacity
	// for the request or would begin it too late. The request must not be sent
	// or counted there. Full is never set for a run that is copied or for a
	// server in back-off.
	Full bool
	// Crowded reports that Server, although it has the lowest cost, has all slots taken or
	// most of its memory. Another failure domain may serve the request better.
	Crowded bool
	// RetryAfter is the time until there will probably be capacity. It is set if
	// Full, Unreachable or Limited is.
	RetryAfter time.Duration
	// Unreachable reports that Server, and every other one left, is in a failure
	// domain that this VM can't reach. The request must not be sent or counted
	// there. RetryAfter is then the time until the end of the back-off from the
	// domain. Pick leaves it unset: see DomainUnreachable.
	Unreachable bool
	// Limited reports that the servers left have a rate limit and take no further request
	// for now. There is no Server then, and RetryAfter is the time until one of them
	// probably does. Pick leaves it unset.
	Limited bool
	// ChosenBy is the ID of the VM that made the choice, empty for this VM.
	ChosenBy string
	// Load is the load of Server that the choice was based on, without the
	// request itself. It is zero if another VM made the choice.
	Load ServerLoad
	// Gaps is the risk of gaps that the choice was based on. It is zero if another VM made
	// the choice or no run has a gap target.
	Gaps GapRisk
}

// Rejects reports whether no server takes the request for now.
func (c *Choice) Rejects() bool { return c.Full || c.Unreachable || c.Limited }

// ServerLoad is the load of a server as the placer knows it.
type ServerLoad struct {
	// Requests is the number of requests that all VMs have under way there.
	Requests int
	// PrefillTokens is the size in tokens of the prompts not yet read.
	PrefillTokens int
	// MemoryShare is the forecast peak share of an engine's memory that is in
	// use, zero for other servers.
	MemoryShare float64
	// ReportAge is the age of the oldest load report that counts.
	ReportAge time.Duration
}

// Result is how a request at a server ended.
type Result int

// The results.
const (
	// Answered: the server answered, whatever the status.
	Answered Result = iota
	// Failed: the connection was lost.
	Failed
	// Unreachable: no connection could be opened. The whole failure domain may
	// be unreachable.
	Unreachable
	// Rejected: the server rejected the request for lack of capacity.
	Rejected
	// Cancelled: the caller disconnected, or another server serves the request.
	Cancelled
)

const (
	// minBackoff is the back-off from a server or a failure domain after a failure.
	// Each further failure in a row doubles it, up to maxBackoff for a server and
	// maxDomainBackoff for a domain.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// peerLoadTTL is how long the load report of another VM counts.
	peerLoadTTL = 3 * time.Second
	// reservationTTL is how long a reservation counts in addition to the VM's
	// load report, which includes the run by then.
	reservationTTL = 350 * time.Millisecond
)

// Placer tracks the load of each server and chooses servers by it. The zero
// value is a placer with no load. A Placer is not safe for concurrent use.
type Placer struct {
	// Domain is the failure domain of this VM.
	Domain string
	// Lengths holds the learned lengths of runs.
	Lengths learn.Lengths
	// seeded holds the classes and models whose lengths were seeded from a
	// token limit.
	seeded map[learn.Group]bool
	// backends holds this VM's state for each server, by server ID.
	backends map[string]*backendState
	// peers holds the load of each other VM, by VM ID.
	peers map[string]*peerLoad
	// users holds, by server ID, the entries of peers that have a load or a reservation
	// there. It may hold others.
	users map[string]map[string]*peerLoad
	// forecasts caches the memory forecast of each engine.
	forecasts map[string]*cachedForecast
	// domains holds the back-off from other failure domains.
	domains retry.Pauses
	// rejections counts the requests for engines that were placed and those for
	// which Pick returned a Full choice.
	rejections rejectionRate
	// linksBusyUntil is the time until which copies occupy each server's link,
	// by server ID.
	linksBusyUntil map[string]time.Time
	// paces holds the observed pace of each engine.
	paces map[string]*pace
	// prefillPaces holds the observed pace at which each engine reads prompts.
	prefillPaces map[string]*pace
	// gaps holds what was observed of gaps at each engine, nil until a run has a gap target.
	gaps map[string]*gapStats
	// localPrefills holds the prompts of this VM's runs that have no token yet.
	localPrefills prefills
	// localReports holds the load of this VM at each engine at the last call of
	// ObserveLocal.
	localReports map[string]localReport
}

// Pick chooses the server with the lowest cost. It returns false if every
// server is leaving or excluded. Servers in back-off are chosen only if there
// is no other. For a run that is copied, Pick reserves the links of both
// servers for the time of the copy. Pick doesn't count the request at the
// server: see Begin and Reserve.
func (p *Placer) Pick(now time.Time, servers []member.Backend, req Request) (Choice, bool) {
	best := -1
	var lowest cost
	need := p.demand(req)
	paces := p.enginePaces(now, servers)
	gaps := p.engineGaps(now, servers)
	start := int(req.Random * float64(len(servers)))
	for i := range servers {
		i = (i + start) % len(servers)
		s := &servers[i]
		if s.Leaving || slices.Contains(req.Exclude, s.ID) || !req.inScope(s) {
			continue
		}
		if c := p.cost(now, s, req, need, paces[i], gaps[i]); best < 0 || c.delay < lowest.delay {
			best, lowest = i, c
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	c := Choice{Server: servers[best], Full: lowest.full && req.Copy == nil, Crowded: lowest.delay >= costFull*targetMemoryShare, Load: p.serverLoad(now, &servers[best]), Gaps: lowest.gaps}
	switch {
	case req.Stays(c.Server.ID):
		// Nothing is copied.
	case req.Copy != nil:
		c.CopyDelay = p.reserveLinks(now, &servers[best], req)
	case servers[best].MemoryTokens > 0:
		p.rejections.count(now, c.Server.Domain, c.Full)
	}
	if c.Full {
		c.RetryAfter = p.rejections.retryAfter(now)
	}
	return c, true
}

// BackOff counts a failure of a server and starts the longest back-off from it.
func (p *Placer) BackOff(now time.Time, id string) {
	b := p.backend(id)
	b.Failures++
	b.Until = now.Add(maxBackoff)
}

// ForgetPlacements forgets how many requests were placed lately in the failure domains for
// which evacuated returns true: their capacity must not shorten the time after which
// rejected callers retry.
func (p *Placer) ForgetPlacements(evacuated func(domain string) bool) {
	maps.DeleteFunc(p.rejections.placed, func(domain string, _ []time.Time) bool { return evacuated(domain) })
}

// BackedOff reports whether this VM is backed off from a server.
func (p *Placer) BackedOff(now time.Time, id string) bool {
	b := p.backends[id]
	return b != nil && b.Active(now)
}
