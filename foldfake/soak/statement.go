package soak

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

const (
	// awayTime is the time for which a server that turns a request away wants no other
	// one from that VM. awaySettled is the part of it in which requests that crossed the
	// response don't count, and awayMost how many may come in the rest.
	awayTime    = 2 * time.Second
	awaySettled = 500 * time.Millisecond
	awayMost    = 2
	// toldTime is the time after which a VM that has passed on that a server is leaving
	// must send it nothing new.
	toldTime = 500 * time.Millisecond
)

// statements is what a server says of itself in its responses, to each VM by its index,
// and the requests that it gets all the same. The zero value says nothing.
type statements struct {
	mu sync.Mutex
	// leaving is set if responses say that the server is leaving. It has not announced
	// that. told holds when each VM was first told.
	leaving bool
	told    map[int]telling
	// away is set if every request is turned away. since holds when each VM was last
	// turned away outside an earlier awayTime, and count its requests that count since.
	away  bool
	since map[int]time.Time
	count map[int]int
}

// telling is when a VM was told something, and the index of the VM through which.
type telling struct {
	at      time.Time
	through int
}

// sayLeaving lets the server say that it is leaving, for good.
func (s *statements) sayLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.told = true, map[int]telling{}
}

// turnAway lets the server turn requests away, or ends that. What it has said still holds.
func (s *statements) turnAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = on
	if s.since == nil {
		s.since, s.count = map[int]time.Time{}, map[int]int{}
	}
}

// arrive counts a request that vm sends, for the VM caller if that has passed it on and
// otherwise for itself, and sets what the response says. It returns the promise that the
// request breaks, empty if it breaks none.
func (s *statements) arrive(now time.Time, vm, caller int, isNew bool, b *origin.Behaviour, calm func(vm int, since time.Time) bool) Promise {
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken Promise
	if s.leaving {
		b.Leaving = origin.Head
		told, known := s.told[vm]
		if known && isNew && now.Sub(told.at) > toldTime && calm(vm, told.at) && calm(told.through, told.at) {
			broken = SaidLeaving
		}
		s.tellLeaving(now, vm, caller, b)
	}
	if since, known := s.since[vm]; known && now.Sub(since) < awayTime {
		if now.Sub(since) > awaySettled {
			s.count[vm]++
		}
		if s.count[vm] > awayMost && calm(vm, since) {
			broken = LeftAlone
		}
	} else if s.away && b.Endless == "" {
		s.since[vm], s.count[vm] = now, 0
	}
	if s.away {
		b.NotRun, b.Status, b.RetryAfter = true, http.StatusServiceUnavailable, strconv.Itoa(int(awayTime.Seconds()))
	}
	return broken
}

// tellLeaving notes who is told by the response to a request that the server is leaving. The
// caller holds the lock.
func (s *statements) tellLeaving(now time.Time, vm, caller int, b *origin.Behaviour) {
	// Endless responses have none of the server's header fields.
	if told, known := s.told[vm]; b.Endless == "" && (!known || told.through != vm) {
		s.told[vm] = telling{at: now, through: vm}
	}
	// A VM passes back only a response that it takes for the answer.
	answer := b.Endless == "" && b.TruncateAt == 0 && !b.Drop && !s.away
	if _, known := s.told[caller]; answer && !known {
		s.told[caller] = telling{at: now, through: vm}
	}
}

// checkStatements checks that a request obeys what its server has said of itself, and sets
// what the response says.
func (s *servers) checkStatements(x *instance, r *http.Request, b *origin.Behaviour) {
	id := r.Header.Get(headerRequest)
	vm := s.passes.sender(id)
	if p := x.statements.arrive(time.Now(), vm, vmOf(id), r.Header.Get("Fold-Resume") == "", b, s.calm); p != "" {
		s.findings.add(p, id, "reached server %s, which has said to VM %d that it wants no such request", x.origin.ID, vm)
	}
}
