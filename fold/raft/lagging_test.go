package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// maxSentShare bounds the bytes sent to a replica that is behind, as a share of those that
	// it needs.
	maxSentShare = 1.5
	// maxInFlight bounds the bytes on their way to a replica: a call between VMs carries no
	// more.
	maxInFlight = 16 << 20
	// catchUpLimit ends a test whose replica does not catch up.
	catchUpLimit = 5 * time.Minute
	// entrySize is the size of an entry in bytes, and loggedEntries the number of entries that
	// the replica lacks: 90 MB.
	entrySize     = 200_000
	loggedEntries = 450
	// furtherEntries is the number of entries that are proposed meanwhile, one in each
	// proposeInterval.
	furtherEntries  = 20
	proposeInterval = 300 * time.Millisecond
	// simStep is the time between two steps of a test.
	simStep = 10 * time.Millisecond
	// outageFrom is the time from simBegin to an outage.
	outageFrom = time.Second
)

// simBegin is the time at which a test begins.
var simBegin = time.Unix(0, 0)

// delayedMessage is a message on its way.
type delayedMessage struct {
	arrives time.Time
	message Message
}

// laggingGroup is a group of a and b, which hold a log, and c, which holds none of it. Messages
// to and from c take time, and are lost during the outage.
type laggingGroup struct {
	now           time.Time
	nodes         map[string]*Node
	delay, outage time.Duration
	onTheWay      []delayedMessage
	// sent, inFlight and mostInFlight count bytes of entries and snapshots to c.
	sent, inFlight, mostInFlight int
}

func newLaggingGroup(delay, outage time.Duration) *laggingGroup {
	g := &laggingGroup{now: simBegin, nodes: map[string]*Node{}, delay: delay, outage: outage}
	var entries []Entry
	for i := range uint64(loggedEntries) {
		entries = append(entries, Entry{Index: i + 2, Term: 1, Data: make([]byte, entrySize)})
	}
	for i, id := range []string{"a", "b", "c"} {
		restored := BootstrapGroup(threeVoters())
		if id != "c" {
			restored.Entries = append(restored.Entries, entries...)
		}
		g.nodes[id] = New(g.now, Options{ID: id, Random: rand.New(rand.NewPCG(1, uint64(i)))}, restored)
	}
	return g
}

// size returns the bytes of entries and of a snapshot in a message.
func size(m Message) int {
	n := 0
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.Data)
	}
	return n
}

// post puts a message on its way, or loses it during the outage.
func (g *laggingGroup) post(m Message) {
	if m.To == "c" {
		g.sent += size(m)
	}
	arrives := g.now
	if m.From == "c" || m.To == "c" {
		if g.isOutage() {
			return
		}
		arrives = arrives.Add(g.delay)
	}
	if m.To == "c" {
		g.inFlight += size(m)
		g.mostInFlight = max(g.mostInFlight, g.inFlight)
	}
	g.onTheWay = append(g.onTheWay, delayedMessage{arrives, m})
}

// isOutage reports whether no message to or from c arrives.
func (g *laggingGroup) isOutage() bool {
	since := g.now.Sub(simBegin) - outageFrom
	return since >= 0 && since < g.outage
}

// run does the work of a node until none is left.
func (g *laggingGroup) run(n *Node) {
	n.Flush()
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		if len(r.Entries) > 0 {
			last := r.Entries[len(r.Entries)-1]
			n.Persisted(last.Index, last.Term)
		}
		for _, m := range r.Messages {
			g.post(m)
		}
		n.Flush()
	}
}

// step advances the time by simStep.
func (g *laggingGroup) step() {
	g.now = g.now.Add(simStep)
	for _, id := range []string{"a", "b", "c"} {
		g.nodes[id].Tick(g.now)
		g.run(g.nodes[id])
	}
	for i := 0; i < len(g.onTheWay); i++ {
		d := g.onTheWay[i]
		if d.arrives.After(g.now) {
			continue
		}
		g.onTheWay = append(g.onTheWay[:i], g.onTheWay[i+1:]...)
		i--
		if d.message.To == "c" {
			g.inFlight -= size(d.message)
		}
		g.nodes[d.message.To].Step(g.now, d.message)
		g.run(g.nodes[d.message.To])
	}
}

// leader returns the leader, nil if there is none.
func (g *laggingGroup) leader() *Node {
	for _, n := range g.nodes {
		if n.Role() == Leader {
			return n
		}
	}
	return nil
}

// catchUp runs the group until all further entries are proposed and c has them.
func (g *laggingGroup) catchUp(t *testing.T) {
	t.Helper()
	proposed, proposeAt := 0, g.now
	for g.now.Sub(simBegin) < catchUpLimit {
		g.step()
		leader := g.leader()
		if leader == nil {
			continue
		}
		if proposed == furtherEntries && g.nodes["c"].LastIndex() == leader.LastIndex() {
			return
		}
		if proposed < furtherEntries && !g.now.Before(proposeAt) {
			if _, _, err := leader.Propose(make([]byte, entrySize)); err != nil {
				t.Fatal(err)
			}
			g.run(leader)
			proposed++
			proposeAt = g.now.Add(proposeInterval)
		}
	}
	t.Errorf("the replica has %d entries after %v", g.nodes["c"].LastIndex(), catchUpLimit)
}

// TestReplicaBehindIsSentEntriesOnce guards against a leader that sends a replica which is far
// behind the same entries again while they are on their way, more than a call can carry.
func TestReplicaBehindIsSentEntriesOnce(t *testing.T) {
	const heartbeat = DefaultHeartbeatInterval
	for _, delay := range []time.Duration{simStep, heartbeat, 3 * heartbeat, 5 * heartbeat} {
		for _, outage := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("delay %v, outage %v", delay, outage), func(t *testing.T) {
				g := newLaggingGroup(delay, outage)
				g.catchUp(t)
				needed := int(g.nodes["c"].LastIndex()-1) * entrySize
				if share := float64(g.sent) / float64(needed); share > maxSentShare {
					t.Errorf("%d bytes sent of %d that were needed, a share of %.2f; want at most %.2f", g.sent, needed, share, maxSentShare)
				}
				if g.mostInFlight > maxInFlight {
					t.Errorf("%d bytes in flight, want at most %d", g.mostInFlight, maxInFlight)
				}
			})
		}
	}
}
