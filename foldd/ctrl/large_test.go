package ctrl

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"fuchsiafold.example/wire"
)

// TestLargeConfigurationOverNarrowLinkIsConfirmed guards against an entry VM that sends a
// large document to all control VMs at once, over a link that carries one in the time that
// a call may take.
func TestLargeConfigurationOverNarrowLinkIsConfirmed(t *testing.T) {
	for _, size := range []int{264 << 10, 1400 << 10} {
		for seed := range uint64(10) {
			inBubble(t, func(t *testing.T) { applyOverNarrowLink(t, randomDocument(seed, size)) })
		}
	}
}

// applyOverNarrowLink sends a document to an entry VM with a link of 10 Mbit/s, as an
// operator does who waits no longer than the platform's adapter.
func applyOverNarrowLink(t *testing.T, document []byte) {
	const linkRate = 10_000_000 / 8
	g := newGroupRig(t, 6)
	g.addEntryVMs(t, 1)
	entry := g.vms[len(g.vms)-1]
	g.network.limitUplink(entry.addr.String(), linkRate)
	ctx, cancel := context.WithTimeout(t.Context(), applyTimeout+TransferTime(len(document)))
	defer cancel()
	begun := time.Now()
	if _, err := entry.client.Apply(ctx, &wire.ApplyRequest{Version: 10, Document: document}); err != nil {
		t.Errorf("%d bytes, after %v: %v", len(document), time.Since(begun), err)
	}
}

// TestBubbleOutlastsClosingConnections guards against a bubble that ends, and panics, while
// a server still waits with the close of a connection whose request it has not read.
func TestBubbleOutlastsClosingConnections(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 1)
		conn, err := g.network.dial(t.Context(), "10.0.1.1:7200", g.vms[0].addr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		request := fmt.Sprintf("POST /unknown HTTP/1.1\r\nHost: vm\r\nContent-Length: %d\r\n\r\n", 1<<20)
		if _, err := conn.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusNotFound {
			t.Errorf("status %d, wanted %d", res.StatusCode, http.StatusNotFound)
		}
	})
}

// randomDocument returns a document that hardly compresses.
func randomDocument(seed uint64, size int) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	b := make([]byte, size/2)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return []byte(hex.EncodeToString(b))
}
