package node

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
)

// withheld holds the servers of a service that get no request for now.
type withheld struct {
	ids []string
	// wait is the time until the first of them gets one. cause is why it gets none yet.
	wait  time.Duration
	cause limit.Cause
	// warmIn is the time until the first of them is no longer limited because it is cold,
	// zero if none is.
	warmIn time.Duration
}

func (w *withheld) add(id string, wait time.Duration, cause limit.Cause) {
	if len(w.ids) == 0 || wait < w.wait {
		w.wait, w.cause = wait, cause
	}
	w.ids = append(w.ids, id)
}

// noteWarm records the time until a server is no longer limited because it is cold, zero if it
// isn't limited for that alone.
func (w *withheld) noteWarm(left time.Duration) {
	if left > 0 && (w.warmIn == 0 || left < w.warmIn) {
		w.warmIn = left
	}
}

// withheldServers returns the servers of a service, other than stay, that get no request
// for now: those without a permit, and, for the requests of this VM, those in a cooldown.
// The caller holds the lock.
func (n *Node) withheldServers(now time.Time, service, stay string, own bool) withheld {
	var out withheld
	if n.limits.Idle() && !n.mayBeCold(now, service) {
		return out
	}
	v := n.limitView(now, service)
	for _, b := range n.usableServers(service, stay) {
		if b.ID == stay || b.Leaving {
			continue
		}
		wait, cooling := n.limits.Cooldown(now, serverOf(b))
		if cooling && own {
			out.add(b.ID, wait, limit.Cooldown)
			continue
		}
		if wait, exhausted := n.limits.Exhausted(now, serverOf(b), v); exhausted {
			out.add(b.ID, wait, limit.RateLimit)
			out.noteWarm(n.coldLeft(now, b))
		}
	}
	return out
}

// limitedChoice returns the choice for a request for which only withheld servers are left,
// and counts it as rejected. The caller holds the lock.
func (n *Node) limitedChoice(now time.Time, service string, w withheld) place.Choice {
	if w.cause == limit.Cooldown {
		return place.Choice{Limited: true, RetryAfter: w.wait}
	}
	b := n.limits.backlogs[service]
	if b == nil {
		b = &limit.Backlog{}
		n.limits.backlogs[service] = b
	}
	retryAfter := b.Reject(now, w.wait)
	if w.warmIn > 0 {
		retryAfter = min(retryAfter, w.warmIn)
	}
	return place.Choice{Limited: true, RetryAfter: retryAfter}
}

// RejectLimited reports whether all servers of a service, other than those excluded, take
// no further request for now, because of a rate limit or a cooldown. It then counts a
// request as rejected, and returns the time after which it may come back.
func (n *Node) RejectLimited(service string, exclude []string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	w := n.withheldServers(now, service, "", true)
	if !n.hasOtherServer(service, exclude) || n.hasOtherServer(service, slices.Concat(exclude, w.ids)) {
		return 0, false
	}
	return n.limitedChoice(now, service, w).RetryAfter, true
}

// hasOtherServer reports whether a service has a server besides the given ones that is not
// evacuated. The caller holds the lock.
func (n *Node) hasOtherServer(service string, ids []string) bool {
	return slices.ContainsFunc(n.usableServers(service, ""), func(b member.Backend) bool {
		return !b.Leaving && !slices.Contains(ids, b.ID)
	})
}

// excludeWithheld excludes and returns the servers that get no request for now. own is set
// for a request of this VM.
func (n *Node) excludeWithheld(service string, r *place.Request, own bool) withheld {
	stay := stayAt(r)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	w := n.withheldServers(now, service, stay, own)
	if r.Copy != nil && n.mayBeCold(now, service) {
		n.withholdColdTargets(now, service, stay, &w)
	}
	r.Exclude = slices.Concat(r.Exclude, w.ids)
	return w
}

// withholdColdTargets adds the cold servers, other than stay, that are not withheld yet: they
// are no targets of a copy. The permits for them are left to requests that run nowhere yet.
// The caller holds the lock.
func (n *Node) withholdColdTargets(now time.Time, service, stay string, w *withheld) {
	for _, b := range n.table.OfService(service) {
		rate, left := n.table.Cold(now, b.ID, b.Epoch)
		if rate > 0 && b.ID != stay && !slices.Contains(w.ids, b.ID) {
			w.add(b.ID, left, limit.RateLimit)
			w.noteWarm(left)
		}
	}
}
