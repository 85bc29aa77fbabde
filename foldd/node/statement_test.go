package node

import (
	"errors"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
)

// purposes lists all purposes of requests to backend servers.
var purposes = []Purpose{FirstSend, Retry, Resume, CopyRun, FreeCopy, Attach, CancelRun}

// TestPurposesObeyLeaving checks which requests reach a server that has said that it is
// leaving: those that keep a run in progress alive or end something, and no other.
func TestPurposesObeyLeaving(t *testing.T) {
	for _, p := range purposes {
		n := testNode(t)
		b, _ := n.Backend("e")
		n.ObserveLeaving(b)
		_, err := n.AcquirePermit(t.Context(), b, p)
		if want := p == FirstSend || p == Retry; (err != nil) != want {
			t.Errorf("%s: error %v, want one: %t", p, err, want)
		}
	}
}

// TestPurposesObeyCooldown checks how many requests reach a server within the time for which
// it wants none, and that all do afterwards.
func TestPurposesObeyCooldown(t *testing.T) {
	want := map[Purpose]int{Resume: 2, CopyRun: 2, Attach: 2}
	for _, p := range purposes {
		n := testNode(t)
		b, _ := n.Backend("e")
		n.ObserveRetryAfter(b, limit.RetryAfter{Wait: 30 * time.Second})
		sent := 0
		var denied *limit.DeniedError
		for range 5 {
			if _, err := n.AcquirePermit(t.Context(), b, p); err == nil {
				sent++
			} else if !errors.As(err, &denied) || denied.Cause != limit.Cooldown || denied.RetryAfter <= 0 {
				t.Errorf("%s: error %v, want the cooldown with its end", p, err)
			}
		}
		if sent != want[p] {
			t.Errorf("%s: %d of 5 requests are sent, want %d", p, sent, want[p])
		}
		if _, err := n.AcquirePermit(t.Context(), member.Backend{ID: "other", Service: "models"}, p); err != nil {
			t.Errorf("%s: another server is kept from its requests: %v", p, err)
		}
	}
}

// TestLeavingOutlastsOtherReports checks that a server that has said to this VM that it is
// leaving stays so here whatever the control VMs and others report, and however long it was
// silent, until it has started again.
func TestLeavingOutlastsOtherReports(t *testing.T) {
	n := testNode(t)
	b, _ := n.Backend("e")
	n.ObserveLeaving(b)
	b.Leaving = false
	for _, from := range []string{"", "vm2", "vm3"} {
		b.Seq += 10
		n.ReceiveRelayedBackends([]member.BackendUpdate{{Backend: b}}, from)
		if got, _ := n.Backend("e"); !got.Leaving {
			t.Errorf("a report from %q undoes what the server said", from)
		}
	}
	n.expire(time.Now().Add(time.Hour))
	b.Seq += 10
	n.ReceiveAnnouncement(b)
	if got, ok := n.Backend("e"); !ok || !got.Leaving {
		t.Errorf("after an hour of silence: present %t, leaving %t; want it leaving", ok, got.Leaving)
	}
	b.Epoch++
	n.ReceiveAnnouncement(b)
	if got, _ := n.Backend("e"); got.Leaving {
		t.Error("a new start of the server counts as leaving")
	}
}
