// Package reach decides which backend servers a VM can open connections to. A server that
// other VMs reach may be unreachable from this one: it then is no failure of the server.
package reach

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/retry"
)

const (
	// unreachableFailures is the number of connections in a row that can't be opened until a
	// server counts as unreachable. One may be due to a full listen queue.
	unreachableFailures = 2
	// probeInterval is the time between two probes of an unreachable server. It doubles
	// with each failure up to maxProbeInterval.
	probeInterval    = 250 * time.Millisecond
	maxProbeInterval = time.Second
	// freshness is how long a response shows that a server can be reached. A server that
	// was silent for longer is probed once something makes it suspect.
	freshness = time.Second
)

// Table holds what this VM knows of its way to each backend server. The zero value is
// ready to use. A Table is not safe for concurrent use.
type Table struct {
	// servers holds the servers that were heard, failed or became suspect, by ID.
	servers map[string]*server
}

type server struct {
	// heard is when the server last responded or accepted a connection.
	heard time.Time
	// failures counts the connections in a row that could not be opened. Its end is when
	// the next probe is due.
	failures retry.Pause
	// suspected is set if a probe is due although no connection has failed.
	suspected bool
	// probing is set while a probe is under way.
	probing bool
}

func (t *Table) server(id string) *server {
	if t.servers == nil {
		t.servers = map[string]*server{}
	}
	if t.servers[id] == nil {
		t.servers[id] = &server{}
	}
	return t.servers[id]
}

// Heard records that a server has responded or has accepted a connection. It reports
// whether the server was unreachable before.
func (t *Table) Heard(now time.Time, id string) bool {
	s := t.server(id)
	recovered := s.unreachable()
	*s = server{heard: now}
	return recovered
}

// Fail records that a connection to a server could not be opened. It reports whether the
// server has become unreachable by that. The first failure makes a probe due at once.
func (t *Table) Fail(now time.Time, id string) bool {
	s := t.server(id)
	before := s.unreachable()
	s.failures.Fail(now, probeInterval, maxProbeInterval)
	if !s.unreachable() {
		s.failures.Until = now
	}
	s.suspected, s.probing = false, false
	return s.unreachable() && !before
}

// Suspect makes a probe of a server due unless the server was heard of lately or its way is
// known to be lost.
func (t *Table) Suspect(now time.Time, id string) {
	s := t.server(id)
	if s.failures.Failures == 0 && now.Sub(s.heard) >= freshness {
		s.suspected = true
	}
}

// Unreachable reports whether connections to a server can't be opened.
func (t *Table) Unreachable(id string) bool {
	s := t.servers[id]
	return s != nil && s.unreachable()
}

// Failing reports whether the last connection to a server could not be opened.
func (t *Table) Failing(id string) bool {
	s := t.servers[id]
	return s != nil && s.failures.Failures > 0
}

func (s *server) unreachable() bool { return s.failures.Failures >= unreachableFailures }

// Due returns the servers whose probe is due, and notes that it is under way until Heard or
// Fail is called.
func (t *Table) Due(now time.Time) []string {
	var ids []string
	for id, s := range t.servers {
		if at, ok := s.nextProbe(now); ok && !at.After(now) {
			s.probing = true
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Next returns the time of the next probe, and false if none is due at any time.
func (t *Table) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, s := range t.servers {
		if at, ok := s.nextProbe(now); ok && (!found || at.Before(next)) {
			next, found = at, true
		}
	}
	return next, found
}

// nextProbe returns the time of the next probe of a server, and false if there is none.
func (s *server) nextProbe(now time.Time) (time.Time, bool) {
	switch {
	case s.probing:
		return time.Time{}, false
	case s.failures.Failures > 0:
		return s.failures.Until, true
	}
	return now, s.suspected
}

// Forget drops what is known of a server that has been removed.
func (t *Table) Forget(id string) { delete(t.servers, id) }
