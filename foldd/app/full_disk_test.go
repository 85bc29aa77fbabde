package app_test

import (
	"context"
	"encoding/json"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// TestFullDiskIsReportedAndGoesBy guards against a control VM that does not say since when its
// disk has been full, or needs a restart of its process once there is room.
func TestFullDiskIsReportedAndGoesBy(t *testing.T) {
	var full atomic.Bool
	disk := store.Disk
	t.Cleanup(func() { store.Disk = disk })
	store.Disk.Write = func(f *os.File, b []byte) error {
		if full.Load() {
			return &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
		}
		return disk.Write(f, b)
	}
	folder := t.TempDir()
	control := startEntry(t, "c1", func(s *conf.Settings) { s.Control = &conf.Control{DataFolder: folder, Bootstrap: true} })
	lines := test.NewLocal(control.Node.Log)
	waitFor(t, "a change to be confirmed", func() bool { return applyVersion(t, control, 10) })
	full.Store(true)
	waitFor(t, "a second write to be refused", func() bool {
		applyVersion(t, control, 11)
		return counter(control, "control.writesFailed") > 1
	})
	full.Store(false)
	waitFor(t, "a change to be confirmed again", func() bool { return applyVersion(t, control, 12) })
	const refused, again = "data folder refuses writes; starting the control replica again until it takes them", "data folder takes writes again"
	found := map[string]int{}
	for _, e := range lines.AllEntries() {
		found[e.Message]++
		if (e.Message == refused || e.Message == again) && e.Data["path"] != folder {
			t.Errorf("line %q with the fields %v, want path %s", e.Message, e.Data, folder)
		}
	}
	if found[refused] != 1 || found[again] != 1 {
		t.Errorf("%d lines %q and %d lines %q, want one of each", found[refused], refused, found[again], again)
	}
}

// applyVersion reports whether a version of the configuration is confirmed.
func applyVersion(t *testing.T, a *app.App, version uint64) bool {
	t.Helper()
	document, err := json.Marshal(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = a.ControlClient().Apply(ctx, &wire.ApplyRequest{Version: version, Document: document})
	return err == nil
}
