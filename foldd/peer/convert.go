package peer

import (
	"net/netip"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/wire"
)

// ToPeer returns the wire form of a VM.
func ToPeer(p member.Peer) *wire.Peer {
	return &wire.Peer{
		Id:             p.ID,
		Domain:         p.Domain,
		Region:         p.Region,
		Addr:           p.Addr.String(),
		Epoch:          p.Epoch,
		ConfigRevision: p.Revision,
		Draining:       p.Draining,
		Control:        p.HasControlReplica,
		ServesCallers:  p.ServesCallers,
	}
}

// FromPeer reads the wire form of a VM.
func FromPeer(p *wire.Peer) member.Peer {
	// An address that can't be read stays invalid, and is never contacted.
	addr, _ := netip.ParseAddrPort(p.GetAddr())
	return member.Peer{
		ID:                p.GetId(),
		Domain:            p.GetDomain(),
		Region:            p.GetRegion(),
		Addr:              addr,
		Epoch:             p.GetEpoch(),
		Revision:          p.GetConfigRevision(),
		Draining:          p.GetDraining(),
		HasControlReplica: p.GetControl(),
		ServesCallers:     p.GetServesCallers(),
	}
}

// toHeardPeer returns the wire form of a VM that is named to another.
func toHeardPeer(h member.PeerUpdate) *wire.Peer {
	p := ToPeer(h.Peer)
	p.AgeMillis = uint64(h.Age.Milliseconds())
	return p
}

// ToBackend returns the wire form of a backend server.
func ToBackend(h member.BackendUpdate) *wire.Backend {
	if h.Brief {
		return &wire.Backend{
			Id: h.ID, Epoch: h.Epoch, Seq: h.Seq, Leaving: h.Leaving, Brief: true,
			AgeMillis: uint64(h.Age.Milliseconds()), Load: toLoad(h.Load),
		}
	}
	return &wire.Backend{
		Id:           h.ID,
		Addr:         h.Addr.String(),
		Kind:         h.Kind,
		Service:      h.Service,
		Model:        h.Model,
		Adapters:     h.Adapters,
		Version:      h.Version,
		Domain:       h.Domain,
		MemoryTokens: uint64(h.MemoryTokens),
		ChecksFence:  h.ChecksFencingToken,
		Slots:        uint32(h.Slots),
		Epoch:        h.Epoch,
		Seq:          h.Seq,
		Leaving:      h.Leaving,
		AgeMillis:    uint64(h.Age.Milliseconds()),
		Load:         toLoad(h.Load),
	}
}

func toLoad(l member.Load) *wire.Load {
	return &wire.Load{
		Running:          uint32(l.Running),
		Waiting:          uint32(l.Waiting),
		MemoryUsedTokens: uint64(l.MemoryUsed),
		Preemptions:      uint64(l.Preemptions),
		StepMicros:       uint64(l.StepTime.Microseconds()),
		LagMillis:        uint64(l.Lag.Milliseconds()),
	}
}

// FromBackend reads the wire form of a backend server. It reports false for
// one without a usable address.
func FromBackend(b *wire.Backend) (member.BackendUpdate, bool) {
	addr, err := netip.ParseAddrPort(b.GetAddr())
	if (err != nil && !b.GetBrief()) || b.GetId() == "" {
		return member.BackendUpdate{}, false
	}
	l := b.GetLoad()
	return member.BackendUpdate{
		Brief: b.GetBrief(),
		Age:   time.Duration(b.GetAgeMillis()) * time.Millisecond,
		Backend: member.Backend{
			ID:                 b.GetId(),
			Addr:               addr,
			Kind:               b.GetKind(),
			Service:            b.GetService(),
			Model:              b.GetModel(),
			Adapters:           b.GetAdapters(),
			Version:            b.GetVersion(),
			Domain:             b.GetDomain(),
			MemoryTokens:       int(b.GetMemoryTokens()),
			ChecksFencingToken: b.GetChecksFence(),
			Slots:              int(b.GetSlots()),
			Epoch:              b.GetEpoch(),
			Seq:                b.GetSeq(),
			Leaving:            b.GetLeaving(),
			Load: member.Load{
				Running:     int(l.GetRunning()),
				Waiting:     int(l.GetWaiting()),
				MemoryUsed:  int(l.GetMemoryUsedTokens()),
				Preemptions: int(l.GetPreemptions()),
				StepTime:    time.Duration(l.GetStepMicros()) * time.Microsecond,
				Lag:         time.Duration(l.GetLagMillis()) * time.Millisecond,
			},
		},
	}, true
}
