package peer

import (
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/wire"
)

func TestLeasesOnTheWire(t *testing.T) {
	var l member.Leases
	for i := range l {
		l[i].Members = uint32(1000 + i)
		for j := range i % 3 {
			l[i].Leases = append(l[i].Leases, member.Lease{Seq: uint8(100*j + i), Age: time.Duration(i*331+j) * time.Millisecond})
		}
	}
	got := fromLeases(toLeases(&l))
	for i := range l {
		if got[i].Members != l[i].Members || len(got[i].Leases) != len(l[i].Leases) {
			t.Fatalf("bucket %d is %+v, want %+v", i, got[i], l[i])
		}
		for j, want := range l[i].Leases {
			x := got[i].Leases[j]
			if x.Seq != want.Seq || x.Age < want.Age || x.Age > want.Age+minAgeUnit+time.Millisecond {
				t.Errorf("lease %d of bucket %d is %+v, want %+v, the age rounded up", j, i, x, want)
			}
		}
	}
}

func TestMalformedLeasesAreEmpty(t *testing.T) {
	valid := func() *wire.Leases {
		l := member.Leases{{Members: 1, Leases: []member.Lease{{Seq: 1}}}}
		return toLeases(&l)
	}
	tests := map[string]func(l *wire.Leases){
		"too few buckets":            func(l *wire.Leases) { l.Members = l.Members[1:] },
		"too few counts":             func(l *wire.Leases) { l.Counts = nil },
		"a count above the servers":  func(l *wire.Leases) { l.Counts[3] = 1 << 31 },
		"an age missing":             func(l *wire.Leases) { l.Ages = nil },
		"more leases than the count": func(l *wire.Leases) { l.Counts[0] = 0; l.Seqs = nil },
	}
	for name, change := range tests {
		l := valid()
		change(l)
		for i, b := range fromLeases(l) {
			if b.Members != 0 || len(b.Leases) != 0 {
				t.Errorf("%s: bucket %d is %+v, want none", name, i, b)
			}
		}
	}
}
