package ctrl

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/foldd/link"
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// Limits of sending messages to other replicas.
const (
	// laneSize limits the messages queued for one address in a lane.
	laneSize = 1024
	// maxCallBytes bounds the messages that are joined into one call, besides the last of
	// them. With the largest entry, a call stays below what a replica reads.
	maxCallBytes = 1 << 20
	// stepTimeout limits one call that delivers messages, besides the time that their
	// size takes. Within an election timeout, a heartbeat to a replica and its reply must
	// each be able to fail once on a dead connection.
	stepTimeout = 3 * heartbeatInterval / 2
)

// stepTimeoutFor returns the timeout of a call with these messages.
func stepTimeoutFor(req *wire.StepRequest) time.Duration {
	return stepTimeout + TransferTime(proto.Size(req))
}

// outbox holds the messages queued for one address. Its two lanes are sent by calls of
// their own, so that heartbeats and votes don't wait for entries.
type outbox struct {
	// transfers takes entries and snapshots, control everything else.
	control, transfers lane
}

// lane is a queue of messages that are sent one call after the other.
type lane chan *wire.LogMessage

// laneFor returns the lane for a message.
func (o *outbox) laneFor(m raft.Message) lane {
	if m.Transfer() {
		return o.transfers
	}
	return o.control
}

// enqueue queues a message for a replica. It drops the message if the replica's
// address is unknown or its queue is full: raft tolerates lost messages and
// resends what is still needed.
func (h *Server) enqueue(m raft.Message) {
	addr, ok := h.replicaAddr(m.To)
	if !ok {
		return
	}
	select {
	case h.outboxFor(addr).laneFor(m) <- store.ToMessage(m):
	default:
		h.conf.Count("control.messagesDropped", 1)
		if m.Transfer() {
			h.rep.DeliveryFailed(m.To)
		}
	}
}

// outboxFor returns the outbox of an address, and starts its calls if it is new.
func (h *Server) outboxFor(addr netip.AddrPort) *outbox {
	if o := h.outboxes[addr]; o != nil {
		return o
	}
	o := &outbox{control: make(lane, laneSize), transfers: make(lane, laneSize)}
	h.outboxes[addr] = o
	h.done.Add(2)
	log := h.conf.Log.WithField("addr", addr)
	go h.sendLoop(addr, o.control, log.WithField("lane", "control"), func([]*wire.LogMessage) {})
	go h.sendLoop(addr, o.transfers, log.WithField("lane", "transfers"), h.reportLost)
	return o
}

// replicaAddr returns the address of a replica, from the last message that the replica sent
// or else from the membership: a VM may have moved with its disk.
func (h *Server) replicaAddr(id string) (netip.AddrPort, bool) {
	if a, ok := h.senderAddrs[id]; ok {
		return a, true
	}
	m, ok := h.rep.Membership().Get(id)
	return m.Addr, ok
}

// sendLoop sends the messages of a lane to one address, and calls lost with those that
// could not be delivered. Each call carries all messages that are queued at that time, up
// to maxCallBytes.
func (h *Server) sendLoop(addr netip.AddrPort, queue lane, log *logrus.Entry, lost func([]*wire.LogMessage)) {
	defer h.done.Done()
	c := wire.NewControlServiceClient(h.conf.HTTP, "http://"+addr.String(), h.conf.Options)
	state := link.State{Log: log, Failed: "call to a control replica failed", Regained: "calls to a control replica succeed again"}
	for {
		select {
		case <-h.stop:
			return
		case m := <-queue:
			req := &wire.StepRequest{Group: h.identity.Group, FromAddr: h.conf.Addr.String(), Messages: queue.join(m)}
			if !h.deliver(c, req, &state, len(queue)) {
				lost(append(req.Messages, queue.drain()...))
			}
		}
	}
}

// join returns m and the messages queued behind it that go into the same call.
func (l lane) join(m *wire.LogMessage) []*wire.LogMessage {
	messages := []*wire.LogMessage{m}
	size := proto.Size(m)
	for size < maxCallBytes {
		select {
		case m := <-l:
			messages = append(messages, m)
			size += proto.Size(m)
		default:
			return messages
		}
	}
	return messages
}

// drain removes and returns all queued messages.
func (l lane) drain() []*wire.LogMessage {
	var messages []*wire.LogMessage
	for {
		select {
		case m := <-l:
			messages = append(messages, m)
		default:
			return messages
		}
	}
}

// reportLost tells the replica that entries or snapshots were not delivered.
func (h *Server) reportLost(messages []*wire.LogMessage) {
	h.post(func(time.Time) {
		for _, m := range messages {
			h.rep.DeliveryFailed(m.GetTo())
		}
	})
}

// post runs f on the replica's goroutine and does not wait for it.
func (h *Server) post(f func(now time.Time)) {
	select {
	case h.calls <- f:
	case <-h.stop:
	}
}

// deliver sends messages while others are queued, and reports whether the replica has got
// them. The first attempt may use a pooled connection that broke while it was idle, so a
// failed call is retried once.
func (h *Server) deliver(c wire.ControlServiceClient, req *wire.StepRequest, state *link.State, queued int) bool {
	for range 2 {
		begun := time.Now()
		err := h.send(c, req)
		state.Record(begun, err, logrus.Fields{"messages": len(req.Messages), "bytes": proto.Size(req), "queued": queued})
		if err == nil {
			return true
		}
	}
	return false
}

// send returns nil if the peer accepted the messages.
func (h *Server) send(c wire.ControlServiceClient, req *wire.StepRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeoutFor(req))
	defer cancel()
	go func() {
		select {
		case <-h.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	h.conf.Count("control.bytesSent", int64(proto.Size(req)))
	res, err := c.Step(ctx, connect.NewRequest(req))
	if err != nil {
		h.conf.Count("control.sendsFailed", 1)
		h.countRefused(err)
		return fmt.Errorf("send messages: %w", err)
	}
	h.noteAnswer(req, res.Header().Get(headerReplica))
	return nil
}

// countRefused counts a call that was refused for its size.
func (h *Server) countRefused(err error) {
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		h.conf.Count("control.callsTooLarge", 1)
	}
}

// noteAnswer records which replicas that messages were sent to are gone, as the one that got
// them has another ID.
func (h *Server) noteAnswer(req *wire.StepRequest, replica string) {
	if replica == "" {
		return
	}
	gone := map[string]bool{}
	for _, m := range req.GetMessages() {
		if m.GetTo() != replica {
			gone[m.GetTo()] = true
		}
	}
	if len(gone) == 0 {
		return
	}
	h.post(func(time.Time) {
		for id := range gone {
			h.watch.noteAnswer(id, replica)
		}
	})
}
