package relay

import "fuchsiafold.example/netio/pool"

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
	if parts := s.q.params.Prompt.SharedParts(); len(parts) > 0 {
		s.q.relay.Node.PromptSurvived(parts)
	}
}

// recordLoss logs that the connection of a run was lost, and records it as evidence
// against the run's prompt if the engine may have crashed because of it. begun is
// set if the engine had begun its answer.
func (s *stream) recordLoss(b backend, begun bool, err error) {
	s.logLoss(b, begun, err)
	if !s.survived && pool.ClosedByPeer(err) {
		s.q.relay.Node.PromptLost(s.q.params.Prompt.SharedParts(), b, begun)
	}
}
