package peer

import (
	"net/netip"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
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
		Seq:            p.Seq,

		EvacuationsVersion: p.EvacuationsVersion,
	}
}

// FromPeer converts the wire form of a VM.
func FromPeer(p *wire.Peer) member.Peer {
	// An address that cannot be parsed stays invalid and is never contacted.
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
		Seq:               p.GetSeq(),

		EvacuationsVersion: p.GetEvacuationsVersion(),
	}
}

// toPeerUpdate returns the wire form of a relayed report about a VM.
func toPeerUpdate(u member.PeerUpdate) *wire.Peer {
	p := ToPeer(u.Peer)
	p.AgeMillis = uint64(u.Age.Milliseconds())
	return p
}

func toPeerUpdates(list []member.PeerUpdate) []*wire.Peer {
	var out []*wire.Peer
	for _, u := range list {
		out = append(out, toPeerUpdate(u))
	}
	return out
}

func toBackends(list []member.BackendUpdate) []*wire.Backend {
	var out []*wire.Backend
	for _, u := range list {
		out = append(out, ToBackend(u))
	}
	return out
}

// fromBackends converts updates about backend servers, without those that are invalid.
func fromBackends(list []*wire.Backend) []member.BackendUpdate {
	var out []member.BackendUpdate
	for _, b := range list {
		if u, ok := FromBackend(b); ok {
			out = append(out, u)
		}
	}
	return out
}

// ToBackend returns the wire form of an update about a backend server. A brief
// update carries only what identifies the server, its state and its load.
func ToBackend(u member.BackendUpdate) *wire.Backend {
	if u.Brief {
		return &wire.Backend{
			Id: u.ID, Epoch: u.Epoch, Seq: u.Seq, Leaving: u.Leaving, Brief: true,
			AgeMillis: uint64(u.Age.Milliseconds()), Load: toLoad(u.Load),
			ColdMillis: toColdMillis(u.ColdFor),
		}
	}
	return &wire.Backend{
		Id:           u.ID,
		Addr:         u.Addr.String(),
		Kind:         u.Kind,
		Service:      u.Service,
		Model:        u.Model,
		Adapters:     u.Adapters,
		Version:      u.Version,
		Domain:       u.Domain,
		MemoryTokens: uint64(u.MemoryTokens),
		ChecksFence:  u.ChecksFencingToken,
		Slots:        uint32(u.Slots),
		Epoch:        u.Epoch,
		Seq:          u.Seq,
		Leaving:      u.Leaving,
		AgeMillis:    uint64(u.Age.Milliseconds()),
		Load:         toLoad(u.Load),
		ColdMillis:   toColdMillis(u.ColdFor),
	}
}

// toColdMillis rounds up, so that a server that is cold for less than a millisecond stays so.
func toColdMillis(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// fromColdMillis bounds the value, whose sender may be faulty.
func fromColdMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(spec.MaxCold.Milliseconds()))) * time.Millisecond
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

// FromBackend converts the wire form of an update about a backend server. It returns false
// if a text is unusable, or if the address cannot be parsed and the update is not brief.
func FromBackend(b *wire.Backend) (member.BackendUpdate, bool) {
	addr, err := netip.ParseAddrPort(b.GetAddr())
	if err != nil && !b.GetBrief() {
		return member.BackendUpdate{}, false
	}
	l := b.GetLoad()
	u := member.BackendUpdate{
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
			ColdFor:            fromColdMillis(b.GetColdMillis()),
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
	}
	return u, u.Check() == nil
}
