package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"fuchsiafold.example/fold/poison"
)

// Names of the file of a PromptFile. The temporary one has no suffix that a Folder
// removes.
const (
	promptsName      = "prompts.json"
	promptsTemporary = "prompts.tmp"
)

// PromptFile keeps the losses that hold parts of prompts in quarantine, so that a
// restart of all VMs does not forget them. Folder is the data folder of a control
// replica. The file is complete or absent after any crash.
type PromptFile struct{ Folder string }

// storedPrompts is a poison.Update in the file.
type storedPrompts struct {
	Losses []storedLoss `json:"losses"`
	Sound  []string     `json:"sound,omitempty"`
}

// storedLoss is a poison.Loss in the file, with its time in place of its age.
type storedLoss struct {
	Parts   []string  `json:"parts"`
	Backend string    `json:"backend"`
	Epoch   uint64    `json:"epoch"`
	Begun   bool      `json:"begun"`
	Cleared uint32    `json:"cleared,omitempty"`
	At      time.Time `json:"at"`
}

// Save replaces what the file holds and syncs it to the disk.
func (f PromptFile) Save(now time.Time, u poison.Update) error {
	p := storedPrompts{Sound: u.Sound}
	for _, l := range u.Losses {
		p.Losses = append(p.Losses, storedLoss{Parts: l.Parts, Backend: l.Crash.Backend, Epoch: l.Crash.Epoch, Begun: l.Begun, Cleared: l.Cleared, At: now.Add(-l.Age)})
	}
	b, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode prompts in quarantine: %w", err)
	}
	if err := os.MkdirAll(f.Folder, dirMode); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	if err := replaceFile(f.Folder, promptsName, promptsTemporary, b); err != nil {
		return fmt.Errorf("save prompts in quarantine: %w", err)
	}
	return nil
}

// Load returns what the file holds, nothing if there is none. If the clock has been
// set back since, the last loss counts as recent, and the times between losses stay.
func (f PromptFile) Load(now time.Time) (poison.Update, error) {
	var u poison.Update
	b, err := os.ReadFile(filepath.Join(f.Folder, promptsName))
	if errors.Is(err, fs.ErrNotExist) {
		return u, nil
	}
	if err != nil {
		return u, fmt.Errorf("read prompts in quarantine: %w", err)
	}
	var p storedPrompts
	if err := json.Unmarshal(b, &p); err != nil {
		return u, fmt.Errorf("decode prompts in quarantine: %w", err)
	}
	for _, l := range p.Losses {
		if l.At.After(now) {
			now = l.At
		}
	}
	u.Sound = p.Sound
	for _, l := range p.Losses {
		u.Losses = append(u.Losses, poison.Loss{
			Parts: l.Parts, Crash: poison.Crash{Backend: l.Backend, Epoch: l.Epoch}, Begun: l.Begun, Cleared: l.Cleared, Age: now.Sub(l.At),
		})
	}
	return u, nil
}
