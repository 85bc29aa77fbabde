// Package link logs when calls to another process begin to fail, and when they succeed
// again.
package link

import (
	"time"

	"github.com/sirupsen/logrus"
)

// State is whether the calls to one address fail. It is not safe for concurrent use.
type State struct {
	// Log gets the lines; it names the address.
	Log *logrus.Entry
	// Failed and Regained are the messages of the two lines.
	Failed, Regained string

	// since is when the first of the failed calls was sent, zero if the last call
	// succeeded. count counts them, and last is when the last one ended.
	since, last time.Time
	count       int
}

// Failing reports whether the last call failed.
func (s *State) Failing() bool { return !s.since.IsZero() }

// SinceLast returns the time since the end of the last failed call.
func (s *State) SinceLast(now time.Time) time.Duration { return now.Sub(s.last) }

// Record records the result of a call that was sent at begun. fields are added to the line
// about the first of several failed calls.
func (s *State) Record(begun time.Time, err error, fields logrus.Fields) {
	now := time.Now()
	switch {
	case err == nil && s.since.IsZero():
	case err == nil:
		s.Log.WithFields(logrus.Fields{"failed": s.count, "ms": now.Sub(s.since).Milliseconds()}).Info(s.Regained)
		s.since = time.Time{}
	case s.since.IsZero():
		s.since, s.last, s.count = begun, now, 1
		s.Log.WithError(err).WithFields(fields).WithField("ms", now.Sub(begun).Milliseconds()).Warn(s.Failed)
	default:
		s.last = now
		s.count++
	}
}
