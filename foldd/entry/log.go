package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
)

// headerRequestID is the request header in which a caller may name its request for the logs.
const headerRequestID = "Fold-Request-Id"

// logFailedAttempt logs that the call got no complete response of a backend server, and why.
func (c *call) logFailedAttempt(b member.Backend, err error) {
	c.handler.logFailedAttempt(b, err, logrus.Fields{
		"request": c.requester.requestID, "key": c.r.Header.Get(headerIdempotency), "fingerprint": c.crashParts[0],
	})
}

// logFailedStart is logFailedAttempt for the start of a generation.
func (g *generation) logFailedStart(b member.Backend, id string, err error) {
	g.handler.logFailedAttempt(b, err, logrus.Fields{
		"request": g.requester.requestID, "generation": id, "ms": time.Since(g.startedAt).Milliseconds(),
	})
}

func (e *Handler) logFailedAttempt(b member.Backend, err error, fields logrus.Fields) {
	fields["backend"], fields["addr"], fields["epoch"] = b.ID, b.Addr, b.Epoch
	e.Node.Log.WithFields(fields).WithError(err).Warn("attempt at a backend server failed")
}
