package retry

// StreamEnd is how a backend server's response to the request of a stream ended, or why there
// is none.
type StreamEnd int

// The ends. The zero value is a complete response.
const (
	StreamComplete StreamEnd = iota
	// StreamRefused: the server said that it did not begin the request.
	StreamRefused
	// StreamServerError: a response with status 5xx in place of the stream or, once the caller
	// has the head of its response, any status but 200.
	StreamServerError
	// StreamReset: the connection was lost before the end of the response.
	StreamReset
	// StreamPartialEvent: the response ended within an event.
	StreamPartialEvent
	// StreamNoEndMark: the response ended with its connection, and does not count as complete.
	StreamNoEndMark
	// StreamSilent: the server sent nothing for too long.
	StreamSilent
	// StreamServerLeft: the server, which is leaving, stopped the run, or may have done so, for a
	// move that failed.
	StreamServerLeft
	// StreamInvalid: the response can't be passed on, whichever server sends it, such as one with
	// an event above the size limit.
	StreamInvalid
	// StreamDeadline: the request timed out, or its VM ends.
	StreamDeadline
	// StreamCallerGone: the caller has disconnected.
	StreamCallerGone
)

var streamEndNames = [...]string{"complete", "refused", "serverError", "reset", "partialEvent", "noEndMark", "silent", "serverLeft", "invalid", "deadline", "callerGone"}

// String returns the name in logs and metrics.
func (e StreamEnd) String() string {
	if e < 0 || int(e) >= len(streamEndNames) {
		return "unknown"
	}
	return streamEndNames[e]
}

// StreamState is what is known of a stream's request when a response to it has ended.
type StreamState struct {
	// Resumable states that the request may run more than once, and that servers send the
	// events after a given one.
	Resumable bool
	// Attempts is the largest number of servers that may get the request; zero means one. Sent
	// counts those that may have got it, and Excused those of them whose failure says nothing of
	// the request: it must not be sent from one server to the next if it crashes them.
	Attempts, Sent, Excused int
	// MayHaveRun is set if a server may have begun the request.
	MayHaveRun bool
	// HeadSent is set once the caller has the head of its response.
	HeadSent bool
	// LastEventID is the ID of the last event that the caller has, from this response or an
	// earlier one, empty if it has none. Unnumbered is set if the caller has an event without ID.
	LastEventID string
	Unnumbered  bool
	// TakeRetry takes a retry from the budget and reports whether there was one. It is called at
	// most once, and only if everything else allows to send the request again.
	TakeRetry func() bool
}

// StreamAction is what the VM does after a response has ended.
type StreamAction int

const (
	// PassOn: the caller gets the response as it is.
	PassOn StreamAction = iota
	// Restart: another server is asked for the stream from its beginning.
	Restart
	// GoOn: another server is asked for the events after StreamStep.After.
	GoOn
	// GiveUp: the caller's response ends with StreamStep.Outcome.
	GiveUp
)

// StreamStep is what follows the end of a response.
type StreamStep struct {
	Action StreamAction
	// After is the ID of the last event that the caller has, set with GoOn.
	After string
	// Outcome is set with GiveUp.
	Outcome Outcome
	// Denied is set if only the budget did not allow to send the request again.
	Denied bool
}

// Next decides what follows the end of a response to a stream's request.
func (s *StreamState) Next(end StreamEnd) StreamStep {
	switch end {
	case StreamComplete:
		return StreamStep{Action: PassOn}
	case StreamServerError:
		if !s.Resumable {
			return StreamStep{Action: PassOn}
		}
	}
	if s.repeatable(end) {
		if s.TakeRetry != nil && s.TakeRetry() {
			return s.again()
		}
		step := s.giveUp(end)
		step.Denied = true
		return step
	}
	return s.giveUp(end)
}

// again sends the request to another server.
func (s *StreamState) again() StreamStep {
	if s.LastEventID == "" {
		return StreamStep{Action: Restart}
	}
	return StreamStep{Action: GoOn, After: s.LastEventID}
}

// repeatable reports whether the request may be sent to another server if the budget allows it.
func (s *StreamState) repeatable(end StreamEnd) bool {
	switch {
	case end == StreamInvalid, end == StreamDeadline, end == StreamCallerGone:
		return false
	case end != StreamRefused && !s.Resumable:
		return false
	case s.Unnumbered:
		// No server could be told where to go on.
		return false
	}
	attempts := max(s.Attempts, 1)
	return s.Sent-s.Excused < attempts && s.Sent < max(attempts, MaxAttempts)
}

// giveUp ends the stream, or passes on an error of the server if the caller has nothing yet.
func (s *StreamState) giveUp(end StreamEnd) StreamStep {
	switch {
	case s.HeadSent:
		return StreamStep{Action: GiveUp, Outcome: Interrupted}
	case end == StreamServerError:
		return StreamStep{Action: PassOn}
	case s.Sent == 0, end == StreamRefused && !s.MayHaveRun:
		return StreamStep{Action: GiveUp, Outcome: NotRun}
	}
	return StreamStep{Action: GiveUp, Outcome: Unknown}
}
