package relay

import (
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
)

// errFalsePromise is wrapped by the errors for responses that checkStatus and checkPeerStatus
// reject.
var errFalsePromise = eris.New("its status tells callers that the request has not run, which is not proved")

// failedStatus reports whether a response with the status, whose server has not said that it
// did not begin the request, is a failure that another server may do better than.
func failedStatus(status int) bool {
	return status >= http.StatusInternalServerError || fault.PromisesNotRun(status)
}

// checkStatus returns an error if the response of server b, which has not said that it did not
// begin the request, can't be passed on as its status says so to callers.
func (q *request) checkStatus(b backend, status int) error {
	if !fault.PromisesNotRun(status) {
		return nil
	}
	err := eris.Wrapf(errFalsePromise, "the backend server answered with status %d", status)
	q.relay.Node.Count("forward.falsePromises", 1)
	q.relay.attemptLog(q, b).WithField("status", status).WithError(err).Warn("status of a backend server can't be passed on")
	return err
}

// checkPeerStatus returns an error if the response of the VM that the request was passed to can't
// be passed on as its status says that the request has not run, while a server may have
// begun it: the one that has sent the response, or one that this VM has sent the request to. Only
// what the other VM says of its own accord is proved. Old builds pass such statuses of
// servers on.
func (q *request) checkPeerStatus(res *pool.Response) error {
	if !fault.PromisesNotRun(res.Status) {
		return nil
	}
	server, outcome := res.Header.Get(headerPeerBackend), res.Header.Get(fault.HeaderOutcome)
	stated := server == "" && (outcome == "" || outcome == retry.NotRun.String())
	if stated && !q.mayHaveRun {
		return nil
	}
	err := eris.Wrapf(errFalsePromise, "the VM that the request was passed to answered with status %d", res.Status)
	q.relay.Node.Count("forward.falsePromises", 1)
	q.relay.Node.Log.WithFields(logrus.Fields{
		"request": q.params.ID, "peer": q.passedTo, "backend": server, "status": res.Status, "outcome": outcome, "sent": q.sent,
	}).WithError(err).Warn("status of another VM's response can't be passed on")
	return err
}
