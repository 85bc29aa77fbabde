package limit

import "time"

const (
	// takeoverDelay is the time from when a VM becomes the issuer to its first permit for a
	// cold server. The VMs notice that others are lost up to a few seconds apart, and the
	// issuer before may issue the whole rate until it notices as well.
	takeoverDelay = 5 * time.Second
	// populationMemory is the time for which the largest number of VMs that was known
	// counts. VMs beyond a cut are forgotten after a minute, but go on using their part of a
	// start rate.
	populationMemory = time.Hour
	// unknownPopulation is the number of VMs that a VM assumes while it does not know them.
	// The largest deployment has 77 entry VMs.
	unknownPopulation = 128
	// maxColdWait bounds the time for which a VM asks for no permit for a cold server after it
	// got none. That time grows with the number of VMs that got none: if each asked again at
	// the time of the next permit, 67 VMs would ask 70 times for each request that is sent.
	maxColdWait = time.Second
	// maxLargeParts is the number of issuers, on the sides of cuts, that may keep a permit.
	// The bound leaves 5 requests in a second beside the rate.
	maxLargeParts = 3
)

// bound is what limits the requests to a server.
type bound struct {
	limited bool
	// cold is set if the server is cold. rate is then the lower one of its start rate and the
	// rate limit that it has named.
	cold bool
	rate Rate
}

// withStartRate returns the bound of a server that is cold, if start is above zero.
func (b bound) withStartRate(start Rate) bound {
	if start <= 0 {
		return b
	}
	if b.limited {
		start = min(start, b.rate)
	}
	return bound{limited: true, cold: true, rate: start}
}

// boundOf returns what limits the requests to a server.
func (l *Limiter) boundOf(now time.Time, s Server) bound {
	var b bound
	b.rate, b.limited = l.Rate(s)
	if l.ColdRate == nil {
		return b
	}
	return b.withStartRate(l.ColdRate(now, s))
}

// boundAsked returns what limits the requests to the server of a request for a permit. A VM
// asks for a server that has named no rate limit only if the server is cold. The issuer may
// not know that yet.
func (l *Limiter) boundAsked(now time.Time, q Request, v View) bound {
	b := l.boundOf(now, q.Entry.Server)
	if q.Entry.Ended && !b.cold {
		return b.withStartRate(v.StartRate)
	}
	return b
}

// Limited reports whether requests to a server are limited.
func (l *Limiter) Limited(now time.Time, s Server) bool { return l.boundOf(now, s).limited }

// role is what a VM has seen of the VMs that share the start rates of a service.
type role struct {
	issuer string
	// since is when the VM first saw this issuer.
	since time.Time
	// population is the largest number of VMs that was known within populationMemory, and
	// populationAt when it was last.
	population   int
	populationAt time.Time
}

// ObserveView records a VM's view of the VMs that share the start rate of a service. It must
// be called at each Tick for each service with a start rate.
func (l *Limiter) ObserveView(now time.Time, v View) {
	r := l.roles[v.Service]
	if r == nil {
		if l.roles == nil {
			l.roles = map[string]*role{}
		}
		r = &role{issuer: v.Issuer, since: now}
		l.roles[v.Service] = r
	}
	if r.issuer != v.Issuer {
		r.issuer, r.since = v.Issuer, now
	}
	if known := v.Live + v.Lost; known >= r.population || elapsed(r.populationAt, now) > populationMemory {
		r.population, r.populationAt = known, now
	}
}

// issuesCold reports whether this VM, the issuer of a service, issues permits for cold servers.
func (l *Limiter) issuesCold(now time.Time, v View) bool {
	r := l.roles[v.Service]
	return r != nil && !v.Isolated && r.issuer == v.Self &&
		elapsed(r.since, now) >= takeoverDelay && (l.resumedAt.IsZero() || elapsed(l.resumedAt, now) >= takeoverDelay)
}

// coldSharers returns the number of VMs that share start rates.
func (l *Limiter) coldSharers(v View) int {
	n := v.sharers()
	if r := l.roles[v.Service]; r != nil {
		n = max(n, r.population)
	}
	if v.Starting || v.Isolated {
		n = max(n, unknownPopulation)
	}
	return n
}

// coldIssuable returns the part of a rate for which an issuer issues permits for a cold
// server: that of the live VMs. The others may have an issuer of their own.
func (l *Limiter) coldIssuable(b bound, v View) coldPart {
	known := v.Live + v.Lost
	if r := l.roles[v.Service]; r != nil {
		known = max(known, r.population)
	}
	return coldPart{rate: max(b.rate, minRate) * Rate(v.Live) / Rate(known), large: maxLargeParts*v.Live >= known}
}

// coldPart is the part of a start rate for which an issuer issues permits. large is set for one
// of the at most maxLargeParts issuers that may keep a permit that nobody has asked for: a
// start rate of less than one request a second could hardly be used otherwise.
type coldPart struct {
	rate  Rate
	large bool
}

// issuableOf returns the part of a limit for which an issuer issues permits.
func (l *Limiter) issuableOf(b bound, v View) Rate {
	if b.cold {
		return l.coldIssuable(b, v).rate
	}
	return v.issuable(b.rate)
}

// issueCold answers a request for a permit for a cold server. part is the part of the start
// rate that the issuer may give away, share that of each VM that can't reach the issuer, and
// random a random number in [0, 1).
func (i *issuer) issueCold(now time.Time, s Server, part coldPart, share Rate, random float64) grant {
	l := i.coldLedger(now, s, part, random)
	wait, ok := l.take(part.rate)
	if !ok {
		wait = min(l.denials.Reject(now, wait), maxColdWait)
	}
	return grant{ok: ok, wait: wait, share: float64(share)}
}

// exhaustedCold is exhausted for a cold server.
func (i *issuer) exhaustedCold(now time.Time, s Server, part coldPart, random float64) (time.Duration, bool) {
	l := i.coldLedger(now, s, part, random)
	return l.wait(part.rate), l.tokens < 1
}

// coldLedger returns the ledger of a cold server, refilled. A new one has a random part of a
// permit: VMs that are cut off from all others are issuers with a small part each.
func (i *issuer) coldLedger(now time.Time, s Server, part coldPart, random float64) *ledger {
	known := i.ledgers[s.ID]
	l := i.ledgerOf(now, s)
	if l != known {
		l.tokens = random
	}
	l.refillCold(now, part.rate, part.large)
	return l
}
