package node

import (
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
)

// Place chooses a backend server of a service for a forwarded request and
// counts the request there; the caller ends it with Placed. It returns false
// if none is left.
func (n *Node) Place(service string, w place.Want) (member.Backend, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w.Random = n.random.Float64()
	b, ok := n.placer.Pick(time.Now(), n.candidates(service), w)
	if ok {
		n.placer.Begin(b.ID, w.Tokens)
	}
	return b, ok
}

// candidates returns the backend servers of a service, with the memory that the
// configuration states for its engines. The caller holds the lock.
func (n *Node) candidates(service string) []member.Backend {
	list := n.table.OfService(service)
	x := n.Index()
	if x == nil {
		return list
	}
	s, ok := x.Service(service)
	if !ok || s.Engine == nil {
		return list
	}
	for i := range list {
		list[i].MemoryTokens = s.Engine.MemoryTokens
		if list[i].Slots == 0 {
			list[i].Slots = s.Engine.Slots
		}
	}
	return list
}

// Placed ends what Place began, with the same tokens.
func (n *Node) Placed(id string, tokens int, o place.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.End(time.Now(), id, tokens, o)
}

// Shun keeps forwarded requests away from a backend server for a while.
func (n *Node) Shun(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.Avoid(time.Now(), id)
}

// FirstSend counts a request of a service for the retry budget.
func (n *Node) FirstSend(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.window(service).First(time.Now())
}

// MayRepeat takes a repeat from the budget that all VMs share.
func (n *Node) MayRepeat(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	w := n.window(service)
	w.Reserve = float64(n.Settings.Retry.Reserve) / float64(2*n.sharers(now))
	return w.Repeat(now)
}

func (n *Node) window(service string) *retry.Window {
	w := n.repeats[service]
	if w == nil {
		w = &retry.Window{Share: n.Settings.Retry.Share, Length: time.Duration(n.Settings.Retry.Window)}
		n.repeats[service] = w
	}
	return w
}

// minSharers is the number of VMs that share the reserve at least: one that
// has just started has not heard of the others yet.
const minSharers = 8

// sharers returns the number of VMs that serve callers. The caller holds the
// lock.
func (n *Node) sharers(now time.Time) int {
	count := 1
	for _, p := range n.group.Live(now) {
		if p.Callers {
			count++
		}
	}
	return max(count, minSharers)
}
