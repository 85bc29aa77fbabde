package ctrl

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/wire"
)

// TestCallIsBoundedInBytes guards against a call that no replica accepts, as it joins all
// that is queued.
func TestCallIsBoundedInBytes(t *testing.T) {
	const queued, size = 40, 400 << 10
	queue := make(lane, laneSize)
	for range queued {
		queue <- &wire.LogMessage{Entries: []*wire.Entry{{Data: make([]byte, size)}}}
	}
	got := 0
	for len(queue) > 0 {
		messages := queue.join(<-queue)
		got += len(messages)
		if call := proto.Size(&wire.StepRequest{Messages: messages[:len(messages)-1]}); call >= maxCallBytes {
			t.Errorf("%d bytes in a call besides its last message, want less than %d", call, maxCallBytes)
		}
	}
	if got != queued {
		t.Errorf("%d messages in calls, want %d", got, queued)
	}
}

// TestHeartbeatsDoNotWaitForEntries guards against a member that hears of no leader while
// entries or a snapshot are on their way to it.
func TestHeartbeatsDoNotWaitForEntries(t *testing.T) {
	o := &outbox{control: make(lane, 1), transfers: make(lane, 1)}
	for _, tt := range []struct {
		name    string
		message raft.Message
		want    lane
	}{
		{"heartbeat", raft.Message{Type: raft.Append, Index: 7}, o.control},
		{"entries", raft.Message{Type: raft.Append, Entries: []raft.Entry{{Index: 8}}}, o.transfers},
		{"snapshot", raft.Message{Type: raft.InstallSnapshot, Snapshot: &raft.Snapshot{}}, o.transfers},
		{"reply", raft.Message{Type: raft.AppendReply, Index: 7}, o.control},
		{"vote", raft.Message{Type: raft.Vote}, o.control},
	} {
		if got := o.laneFor(tt.message); got != tt.want {
			t.Errorf("%s goes into the other lane", tt.name)
		}
	}
}
