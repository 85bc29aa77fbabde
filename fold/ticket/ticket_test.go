package ticket_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/ticket"
)

var engineInfo = member.Backend{ID: "e", Kind: spec.KindEngine, Model: "m", MemoryTokens: 3_000, Epoch: 1, Seq: 1}

// cluster is a set of clients and one server. Messages between them are lost at
// lossRate.
type cluster struct {
	random  *rand.Rand
	now     time.Time
	server  *ticket.Server
	clients []*ticket.Client
	// scheduler is the process to which all clients submit.
	scheduler ticket.SchedulerID
	lossRate  float64
	// decisions counts the decisions on each request; the key is client/ID.
	decisions map[string]int
	running   map[string]bool
}

func newCluster(seed uint64) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), scheduler: ticket.SchedulerID{VM: "s", Epoch: 1},
		decisions: map[string]int{}, running: map[string]bool{},
	}
	c.restartServer()
	for i := range 3 {
		local := sched.New(sched.Options{SampleSize: 2, Random: c.random})
		local.UpdateBackend(c.now.Add(-time.Hour), engineInfo)
		c.clients = append(c.clients, ticket.NewClient(fmt.Sprint("d", i), 1, local, func(string) ticket.SchedulerID { return c.scheduler }))
	}
	return c
}

// restartServer replaces the scheduler process with a new one that has no
// tickets.
func (c *cluster) restartServer() {
	s := sched.New(sched.Options{})
	s.UpdateBackend(c.now.Add(-time.Hour), engineInfo)
	c.server = ticket.NewServer(s)
	c.scheduler.Epoch++
}

func (c *cluster) drops() bool { return c.random.Float64() < c.lossRate }

// deliver delivers all messages that are due. A lost batch or decision is
// reported to its sender.
func (c *cluster) deliver() {
	c.server.Expire(c.now)
	for range 4 {
		for i, client := range c.clients {
			c.recordDecisions(i, client.Poll(c.now))
			for to, b := range client.Outgoing(c.now) {
				if to != c.scheduler || c.drops() || !c.server.ApplyBatch(c.now, b) {
					client.SchedulerLost(c.now, to)
				}
			}
		}
		for to, list := range c.server.Poll(c.now) {
			i := int(to[1] - '0')
			if c.drops() {
				c.server.Forget(c.now, to)
				continue
			}
			c.recordDecisions(i, c.clients[i].ApplyDecisions(c.now, c.scheduler, list))
		}
	}
}

func (c *cluster) recordDecisions(client int, list []ticket.Decision) {
	for _, x := range list {
		key := fmt.Sprintf("%d/%d", client, x.ID)
		c.decisions[key]++
		if !x.Refused {
			c.running[key] = true
		}
	}
}

// TestEveryRequestIsDecidedOnce runs seeded traffic with lost messages and
// restarts of the scheduler. Each request that is not cancelled must be decided
// exactly once, and at the end neither side may hold any request.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(seed)
		c.lossRate = 0.1
		want := map[string]bool{}
		for step := range 1500 {
			c.now = c.now.Add(time.Duration(c.random.IntN(20)) * time.Millisecond)
			i := c.random.IntN(len(c.clients))
			client := c.clients[i]
			id := uint64(step + 1)
			key := fmt.Sprintf("%d/%d", i, id)
			switch c.random.IntN(10) {
			case 0, 1, 2:
				want[key] = true
				client.Submit(c.now, &sched.Request{ID: id, Workspace: "w", Class: "c", Model: "m", PromptTokens: 200, Arrived: c.now, Target: sched.Target{Completion: time.Hour}})
				if c.random.IntN(8) == 0 {
					client.Cancel(c.now, id)
					delete(want, key)
				}
			case 3:
				if c.random.IntN(30) == 0 {
					c.restartServer()
				}
			default:
				c.progress(i)
			}
			c.deliver()
		}
		c.lossRate = 0
		for range 3000 {
			c.now = c.now.Add(20 * time.Millisecond)
			for i := range c.clients {
				c.progress(i)
			}
			c.deliver()
		}
		for key := range want {
			if c.decisions[key] != 1 {
				t.Fatalf("seed %d: request %s was decided %d times, want 1", seed, key, c.decisions[key])
			}
		}
		if n := c.server.Tickets(); n != 0 {
			t.Fatalf("seed %d: the server holds %d tickets, want 0", seed, n)
		}
		for _, client := range c.clients {
			if q, run := client.Counts(); len(q)+len(run) != 0 {
				t.Fatalf("seed %d: a client has queued %v and running %v, want none", seed, q, run)
			}
		}
	}
}

// progress reports progress of the running requests of a client and completes
// some of them at random.
func (c *cluster) progress(client int) {
	for _, key := range slices.Sorted(maps.Keys(c.running)) {
		var i int
		var id uint64
		fmt.Sscanf(key, "%d/%d", &i, &id)
		if i != client {
			continue
		}
		c.clients[i].Progress(c.now, id, 5)
		if c.random.IntN(3) == 0 {
			c.clients[i].Finish(c.now, id, sched.Completed)
			delete(c.running, key)
		}
	}
}
