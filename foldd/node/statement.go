package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
)

// ObserveLeaving records that a response of a backend server says that it is leaving, and
// tells the other VMs.
func (n *Node) ObserveLeaving(b member.Backend) {
	n.mu.Lock()
	isNew := n.limits.ObserveLeaving(serverOf(b))
	n.mu.Unlock()
	if !isNew {
		return
	}
	n.Count("limits.leaving", 1)
	n.limitLog(serverOf(b)).WithField("service", b.Service).Warn("backend server says that it is leaving")
	n.MarkBackendLeaving(b.ID, b.Epoch)
}

// keepLeaving marks a server as leaving that has said so to this VM, whatever other VMs
// report. It reports whether the mark is new. The caller holds the lock.
func (n *Node) keepLeaving(now time.Time, b member.Backend) bool {
	if b.Leaving || !n.limits.Departed(serverOf(b)) {
		return false
	}
	_, isNew := n.table.MarkLeaving(now, b.ID, b.Epoch)
	return isNew
}

// ObserveRetryAfter records for how long a backend server that has turned a request away
// wants no further one from this VM.
func (n *Node) ObserveRetryAfter(b member.Backend, r limit.RetryAfter) {
	log := n.limitLog(serverOf(b)).WithFields(logrus.Fields{"service": b.Service, "waitMs": r.Wait.Milliseconds()})
	if r.Invalid != "" {
		n.Count("limits.retryAfterInvalid", 1)
		log.WithField("value", r.Invalid).Warn("Retry-After of a backend server is no number of seconds; ignored")
		return
	}
	if r.Wait <= 0 {
		return
	}
	n.mu.Lock()
	isNew := n.limits.ObserveRetryAfter(time.Now(), serverOf(b), r.Wait)
	n.mu.Unlock()
	if isNew {
		n.Count("limits.cooldowns", 1)
		log.WithField("shortened", r.Shortened).Info("backend server turned a request away and wants none for some time")
	}
}
