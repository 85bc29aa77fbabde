package peer

import (
	"time"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/wire"
)

// toPromptUpdate returns the wire form of an update on parts of prompts, or nil if it
// is empty.
func toPromptUpdate(u poison.Update) *wire.PromptUpdate {
	if u.Empty() {
		return nil
	}
	m := &wire.PromptUpdate{Sound: u.Sound}
	for _, l := range u.Losses {
		m.Losses = append(m.Losses, &wire.PromptLoss{
			Parts: l.Parts, Backend: l.Crash.Backend, Epoch: l.Crash.Epoch, Begun: l.Begun, Cleared: l.Cleared,
			AgeMillis: uint64(l.Age.Milliseconds()),
		})
	}
	return m
}

func fromPromptUpdate(m *wire.PromptUpdate) poison.Update {
	u := poison.Update{Sound: m.GetSound()}
	for _, l := range m.GetLosses() {
		u.Losses = append(u.Losses, poison.Loss{
			Parts: l.GetParts(), Crash: poison.Crash{Backend: l.GetBackend(), Epoch: l.GetEpoch()}, Begun: l.GetBegun(), Cleared: l.GetCleared(),
			Age: millis(l.GetAgeMillis()),
		})
	}
	return u
}

// millis converts a number of milliseconds. One that is too large for a duration
// becomes negative, which no age is.
func millis(n uint64) time.Duration {
	const most = uint64(1<<63-1) / uint64(time.Millisecond)
	if n > most {
		return -1
	}
	return time.Duration(n) * time.Millisecond
}
