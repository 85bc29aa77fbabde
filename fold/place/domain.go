package place

import (
	"time"

	"fuchsiafold.example/fold/retry"
)

const (
	// maxDomainBackoff bounds the back-off from a failure domain. It is short,
	// because requests that only that domain can serve are rejected meanwhile.
	maxDomainBackoff = time.Second
	// unreachableFailures is the number of failures in a row after which a failure
	// domain counts as unreachable. One may be due to a single server.
	unreachableFailures = 2
	// domainProbeTime is the time that one request is given to find out whether a
	// failure domain is reachable again. It exceeds the time to open a connection.
	domainProbeTime = 400 * time.Millisecond
)

// RecordDomainResult updates the back-off from another failure domain by how a
// request at one of its servers ended.
func (p *Placer) RecordDomainResult(now time.Time, domain string, result Result) {
	switch {
	case domain == p.Domain:
	case result == Answered:
		delete(p.domains, domain)
	case result == Unreachable:
		if p.domains == nil {
			p.domains = retry.Pauses{}
		}
		p.domains.Fail(now, domain, minBackoff, maxDomainBackoff)
	}
}

// DomainUnreachable reports whether a failure domain is known to be unreachable,
// and the time until the end of the back-off from it. A request for it would only
// wait for a connection in vain. Once the back-off has ended, DomainUnreachable
// returns false once, for the request that probes the domain, and true for those
// that come before domainProbeTime.
func (p *Placer) DomainUnreachable(now time.Time, domain string) (time.Duration, bool) {
	b := p.domains[domain]
	if b == nil || b.Failures < unreachableFailures {
		return 0, false
	}
	if b.Active(now) {
		return b.Until.Sub(now), true
	}
	b.Until = now.Add(domainProbeTime)
	return 0, false
}
