package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
)

// Purpose says why a request is sent to a backend server.
type Purpose string

// The purposes.
const (
	// FirstSend is the first send of a caller's request, and Retry a further one.
	FirstSend Purpose = "first"
	Retry     Purpose = "retry"
	// Resume continues a run that was moved, CopyRun copies a run to another engine and
	// FreeCopy frees such a copy.
	Resume   Purpose = "resume"
	CopyRun  Purpose = "copy"
	FreeCopy Purpose = "free"
	// Attach reads on from a generation in progress, and CancelRun cancels one.
	Attach    Purpose = "attach"
	CancelRun Purpose = "cancel"
)

const (
	// permitTimeout bounds a request for a permit to another VM.
	permitTimeout = 100 * time.Millisecond
	// lostVMPeriod is how long a VM that has become silent may be cut off rather than
	// gone, and still send requests to backend servers.
	lostVMPeriod = time.Minute
	// limitLogInterval is the time between two log lines about the requests sent to a
	// server with a rate limit.
	limitLogInterval = 4 * time.Second
)

// errNoIssuer reports that this VM can't reach the issuer of a service's permits.
var errNoIssuer = eris.New("the issuer of permits is not known")

// limits is the part of a Node that keeps requests within the rate limits of backend
// servers.
type limits struct {
	limit.Limiter
	// sends holds what was sent to servers with a limit, logged when a change of a limit was
	// last logged, and invalidLogged when one that is no number was, all by server ID.
	sends         map[string]*limitedSends
	logged        map[string]time.Time
	invalidLogged map[string]time.Time
	// backlogs holds, by service, the requests that were rejected for lack of a permit.
	backlogs map[string]*limit.Backlog
}

// limitedSends counts what this VM has sent to a server with a rate limit, and the
// requests that got no permit, since its last log line about them.
type limitedSends struct {
	server limit.Server
	since  time.Time
	counts map[Purpose]int
	denied int
	// rate is the limit at the last of them, and cold is set if that was a start rate.
	rate limit.Rate
	cold bool
}

func serverOf(b member.Backend) limit.Server { return limit.Server{ID: b.ID, Epoch: b.Epoch} }

// use returns what a request with the purpose is for.
func (p Purpose) use() limit.Use {
	switch p {
	case FirstSend, Retry:
		return limit.Begin
	case FreeCopy, CancelRun:
		return limit.CleanUp
	}
	return limit.Continue
}

// AcquirePermit decides whether a request may be sent to a backend server now. If the
// server has a rate limit, it asks the issuer of its service. The error is a
// *limit.DeniedError if there is no permit, also if the server is evacuated.
func (n *Node) AcquirePermit(ctx context.Context, b member.Backend, p Purpose) (limit.Decision, error) {
	if err := n.awaitSends(ctx, p); err != nil {
		return limit.Decision{}, err
	}
	d := n.checkPermit(b, p)
	for redirected := false; d.Verdict == limit.Ask; redirected = true {
		d = n.askPermit(ctx, b, d.Issuer, redirected)
	}
	if err := context.Cause(ctx); err != nil {
		return d, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	// The server may have said something while the issuer was asked.
	if withheld, ok := n.limits.Withhold(now, serverOf(b), p.use()); ok {
		d = withheld
	}
	if n.evacuated(b, p) {
		n.Count("evacuations.sendsStopped", 1)
		d = limit.Decision{Verdict: limit.Denied, Cause: limit.Evacuated}
	}
	switch d.Verdict {
	case limit.Granted:
		n.Count("limits.sent."+string(p), 1)
		n.recordLimited(now, b, d.Rate, "cold.sent").counts[p]++
	case limit.Denied:
		n.Count("limits.denied."+d.Cause.String(), 1)
		if d.Cause == limit.RateLimit {
			n.recordLimited(now, b, d.Rate, "cold.denied").denied++
		}
		return d, &limit.DeniedError{Server: serverOf(b), Cause: d.Cause, Rate: d.Rate, RetryAfter: d.RetryAfter}
	}
	n.limits.Sending(now, serverOf(b))
	if d.OwnShare {
		n.Count("limits.ownShare", 1)
	}
	return d, nil
}

// AwaitPermit is AcquirePermit, and waits for a permit until ctx is done.
func (n *Node) AwaitPermit(ctx context.Context, b member.Backend, p Purpose) error {
	for {
		d, err := n.AcquirePermit(ctx, b, p)
		if d.Verdict != limit.Denied || d.Cause == limit.Leaving || d.Cause == limit.Evacuated {
			return err
		}
		select {
		case <-time.After(d.RetryAfter):
		case <-ctx.Done():
			return err
		}
	}
}

func (n *Node) checkPermit(b member.Backend, p Purpose) limit.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, now := serverOf(b), time.Now()
	if n.evacuated(b, p) {
		return limit.Decision{Verdict: limit.Denied, Cause: limit.Evacuated}
	}
	if d, withheld := n.limits.Withhold(now, s, p.use()); withheld {
		return d
	}
	if !n.limits.Limited(now, s) {
		return limit.Decision{}
	}
	return n.limits.Check(now, s, n.limitView(now, b.Service))
}

// askPermit asks another VM for a permit. redirected is set if that VM was named by
// another one that was asked before.
func (n *Node) askPermit(ctx context.Context, b member.Backend, issuer string, redirected bool) limit.Decision {
	n.mu.Lock()
	s, askedAt := serverOf(b), time.Now()
	q := n.limits.Request(s, n.limitView(askedAt, b.Service))
	to, known := n.group.Peer(issuer)
	n.mu.Unlock()
	var reply limit.Reply
	err := errNoIssuer
	if known && n.RequestPermit != nil {
		callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		reply, err = n.RequestPermit(callCtx, to, b.Service, q)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	v := n.limitView(now, b.Service)
	switch {
	case ctx.Err() != nil:
		// The caller has gone, which says nothing about the issuer.
		return limit.Decision{Verdict: limit.Denied}
	case err != nil:
		n.Count("limits.issuersLost", 1)
		d := n.limits.Fail(now, issuer, q, v)
		n.limitLog(s).WithError(err).WithFields(logrus.Fields{
			"issuer": issuer, "rate": d.Rate, "permit": d.Verdict == limit.Granted, "vms": v.Live, "lostVMs": v.Lost,
		}).Warn("request for a permit failed; using the own share of the rate limit")
		return d
	}
	d, change := n.limits.Resolve(now, askedAt, issuer, q, reply, redirected, v)
	n.logLimitChange(s, change, issuer)
	return d
}

// HandlePermit answers the request of another VM for a permit to send a request to a
// server of a service.
func (n *Node) HandlePermit(service string, q limit.Request) limit.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	r, change := n.limits.Handle(now, q, n.limitView(now, service))
	n.logLimitChange(q.Entry.Server, change, q.From)
	n.Count("limits.asked", 1)
	return r
}

// limitView returns this VM's view of the VMs that share the limits of a service. The
// caller holds the lock.
func (n *Node) limitView(now time.Time, service string) limit.View {
	everyVM := func(member.Peer) bool { return false }
	live, lost := n.group.CallerVMs(now, lostVMPeriod)
	return limit.View{
		Self: n.Settings.ID, Issuer: n.group.PlacementVM(now, service, "", n.Draining(), everyVM).ID,
		Live: live, Lost: lost, Starting: n.Starting(), Isolated: n.controlNeverReached,
		Service: service, StartRate: n.startRate(service),
	}
}

// ObserveLimit records what a response of a server says of its rate limit.
func (n *Node) ObserveLimit(b member.Backend, st limit.Statement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if st.Invalid {
		n.logInvalidLimit(serverOf(b), st.Text)
		return
	}
	s := serverOf(b)
	dropped := n.limits.Dropped()
	change := n.limits.Observe(time.Now(), s, st)
	n.logLimitChange(s, change, "")
	n.logDroppedLimits(n.limits.Dropped() - dropped)
	if change == limit.Named || change == limit.Ended {
		to := n.group.UrgentTargets(time.Now(), "", n.random)
		go n.Gossip(to)
	}
}

// ReceiveLimit applies what another VM knows of a limit.
func (n *Node) ReceiveLimit(e limit.Entry, from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	dropped := n.limits.Dropped()
	change := n.limits.Merge(time.Now(), e)
	n.logLimitChange(e.Server, change, from)
	n.logDroppedLimits(n.limits.Dropped() - dropped)
	if change == limit.Named || change == limit.Ended {
		to := n.group.UrgentTargets(time.Now(), from, n.random)
		go n.Gossip(to)
	}
}

// logLimitChange logs and counts a change of a limit. from is the VM that it was learned
// from, empty if a response of the server to this VM says so. The caller holds the lock.
func (n *Node) logLimitChange(s limit.Server, change limit.Change, from string) {
	if change == limit.Unchanged {
		return
	}
	e := n.limits.Entry(s)
	n.Count("limits."+change.String(), 1)
	if change == limit.Altered && time.Since(n.limits.logged[s.ID]) < limitLogInterval {
		return
	}
	n.limits.logged[s.ID] = time.Now()
	n.limitLog(s).WithFields(logrus.Fields{
		"rate": e.Rate, "version": e.Version, "change": change.String(), "from": from,
	}).Warn("rate limit of a backend server changed")
}

// logDroppedLimits logs and counts limits in force that were forgotten because too many servers
// name one. The caller holds the lock.
func (n *Node) logDroppedLimits(dropped int) {
	if dropped == 0 {
		return
	}
	n.Count("limits.dropped", int64(dropped))
	n.Log.WithField("dropped", dropped).Warn("more servers name a rate limit than this VM remembers; forgetting the oldest limits")
}

// logInvalidLimit logs and counts that a response of a server names something that is no rate
// limit. The limit that the server named before, if any, still holds. The caller holds the lock.
func (n *Node) logInvalidLimit(s limit.Server, text string) {
	n.Count("limits.invalid", 1)
	if time.Since(n.limits.invalidLogged[s.ID]) < limitLogInterval {
		return
	}
	n.limits.invalidLogged[s.ID] = time.Now()
	rate, limited := n.limits.Rate(s)
	n.limitLog(s).WithFields(logrus.Fields{"value": text, "limited": limited, "rate": rate}).Warn("rate limit of a backend server is no number; ignored")
}

func (n *Node) limitLog(s limit.Server) *logrus.Entry {
	return n.Log.WithFields(logrus.Fields{"backend": s.ID, "epoch": s.Epoch})
}

// sendsTo returns the counts of what is sent to a server with a limit.
func (l *limits) sendsTo(b member.Backend) *limitedSends {
	sends := l.sends[b.ID]
	if sends == nil {
		sends = &limitedSends{server: serverOf(b), since: time.Now(), counts: map[Purpose]int{}}
		l.sends[b.ID] = sends
	}
	return sends
}

// tickLimits runs the periodic work for limits, and logs what was sent to servers with a
// limit.
func (n *Node) tickLimits(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits.Tick(now)
	n.observeColdViews(now)
	for id, sends := range n.limits.sends {
		if now.Sub(sends.since) < limitLogInterval {
			continue
		}
		n.limitLog(sends.server).WithFields(logrus.Fields{
			"rate": sends.rate, "cold": sends.cold, "sent": sends.counts, "denied": sends.denied, "ms": now.Sub(sends.since).Milliseconds(),
		}).Info("requests sent to a server with a rate limit")
		delete(n.limits.sends, id)
	}
}

// Forget drops what is known of the limit of a server that is gone.
func (l *limits) Forget(id string) {
	l.Limiter.Forget(id)
	delete(l.logged, id)
	delete(l.invalidLogged, id)
}
