package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/foldd/fault"
)

// survivingEvents is the number of events after which a run's prompt counts as one
// that does not crash engines. A prompt that does, crashes them as they begin to
// write; parts of the first events may still get out.
const survivingEvents = 4

// recordSurvival records, once, that the run's prompt does not crash engines.
func (s *stream) recordSurvival() {
	if s.survived || s.events == 0 {
		return
	}
	s.survived = true
	if parts := s.q.params.Prompt.SharedParts(); len(parts) > 0 {
		s.q.relay.Node.PromptSurvived(parts)
	}
}

// recordLoss logs that the connection of a run was lost, and records it as evidence
// against the run's prompt if the engine may have crashed because of it. begun is
// set if the engine had begun its answer.
func (s *stream) recordLoss(b backend, begun bool, err error) {
	s.logLoss(b, begun, err)
	if !s.survived && closedByPeer(err) {
		s.q.relay.Node.PromptLost(s.q.params.Prompt.SharedParts(), b, begun)
	}
}

// closedByPeer reports whether a response broke off because the other side closed
// the connection, as a process does that crashes. Timeouts of the connection are
// none of these.
func closedByPeer(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errPartialEvent, errNoEvents} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// quarantineFault returns the error for a request with a part of a prompt that
// crashes engines.
func quarantineFault(q poison.Quarantine) *fault.Fault {
	message := fmt.Sprintf("part %s of the prompt has crashed engines %d times", q.Part, q.Crashes)
	return fault.NotRun(http.StatusServiceUnavailable, fault.Quarantined, message).WithRetryAfter(q.RetryAfter)
}
