package limit

import "time"

const (
	// reservedPart is the part of a limit that the VMs share equally while they can't reach
	// its issuer. The rest is shared as they used it before.
	reservedPart = 0.2
	// demandMemory is the time after which a request for a permit has lost 1-1/e of its
	// weight in a VM's share.
	demandMemory = 5 * time.Second
	// An issuer takes permits back for requests that VMs have sent by their own shares, but
	// at most maxDebt at once, and none for debtGrace after its first one: they may have
	// done so while it issued none.
	maxDebt   = 2
	debtGrace = 2 * time.Second
	// minDemand is the number of requests below which a VM's demand is forgotten.
	minDemand = 0.01
)

// issuer issues permits for the servers of some services, on behalf of all VMs.
type issuer struct {
	// ledgers holds the state of each server with a limit, by server ID.
	ledgers map[string]*ledger
}

// ledger is the state of an issuer for one server.
type ledger struct {
	epoch uint64
	// since is when the issuer began to issue permits.
	since time.Time
	bucket
	// demand holds the recent requests for permits of each VM, by VM ID.
	demand map[string]*decaying
	// denials holds the recent requests for permits of a cold server that got none.
	denials Backlog
}

// grant is the answer to a request for a permit.
type grant struct {
	ok bool
	// wait is the time until the next permit if ok is not set.
	wait time.Duration
	// share is the VM's part of the limit while it can't reach the issuer.
	share float64
}

// issue answers the request of a VM for a permit. rate is the part of the server's limit
// that the issuer may give away, and sharers the number of VMs that share the limit.
func (i *issuer) issue(now time.Time, vm string, s Server, rate Rate, sharers int) grant {
	l := i.ledgerOf(now, s)
	l.refill(now, rate)
	wait, ok := l.take(rate)
	return grant{ok: ok, wait: wait, share: l.share(now, vm, sharers)}
}

// debit takes permits for requests that a VM has sent by its own share.
func (i *issuer) debit(now time.Time, s Server, rate Rate, used int) {
	l := i.ledgers[s.ID]
	if used <= 0 || l == nil || l.epoch < s.Epoch || now.Sub(l.since) < debtGrace {
		return
	}
	l.refill(now, rate)
	l.tokens = max(l.tokens-float64(used), -maxDebt)
}

// exhausted reports whether there is no permit for a server now, and for how long.
func (i *issuer) exhausted(now time.Time, s Server, rate Rate) (time.Duration, bool) {
	l := i.ledgerOf(now, s)
	l.refill(now, rate)
	return l.wait(rate), l.tokens < 1
}

// ledgerOf returns the ledger of a server, of its latest start that is known. A new one has no
// permits, as another VM may have issued some just before.
func (i *issuer) ledgerOf(now time.Time, s Server) *ledger {
	l := i.ledgers[s.ID]
	if l == nil || l.epoch < s.Epoch {
		if i.ledgers == nil {
			i.ledgers = map[string]*ledger{}
		}
		l = &ledger{epoch: s.Epoch, since: now, bucket: bucket{at: now}, demand: map[string]*decaying{}}
		i.ledgers[s.ID] = l
	}
	return l
}

// share counts a request of a VM and returns the VM's part of the limit, by the requests
// before this one.
func (l *ledger) share(now time.Time, vm string, sharers int) float64 {
	all := 0.0
	for id, d := range l.demand {
		d.decay(now, demandMemory)
		all += d.count
		if d.count < minDemand {
			delete(l.demand, id)
		}
	}
	d := l.demand[vm]
	if d == nil {
		d = &decaying{}
		l.demand[vm] = d
	}
	part := reservedPart / float64(sharers)
	if all > 0 {
		part += (1 - reservedPart) * d.count / all
	}
	d.add(now, demandMemory)
	return part
}
