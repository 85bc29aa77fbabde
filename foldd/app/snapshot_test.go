package app_test

import (
	"fmt"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/entry"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/wire"
)

// TestSnapshotAboveMessageLimitReachesReplica guards against a control VM that doesn't read a
// snapshot which is larger than all other messages between VMs: a new replica would never get
// one, and never vote.
func TestSnapshotAboveMessageLimitReachesReplica(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	a := startEntry(t, "c1", func(s *conf.Settings) { s.Control = &conf.Control{DataFolder: folder, Bootstrap: true} })
	client := wire.NewControlServiceClient(http.DefaultClient, "http://"+a.Addrs().Peers.String())
	var group string
	waitFor(t, "the replica to start", func() bool {
		res, err := client.Join(t.Context(), connect.NewRequest(&wire.JoinRequest{}))
		if err == nil {
			group = res.Msg.GetGroup()
		}
		return err == nil
	})
	snapshot := &wire.Snapshot{Index: 1, Term: 1, Data: make([]byte, 2*peer.MaxMessage)}
	request := &wire.StepRequest{Group: group, FromAddr: "127.0.0.1:1", Messages: []*wire.LogMessage{{To: "another", Snapshot: snapshot}}}
	if _, err := client.Step(t.Context(), connect.NewRequest(request)); err != nil {
		t.Errorf("snapshot of %d bytes: %v", len(snapshot.Data), err)
	}
}

// recordAnswers makes calls that run at most once, with answers of the largest size that is
// kept, until these have size bytes.
func recordAnswers(t *testing.T, a *app.App, size int) {
	t.Helper()
	answer := entry.RecordedAnswer{Status: http.StatusOK, Body: make([]byte, state.MaxAnswerBytes)}
	for i := range size / state.MaxAnswerBytes {
		claim := entry.Claim{Workspace: "w", Key: fmt.Sprint(i), Nonce: "n", Timeout: time.Hour}
		if _, _, err := a.ControlClient().Claim(t.Context(), claim); err != nil {
			t.Fatal(err)
		}
		if err := a.ControlClient().Settle(t.Context(), claim, entry.SettleAnswered, answer); err != nil {
			t.Fatal(err)
		}
	}
}

// TestReplicaOfLargeStateVotes guards against a replica that never votes since the state of
// its group is larger than other messages between VMs may be.
func TestReplicaOfLargeStateVotes(t *testing.T) {
	first := startControlVM(t, "c1")
	recordAnswers(t, first, 2*peer.MaxMessage)
	startEntry(t, "c2", func(s *conf.Settings) {
		s.Peers = append(s.Peers, first.Addrs().Peers)
		s.Control = &conf.Control{DataFolder: t.TempDir()}
	})
	status := wire.NewOperatorServiceClient(http.DefaultClient, "http://"+first.Addrs().Operators.String())
	waitFor(t, "the new replica to vote", func() bool {
		res, err := status.Status(t.Context(), connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			return false
		}
		voters := 0
		for _, m := range res.Msg.GetControls() {
			if m.GetVoter() {
				voters++
			}
		}
		return voters == 2
	})
}
