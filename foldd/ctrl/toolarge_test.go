package ctrl

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/wire"
)

// TestTooLargeDocumentIsRejectedAtOnce guards against a document that no replica can send to
// another one, and that stops the group or is answered with a failure that may pass.
func TestTooLargeDocumentIsRejectedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		g.apply(t, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		request := &wire.ApplyRequest{Version: 100, Document: randomDocument(1, state.MaxDocumentBytes*3/2)}
		if _, err := g.vms[0].client.Apply(ctx, request); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Errorf("error %v, want an invalid argument", err)
		}
		g.apply(t, 200)
	})
}
