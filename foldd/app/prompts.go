package app

import (
	"time"

	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/netio/clock"
)

// promptSaveRetry is the delay before prompts in quarantine are saved again after a
// disk has refused them.
const promptSaveRetry = time.Second

// keepPrompts loads the parts of prompts that were in quarantine when this control VM
// ended, and saves them at each change until the process closes.
func (a *App) keepPrompts(folder string) {
	file := store.PromptFile{Folder: folder}
	u, err := file.Load(clock.Wall())
	if err != nil {
		a.Node.Log.WithError(err).Error("prompts in quarantine can't be loaded; starting without them")
	}
	a.Node.ReceivePromptUpdate(u, "dataFolder")
	changed := make(chan struct{}, 1)
	signal := func() {
		select {
		case changed <- struct{}{}:
		default:
			// A save that has yet to begin covers this change too.
		}
	}
	a.Node.OnQuarantineChange(signal)
	go func() {
		for {
			select {
			case <-changed:
			case <-a.closed:
				return
			}
			a.savePrompts(file, signal)
		}
	}()
}

// savePrompts saves the prompts in quarantine, and calls again later if the disk
// refuses them.
func (a *App) savePrompts(file store.PromptFile, again func()) {
	if err := file.Save(clock.Wall(), a.Node.HeldPrompts()); err != nil {
		a.Node.Log.WithError(err).Warn("prompts in quarantine can't be saved; trying again")
		a.Node.Clock.At(time.Now().Add(promptSaveRetry), func(time.Time) { again() })
		return
	}
	a.Node.Count("poison.saves", 1)
}
