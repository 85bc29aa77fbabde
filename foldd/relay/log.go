package relay

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldd/node"
)

var (
	errRejected          = eris.New("the backend server did not begin the request")
	errEventTooLarge     = eris.New("an event of the stream exceeds the size limit")
	errUnsupportedStatus = eris.New("the backend server answered with a status that can't be passed on")
	errStreamInterrupted = eris.New("the stream broke off")
	errStoppedByMove     = eris.New("the run may have been stopped for a move that failed")
	// The server closed the connection too early, though the framing of the response
	// allows that.
	errPartialEvent = eris.Wrap(io.ErrUnexpectedEOF, "the stream ended within an event")
	errServerGone   = eris.Wrap(io.ErrUnexpectedEOF, "the connection ended and the server can't be reached")
	errNoEvents     = eris.Wrap(io.ErrUnexpectedEOF, "the connection ended before the first event")
)

func sinceArrival(q *request) time.Duration { return time.Since(q.arrived) }

// logSend logs that a stream's request is sent to the backend server of its
// placement. The run number joins the line with that of the VM that placed it.
func (s *stream) logSend(req place.Request) {
	q := s.q
	q.relay.Node.Log.WithFields(logrus.Fields{
		"request": q.params.ID, "run": req.ID, "backend": q.backend, "placedBy": q.placedBy, "forward": q.forward.Name,
		"promptTokens": req.PromptTokens, "budgetMs": req.FirstTokenBudget.Milliseconds(), "ms": sinceArrival(q).Milliseconds(),
		"parts": node.LoggedParts(q.params.Prompt.Parts), "partCount": len(q.params.Prompt.Parts),
	}).Info("request sent")
}

// logAttempt logs a failed attempt to send the request to a backend server.
func (x *Relay) logAttempt(q *request, b backend, err error) {
	x.attemptLog(q, b).WithError(err).Warn("attempt at a backend server failed")
}

// logLoss logs that the connection of a run was lost. It states how far the run
// was, and the parts of its prompt.
func (s *stream) logLoss(b backend, begun bool, err error) {
	s.q.relay.attemptLog(s.q, b).WithFields(logrus.Fields{
		"begun": begun, "events": s.events, "parts": node.LoggedParts(s.q.params.Prompt.Parts),
	}).WithError(err).Warn("attempt at a backend server failed")
}

func (x *Relay) attemptLog(q *request, b backend) *logrus.Entry {
	return x.Node.Log.WithFields(logrus.Fields{
		"request": q.params.ID, "backend": b.ID, "addr": b.Addr, "epoch": b.Epoch, "ms": sinceArrival(q).Milliseconds(),
		"fingerprint": q.crashParts[0],
	})
}
