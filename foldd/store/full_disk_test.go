package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/foldd/store"
)

// fullDisk counts the operations that a full disk refuses, and refuses those from first on,
// some in a row. A write that is refused keeps half of its bytes.
type fullDisk struct {
	first, refusals int
	count           int
}

// refuse counts an operation and returns an error if the disk is full.
func (d *fullDisk) refuse(op, path string) error {
	d.count++
	if d.count < d.first || d.count >= d.first+d.refusals {
		return nil
	}
	return &os.PathError{Op: op, Path: path, Err: syscall.ENOSPC}
}

// install makes all folders use the disk until the test ends. A failing disk refuses every
// operation, a full one writes only.
func (d *fullDisk) install(t *testing.T, failing bool) {
	disk := store.Disk
	t.Cleanup(func() { store.Disk = disk })
	store.Disk.Write = func(f *os.File, b []byte) error {
		if full := d.refuse("write", f.Name()); full != nil {
			if err := disk.Write(f, b[:len(b)/2]); err != nil {
				return err
			}
			return full
		}
		return disk.Write(f, b)
	}
	if !failing {
		return
	}
	store.Disk.ReadFile = func(path string) ([]byte, error) {
		if err := d.refuse("read", path); err != nil {
			return nil, err
		}
		return disk.ReadFile(path)
	}
	store.Disk.Create = func(path string) (*os.File, error) {
		if err := d.refuse("open", path); err != nil {
			return nil, err
		}
		return disk.Create(path)
	}
	store.Disk.Sync = func(f *os.File) error {
		if err := d.refuse("sync", f.Name()); err != nil {
			return err
		}
		return disk.Sync(f)
	}
	store.Disk.Truncate = func(f *os.File, size int64) error {
		if err := d.refuse("truncate", f.Name()); err != nil {
			return err
		}
		return disk.Truncate(f, size)
	}
	store.Disk.Rename = func(from, to string) error {
		if err := d.refuse("rename", from); err != nil {
			return err
		}
		return disk.Rename(from, to)
	}
	store.Disk.Remove = func(path string) error {
		if err := d.refuse("remove", path); err != nil {
			return err
		}
		return disk.Remove(path)
	}
}

// step is a write in the life of a folder, and the state that the folder holds after it.
type step struct {
	write repl.Write
	after raft.PersistentState
}

// folderLife returns the writes of a folder from its first state on: records of entries and
// of hard states, and new generations.
func folderLife() (first raft.PersistentState, steps []step) {
	first = raft.Bootstrap(raft.Member{ID: "vm1#1", VM: "vm1"})
	state := first
	add := func(w repl.Write) { steps = append(steps, step{write: w, after: state}) }
	appendEntry := func(text string) {
		e := newEntry(state.Snapshot.Index+uint64(len(state.Entries))+1, state.HardState.Term, text)
		state.Entries = append(slices.Clone(state.Entries), e)
		add(repl.Write{Entries: []raft.Entry{e}})
	}
	vote := func() {
		state.HardState = raft.HardState{Term: state.HardState.Term + 1, Vote: "b"}
		h := state.HardState
		add(repl.Write{HardState: &h})
	}
	startGeneration := func() {
		covered := state.Entries[0]
		state.Snapshot = raft.Snapshot{Index: covered.Index, Term: covered.Term, Membership: state.Snapshot.Membership, Data: []byte("state")}
		state.Entries = slices.Clone(state.Entries[1:])
		whole := state
		add(repl.Write{Replace: &whole})
	}
	appendEntry("first")
	vote()
	appendEntry("second")
	startGeneration()
	appendEntry("third")
	startGeneration()
	vote()
	return first, steps
}

// maxReopens is how often a folder is opened again while its disk is full.
const maxReopens = 100

// openWhenFull opens a folder, or creates it, again and again until the disk has room, as
// foldd does.
func openWhenFull(t *testing.T, path string, first raft.PersistentState) (*store.Folder, raft.PersistentState) {
	t.Helper()
	for range maxReopens {
		f, state, err := store.Open(path)
		if errors.Is(err, store.ErrEmpty) {
			f, err = store.Create(path, identity, first)
			state = first
		}
		if err == nil {
			return f, state
		}
		if !store.DiskFailed(err) || errors.Is(err, store.ErrCorrupt) {
			t.Fatalf("open on a full disk: %v, want an error of the disk", err)
		}
	}
	t.Fatal("the folder never opens")
	return nil, raft.PersistentState{}
}

// live plays the life of a folder. After a write that failed the folder is opened again, and
// the write repeated if it was lost. The process restarts after each second write.
func live(t *testing.T, path string) {
	t.Helper()
	first, steps := folderLife()
	f, state := openWhenFull(t, path, first)
	before := first
	for i, s := range steps {
		for !equalStates(state, s.after) {
			if !equalStates(state, before) {
				t.Fatalf("step %d: the folder holds %+v, want %+v or %+v", i, state, before, s.after)
			}
			if err := f.Write(s.write); err == nil {
				state = s.after
				continue
			}
			f.Close()
			f, state = openWhenFull(t, path, first)
		}
		before = s.after
		if i%2 == 1 {
			f.Close()
			f, state = openWhenFull(t, path, first)
		}
	}
	f.Close()
}

// savePromptsWhenFull saves prompts again and again until the disk has room.
func savePromptsWhenFull(t *testing.T, folder string) {
	t.Helper()
	loss := poison.Loss{Parts: []string{"part"}, Crash: poison.Crash{Backend: "b", Epoch: 1}}
	for range maxReopens {
		err := store.PromptFile{Folder: folder}.Save(time.Now(), poison.Update{Losses: []poison.Loss{loss}})
		if err == nil {
			return
		}
		if !store.DiskFailed(err) {
			t.Fatalf("save on a full disk: %v, want an error of the disk", err)
		}
	}
	t.Fatal("the prompts are never saved")
}

// TestFolderOutlivesFullDisk guards against a folder that is unreadable, or has lost a write,
// because the disk was full, or failed, at some operation.
func TestFolderOutlivesFullDisk(t *testing.T) {
	for _, failing := range []bool{false, true} {
		operations := outliveFullDisk(t, failing, 1, 0)
		for first := 1; first <= operations; first++ {
			for _, refusals := range []int{1, 2, 3, 10} {
				t.Run(fmt.Sprintf("failing %v, %d from %d on", failing, refusals, first), func(t *testing.T) {
					outliveFullDisk(t, failing, first, refusals)
				})
			}
		}
	}
}

// outliveFullDisk plays the life of a folder on a disk that refuses some operations, checks
// the folder, and returns the number of operations.
func outliveFullDisk(t *testing.T, failing bool, first, refusals int) int {
	path := filepath.Join(t.TempDir(), "data")
	d := &fullDisk{first: first, refusals: refusals}
	disk := store.Disk
	d.install(t, failing)
	live(t, path)
	savePromptsWhenFull(t, path)
	store.Disk = disk
	checkFolder(t, path)
	return d.count
}

// checkFolder checks that a folder holds the state at the end of its life and no other file,
// and takes a write.
func checkFolder(t *testing.T, path string) {
	t.Helper()
	_, steps := folderLife()
	want := steps[len(steps)-1].after
	f, got, err := store.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !equalStates(got, want) {
		t.Errorf("the folder holds %+v, want %+v", got, want)
	}
	if names, err := os.ReadDir(path); err != nil || len(names) != 4 {
		t.Errorf("files %v, error %v; want the identity, a log, a snapshot and the prompts", names, err)
	}
	mustWrite(t, f, repl.Write{Entries: []raft.Entry{newEntry(want.Snapshot.Index+uint64(len(want.Entries))+1, want.HardState.Term, "next")}})
	if u, err := (store.PromptFile{Folder: path}).Load(time.Now()); err != nil || len(u.Losses) != 1 {
		t.Errorf("prompts %+v, error %v; want one loss", u, err)
	}
}

// TestFailedOpenLeavesNoFileOpen guards against a control VM that has no descriptors left
// after its replica could not start for long.
func TestFailedOpenLeavesNoFileOpen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	var opened []*os.File
	disk := store.Disk
	t.Cleanup(func() { store.Disk = disk })
	store.Disk.Create = func(path string) (*os.File, error) {
		f, err := disk.Create(path)
		opened = append(opened, f)
		return f, err
	}
	store.Disk.Sync = func(f *os.File) error {
		opened = append(opened, f)
		return disk.Sync(f)
	}
	store.Disk.Rename = func(from, to string) error {
		if filepath.Base(to) != "identity" {
			return disk.Rename(from, to)
		}
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: syscall.ENOSPC}
	}
	if f, err := store.Create(path, identity, raft.PersistentState{}); err == nil {
		t.Error("a folder was created whose identity can't be written", f)
	}
	store.Disk.Rename = disk.Rename
	createFolder(t, path).Close()
	if err := os.WriteFile(filepath.Join(path, "stale.part"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	store.Disk.Remove = func(path string) error { return &os.PathError{Op: "remove", Path: path, Err: syscall.EIO} }
	if _, _, err := store.Open(path); err == nil {
		t.Error("a folder was opened whose stale files can't be removed")
	}
	for _, f := range opened {
		if _, err := f.Stat(); !errors.Is(err, os.ErrClosed) {
			t.Errorf("%s is still open", filepath.Base(f.Name()))
		}
	}
}

// TestFolderTakesNoWriteAfterFailedWrite guards against a complete record behind a torn one,
// which makes the folder unreadable.
func TestFolderTakesNoWriteAfterFailedWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := createFolder(t, path)
	defer f.Close()
	d := &fullDisk{first: 1, refusals: 1}
	d.install(t, false)
	if err := f.Write(repl.Write{Entries: []raft.Entry{newEntry(2, 1, "refused")}}); err == nil {
		t.Fatal("a full disk took a write")
	}
	err := f.Write(repl.Write{Entries: []raft.Entry{newEntry(2, 1, "next")}})
	if !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("write after a failed one: error %v, want that of the failed one", err)
	}
	g, state, err := store.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	if len(state.Entries) != 0 {
		t.Errorf("the folder holds %v, want no entry", state.Entries)
	}
}
