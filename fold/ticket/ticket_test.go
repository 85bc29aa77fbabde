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

// rig is some desks and one board, with messages between them that may be
// lost.
type rig struct {
	random *rand.Rand
	now    time.Time
	board  *ticket.Server
	desks  []*ticket.Client
	// steward is the process that all desks ask.
	steward ticket.SchedulerID
	loss    float64
	// decided counts the decisions on each request, by desk.
	decided map[string]int
	running map[string]bool
}

func newRig(seed uint64) *rig {
	r := &rig{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), steward: ticket.SchedulerID{VM: "s", Epoch: 1},
		decided: map[string]int{}, running: map[string]bool{},
	}
	r.restart()
	for i := range 3 {
		own := sched.New(sched.Options{SampleSize: 2, Random: r.random})
		own.UpdateBackend(r.now.Add(-time.Hour), engineInfo)
		r.desks = append(r.desks, ticket.NewClient(fmt.Sprint("d", i), 1, own, func(string) ticket.SchedulerID { return r.steward }))
	}
	return r
}

// restart replaces the steward's process.
func (r *rig) restart() {
	s := sched.New(sched.Options{})
	s.UpdateBackend(r.now.Add(-time.Hour), engineInfo)
	r.board = ticket.NewServer(s)
	r.steward.Epoch++
}

func (r *rig) lost() bool { return r.random.Float64() < r.loss }

// carry moves all messages that are due.
func (r *rig) carry() {
	r.board.Expire(r.now)
	for range 4 {
		for i, d := range r.desks {
			r.take(i, d.Poll(r.now))
			for to, b := range d.Outgoing(r.now) {
				if to != r.steward || r.lost() || !r.board.ApplyBatch(r.now, b) {
					d.SchedulerLost(r.now, to)
				}
			}
		}
		for to, list := range r.board.Poll(r.now) {
			i := int(to[1] - '0')
			if r.lost() {
				r.board.Forget(r.now, to)
				continue
			}
			r.take(i, r.desks[i].ApplyDecisions(r.now, r.steward, list))
		}
	}
}

func (r *rig) take(desk int, list []ticket.Decision) {
	for _, x := range list {
		key := fmt.Sprintf("%d/%d", desk, x.ID)
		r.decided[key]++
		if !x.Refused {
			r.running[key] = true
		}
	}
}

// TestEveryRequestIsDecidedOnce runs seeded traffic with lost messages and
// restarts of the steward: each request that is not cancelled is decided
// exactly once, and at the end neither side holds anything.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	for seed := range uint64(60) {
		r := newRig(seed)
		r.loss = 0.1
		want := map[string]bool{}
		for step := range 1500 {
			r.now = r.now.Add(time.Duration(r.random.IntN(20)) * time.Millisecond)
			i := r.random.IntN(len(r.desks))
			d := r.desks[i]
			id := uint64(step + 1)
			key := fmt.Sprintf("%d/%d", i, id)
			switch r.random.IntN(10) {
			case 0, 1, 2:
				want[key] = true
				d.Submit(r.now, &sched.Request{ID: id, Workspace: "w", Class: "c", Model: "m", PromptTokens: 200, Arrived: r.now, Target: sched.Target{Completion: time.Hour}})
				if r.random.IntN(8) == 0 {
					d.Cancel(r.now, id)
					delete(want, key)
				}
			case 3:
				if r.random.IntN(30) == 0 {
					r.restart()
				}
			default:
				r.progress(i)
			}
			r.carry()
		}
		r.loss = 0
		for range 3000 {
			r.now = r.now.Add(20 * time.Millisecond)
			for i := range r.desks {
				r.progress(i)
			}
			r.carry()
		}
		for key := range want {
			if r.decided[key] != 1 {
				t.Fatalf("seed %d: request %s was decided %d times", seed, key, r.decided[key])
			}
		}
		if n := r.board.Tickets(); n != 0 {
			t.Fatalf("seed %d: %d requests are left on the board", seed, n)
		}
		for _, d := range r.desks {
			if q, run := d.Counts(); len(q)+len(run) != 0 {
				t.Fatalf("seed %d: %v wait and %v run at a desk", seed, q, run)
			}
		}
	}
}

// progress moves the requests of a desk on, and ends some.
func (r *rig) progress(desk int) {
	for _, key := range slices.Sorted(maps.Keys(r.running)) {
		var i int
		var id uint64
		fmt.Sscanf(key, "%d/%d", &i, &id)
		if i != desk {
			continue
		}
		r.desks[i].Progress(r.now, id, 5)
		if r.random.IntN(3) == 0 {
			r.desks[i].Finish(r.now, id, sched.Completed)
			delete(r.running, key)
		}
	}
}
