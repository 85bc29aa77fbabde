package node

import (
	"context"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
)

// TestSlowPeriodsAreReportedAtOnce guards against prompts that are sent to an engine in a slow
// period because the placement VM learns of it with the next regular report only: an event
// after a gap far above the typical one sends a report, and further ones right after it don't.
func TestSlowPeriodsAreReportedAtOnce(t *testing.T) {
	n := testNode(t)
	reports := make(chan place.Load, 100)
	n.RequestPlacement = func(_ context.Context, _ member.Peer, req PlacementRequest) (PlacementResponse, error) {
		if req.Request == nil && req.Loads["e"].MaxGap > 0 {
			reports <- req.Loads["e"]
		}
		return PlacementResponse{Backend: "e"}, nil
	}
	for _, id := range []string{"b", "c", "d", "f", "g", "h", "i", "j", "k", "l"} {
		n.ReceivePeer(member.Peer{ID: id, Epoch: 1, ServesCallers: true})
	}
	generated := 1
	req := place.Request{Run: place.Run{ID: 1, BaseTokens: 10, GapTarget: time.Second, EventTokens: 4}, Progress: func() int { return generated }}
	if _, ok := n.Place(context.Background(), "models", req); !ok {
		t.Fatal("Place found no backend server")
	}
	n.ObserveEvent("models", "e", 1, 500*time.Millisecond, false)
	if len(reports) > 0 {
		t.Error("a gap was reported although none is known to be typical")
	}
	at := time.Now()
	for range 10 {
		at = at.Add(100 * time.Millisecond)
		generated += 10
		n.mu.Lock()
		n.placer.ObserveLocal(at, n.placer.LocalLoad(at, n.table.OfService("models")))
		n.mu.Unlock()
	}
	for range 50 {
		n.ObserveEvent("models", "e", 1, 500*time.Millisecond, false)
	}
	if l := <-reports; l.MaxGap != 500*time.Millisecond {
		t.Errorf("reported a gap of %v, want 500ms", l.MaxGap)
	}
	if c := n.Metrics.Get("place.urgentReports").(interface{ Count() int64 }).Count(); c >= 50 {
		t.Errorf("%d reports for fifty gaps at once", c)
	}
}
