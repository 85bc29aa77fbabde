package store_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/foldd/store"
)

var identity = store.Identity{Group: "g", ID: "vm1#1"}

func createFolder(t *testing.T, path string) *store.Folder {
	t.Helper()
	f, err := store.Create(path, identity, raft.Bootstrap(raft.Member{ID: "vm1#1", VM: "vm1"}))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func newEntry(index, term uint64, text string) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte(text)}
}

func mustWrite(t *testing.T, f *store.Folder, w repl.Write) {
	t.Helper()
	if err := f.Write(w); err != nil {
		t.Fatal(err)
	}
}

// logFile returns the path of the folder's only log.
func logFile(t *testing.T, path string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(path, "log-*"))
	if err != nil || len(names) != 1 {
		t.Fatalf("list logs: got %v, error %v, want one log", names, err)
	}
	return names[0]
}

// TestReopenReturnsWrittenState makes random writes, with a reopen after about
// one in six, and checks that Open returns the same state as a copy in memory.
func TestReopenReturnsWrittenState(t *testing.T) {
	for seed := range uint64(20) {
		path := t.TempDir()
		f := createFolder(t, path)
		want := raft.Bootstrap(raft.Member{ID: "vm1#1", VM: "vm1"})
		r := rand.New(rand.NewPCG(seed, 1))
		for step := range 60 {
			w := randomWrite(r, &want, step)
			mustWrite(t, f, w)
			if r.IntN(6) > 0 {
				continue
			}
			f.Close()
			g, got, err := store.Open(path)
			if err != nil {
				t.Fatalf("seed %d step %d: open: %v", seed, step, err)
			}
			if !equalStates(got, want) || g.Identity() != identity {
				t.Fatalf("seed %d step %d: got %+v, want %+v", seed, step, got, want)
			}
			f = g
		}
		f.Close()
	}
}

func equalStates(a, b raft.PersistentState) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// randomWrite returns a random write and applies it to the copy in memory,
// expected.
func randomWrite(r *rand.Rand, expected *raft.PersistentState, step int) repl.Write {
	var w repl.Write
	if r.IntN(3) == 0 {
		expected.HardState = raft.HardState{Term: expected.HardState.Term + 1, Vote: fmt.Sprint("r", r.IntN(3))}
		h := expected.HardState
		w.HardState = &h
	}
	last := expected.Snapshot.Index + uint64(len(expected.Entries))
	if r.IntN(8) == 0 && len(expected.Entries) > 0 {
		cut := 1 + r.IntN(len(expected.Entries))
		e := expected.Entries[cut-1]
		expected.Snapshot = raft.Snapshot{Index: e.Index, Term: e.Term, Membership: expected.Snapshot.Membership, Data: []byte(fmt.Sprint("state", step))}
		expected.Entries = append([]raft.Entry(nil), expected.Entries[cut:]...)
		whole := *expected
		return repl.Write{Replace: &whole}
	}
	// Some writes replace up to two of the last entries, as a new leader does.
	replaced := uint64(r.IntN(min(3, len(expected.Entries)+1)))
	first := last + 1 - replaced
	expected.Entries = expected.Entries[:len(expected.Entries)-int(replaced)]
	for i := range uint64(1 + r.IntN(3)) {
		e := newEntry(first+i, expected.HardState.Term, fmt.Sprint("step", step, i))
		expected.Entries = append(expected.Entries, e)
		w.Entries = append(w.Entries, e)
	}
	return w
}

// TestTornLastRecordIsDropped truncates the log at every byte of its last record,
// as a crash during a write does. Open must return the records before it, and
// the log must accept writes again.
func TestTornLastRecordIsDropped(t *testing.T) {
	path := t.TempDir()
	f := createFolder(t, path)
	mustWrite(t, f, repl.Write{Entries: []raft.Entry{newEntry(2, 1, "kept")}})
	before := fileSize(t, logFile(t, path))
	mustWrite(t, f, repl.Write{Entries: []raft.Entry{newEntry(3, 1, "torn")}})
	f.Close()
	contents, err := os.ReadFile(logFile(t, path))
	if err != nil {
		t.Fatal(err)
	}
	for cut := before; cut < int64(len(contents)); cut++ {
		if err := os.WriteFile(logFile(t, path), contents[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		g, r, err := store.Open(path)
		if err != nil {
			t.Fatalf("log truncated to %d bytes: open: %v", cut, err)
		}
		if len(r.Entries) != 1 || string(r.Entries[0].Data) != "kept" {
			t.Fatalf("log truncated to %d bytes: got entries %v, want only the first", cut, r.Entries)
		}
		mustWrite(t, g, repl.Write{Entries: []raft.Entry{newEntry(3, 1, "next")}})
		g.Close()
		if _, r, err = store.Open(path); err != nil || len(r.Entries) != 2 {
			t.Fatalf("log truncated to %d bytes, reopened after a write: got entries %v, error %v, want two entries", cut, r.Entries, err)
		}
	}
}

func fileSize(t *testing.T, name string) int64 {
	t.Helper()
	st, err := os.Stat(name)
	if err != nil {
		t.Fatal(err)
	}
	return st.Size()
}

// TestOpenRejectsDamagedLog flips a bit in each byte before the last record. Such
// damage must not be taken for a torn record, which would drop synced records.
func TestOpenRejectsDamagedLog(t *testing.T) {
	path := t.TempDir()
	f := createFolder(t, path)
	mustWrite(t, f, repl.Write{Entries: []raft.Entry{newEntry(2, 1, "first")}})
	lastOffset := fileSize(t, logFile(t, path))
	mustWrite(t, f, repl.Write{Entries: []raft.Entry{newEntry(3, 1, "last")}})
	f.Close()
	contents, err := os.ReadFile(logFile(t, path))
	if err != nil {
		t.Fatal(err)
	}
	for i := range lastOffset {
		damaged := append([]byte(nil), contents...)
		damaged[i] ^= 0x40
		if err := os.WriteFile(logFile(t, path), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := store.Open(path); !errors.Is(err, store.ErrCorrupt) {
			t.Fatalf("bit flipped in byte %d: got error %v, want ErrCorrupt", i, err)
		}
	}
}

func TestOpenRejectsMissingFiles(t *testing.T) {
	for _, name := range []string{"log-*", "snapshot-*"} {
		path := t.TempDir()
		createFolder(t, path).Close()
		matches, err := filepath.Glob(filepath.Join(path, name))
		if err != nil || len(matches) != 1 {
			t.Fatal(matches, err)
		}
		os.Remove(matches[0])
		if _, _, err := store.Open(path); !errors.Is(err, store.ErrCorrupt) {
			t.Errorf("folder without %s: got error %v, want ErrCorrupt", name, err)
		}
	}
	if _, _, err := store.Open(t.TempDir()); !errors.Is(err, store.ErrEmpty) {
		t.Errorf("empty folder: got error %v, want ErrEmpty", err)
	}
}

// TestReplicaWithoutStateIsReopened opens the folder of a replica that has joined and
// received nothing yet.
func TestReplicaWithoutStateIsReopened(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f, err := store.Create(path, store.Identity{Group: "g", ID: "r"}, raft.PersistentState{})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	f, state, err := store.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if f.Identity().ID != "r" || len(state.Entries) != 0 || state.Snapshot.Index != 0 {
		t.Errorf("identity %+v, state %+v; want an empty state", f.Identity(), state)
	}
}

// TestFolderWithPatternInItsPathOpens guards against a folder that is called damaged at the
// next start as its path holds characters of a file name pattern.
func TestFolderWithPatternInItsPathOpens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data[1]*?")
	if err := createFolder(t, path).Close(); err != nil {
		t.Fatal(err)
	}
	f, _, err := store.Open(path)
	if err != nil {
		t.Fatalf("open a folder that was just created: %v", err)
	}
	f.Close()
}
