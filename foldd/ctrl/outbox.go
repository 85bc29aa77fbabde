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
	// outboxSize limits the messages queued for one address.
	outboxSize = 1024
	// stepTimeout limits one call that delivers messages, besides the time that their
	// size takes. Heartbeats wait behind the call: within an election timeout, one to a
	// replica and its reply must each be able to fail once on a dead connection.
	stepTimeout = 3 * heartbeatInterval / 2
	// minStepRate is the least rate, in bytes per second, at which a replica is expected
	// to receive messages.
	minStepRate = 4 << 20
)

// stepTimeoutFor returns the timeout of a call with these messages.
func stepTimeoutFor(req *wire.StepRequest) time.Duration {
	return stepTimeout + time.Duration(proto.Size(req))*time.Second/minStepRate
}

// enqueue queues a message for a replica. It drops the message if the replica's
// address is unknown or its queue is full: raft tolerates lost messages and
// resends what is still needed.
func (h *Server) enqueue(m raft.Message) {
	addr, ok := h.replicaAddr(m.To)
	if !ok {
		return
	}
	outbox := h.outboxes[addr]
	if outbox == nil {
		outbox = make(chan *wire.LogMessage, outboxSize)
		h.outboxes[addr] = outbox
		h.done.Add(1)
		go h.sendLoop(addr, outbox)
	}
	select {
	case outbox <- store.ToMessage(m):
	default:
		h.conf.Count("control.messagesDropped", 1)
	}
}

// replicaAddr returns the address of a replica, from the membership or else from
// the last message that the replica sent.
func (h *Server) replicaAddr(id string) (netip.AddrPort, bool) {
	if m, ok := h.rep.Membership().Get(id); ok {
		return m.Addr, true
	}
	a, ok := h.senderAddrs[id]
	return a, ok
}

// sendLoop sends the messages queued for one address. Each call carries all
// messages that are queued at that time.
func (h *Server) sendLoop(addr netip.AddrPort, outbox chan *wire.LogMessage) {
	defer h.done.Done()
	c := wire.NewControlServiceClient(h.conf.HTTP, "http://"+addr.String(), h.conf.Options)
	state := link.State{Log: h.conf.Log.WithField("addr", addr), Failed: "call to a control replica failed", Regained: "calls to a control replica succeed again"}
	for {
		select {
		case <-h.stop:
			return
		case m := <-outbox:
			req := &wire.StepRequest{Group: h.identity.Group, FromAddr: h.conf.Addr.String()}
			req.Messages = appendQueued([]*wire.LogMessage{m}, outbox)
			h.deliver(c, req, &state, len(outbox))
		}
	}
}

// appendQueued appends the messages that are queued in outbox.
func appendQueued(messages []*wire.LogMessage, outbox chan *wire.LogMessage) []*wire.LogMessage {
	for range outboxSize {
		select {
		case m := <-outbox:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

// deliver sends messages while others are queued. The first attempt may use a pooled
// connection that broke while it was idle, so a failed call is retried once.
func (h *Server) deliver(c wire.ControlServiceClient, req *wire.StepRequest, state *link.State, queued int) {
	for range 2 {
		begun := time.Now()
		err := h.send(c, req)
		state.Record(begun, err, logrus.Fields{"messages": len(req.Messages), "bytes": proto.Size(req), "queued": queued})
		if err == nil {
			return
		}
	}
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
	note := func(time.Time) {
		for id := range gone {
			h.watch.noteAnswer(id, replica)
		}
	}
	select {
	case h.calls <- note:
	case <-h.stop:
	}
}
