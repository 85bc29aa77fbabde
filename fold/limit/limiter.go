package limit

import (
	"fmt"
	"time"
)

const (
	// permitLifetime is the time from a request for a permit to the send that it permits.
	permitLifetime = 250 * time.Millisecond
	// issuerBackoff is the time for which a VM uses its own share of a limit after a
	// request to the issuer has failed.
	issuerBackoff = time.Second
	// shareLifetime is how long the share that the issuer has stated counts.
	shareLifetime = time.Minute
	// minSharers is the smallest number of VMs among which a limit is shared equally: a
	// VM that has just started does not know the others yet.
	minSharers = 8
	// TickInterval is the time between two calls of Tick. A VM that has made none for
	// maxTickGap was paused: others may have taken over what it issued. It issues no
	// permits for settleTime, in which the VMs agree on the issuer again.
	TickInterval = 500 * time.Millisecond
	maxTickGap   = 2 * time.Second
	settleTime   = 2 * time.Second
)

// View is a VM's view of the VMs that share the limits of a service.
type View struct {
	// Self is the ID of the VM, and Issuer that of the VM that issues permits for the
	// service.
	Self   string
	Issuer string
	// Live is the number of VMs that may send requests to the service, this one included,
	// and Lost the number of those that have become silent lately without having shut
	// down. They may be cut off, with an issuer of their own.
	Live, Lost int
	// Starting is set on a VM that may not know the others yet. It issues no permits.
	Starting bool
	// Isolated is set on a VM that may not know most others although it is no longer
	// Starting. It issues no permits for cold servers.
	Isolated bool
	// Service is the service, and StartRate the rate of its cold servers, zero if the
	// configuration sets none.
	Service   string
	StartRate Rate
}

// sharers returns the number of VMs among which a limit is shared.
func (v *View) sharers() int { return max(v.Live+v.Lost, minSharers) }

// issuable returns the part of a limit for which an issuer issues permits. The rest is
// for VMs that may be cut off from it.
func (v *View) issuable(rate Rate) Rate {
	return max(rate, minRate) * Rate(v.Live) / Rate(v.Live+v.Lost)
}

// Verdict says what a VM may do with a request to a server.
type Verdict int

// The verdicts.
const (
	// Free: the server has no limit.
	Free Verdict = iota
	// Granted: the request may be sent now.
	Granted
	// Denied: the request must not be sent.
	Denied
	// Ask: a permit has to be asked for.
	Ask
)

// DeniedError is the error of a request that got no permit and was not sent.
type DeniedError struct {
	Server Server
	Cause  Cause
	// Rate is the limit if Cause is RateLimit.
	Rate Rate
	// RetryAfter is the time until there will be a permit again, zero if there won't be
	// one.
	RetryAfter time.Duration
}

func (e *DeniedError) Error() string {
	switch e.Cause {
	case Leaving:
		return fmt.Sprintf("backend server %s has said that it is leaving", e.Server.ID)
	case Evacuated:
		return fmt.Sprintf("the failure domain of backend server %s is evacuated", e.Server.ID)
	case Cooldown:
		return fmt.Sprintf("backend server %s wants no request for another %v", e.Server.ID, e.RetryAfter)
	}
	return fmt.Sprintf("backend server %s takes %v requests a second and has its share", e.Server.ID, e.Rate)
}

// Decision is a verdict with what is needed to follow it.
type Decision struct {
	Verdict Verdict
	// Issuer is the VM to ask, with Ask, or the one that has answered, empty if the VM
	// itself has decided.
	Issuer string
	// Cause is why the verdict is Denied.
	Cause Cause
	// Rate is the limit. It is not set with Free.
	Rate Rate
	// RetryAfter is the time until there will be a permit again, with Denied.
	RetryAfter time.Duration
	// OwnShare is set if the VM has used its own share of the limit, as it could not
	// reach the issuer.
	OwnShare bool
}

// Request asks for a permit for a server.
type Request struct {
	// From is the VM that asks, and Entry what it knows of the server's limit.
	From  string
	Entry Entry
	// Used is the number of requests that the VM has sent by its own share since an issuer
	// last answered it.
	Used int
}

// Reply is the answer of a VM that was asked for a permit.
type Reply struct {
	// Granted and RetryAfter are as in a Decision. Share is the part of the limit that
	// the VM that has asked may use while it can't reach the issuer.
	Granted    bool
	RetryAfter time.Duration
	Share      float64
	// NotIssuer is set if the VM issues no permits for the service. Issuer is then the VM
	// that does, as far as it knows.
	NotIssuer bool
	Issuer    string
	// Entry is what the VM knows of the server's limit.
	Entry Entry
}

// Limiter decides whether a request may be sent to a server, by what the server has said
// of itself in its responses: that it is leaving, that it wants no request for some time,
// and its rate limit.
//
// It is one VM's part in keeping to the rate limits. The VMs agree on one of
// them for each service, the issuer, which issues a permit for each request to a server
// with a limit. A VM that can't reach the issuer uses a share of the limit that is its
// own. The zero value is ready to use. A Limiter is not safe for concurrent use.
type Limiter struct {
	Table
	// Random returns a random number in [0, 1). Nil means 0.
	Random func() float64
	// ColdRate returns the start rate of a server, zero if it isn't cold or its service
	// sets none. It may be nil.
	ColdRate func(now time.Time, s Server) Rate

	issuer     issuer
	departures departures
	cooldowns  cooldowns
	// deniedUntil holds when to ask again for a server, by server ID.
	deniedUntil map[string]time.Time
	// lostIssuers holds the VMs that have not answered, by ID.
	lostIssuers map[string]lostIssuer
	// shares holds this VM's own share of the limits, by server ID.
	shares map[string]*ownShare
	// roles holds which VM issues permits, by service, for services with a start rate.
	roles map[string]*role
	// lastTick is when Tick was last called, and resumedAt when the VM last went on
	// after a pause.
	lastTick, resumedAt time.Time
}

// lostIssuer says since when an issuer has not answered, and until when it is not asked.
type lostIssuer struct {
	since, until time.Time
}

// ownShare is a VM's own share of the limit of a server.
type ownShare struct {
	// bucket holds the permits of the share. It is refilled only while the issuer does
	// not answer.
	bucket
	// part is the share that the issuer stated at statedAt.
	part     float64
	statedAt time.Time
	// used is as in Request.
	used int
}

// Observe records what a response of a server says.
func (l *Limiter) Observe(now time.Time, s Server, st Statement) Change {
	return l.changed(s, l.Table.Observe(now, s, st))
}

// Merge applies an entry of another VM. It ignores one that can't be valid.
func (l *Limiter) Merge(now time.Time, e Entry) Change {
	return l.changed(e.Server, l.Table.Merge(now, e))
}

// changed returns a change of the limit of a server, after which the server may be asked
// for again.
func (l *Limiter) changed(s Server, c Change) Change {
	if c != Unchanged {
		delete(l.deniedUntil, s.ID)
	}
	return c
}

// Check decides on a request to a server. After Ask, the caller asks the issuer and calls
// Resolve or Fail.
func (l *Limiter) Check(now time.Time, s Server, v View) Decision {
	b := l.boundOf(now, s)
	if !b.limited {
		return Decision{Verdict: Free}
	}
	if until := l.deniedUntil[s.ID]; now.Before(until) {
		return Decision{Verdict: Denied, Rate: b.rate, RetryAfter: until.Sub(now)}
	}
	if v.Issuer == v.Self {
		return l.decideSelf(now, s, b, v)
	}
	if lost, ok := l.lostIssuers[v.Issuer]; ok && now.Before(lost.until) {
		return l.useShare(now, s, b, v, lost.since)
	}
	return Decision{Verdict: Ask, Issuer: v.Issuer, Rate: b.rate}
}

// decideSelf decides on a request of the issuer itself.
func (l *Limiter) decideSelf(now time.Time, s Server, b bound, v View) Decision {
	if !l.issues(now, b, v) {
		return l.useShare(now, s, b, v, l.resumedAt)
	}
	g := l.issue(now, v.Self, s, b, v)
	if !g.ok {
		return Decision{Verdict: Denied, Rate: b.rate, RetryAfter: g.wait}
	}
	return Decision{Verdict: Granted, Rate: b.rate}
}

// issues reports whether this VM issues permits for a server.
func (l *Limiter) issues(now time.Time, b bound, v View) bool {
	if v.Issuer != v.Self || v.Starting || !l.settled(now) {
		return false
	}
	return !b.cold || l.issuesCold(now, v)
}

// issue answers the request of a VM for a permit.
func (l *Limiter) issue(now time.Time, vm string, s Server, b bound, v View) grant {
	if b.cold {
		return l.issuer.issueCold(now, s, l.coldIssuable(b, v), reservedPart/Rate(l.coldSharers(v)), l.random())
	}
	return l.issuer.issue(now, vm, s, v.issuable(b.rate), v.sharers())
}

func (l *Limiter) random() float64 {
	if l.Random == nil {
		return 0
	}
	return l.Random()
}

// Request returns the request for a permit that follows an Ask.
func (l *Limiter) Request(s Server, v View) Request {
	r := Request{From: v.Self, Entry: l.Entry(s)}
	if own := l.shares[s.ID]; own != nil {
		r.Used, own.used = own.used, 0
	}
	return r
}

// keepUsed keeps the number of a request that no issuer has answered for the next one.
func (l *Limiter) keepUsed(q Request) {
	if own := l.shares[q.Entry.ID]; own != nil {
		own.used += q.Used
	}
}

// Handle answers the request of another VM for a permit. It also returns how the limit
// has changed here.
func (l *Limiter) Handle(now time.Time, q Request, v View) (Reply, Change) {
	s := q.Entry.Server
	change := l.Merge(now, q.Entry)
	r := Reply{Issuer: v.Issuer, Entry: l.Entry(s)}
	b := l.boundAsked(now, q, v)
	if !l.issues(now, b, v) {
		r.NotIssuer = true
		return r, change
	}
	if !b.limited {
		r.Granted = true
		return r, change
	}
	l.issuer.debit(now, s, l.issuableOf(b, v), q.Used)
	g := l.issue(now, q.From, s, b, v)
	r.Granted, r.RetryAfter, r.Share = g.ok, g.wait, g.share
	return r, change
}

// Resolve decides on a request to a server after the VM asked has answered the request q
// for a permit, made at askedAt. redirected is set if asked was named by another VM that
// was asked before. It also returns how the limit has changed.
func (l *Limiter) Resolve(now, askedAt time.Time, asked string, q Request, r Reply, redirected bool, v View) (Decision, Change) {
	s := q.Entry.Server
	change := l.Merge(now, r.Entry)
	b := l.boundOf(now, s)
	// An issuer of an older version, or without the configuration that sets the start rate,
	// grants each request and states no share.
	unaware := b.cold && r.Granted && r.Share == 0
	if !unaware {
		delete(l.lostIssuers, asked)
	}
	switch {
	case !b.limited:
		return Decision{Verdict: Free}, change
	case r.NotIssuer && !redirected && r.Issuer != asked && r.Issuer != v.Self && r.Issuer != "":
		l.keepUsed(q)
		return Decision{Verdict: Ask, Issuer: r.Issuer, Rate: b.rate}, change
	case r.NotIssuer || unaware:
		l.keepUsed(q)
		return l.useShare(now, s, b, v, l.loseIssuer(now, asked)), change
	}
	l.stateShare(now, s, r.Share)
	if !r.Granted || elapsed(askedAt, now) > permitLifetime {
		wait := l.deny(now, s, r.RetryAfter)
		return Decision{Verdict: Denied, Issuer: asked, Rate: b.rate, RetryAfter: wait}, change
	}
	return Decision{Verdict: Granted, Issuer: asked, Rate: b.rate}, change
}

// Fail decides on a request to a server after the issuer asked has not answered the
// request q for a permit.
func (l *Limiter) Fail(now time.Time, asked string, q Request, v View) Decision {
	s := q.Entry.Server
	l.keepUsed(q)
	b := l.boundOf(now, s)
	if !b.limited {
		return Decision{Verdict: Free}
	}
	return l.useShare(now, s, b, v, l.loseIssuer(now, asked))
}

// loseIssuer records that an issuer has not answered, and returns since when it has not.
func (l *Limiter) loseIssuer(now time.Time, id string) (since time.Time) {
	lost, ok := l.lostIssuers[id]
	if !ok || now.Sub(lost.until) > shareLifetime {
		lost.since = now
	}
	lost.until = now.Add(issuerBackoff)
	if l.lostIssuers == nil {
		l.lostIssuers = map[string]lostIssuer{}
	}
	l.lostIssuers[id] = lost
	return lost.since
}

// useShare decides on a request by this VM's own share of a limit. since is when the VM
// began to use it.
func (l *Limiter) useShare(now time.Time, s Server, b bound, v View, since time.Time) Decision {
	own := l.shareOf(now, s)
	part := own.part
	switch {
	case b.cold:
		part = reservedPart / float64(l.coldSharers(v))
	case v.Starting:
		part = 1 / float64(v.sharers())
	case own.statedAt.IsZero() || elapsed(own.statedAt, now) > shareLifetime:
		part = reservedPart / float64(v.sharers())
	}
	if own.at.Before(since) {
		own.at = since
	}
	rate := max(b.rate, minRate)
	if b.cold {
		own.refillCold(now, rate*Rate(part), false)
	} else {
		own.refill(now, rate*Rate(part))
	}
	d := Decision{Verdict: Granted, Rate: rate, OwnShare: true}
	if wait, ok := own.take(rate * Rate(part)); !ok {
		d.Verdict, d.RetryAfter = Denied, l.deny(now, s, min(wait, issuerBackoff))
		return d
	}
	own.used++
	return d
}

// shareOf returns this VM's own share of a server's limit. A new one holds a random part
// of a permit: the VMs together then send as many requests as the sum of their shares
// allows, though the share of each may be far below one.
func (l *Limiter) shareOf(now time.Time, s Server) *ownShare {
	own := l.shares[s.ID]
	if own == nil {
		if l.shares == nil {
			l.shares = map[string]*ownShare{}
		}
		own = &ownShare{bucket: bucket{at: now, tokens: l.random()}}
		l.shares[s.ID] = own
	}
	return own
}

// stateShare records the share that an issuer has stated.
func (l *Limiter) stateShare(now time.Time, s Server, part float64) {
	if part > 0 && part <= 1 {
		own := l.shareOf(now, s)
		own.part, own.statedAt = part, now
	}
}

// deny records that there is no permit for a server for the given time, within bounds,
// and returns that time.
func (l *Limiter) deny(now time.Time, s Server, wait time.Duration) time.Duration {
	if l.deniedUntil == nil {
		l.deniedUntil = map[string]time.Time{}
	}
	wait = min(max(wait, minWait), maxWait)
	l.deniedUntil[s.ID] = now.Add(wait)
	return wait
}

// Exhausted reports whether no request may be sent to a server for now, as far as this
// VM knows without asking, and for how long.
func (l *Limiter) Exhausted(now time.Time, s Server, v View) (time.Duration, bool) {
	b := l.boundOf(now, s)
	until := l.deniedUntil[s.ID]
	switch {
	case !b.limited:
		return 0, false
	case now.Before(until):
		return until.Sub(now), true
	case v.Issuer != v.Self || v.Starting || b.cold && !l.issues(now, b, v):
		return 0, false
	case b.cold:
		return l.issuer.exhaustedCold(now, s, l.coldIssuable(b, v), l.random())
	}
	return l.issuer.exhausted(now, s, v.issuable(b.rate))
}

// Forget drops what is known of a server.
func (l *Limiter) Forget(id string) {
	l.Table.Forget(id)
	delete(l.issuer.ledgers, id)
	delete(l.deniedUntil, id)
	delete(l.shares, id)
}

// Tick must be called every TickInterval. It forgets limits that ended long ago, and shows
// when the VM was paused.
func (l *Limiter) Tick(now time.Time) {
	l.Expire(now)
	l.cooldowns.expire(now)
	l.settled(now)
	l.lastTick = now
}

// settled reports whether the VM has not been paused lately.
func (l *Limiter) settled(now time.Time) bool {
	if !l.lastTick.IsZero() && elapsed(l.lastTick, now) > maxTickGap {
		l.resumedAt, l.lastTick = now, now
	}
	return l.resumedAt.IsZero() || elapsed(l.resumedAt, now) >= settleTime
}

// elapsed returns the time from one moment to a later one, by the clock that shows the
// longer time: the monotonic clock may stand still while a VM is suspended, and the wall
// clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
