package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
)

const (
	// limitRate is the limit in requests a second that a backend server names.
	limitRate = 2
	// limitNews is the time from the first naming of a limit after which it must be kept,
	// limitSpan the time over which requests are counted, and limitMost how many may
	// come in it.
	limitNews = 3 * time.Second
	limitSpan = 4 * time.Second
	limitMost = limitRate*4*3/2 + 5
	// limitPassed is the time after which a VM that has passed on a limit must keep it.
	limitPassed = 500 * time.Millisecond
)

// limited watches the requests that a backend server gets while it names a limit.
type limited struct {
	meter *meter.Meter

	mu sync.Mutex
	// namedAt is when the limit was first named, zero while there is none.
	namedAt time.Time
	// told holds when each VM, by its index, was first told of the limit.
	told map[int]time.Time
	// arrivals holds the requests that count, in the order of their arrival.
	arrivals []time.Time
}

// name lets the server name a limit, or ends that.
func (l *limited) name(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.namedAt, l.told, l.arrivals = time.Time{}, map[int]time.Time{}, nil
	if on {
		l.meter.Name(fmt.Sprint(limitRate))
		return
	}
	l.meter.Name("")
}

// arrive counts a request of a VM, which counts if the VM was told of the limit and was
// left alone. It returns how many have come in limitSpan if that is more than allowed, and
// 0 otherwise.
func (l *limited) arrive(now time.Time, vm int, calm func(vm int, since time.Time) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told == nil || !l.named() {
		return 0
	}
	if l.namedAt.IsZero() {
		l.namedAt = now
	}
	told, known := l.told[vm]
	if !known {
		l.told[vm] = now
	}
	if !known || now.Sub(told) < limitPassed || now.Sub(l.namedAt) < limitNews || !calm(vm, now.Add(-limitNews)) {
		return 0
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) > limitSpan {
		l.arrivals = l.arrivals[1:]
	}
	if len(l.arrivals) <= limitMost {
		return 0
	}
	return len(l.arrivals)
}

// named reports whether a limit is named.
func (l *limited) named() bool { return l.meter.Limit() != "" }

// checkLimit checks that a request keeps to the limit that its server names.
func (s *servers) checkLimit(x *instance, r *http.Request) {
	id := r.Header.Get(headerRequest)
	if n := x.limited.arrive(time.Now(), s.passes.sender(id), s.calm); n > 0 {
		s.findings.add(LimitKept, id, "the %d-th request in %v from VMs that were told of a limit of %d a second and left alone; allowed are %d", n, limitSpan, limitRate, limitMost)
	}
}

// endlessPart returns the part of a response that has no end, for a part of the requests
// by their IDs.
func endlessPart(id string) origin.Endless {
	parts := origin.EndlessParts()
	x := hashOf(id)
	if x%4 != 0 {
		return ""
	}
	return parts[int(x/4)%len(parts)]
}
