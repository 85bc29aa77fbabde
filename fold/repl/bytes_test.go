package repl_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/state"
)

// applyDocument puts a configuration of size bytes in force through the leader.
func (g *group) applyDocument(version uint64, size int) {
	g.t.Helper()
	document := bytes.Repeat([]byte("x"), size)
	committed := false
	for deadline := g.now.Add(20 * time.Second); !committed; {
		if g.now.After(deadline) {
			g.t.Fatalf("version %d was not committed within 20 s", version)
		}
		l := g.leader()
		if l == nil {
			g.runUntil(tickInterval, nil)
			continue
		}
		g.submit(l.vm, state.Command{ApplyConfig: &state.ApplyConfig{Version: version, Document: document}}, func(_ *server, d repl.Completion) { committed = d.Err == nil })
		g.runUntil(time.Second, func() bool { return committed })
	}
}

// entryBytes returns the size of the data of entries in bytes.
func entryBytes(entries []raft.Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}

// TestLargeConfigurationsKeepLogShort guards against a log that is shortened by the number
// of its entries alone: with large configurations it fills disks and memory, and a new
// replica has to receive all of it.
func TestLargeConfigurationsKeepLogShort(t *testing.T) {
	const (
		changes      = 200
		documentSize = 190_000
		// Besides the log between snapshots, up to two commands are in it that the
		// replica has not applied yet.
		commandSize = documentSize * 3 / 2
		logLimit    = repl.DefaultSnapshotBytes + 2*commandSize
	)
	g := newGroup(t, 1, 3, repl.DefaultSnapshotEvery)
	for i := range uint64(changes) {
		g.applyDocument(i+1, documentSize)
		for _, vm := range g.vms {
			d := g.servers[vm].disk
			if size := entryBytes(d.state.Entries); size > logLimit {
				t.Fatalf("%s, after %d changes: log of %d bytes, want at most %d", vm, i+1, size, logLimit)
			}
			if size := len(d.state.Snapshot.Data); size > commandSize {
				t.Fatalf("%s, after %d changes: snapshot of %d bytes, want at most %d", vm, i+1, size, commandSize)
			}
		}
	}
	lost := g.otherVMs(g.leader().vm)[0]
	g.kill(lost)
	g.servers[lost].disk = nil
	g.start(lost)
	g.runUntil(4*time.Second, func() bool { return g.liveVoters() == 3 })
	if n := g.liveVoters(); n != 3 {
		t.Errorf("%d live voters 4 s after a start with an empty disk, want 3", n)
	}
}

// TestLargeSnapshotIsNotTakenForFewBytes guards against snapshots that are far larger than
// what was written to the log since the last one.
func TestLargeSnapshotIsNotTakenForFewBytes(t *testing.T) {
	const renewals = 160
	r := newSingleReplica(t)
	now := time.Unix(3, 0)
	var logged, snapshots int
	submit := func(c state.Command) {
		r.Submit(now, 1, c)
		for out := r.Output(); !out.Empty(); out = r.Output() {
			if s := out.Write.Replace; s != nil {
				snapshots += len(s.Snapshot.Data)
			}
			logged += entryBytes(out.Write.Entries)
			r.Persisted(out.Write)
		}
	}
	document := bytes.Repeat([]byte("x"), state.MaxDocumentBytes)
	submit(state.Command{ApplyConfig: &state.ApplyConfig{Version: 1, Document: document}})
	holder := strings.Repeat("h", 190_000)
	for range renewals {
		submit(state.Command{Lease: &state.Lease{Name: "orders", Holder: holder, TTL: time.Hour}})
	}
	if snapshots > logged {
		t.Errorf("snapshots of %d bytes together for a log of %d, want at most as much", snapshots, logged)
	}
	if snapshots == 0 {
		t.Error("no snapshot was taken")
	}
}

// TestTooLargeCommandIsNotLogged guards against an entry that no message to another replica
// can hold: nothing after it would ever be committed.
func TestTooLargeCommandIsNotLogged(t *testing.T) {
	for _, tt := range []struct {
		name string
		size int
		want error
	}{
		{"largest document", state.MaxDocumentBytes, nil},
		{"larger document", state.MaxDocumentBytes * 3 / 2, repl.ErrTooLarge},
	} {
		g := newGroup(t, 1, 3, repl.DefaultSnapshotEvery)
		var got *repl.Completion
		document := bytes.Repeat([]byte("x"), tt.size)
		g.submit(g.leader().vm, state.Command{ApplyConfig: &state.ApplyConfig{Version: 1, Document: document}}, func(_ *server, d repl.Completion) { got = &d })
		g.runUntil(time.Second, func() bool { return got != nil })
		if got == nil || !errors.Is(got.Err, tt.want) {
			t.Errorf("%s: got %+v, want error %v", tt.name, got, tt.want)
		}
		g.applyDocument(2, 1000)
	}
}

// TestAnswerThatIsNotKeptIsNotLogged guards against entries with answers that are larger than
// what the state keeps of a call.
func TestAnswerThatIsNotKeptIsNotLogged(t *testing.T) {
	r := newSingleReplica(t)
	claim := func(nonce string) state.Command {
		return state.Command{Claim: &state.Claim{Workspace: "w", Key: "k", Nonce: nonce, Timeout: time.Hour}}
	}
	answer := &state.Answer{Status: 200, Body: make([]byte, state.MaxDocumentBytes)}
	var last repl.Completion
	logged := 0
	for _, c := range []state.Command{
		claim("first"),
		{Settle: &state.Settle{Workspace: "w", Key: "k", Nonce: "first", Answer: answer}},
		claim("second"),
	} {
		r.Submit(time.Unix(3, 0), 1, c)
		for out := r.Output(); !out.Empty(); out = r.Output() {
			logged += entryBytes(out.Write.Entries)
			r.Persisted(out.Write)
			if n := len(out.Completions); n > 0 {
				last = out.Completions[n-1]
			}
		}
	}
	if last.Err != nil || last.Result.Claim != state.ClaimUnknown {
		t.Errorf("claim after an answer that is not kept: %+v, want an unknown outcome", last)
	}
	if logged > state.MaxAnswerBytes {
		t.Errorf("log of %d bytes, want at most %d", logged, state.MaxAnswerBytes)
	}
}
