package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
)

// TestNotesCatch lets a caller come back to a VM that breaks its first response after event 5.
// It guards against checks that miss a VM that ignores the position, leaves an event out,
// repeats one, or ends as complete too early.
func TestNotesCatch(t *testing.T) {
	for _, c := range []struct {
		name string
		// from is the first event after the caller's position, and to the last one.
		from, to int
		outcome  string
		want     []Promise
	}{
		{"sound", 6, draftEvents, outcomeResumed, nil},
		{"event left out", 7, draftEvents, outcomeResumed, []Promise{WholeAnswers}},
		{"event repeated", 5, draftEvents, outcomeResumed, []Promise{WholeAnswers}},
		{"position ignored", 1, draftEvents, outcomeResumed, []Promise{WholeAnswers}},
		{"ends early", 6, draftEvents - 1, outcomeResumed, []Promise{WholeAnswers}},
	} {
		positions := make(chan string, 2)
		vmServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			position := r.Header.Get(headerPosition)
			positions <- position
			if position != "" {
				_, _ = io.WriteString(w, events(c.from, c.to))
				return
			}
			_, _ = io.WriteString(w, events(1, 5))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}))
		defer vmServer.Close()
		p, err := NewProxy(netip.MustParseAddrPort(vmServer.Listener.Addr().String()))
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		got := broken(func(f *findings) {
			c2 := &callers{findings: f, world: &world{vms: []*vm{{proxy: p}, {proxy: p}}, servers: &servers{}}}
			if outcome := c2.note(&http.Client{}, 0, "v0-note-1"); outcome != c.outcome {
				t.Errorf("%s: outcome %q, want %q", c.name, outcome, c.outcome)
			}
			if sender := c2.world.servers.passes.sender("v0-note-1"); sender != manySenders {
				t.Errorf("%s: the request is booked to VM %d", c.name, sender)
			}
		})
		expect(t, c.name, got, c.want...)
		if first, second := <-positions, <-positions; first != "" || second != strconv.Itoa(5) {
			t.Errorf("%s: positions %s", c.name, fmt.Sprint(first, second))
		}
	}
}
