package main

import (
	"context"
	"testing"

	"fuchsiafold.example/foldfake/soak"
)

// TestCancelledSeriesStartsNoSeed guards against a series that goes on with its seeds, and
// their processes, after it was told to end.
func TestCancelledSeriesStartsNoSeed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := &soakSeries{options: soak.Options{Folder: t.TempDir()}}
	_ = s.run(ctx, []uint64{1, 2, 3}, 1)
	if s.played != 0 {
		t.Errorf("%d seeds were played, want none", s.played)
	}
}
