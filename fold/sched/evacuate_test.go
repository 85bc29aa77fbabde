package sched

import (
	"testing"
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/fold/member"
)

// evacuation returns a scheduler with an engine in each of the failure domains a and b, and
// the set in which b is evacuated.
func evacuation(now time.Time) (*Scheduler, evac.Set) {
	s := New(Options{Domain: "a"})
	for _, domain := range []string{"a", "b"} {
		s.UpdateBackend(now, member.Backend{ID: "e-" + domain, Model: "m", Domain: domain, MemoryTokens: 1000, Epoch: 1})
	}
	return s, evac.Set{}.Add("b", now)
}

// TestEvacuatedEngineGetsNothing guards against dispatches to an evacuated engine, by any
// policy, also one that becomes known later, and against engines that stay out after the
// order is revoked.
func TestEvacuatedEngineGetsNothing(t *testing.T) {
	for policy := range Policies() {
		now := time.Unix(1000, 0)
		s, set := evacuation(now)
		s.SetEvacuations(now, set)
		s.UpdateBackend(now, member.Backend{ID: "e-b2", Model: "m", Domain: "b", MemoryTokens: 1000, Epoch: 1})
		dispatched := map[string]int{}
		send := func(id uint64) {
			s.Submit(now, &Request{ID: id, Model: "m", PromptTokens: 10, Policy: policy, Arrived: now, Avoid: []string{"e-a"}})
			out, _ := s.Poll(now)
			for _, d := range out {
				dispatched[d.Backend]++
				s.Finish(now, d.Request.ID, Completed)
			}
		}
		for id := range uint64(5) {
			send(id + 1)
		}
		if dispatched["e-a"] != 5 {
			t.Errorf("%s: dispatches %v, want 5 to the engine that is not evacuated", policy, dispatched)
		}
		s.SetEvacuations(now, set.Remove("b"))
		send(6)
		if dispatched["e-a"] != 5 {
			t.Errorf("%s: dispatches %v, want one to b after the order was revoked", policy, dispatched)
		}
	}
}

// TestLastEngineEvacuated guards against requests that wait for an engine that gets none:
// those that waited before and those that come later are refused at once.
func TestLastEngineEvacuated(t *testing.T) {
	now := time.Unix(1000, 0)
	s, set := evacuation(now)
	s.RemoveBackend(now, "e-a")
	for id := range uint64(30) {
		s.Submit(now, &Request{ID: id + 1, Model: "m", PromptTokens: 900, Arrived: now, Admitted: true})
	}
	out, _ := s.Poll(now)
	s.SetEvacuations(now, set)
	s.Submit(now, &Request{ID: 31, Model: "m", PromptTokens: 900, Arrived: now, Admitted: true})
	more, refused := s.Poll(now)
	if len(out) == 0 || len(more) != 0 || len(refused) != 31-len(out) {
		t.Fatalf("%d requests dispatched before and %d after, %d refused; want the rest of 31 refused", len(out), len(more), len(refused))
	}
	for _, r := range refused {
		if r.Reason != ReasonNoBackend || r.RetryAfter <= 0 {
			t.Errorf("refusal %+v, want no backend server and a time", r)
		}
	}
	if len(s.Queued()) != 0 {
		t.Errorf("requests wait: %v", s.Queued())
	}
}

// TestWaitWithoutEvacuatedCapacity guards against waits that are estimated by dispatches to
// engines that get no more.
func TestWaitWithoutEvacuatedCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	s, set := evacuation(now)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		s.recordDispatch(now, dispatchKey{"m", "a"})
		for range 3 {
			s.recordDispatch(now, dispatchKey{"m", "b"})
		}
	}
	before := s.dispatchesPerSecond(now, "m")
	s.SetEvacuations(now, set)
	if after := s.dispatchesPerSecond(now, "m"); after < before*0.24 || after > before*0.26 {
		t.Errorf("%.2f dispatches a second before, %.2f after; want a quarter", before, after)
	}
}
