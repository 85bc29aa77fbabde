package node

import (
	"time"

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
)

// limitLogInterval is the time between two log lines about the requests sent to a server
// with a rate limit.
const limitLogInterval = 4 * time.Second

// limitedSends counts the requests that this VM has sent to a server with a rate limit
// since its last log line about them.
type limitedSends struct {
	server limit.Server
	since  time.Time
	counts map[Purpose]int
}

// CountSend counts a request that is sent to a server, if the server has a rate limit.
func (n *Node) CountSend(b member.Backend, p Purpose) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := limit.Server{ID: b.ID, Epoch: b.Epoch}
	if _, limited := n.limits.Rate(s); !limited {
		return
	}
	n.Count("limits.sent."+string(p), 1)
	sends := n.limitedSends[b.ID]
	if sends == nil {
		sends = &limitedSends{server: s, since: time.Now(), counts: map[Purpose]int{}}
		n.limitedSends[b.ID] = sends
	}
	sends.counts[p]++
}

// ObserveLimit records what a response of a server says of its rate limit.
func (n *Node) ObserveLimit(b member.Backend, st limit.Statement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if st.Invalid {
		n.Count("limits.invalid", 1)
		return
	}
	s := limit.Server{ID: b.ID, Epoch: b.Epoch}
	switch change := n.limits.Observe(time.Now(), s, st); change {
	case limit.Named:
		n.Count("limits.named", 1)
		n.limitLog(s).WithField("rate", st.Rate).Warn("backend server named a rate limit")
	case limit.Altered:
		n.Count("limits.altered", 1)
	}
}

func (n *Node) limitLog(s limit.Server) *logrus.Entry {
	return n.Log.WithFields(logrus.Fields{"backend": s.ID, "epoch": s.Epoch})
}

// expireLimits ends the limits that their servers name no more, and logs the requests
// sent to servers with a limit. The caller holds the lock.
func (n *Node) expireLimits(now time.Time) {
	for _, s := range n.limits.Expire(now) {
		n.Count("limits.ended", 1)
		n.limitLog(s).Warn("backend server names no rate limit any more")
	}
	for id, sends := range n.limitedSends {
		if now.Sub(sends.since) < limitLogInterval {
			continue
		}
		rate, _ := n.limits.Rate(sends.server)
		n.limitLog(sends.server).WithFields(logrus.Fields{
			"rate": rate, "sent": sends.counts, "ms": now.Sub(sends.since).Milliseconds(),
		}).Info("requests sent to a server with a rate limit")
		delete(n.limitedSends, id)
	}
}
