package ctrl

import (
	"context"
	"testing"
	"time"

	"fuchsiafold.example/foldd/entry"
)

// TestAnswerWithUnreadableContentTypeIsSettled guards against a call whose answer is never
// recorded because a backend server sent a content type that no message can carry.
func TestAnswerWithUnreadableContentTypeIsSettled(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 1)
		claim := entry.Claim{Workspace: "w", Key: "k", Nonce: "n", Timeout: time.Minute}
		ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
		defer cancel()
		if _, _, err := g.vms[0].client.Claim(ctx, claim); err != nil {
			t.Fatal(err)
		}
		answer := entry.RecordedAnswer{Status: 200, ContentType: "text/\xff", Body: []byte("done")}
		if err := g.vms[0].client.Settle(ctx, claim, entry.SettleAnswered, answer); err != nil {
			t.Errorf("settle: %v", err)
		}
	})
}
