package state

import (
	"encoding/json"
	"testing"
	"time"
)

func applyCommand(t *testing.T, m *Machine, c Command) Result {
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
		{"new key", []Command{claim("k", "n1")}, ClaimGranted},
		{"same attempt again", []Command{claim("k", "n1"), claim("k", "n1")}, ClaimGranted},
		{"another attempt", []Command{claim("k", "n1"), claim("k", "n2")}, ClaimPending},
		{"another request", []Command{claim("k", "n1"), other}, ClaimMismatch},
		{"claim after an answer", []Command{claim("k", "n1"), settle("n1", Settle{Answer: answer}), claim("k", "n2")}, ClaimDone},
		{"claim after an unknown outcome", []Command{claim("k", "n1"), settle("n1", Settle{Unknown: true}), claim("k", "n2")}, ClaimUnknown},
		{"claim after a release", []Command{claim("k", "n1"), settle("n1", Settle{Released: true}), claim("k", "n2")}, ClaimGranted},
		{"settled by an attempt without the grant", []Command{claim("k", "n1"), settle("n2", Settle{Released: true}), claim("k", "n2")}, ClaimPending},
		{"recorded answer is not released", []Command{claim("k", "n1"), settle("n1", Settle{Answer: answer}), settle("n1", Settle{Released: true}), claim("k", "n2")}, ClaimDone},
		{"never settled", []Command{claim("k", "n1"), wait(time.Second + PendingSlack), claim("k", "n2")}, ClaimUnknown},
		{"shortly before the record expires", []Command{claim("k", "n1"), wait(ClaimTTL - time.Second), claim("k", "n2")}, ClaimUnknown},
		{"a claim renews the record", []Command{claim("k", "n1"), wait(ClaimTTL - time.Second), claim("k", "n2"), wait(ClaimTTL - time.Second), claim("k", "n3")}, ClaimUnknown},
		{"after the record expired", []Command{claim("k", "n1"), wait(ClaimTTL), claim("k", "n2")}, ClaimGranted},
		{"negative elapsed time", []Command{claim("k", "n1"), wait(-time.Hour), claim("k", "n2")}, ClaimPending},
		{"answer larger than the limit", []Command{claim("k", "n1"), settle("n1", Settle{Answer: &Answer{Body: make([]byte, MaxAnswerBytes+1)}}), claim("k", "n2")}, ClaimUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Machine
			var last Result
			for _, c := range tt.steps {
				last = applyCommand(t, &m, c)
				reload(t, &m)
			}
			if last.Claim != tt.want {
				t.Errorf("claim state %q, want %q", last.Claim, tt.want)
			}
		})
	}
}

// reload replaces the state with its own snapshot, so that each step also tests
// Snapshot and Restore.
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
		token   uint64
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
		r := applyCommand(t, &m, s.command)
		if r.FencingToken != s.token || r.RetryAfter != s.wait {
			t.Errorf("step %d: fencing token %d, retry after %v; want %d, %v", i, r.FencingToken, r.RetryAfter, s.token, s.wait)
		}
		reload(t, &m)
	}
}

// TestHighestVersionWins applies configurations by version. The highest version wins
// whatever the order of the commands, and a resent command gets the same result as
// the first one.
func TestHighestVersionWins(t *testing.T) {
	var m Machine
	tests := []struct {
		version  uint64
		document string
		revision uint64
		inForce  string
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
			t.Errorf("version %d: result %+v, want revision %d", tt.version, r, tt.revision)
		}
		if got := string(m.Document()); got != tt.inForce {
			t.Errorf("version %d: document %q in force, want %q", tt.version, got, tt.inForce)
		}
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored Machine
	if err := restored.Restore(snapshot); err != nil || restored.Revision() != 9 {
		t.Errorf("restored revision %d, error %v; want revision 9 and no error", restored.Revision(), err)
	}
}
