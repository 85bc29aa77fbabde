package relay

import (
	"context"

	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
)

// newCrashParts returns the value of request.crashParts: the request's fingerprint and the
// shared parts of its prompt. The fingerprint comes first: of two parts with the same
// evidence, the one further back counts as the cause, and a part of the prompt may be in
// other requests too.
func (q *request) newCrashParts() []string {
	return append([]string{q.fingerprint()}, q.params.Prompt.SharedParts()...)
}

// checkQuarantine returns a fault if the request crashes servers.
func (q *request) checkQuarantine() *fault.Fault {
	if quarantine, ok := q.relay.Node.Quarantine(q.service.Name, q.crashParts); ok {
		q.quarantined = true
		return fault.FromQuarantine(quarantine)
	}
	return nil
}

// recordPlainLoss records a request whose server closed the connection before its
// response was complete as evidence that it crashes servers.
func (q *request) recordPlainLoss(ctx context.Context, b backend, a attempt) {
	if a.Sent && ctx.Err() == nil && pool.ClosedByPeer(a.err) {
		q.relay.Node.PromptLost(q.crashParts, b, true)
	}
}

// recordPlainSurvival records a complete response.
func (q *request) recordPlainSurvival(b backend) {
	q.relay.Node.EngineAnswered(b)
	q.relay.Node.PromptSurvived(q.crashParts)
}

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
	s.q.relay.Node.EngineAnswered(s.server)
	s.q.relay.Node.PromptSurvived(s.q.crashParts)
}

// recordLoss logs that the connection of a run was lost, and records it as evidence
// against the run's prompt if the engine may have crashed because of it. begun is
// set if the engine had begun its answer.
func (s *stream) recordLoss(b backend, begun bool, err error) {
	s.logLoss(b, begun, err)
	if !s.survived && pool.ClosedByPeer(err) {
		s.q.relay.Node.PromptLost(s.q.crashParts, b, begun)
	}
}
