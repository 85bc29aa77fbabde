package node

import (
	"time"

	"fuchsiafold.example/fold/retry"
)

// CountForward counts the first attempt of a forwarded request for the retry
// budget of its service.
func (n *Node) CountForward(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.forwardWindow(service).Deposit(now)
	n.scheduleReport(now)
}

// TakeForwardRetry takes a retry from this VM's part of the service's retry
// budget, which all VMs share. It returns false if the part is used up.
func (n *Node) TakeForwardRetry(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return n.forwardBudget(now, service).Withdraw(now)
}

// forwardBudget returns the retry budget of a service, with the reserve set to
// this VM's part: half of an equal share, so that the VMs together keep to the
// reserve in every window without exchanging messages. The caller holds the lock.
func (n *Node) forwardBudget(now time.Time, service string) *retry.WindowBudget {
	w := n.forwardWindow(service)
	w.Reserve = n.Settings.Retry.Reserve / float64(2*n.sharers(now))
	return w
}

// forwardWindow returns the retry budget of a service, which it creates if needed.
// The caller holds the lock.
func (n *Node) forwardWindow(service string) *retry.WindowBudget {
	w := n.forwardBudgets[service]
	if w == nil {
		w = &retry.WindowBudget{Share: n.Settings.Retry.Share, Length: time.Duration(n.Settings.Retry.Window)}
		n.forwardBudgets[service] = w
	}
	return w
}

// minSharers is the lowest number of VMs that the reserve is divided among: a VM
// that has just started does not know the others yet.
const minSharers = 8

// sharers returns the number of VMs that share the reserve: this one and the live
// ones that serve callers, but at least minSharers. The caller holds the lock.
func (n *Node) sharers(now time.Time) int {
	count := 1
	for _, p := range n.group.Live(now) {
		if p.ServesCallers {
			count++
		}
	}
	return max(count, minSharers)
}
