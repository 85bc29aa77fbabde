package node

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
)

const (
	// spreadTimeout is how long the acknowledgement that a server is leaving waits for all VMs
	// that an urgent update goes to.
	spreadTimeout = 300 * time.Millisecond
	// confirmTimeout is how long it waits for at least one of them. Servers try another VM after a
	// second.
	confirmTimeout = 600 * time.Millisecond
)

// ErrLeavingUnconfirmed is returned if no other VM has confirmed in time that a server is leaving.
var ErrLeavingUnconfirmed = eris.New("no other VM has confirmed yet that the backend server is leaving")

// leavingMarks are the servers that have told this VM that they are leaving, by ID.
type leavingMarks struct {
	marks map[string]*leavingMark
	// changed is closed when an exchange with another VM has ended; nil if nobody waits for that.
	changed chan struct{}
}

type leavingMark struct {
	// epoch is that of the server, and version one of the local table that has the mark.
	epoch, version uint64
	// awaited is set once an acknowledgement has waited for other VMs, and known once all of them
	// have confirmed the mark.
	awaited, known bool
}

// add records that a server has told this VM that it is leaving.
func (l *leavingMarks) add(b member.Backend, version uint64) *leavingMark {
	if l.marks == nil {
		l.marks = map[string]*leavingMark{}
	}
	m := &leavingMark{epoch: b.Epoch, version: version}
	l.marks[b.ID] = m
	return m
}

// retain forgets the servers that are not live any more.
func (l *leavingMarks) retain(live func(id string) bool) {
	maps.DeleteFunc(l.marks, func(id string, _ *leavingMark) bool { return !live(id) })
}

// notify tells those who wait that other VMs may know more.
func (l *leavingMarks) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// wait returns a channel that is closed by the next notify.
func (l *leavingMarks) wait() <-chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// AwaitLeavingKnown waits until other VMs know that a server is leaving, which has told this VM. The
// server may not say so again, so it must get no acknowledgement before: with this VM, what only
// this VM knows would be lost.
//
// It returns nil once all VMs know that an urgent update goes to, or after spreadTimeout if at
// least one does, and ErrLeavingUnconfirmed if none does within confirmTimeout. A VM that can
// reach no other one doesn't wait, unless it has just started and will.
func (n *Node) AwaitLeavingKnown(ctx context.Context, id string) error {
	begun := time.Now()
	m, again := n.leavingMark(id)
	if m == nil {
		return nil
	}
	if again {
		n.Gossip(n.urgentTargets(""))
	}
	unconfirmed := time.NewTimer(confirmTimeout)
	defer unconfirmed.Stop()
	spread := time.NewTimer(spreadTimeout)
	defer spread.Stop()
	late := false
	for {
		a, changed := n.leavingApplied(m)
		if a.Everywhere || late && a.Somewhere {
			n.Observe("backends.leavingMicros", time.Since(begun))
			return nil
		}
		select {
		case <-changed:
		case <-spread.C:
			late = true
		case <-ctx.Done():
			return fmt.Errorf("await that VMs know of a leaving server: %w", ctx.Err())
		case <-unconfirmed.C:
			n.Count("backends.leavingUnconfirmed", 1)
			n.Log.WithFields(logrus.Fields{"backend": id, "ms": time.Since(begun).Milliseconds()}).Warn("no other VM has confirmed that a backend server is leaving; not acknowledging it")
			return ErrLeavingUnconfirmed
		}
	}
}

// leavingMark returns the mark of a server that has told this VM that it is leaving, nil if all VMs
// know it, and whether the update must be sent again: it was waited for in vain, or came from
// another VM first, which may be lost meanwhile.
func (n *Node) leavingMark(id string) (m *leavingMark, again bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.table.Get(id)
	if !ok || !b.Leaving {
		return nil, false
	}
	m = n.leaving.marks[id]
	if m == nil || m.epoch != b.Epoch {
		n.table.Repeat(id)
		m, again = n.leaving.add(b, n.table.Version()), true
	}
	if m.known {
		return nil, false
	}
	again = again || m.awaited
	m.awaited = true
	return m, again
}

// leavingApplied returns which VMs have the mark of a leaving server, and a channel that is closed
// when that may have changed.
func (n *Node) leavingApplied(m *leavingMark) (member.Applied, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.Starting() && n.group.MetNobody(now) {
		return member.Applied{}, n.leaving.wait()
	}
	a := n.group.Applied(now, m.version)
	m.known = m.known || a.Everywhere
	return a, n.leaving.wait()
}
