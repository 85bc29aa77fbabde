package store_test

import (
	"os"
	"path/filepath"
	"testing"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/foldd/store"
)

// recorder copies a data folder at each step of a write, as a crash at that step would
// leave it.
type recorder struct {
	t      *testing.T
	folder string
	images []string
}

// recordDisk makes r copy its folder in the middle of each write and before each sync.
func (r *recorder) recordDisk() {
	write, sync := store.Disk.Write, store.Disk.Sync
	r.t.Cleanup(func() { store.Disk.Write, store.Disk.Sync = write, sync })
	store.Disk.Write = func(f *os.File, b []byte) error {
		if err := write(f, b[:len(b)/2]); err != nil {
			return err
		}
		r.copyFolder()
		return write(f, b[len(b)/2:])
	}
	store.Disk.Sync = func(f *os.File) error {
		r.copyFolder()
		return sync(f)
	}
}

func (r *recorder) copyFolder() {
	image := filepath.Join(r.t.TempDir(), "image")
	if err := os.CopyFS(image, os.DirFS(r.folder)); err != nil {
		r.t.Fatal(err)
	}
	r.images = append(r.images, image)
}

// TestCrashDuringWriteKeepsWholeState guards against a crash at some step of a write after
// which the folder holds neither the state before nor the state after it, such as the log
// of the one with the term of the other.
func TestCrashDuringWriteKeepsWholeState(t *testing.T) {
	member := raft.Member{ID: "a", VM: "a"}
	before := raft.Bootstrap(member)
	before.HardState = raft.HardState{Term: 7, Vote: "b"}
	before.Entries = []raft.Entry{{Index: 2, Term: 7, Data: []byte("before")}}
	received := raft.Snapshot{Index: 9, Term: 6, Membership: before.Snapshot.Membership, Data: []byte("received")}
	later := raft.HardState{Term: 8, Vote: "c"}
	added := raft.Entry{Index: 3, Term: 8, Data: []byte("added")}
	for _, tt := range []struct {
		name  string
		write repl.Write
		after raft.PersistentState
	}{
		{
			"snapshot",
			repl.Write{Replace: &raft.PersistentState{HardState: before.HardState, Snapshot: received}},
			raft.PersistentState{HardState: before.HardState, Snapshot: received},
		},
		{
			"snapshot and log",
			repl.Write{Replace: &raft.PersistentState{HardState: later, Snapshot: before.Snapshot, Entries: before.Entries}},
			raft.PersistentState{HardState: later, Snapshot: before.Snapshot, Entries: before.Entries},
		},
		{
			"hard state and entry",
			repl.Write{HardState: &later, Entries: []raft.Entry{added}},
			raft.PersistentState{HardState: later, Snapshot: before.Snapshot, Entries: append(before.Entries[:1:1], added)},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &recorder{t: t, folder: filepath.Join(t.TempDir(), "data")}
			f, err := store.Create(r.folder, identity, before)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			r.recordDisk()
			if err := f.Write(tt.write); err != nil {
				t.Fatal(err)
			}
			r.copyFolder()
			checkImages(t, r.images, before, tt.after)
		})
	}
}

// checkImages opens each image of a folder and checks that it holds the state before or,
// from some image on, the state after a write. The last one must hold the latter.
func checkImages(t *testing.T, images []string, before, after raft.PersistentState) {
	t.Helper()
	written := false
	for i, image := range images {
		f, got, err := store.Open(image)
		if err != nil {
			t.Errorf("image %d of %d: %v", i+1, len(images), err)
			continue
		}
		f.Close()
		switch {
		case equalStates(got, after):
			written = true
		case written || !equalStates(got, before):
			t.Errorf("image %d of %d holds %+v, want %+v or %+v, and not the former after the latter", i+1, len(images), got, before, after)
		}
	}
	if !written || len(images) < 3 {
		t.Errorf("the last of %d images holds the state before the write", len(images))
	}
}
