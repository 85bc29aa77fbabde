package state

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestFullStateFitsIntoSnapshotLimit guards against a state that no replica can be sent any
// more: with as many keys and answers as there may be, and the largest document.
func TestFullStateFitsIntoSnapshotLimit(t *testing.T) {
	const keyBytes = 255 // As long as callers may make them.
	var m Machine
	document := make([]byte, MaxDocumentBytes)
	applyCommand(t, &m, Command{ApplyConfig: &ApplyConfig{Version: 1, Document: document}})
	answer := &Answer{Status: 200, ContentType: "application/json; charset=utf-8", Body: make([]byte, MaxAnswerBytes)}
	for i := range MaxClaims {
		key := claimKey{Workspace: strings.Repeat("w", 64), Key: fmt.Sprintf("%0*d", keyBytes, i)}
		m.claims.add(m.now, key, &Claim{Digest: make([]byte, 32), Nonce: strings.Repeat("n", 32), Timeout: time.Hour})
		if m.claims.answerBytes < MaxTotalAnswerBytes {
			m.claims.settle(m.now, &Settle{Workspace: key.Workspace, Key: key.Key, Nonce: strings.Repeat("n", 32), Answer: answer})
		}
	}
	if n := m.ClaimCount(); n != MaxClaims {
		t.Fatalf("%d claims, want %d", n, MaxClaims)
	}
	data, err := m.Snapshot()
	if err != nil || len(data) > MaxSnapshotBytes {
		t.Errorf("snapshot of %d bytes, error %v, want at most %d bytes", len(data), err, MaxSnapshotBytes)
	}
}
