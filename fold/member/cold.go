package member

import (
	"time"

	"fuchsiafold.example/fold/spec"
)

// coldTolerance is the time by which the end of a server's cold time may differ between
// reports without being a change: reports take different times to reach a VM.
const coldTolerance = 200 * time.Millisecond

// statedColdUntil returns when the server stops being cold, by its own statement. That is
// not after lastReport if it has made none.
func (r *record) statedColdUntil() time.Time { return r.lastReport.Add(r.ColdFor) }

// keepStatement sets ColdFor to what an earlier statement means as of lastReport.
func (r *record) keepStatement(until time.Time) {
	r.ColdFor = max(until.Sub(r.lastReport), 0)
}

// coldUntil returns when the server stops being cold.
func (r *record) coldUntil() time.Time {
	if stated := r.statedColdUntil(); stated.After(r.startColdUntil) {
		return stated
	}
	return r.startColdUntil
}

// setCold sets for how long the server of a new record is cold. known is the record that it
// replaces, nil if there is none.
//
// A statement replaces earlier ones. Without one, earlier ones of the same start hold, and a
// server that has just started is cold for the configured time.
func (t *Table) setCold(r, known *record) {
	switch {
	case r.ColdFor > 0:
	case known != nil && known.Epoch == r.Epoch:
		r.keepStatement(known.statedColdUntil())
		r.startColdUntil = known.startColdUntil
	case known != nil || t.Starting == nil || !t.Starting():
		if c := t.coldStart(r.Service); c != nil {
			r.startColdUntil = r.firstReport.Add(time.Duration(c.Duration))
		}
	}
}

// colder reports whether a server of a service with limited cold servers is cold for longer
// by a new record than by the one that it replaces.
func (t *Table) colder(now time.Time, known, r *record) bool {
	until := known.coldUntil()
	if until.Before(now) {
		until = now
	} else {
		until = until.Add(coldTolerance)
	}
	return r.coldUntil().After(until) && t.coldStart(r.Service) != nil
}

// noteCold keeps coldUntil.
func (t *Table) noteCold(r *record) {
	if until := r.coldUntil(); until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// AnyCold reports whether a server may be cold.
func (t *Table) AnyCold(now time.Time) bool { return t.coldUntil.After(now) }

// Cold returns the start rate of a server and the time for which it is cold. The rate is
// zero if the server isn't cold, or its service doesn't limit requests to cold servers. A
// request that was chosen for an earlier start of the server would reach the latest one.
func (t *Table) Cold(now time.Time, id string, epoch uint64) (rate float64, left time.Duration) {
	if !t.AnyCold(now) {
		return 0, 0
	}
	r := t.records[id]
	if r == nil || r.removed || r.Epoch < epoch || !r.coldUntil().After(now) {
		return 0, 0
	}
	c := t.coldStart(r.Service)
	if c == nil {
		return 0, 0
	}
	return c.Rate, r.coldUntil().Sub(now)
}

// coldStart returns what the configuration says of cold servers of a service, nil if their
// requests are not limited.
func (t *Table) coldStart(service string) *spec.ColdStart {
	if t.ColdStart == nil {
		return nil
	}
	return t.ColdStart(service)
}
