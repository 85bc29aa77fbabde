package peer

import (
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/wire"
)

// maxAgeUnits is the largest age in a digest of leases, in units.
const maxAgeUnits = 255

// minAgeUnit is the smallest unit of ages in a digest of leases.
const minAgeUnit = 20 * time.Millisecond

// toLeases returns the wire form of a digest of leases.
func toLeases(l *member.Leases) *wire.Leases {
	unit := ageUnit(l)
	out := &wire.Leases{AgeUnitMillis: uint32(unit.Milliseconds())}
	for _, b := range l {
		out.Members = append(out.Members, b.Members)
		out.Counts = append(out.Counts, uint32(len(b.Leases)))
		for _, x := range b.Leases {
			out.Seqs = append(out.Seqs, x.Seq)
			out.Ages = append(out.Ages, byte((max(x.Age, 0)+unit-1)/unit))
		}
	}
	return out
}

// toVMs returns the wire form of a digest of the live VMs, nil if there is none.
func toVMs(l *member.Leases) *wire.Leases {
	if l == nil {
		return nil
	}
	return toLeases(l)
}

// fromVMs converts the wire form of a digest of the live VMs. It returns nil for none.
func fromVMs(l *wire.Leases) *member.Leases {
	if l == nil {
		return nil
	}
	out := fromLeases(l)
	return &out
}

// ageUnit returns the unit of a digest's ages, in whole milliseconds, by which the
// greatest is at most maxAgeUnits.
func ageUnit(l *member.Leases) time.Duration {
	greatest := time.Duration(0)
	for _, b := range l {
		for _, x := range b.Leases {
			greatest = max(greatest, x.Age)
		}
	}
	unit := (greatest + maxAgeUnits - 1) / maxAgeUnits
	return max(unit.Truncate(time.Millisecond)+time.Millisecond, minAgeUnit)
}

// fromLeases converts the wire form of a digest of leases. It returns an empty
// digest if that is not well formed, as for a VM that sends none: then no lease is
// renewed by it.
func fromLeases(l *wire.Leases) member.Leases {
	var out member.Leases
	if len(l.GetMembers()) != len(out) || len(l.GetCounts()) != len(out) || len(l.GetSeqs()) != len(l.GetAges()) {
		return out
	}
	unit := time.Duration(l.GetAgeUnitMillis()) * time.Millisecond
	seqs, ages := l.GetSeqs(), l.GetAges()
	for i := range out {
		n := int(l.GetCounts()[i])
		if n > len(seqs) {
			return member.Leases{}
		}
		out[i].Members = l.GetMembers()[i]
		for j := range n {
			out[i].Leases = append(out[i].Leases, member.Lease{Seq: seqs[j], Age: time.Duration(ages[j]) * unit})
		}
		seqs, ages = seqs[n:], ages[n:]
	}
	return out
}
