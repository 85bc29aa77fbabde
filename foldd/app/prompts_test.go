package app_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
)

// TestQuarantineSurvivesRestartOfAll puts a part of a prompt in quarantine and kills
// the control VM and the entry VM that know of it.
func TestQuarantineSurvivesRestartOfAll(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	start := func(bootstrap bool) (control, entry *app.App) {
		control = startEntry(t, "c1", func(s *conf.Settings) { s.Control = &conf.Control{DataFolder: folder, Bootstrap: bootstrap} })
		entry = startEntry(t, "v1", func(s *conf.Settings) { s.Peers = append(s.Peers, control.Addrs().Peers) })
		return control, entry
	}
	quarantined := func(a *app.App) bool {
		_, ok := a.Node.GenerationQuarantine("advice-7b", []string{"sound", "bad"})
		return ok
	}
	control, entry := start(true)
	for i := range 3 {
		entry.Node.PromptLost([]string{"bad"}, member.Backend{ID: fmt.Sprint("e", i)}, true)
		time.Sleep(600 * time.Millisecond)
	}
	waitFor(t, "the control VM to know the quarantine", func() bool { return quarantined(control) })
	waitFor(t, "the control VM to save it", func() bool { return counter(control, "poison.saves") > 0 })
	entry.Close()
	control.Close()
	control, entry = start(false)
	waitFor(t, "the control VM to know the quarantine after its restart", func() bool { return quarantined(control) })
	waitFor(t, "the entry VM to know the quarantine after its restart", func() bool { return quarantined(entry) })
	entry.Node.PromptSurvived([]string{"bad"})
	waitFor(t, "the control VM to save that the part was cleared", func() bool { return counter(control, "poison.saves") > 0 })
	entry.Close()
	control.Close()
	control, _ = start(false)
	if quarantined(control) {
		t.Error("a part that was cleared is in quarantine after a restart")
	}
}
