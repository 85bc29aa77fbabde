package state

import (
	"encoding/json"
	"testing"
	"time"
)

func run(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	b, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(b)
}

func claim(key, nonce string) Command {
	return Command{Claim: &Claim{Workspace: "w", Key: key, Digest: []byte("d"), Nonce: nonce, Timeout: time.Second}}
}

func TestClaims(t *testing.T) {
	settle := func(nonce string, s Settle) Command {
		s.Workspace, s.Key, s.Nonce = "w", "k", nonce
		return Command{Settle: &s}
	}
	wait := func(d time.Duration) Command { return Command{Elapsed: d} }
	other := claim("k", "n2")
	other.Claim.Digest = []byte("other")
	answer := &Answer{Status: 200, Body: []byte("yes")}
	tests := []struct {
		name  string
		steps []Command
		want  ClaimState
	}{
		{"a new key", []Command{claim("k", "n1")}, ClaimGranted},
		{"the same attempt again", []Command{claim("k", "n1"), claim("k", "n1")}, ClaimGranted},
		{"another attempt", []Command{claim("k", "n1"), claim("k", "n2")}, ClaimPending},
		{"another request", []Command{claim("k", "n1"), other}, ClaimMismatch},
		{"answered", []Command{claim("k", "n1"), settle("n1", Settle{Answer: answer}), claim("k", "n2")}, ClaimDone},
		{"unknown", []Command{claim("k", "n1"), settle("n1", Settle{Unknown: true}), claim("k", "n2")}, ClaimUnknown},
		{"released", []Command{claim("k", "n1"), settle("n1", Settle{Released: true}), claim("k", "n2")}, ClaimGranted},
		{"settled by a stranger", []Command{claim("k", "n1"), settle("n2", Settle{Released: true}), claim("k", "n2")}, ClaimPending},
		{"an answer is not undone", []Command{claim("k", "n1"), settle("n1", Settle{Answer: answer}), settle("n1", Settle{Released: true}), claim("k", "n2")}, ClaimDone},
		{"never settled", []Command{claim("k", "n1"), wait(time.Second + PendingSlack), claim("k", "n2")}, ClaimUnknown},
		{"remembered", []Command{claim("k", "n1"), wait(ClaimTTL - time.Second), claim("k", "n2")}, ClaimUnknown},
		{"use extends the memory", []Command{claim("k", "n1"), wait(ClaimTTL - time.Second), claim("k", "n2"), wait(ClaimTTL - time.Second), claim("k", "n3")}, ClaimUnknown},
		{"forgotten", []Command{claim("k", "n1"), wait(ClaimTTL), claim("k", "n2")}, ClaimGranted},
		{"a clock that jumps back", []Command{claim("k", "n1"), wait(-time.Hour), claim("k", "n2")}, ClaimPending},
		{"a large answer", []Command{claim("k", "n1"), settle("n1", Settle{Answer: &Answer{Body: make([]byte, MaxAnswerBytes+1)}}), claim("k", "n2")}, ClaimUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Machine
			var last Result
			for _, c := range tt.steps {
				last = run(t, &m, c)
				reload(t, &m)
			}
			if last.Claim != tt.want {
				t.Errorf("%q, want %q", last.Claim, tt.want)
			}
		})
	}
}

// reload puts the state through its encoded form.
func reload(t *testing.T, m *Machine) {
	t.Helper()
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Restore(b); err != nil {
		t.Fatal(err)
	}
}

func TestLeases(t *testing.T) {
	lease := func(holder string, after time.Duration) Command {
		return Command{Elapsed: after, Lease: &Lease{Name: "orders", Holder: holder, TTL: 10 * time.Second}}
	}
	var m Machine
	steps := []struct {
		command Command
		fence   uint64
		wait    time.Duration
	}{
		{lease("a", 0), 1, 0},
		{lease("b", 4*time.Second), 0, 6 * time.Second},
		{lease("a", time.Second), 1, 0},
		{lease("b", 9*time.Second), 0, time.Second},
		{lease("b", time.Second), 2, 0},
		{lease("a", 10*time.Second), 3, 0},
		{lease("a", 11*time.Second), 4, 0},
	}
	for i, s := range steps {
		r := run(t, &m, s.command)
		if r.FencingToken != s.fence || r.RetryAfter != s.wait {
			t.Errorf("step %d: fence %d, wait %v; want %d, %v", i, r.FencingToken, r.RetryAfter, s.fence, s.wait)
		}
		reload(t, &m)
	}
}

// TestHighestVersion applies configurations by version: the highest one wins,
// in whatever order they come, and a resend is answered like the first send.
func TestHighestVersion(t *testing.T) {
	var m Machine
	tests := []struct {
		version  uint64
		document string
		revision uint64
		in       string
	}{
		{5, "five", 5, "five"},
		{5, "five", 5, "five"},
		{3, "three", 5, "five"},
		{5, "another five", 5, "five"},
		{9, "nine", 9, "nine"},
	}
	for _, tt := range tests {
		data, err := json.Marshal(Command{ApplyConfig: &ApplyConfig{Version: tt.version, Document: []byte(tt.document)}})
		if err != nil {
			t.Fatal(err)
		}
		if r := m.Apply(data); r.Error != "" || r.Conflict || r.Revision != tt.revision {
			t.Errorf("version %d: %+v, want revision %d", tt.version, r, tt.revision)
		}
		if got := string(m.Document()); got != tt.in {
			t.Errorf("version %d: %q in force, want %q", tt.version, got, tt.in)
		}
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored Machine
	if err := restored.Restore(snapshot); err != nil || restored.Revision() != 9 {
		t.Errorf("restored revision %d, error %v", restored.Revision(), err)
	}
}
