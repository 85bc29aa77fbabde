package ctrl

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// Limits of sending.
const (
	outboxSize  = 1024
	stepTimeout = 5 * time.Second
)

// post sends a message to a replica. Messages may be lost: the replicas send
// again what matters.
func (h *Server) post(m raft.Message) {
	addr, ok := h.addrOf(m.To)
	if !ok {
		return
	}
	box := h.outboxes[addr]
	if box == nil {
		box = make(chan *wire.LogMessage, outboxSize)
		h.outboxes[addr] = box
		h.done.Add(1)
		go h.deliver(addr, box)
	}
	select {
	case box <- store.ToMessage(m):
	default:
		h.conf.Count("control.messagesDropped", 1)
	}
}

func (h *Server) addrOf(id string) (netip.AddrPort, bool) {
	if m, ok := h.rep.Membership().Get(id); ok {
		return m.Addr, true
	}
	a, ok := h.addrs[id]
	return a, ok
}

// deliver sends the messages for one VM, as many at once as have come up.
func (h *Server) deliver(addr netip.AddrPort, box chan *wire.LogMessage) {
	defer h.done.Done()
	c := wire.NewControlServiceClient(h.conf.HTTP, "http://"+addr.String(), h.conf.Options)
	for {
		req := &wire.StepRequest{Group: h.identity.Group, FromAddr: h.conf.Addr.String()}
		select {
		case <-h.stop:
			return
		case m := <-box:
			req.Messages = append(req.Messages, m)
		}
		for range outboxSize {
			select {
			case m := <-box:
				req.Messages = append(req.Messages, m)
				continue
			default:
			}
			break
		}
		// The first call may meet a connection that broke while it was idle.
		if !h.send(c, req) {
			h.send(c, req)
		}
	}
}

// send reports whether the messages were taken.
func (h *Server) send(c wire.ControlServiceClient, req *wire.StepRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	go func() {
		select {
		case <-h.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	if _, err := c.Step(ctx, connect.NewRequest(req)); err != nil {
		h.conf.Count("control.sendsFailed", 1)
		return false
	}
	return true
}
