package app_test

import (
	"net/http"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"

	"fuchsiafold.example/foldd/conf"
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
