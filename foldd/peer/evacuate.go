package peer

import (
	"time"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/wire"
)

// ToEvacuations returns the wire form of a set, nil if there was never any order.
func ToEvacuations(s evac.Set) *wire.Evacuations {
	if s.Version == 0 {
		return nil
	}
	out := &wire.Evacuations{Version: s.Version}
	for _, d := range s.Domains {
		out.Domains = append(out.Domains, &wire.Evacuation{Domain: d.Name, Since: d.Since, SinceUnixMillis: uint64(d.Ordered.UnixMilli())})
	}
	return out
}

// FromEvacuations converts the wire form of a set.
func FromEvacuations(m *wire.Evacuations) evac.Set {
	s := evac.Set{Version: m.GetVersion()}
	for _, d := range m.GetDomains() {
		s.Domains = append(s.Domains, evac.Domain{Name: d.GetDomain(), Since: d.GetSince(), Ordered: time.UnixMilli(int64(d.GetSinceUnixMillis()))})
	}
	return s
}
