package peer

import (
	"time"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/wire"
)

// toPromptUpdate returns the wire form of an update on parts of prompts, or nil if it
// is empty.
func toPromptUpdate(n poison.Update) *wire.PromptUpdate {
	if len(n.Losses) == 0 && len(n.Survivals) == 0 {
		return nil
	}
	m := &wire.PromptUpdate{}
	for _, l := range n.Losses {
		m.Losses = append(m.Losses, &wire.PromptLoss{
			Parts: l.Parts, Backend: l.Crash.Backend, Epoch: l.Crash.Epoch, Begun: l.Begun, AgeMillis: uint64(l.Age.Milliseconds()),
		})
	}
	for _, s := range n.Survivals {
		m.Survivals = append(m.Survivals, &wire.PromptSurvival{Part: s.Part, AgeMillis: uint64(s.Age.Milliseconds())})
	}
	return m
}

func fromPromptUpdate(m *wire.PromptUpdate) poison.Update {
	var n poison.Update
	for _, l := range m.GetLosses() {
		n.Losses = append(n.Losses, poison.Loss{
			Parts: l.GetParts(), Crash: poison.Crash{Backend: l.GetBackend(), Epoch: l.GetEpoch()}, Begun: l.GetBegun(), Age: millis(l.GetAgeMillis()),
		})
	}
	for _, s := range m.GetSurvivals() {
		n.Survivals = append(n.Survivals, poison.Survival{Part: s.GetPart(), Age: millis(s.GetAgeMillis())})
	}
	return n
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
