package store_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/foldd/store"
)

// diskSize is the size in bytes of the smallest disk of a control VM.
const diskSize = 128_000_000

// watchSize makes each write and sync check that the files of a folder fit on the smallest
// disk. Nothing is synced.
func watchSize(t *testing.T, folder string) {
	write, sync := store.Disk.Write, store.Disk.Sync
	t.Cleanup(func() { store.Disk.Write, store.Disk.Sync = write, sync })
	store.Disk.Write = func(f *os.File, b []byte) error {
		if size := folderSize(t, folder) + len(b); size > diskSize {
			return fmt.Errorf("folder of %d bytes, want at most %d", size, diskSize)
		}
		return write(f, b)
	}
	store.Disk.Sync = func(*os.File) error { return nil }
}

// folderSize returns the size of all files of a folder in bytes.
func folderSize(t *testing.T, folder string) int {
	t.Helper()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	for _, f := range files {
		size += int(fileSize(t, filepath.Join(folder, f.Name())))
	}
	return size
}

// TestLargeConfigurationsFitOnSmallDisk guards against a folder that grows with each
// configuration until the disk is full: the old generation and one that is being written
// have to fit at any time.
func TestLargeConfigurationsFitOnSmallDisk(t *testing.T) {
	for _, tt := range []struct{ changes, documentSize int }{
		{600, 190_000},
		{16, state.MaxDocumentBytes},
	} {
		t.Run(fmt.Sprintf("%d of %d bytes", tt.changes, tt.documentSize), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "data")
			f := createFolder(t, path)
			defer f.Close()
			watchSize(t, path)
			if err := applyDocuments(f, tt.changes, tt.documentSize); err != nil {
				t.Error(err)
			}
		})
	}
}

// applyDocuments puts configurations in force in a group of one replica with folder f.
func applyDocuments(f *store.Folder, changes, documentSize int) error {
	now := time.Unix(3, 0)
	options := raft.Options{ID: identity.ID, Random: rand.New(rand.NewPCG(1, 1))}
	r, err := repl.New(now, repl.Options{Raft: options}, raft.Bootstrap(raft.Member{ID: identity.ID, VM: "vm1"}))
	if err != nil {
		return err
	}
	r.Tick(now)
	document := make([]byte, documentSize)
	for version := range uint64(changes) {
		r.Submit(now, version, state.Command{ApplyConfig: &state.ApplyConfig{Version: version + 1, Document: document}})
		for out := r.Output(); !out.Empty(); out = r.Output() {
			if out.Write.Empty() {
				continue
			}
			if err := f.Write(out.Write); err != nil {
				return fmt.Errorf("version %d: %w", version+1, err)
			}
			r.Persisted(out.Write)
		}
	}
	if got := r.Machine().Revision(); got != uint64(changes) {
		return fmt.Errorf("version %d in force, want %d", got, changes)
	}
	return nil
}
