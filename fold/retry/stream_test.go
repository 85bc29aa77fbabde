package retry

import "testing"

// TestStreamNext checks what follows each end of a response: requests of streams that aren't
// resumable must not run twice, callers must not get events twice, and a request that crashes
// servers must not be sent to one after the other.
func TestStreamNext(t *testing.T) {
	never := func() bool { t.Error("a retry was taken from the budget"); return true }
	granted := func() bool { return true }
	denied := func() bool { return false }
	first := StreamState{Resumable: true, Attempts: 2, Sent: 1, MayHaveRun: true, TakeRetry: granted}
	with := func(change func(s *StreamState)) StreamState {
		s := first
		change(&s)
		return s
	}
	atEvent := with(func(s *StreamState) { s.HeadSent, s.LastEventID = true, "7" })
	once := with(func(s *StreamState) { s.Resumable, s.TakeRetry = false, never })
	onceBegun := with(func(s *StreamState) { s.Resumable, s.HeadSent, s.LastEventID, s.TakeRetry = false, true, "7", never })
	tests := []struct {
		name  string
		state StreamState
		end   StreamEnd
		want  StreamStep
	}{
		{"complete", atEvent, StreamComplete, StreamStep{Action: PassOn}},
		{"refused", with(func(s *StreamState) { s.MayHaveRun = false }), StreamRefused, StreamStep{Action: Restart}},
		{"refused, budget used up", with(func(s *StreamState) { s.MayHaveRun, s.TakeRetry = false, denied }), StreamRefused, StreamStep{Action: GiveUp, Outcome: NotRun, Denied: true}},
		{"refused after a run", with(func(s *StreamState) { s.Sent, s.TakeRetry = 2, never }), StreamRefused, StreamStep{Action: GiveUp, Outcome: Unknown}},
		{"refused after events", with(func(s *StreamState) { s.Sent, s.HeadSent, s.TakeRetry = 2, true, never }), StreamRefused, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"server error before the head", first, StreamServerError, StreamStep{Action: Restart}},
		{"server error with the caller's position", with(func(s *StreamState) { s.LastEventID = "3" }), StreamServerError, StreamStep{Action: GoOn, After: "3"}},
		{"server error, budget used up", with(func(s *StreamState) { s.TakeRetry = denied }), StreamServerError, StreamStep{Action: PassOn, Denied: true}},
		{"second server error", with(func(s *StreamState) { s.Sent, s.TakeRetry = 2, never }), StreamServerError, StreamStep{Action: PassOn}},
		{"server error after the head", with(func(s *StreamState) { s.Sent, s.HeadSent, s.TakeRetry = 2, true, never }), StreamServerError, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"reset without a response", first, StreamReset, StreamStep{Action: Restart}},
		{"reset after the head", with(func(s *StreamState) { s.HeadSent = true }), StreamReset, StreamStep{Action: Restart}},
		{"reset between events", atEvent, StreamReset, StreamStep{Action: GoOn, After: "7"}},
		{"within an event", atEvent, StreamPartialEvent, StreamStep{Action: GoOn, After: "7"}},
		{"no end mark", atEvent, StreamNoEndMark, StreamStep{Action: GoOn, After: "7"}},
		{"silence", atEvent, StreamSilent, StreamStep{Action: GoOn, After: "7"}},
		{"failed move", atEvent, StreamServerLeft, StreamStep{Action: GoOn, After: "7"}},
		{"event too large", with(func(s *StreamState) { s.HeadSent, s.TakeRetry = true, never }), StreamInvalid, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"deadline before the head", with(func(s *StreamState) { s.TakeRetry = never }), StreamDeadline, StreamStep{Action: GiveUp, Outcome: Unknown}},
		{"deadline before anything was sent", with(func(s *StreamState) { s.Sent, s.MayHaveRun, s.TakeRetry = 0, false, never }), StreamDeadline, StreamStep{Action: GiveUp, Outcome: NotRun}},
		{"caller gone", with(func(s *StreamState) { s.HeadSent, s.LastEventID, s.TakeRetry = true, "7", never }), StreamCallerGone, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"attempts used up", with(func(s *StreamState) { s.Sent, s.HeadSent, s.LastEventID, s.TakeRetry = 2, true, "7", never }), StreamReset, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"attempts used up before the head", with(func(s *StreamState) { s.Sent, s.TakeRetry = 2, never }), StreamReset, StreamStep{Action: GiveUp, Outcome: Unknown}},
		{"one attempt", with(func(s *StreamState) { s.Attempts, s.TakeRetry = 0, never }), StreamReset, StreamStep{Action: GiveUp, Outcome: Unknown}},
		{"one attempt, server cut off", with(func(s *StreamState) { s.Attempts, s.Excused = 0, 1 }), StreamSilent, StreamStep{Action: Restart}},
		{"second server cut off", with(func(s *StreamState) { s.Sent, s.Excused = 2, 1 }), StreamReset, StreamStep{Action: Restart}},
		{"every server cut off", with(func(s *StreamState) { s.Sent, s.Excused, s.TakeRetry = MaxAttempts, MaxAttempts, never }), StreamReset, StreamStep{Action: GiveUp, Outcome: Unknown}},
		{"budget used up", with(func(s *StreamState) { s.HeadSent, s.TakeRetry = true, denied }), StreamReset, StreamStep{Action: GiveUp, Outcome: Interrupted, Denied: true}},
		{"event without ID", with(func(s *StreamState) { s.HeadSent, s.Unnumbered, s.TakeRetry = true, true, never }), StreamReset, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"not resumable, refused", with(func(s *StreamState) { s.Resumable, s.MayHaveRun = false, false }), StreamRefused, StreamStep{Action: Restart}},
		{"not resumable, server error", once, StreamServerError, StreamStep{Action: PassOn}},
		{"not resumable, reset without a response", once, StreamReset, StreamStep{Action: GiveUp, Outcome: Unknown}},
		{"not resumable, reset", onceBegun, StreamReset, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"not resumable, within an event", onceBegun, StreamPartialEvent, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"not resumable, no end mark", onceBegun, StreamNoEndMark, StreamStep{Action: GiveUp, Outcome: Interrupted}},
		{"not resumable, failed move", onceBegun, StreamServerLeft, StreamStep{Action: GiveUp, Outcome: Interrupted}},
	}
	for _, tt := range tests {
		if got := tt.state.Next(tt.end); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
