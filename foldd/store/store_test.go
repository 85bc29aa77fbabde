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

func create(t *testing.T, path string) *store.Folder {
	t.Helper()
	f, err := store.Create(path, identity, raft.Bootstrap(raft.Member{ID: "vm1#1", VM: "vm1"}))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func entry(index, term uint64, text string) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte(text)}
}

func write(t *testing.T, f *store.Folder, w repl.Write) {
	t.Helper()
	if err := f.Write(w); err != nil {
		t.Fatal(err)
	}
}

// logFile returns the newest log of a folder.
func logFile(t *testing.T, path string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(path, "log-*"))
	if err != nil || len(names) != 1 {
		t.Fatalf("logs %v, error %v", names, err)
	}
	return names[0]
}

// TestAgainstMemory writes at random and reopens now and then: what comes
// back is what a plain copy in memory holds.
func TestAgainstMemory(t *testing.T) {
	for seed := range uint64(20) {
		path := t.TempDir()
		f := create(t, path)
		want := raft.Bootstrap(raft.Member{ID: "vm1#1", VM: "vm1"})
		r := rand.New(rand.NewPCG(seed, 1))
		for step := range 60 {
			w := randomWrite(r, &want, step)
			write(t, f, w)
			if r.IntN(6) > 0 {
				continue
			}
			f.Close()
			g, got, err := store.Open(path)
			if err != nil {
				t.Fatalf("seed %d step %d: %v", seed, step, err)
			}
			if !same(got, want) || g.Identity() != identity {
				t.Fatalf("seed %d step %d: got %+v, want %+v", seed, step, got, want)
			}
			f = g
		}
		f.Close()
	}
}

func same(a, b raft.PersistentState) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// randomWrite makes a write and applies it to the copy in memory.
func randomWrite(r *rand.Rand, m *raft.PersistentState, step int) repl.Write {
	var w repl.Write
	if r.IntN(3) == 0 {
		m.HardState = raft.HardState{Term: m.HardState.Term + 1, Vote: fmt.Sprint("r", r.IntN(3))}
		h := m.HardState
		w.HardState = &h
	}
	last := m.Snapshot.Index + uint64(len(m.Entries))
	if r.IntN(8) == 0 && len(m.Entries) > 0 {
		cut := 1 + r.IntN(len(m.Entries))
		e := m.Entries[cut-1]
		m.Snapshot = raft.Snapshot{Index: e.Index, Term: e.Term, Membership: m.Snapshot.Membership, Data: []byte(fmt.Sprint("state", step))}
		m.Entries = append([]raft.Entry(nil), m.Entries[cut:]...)
		s, h := m.Snapshot, m.HardState
		return repl.Write{Snapshot: &s, HardState: &h, Entries: m.Entries}
	}
	// Some writes replace the last entries.
	back := uint64(r.IntN(min(3, len(m.Entries)+1)))
	first := last + 1 - back
	m.Entries = m.Entries[:len(m.Entries)-int(back)]
	for i := range uint64(1 + r.IntN(3)) {
		e := entry(first+i, m.HardState.Term, fmt.Sprint("step", step, i))
		m.Entries = append(m.Entries, e)
		w.Entries = append(w.Entries, e)
	}
	return w
}

// TestTornTail cuts the log at every byte of its last record: the records
// before it come back.
func TestTornTail(t *testing.T) {
	path := t.TempDir()
	f := create(t, path)
	write(t, f, repl.Write{Entries: []raft.Entry{entry(2, 1, "kept")}})
	before := size(t, logFile(t, path))
	write(t, f, repl.Write{Entries: []raft.Entry{entry(3, 1, "torn")}})
	f.Close()
	whole, err := os.ReadFile(logFile(t, path))
	if err != nil {
		t.Fatal(err)
	}
	for cut := before; cut < int64(len(whole)); cut++ {
		if err := os.WriteFile(logFile(t, path), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		g, r, err := store.Open(path)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if len(r.Entries) != 1 || string(r.Entries[0].Data) != "kept" {
			t.Fatalf("cut at %d: entries %v", cut, r.Entries)
		}
		write(t, g, repl.Write{Entries: []raft.Entry{entry(3, 1, "next")}})
		g.Close()
		if _, r, err = store.Open(path); err != nil || len(r.Entries) != 2 {
			t.Fatalf("cut at %d, after a write: %v, %v", cut, r.Entries, err)
		}
	}
}

func size(t *testing.T, name string) int64 {
	t.Helper()
	st, err := os.Stat(name)
	if err != nil {
		t.Fatal(err)
	}
	return st.Size()
}

// TestDamageIsRefused flips each byte before the last record.
func TestDamageIsRefused(t *testing.T) {
	path := t.TempDir()
	f := create(t, path)
	write(t, f, repl.Write{Entries: []raft.Entry{entry(2, 1, "first")}})
	last := size(t, logFile(t, path))
	write(t, f, repl.Write{Entries: []raft.Entry{entry(3, 1, "last")}})
	f.Close()
	whole, err := os.ReadFile(logFile(t, path))
	if err != nil {
		t.Fatal(err)
	}
	for i := range last {
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 0x40
		if err := os.WriteFile(logFile(t, path), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := store.Open(path); !errors.Is(err, store.ErrCorrupt) {
			t.Fatalf("byte %d: %v, want ErrDamaged", i, err)
		}
	}
}

func TestMissingParts(t *testing.T) {
	for _, name := range []string{"log-*", "snapshot-*"} {
		path := t.TempDir()
		create(t, path).Close()
		parts, err := filepath.Glob(filepath.Join(path, name))
		if err != nil || len(parts) != 1 {
			t.Fatal(parts, err)
		}
		os.Remove(parts[0])
		if _, _, err := store.Open(path); !errors.Is(err, store.ErrCorrupt) {
			t.Errorf("without %s: %v, want ErrDamaged", name, err)
		}
	}
	if _, _, err := store.Open(t.TempDir()); !errors.Is(err, store.ErrEmpty) {
		t.Errorf("an empty folder: %v, want ErrEmpty", err)
	}
}
