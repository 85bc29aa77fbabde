// Package store keeps a control replica's log and snapshot in one data
// folder. What Write was given is there after any crash once Write has
// returned; a record that a crash tore is cut off, and damage anywhere else
// is refused.
package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/wire"
)

// ErrCorrupt is returned for a folder whose contents can't be trusted.
var ErrCorrupt = eris.New("data folder is damaged: remove the whole folder to let this VM come back as a new replica; do not restore a part of it")

// ErrEmpty is returned by Open for a folder without a replica.
var ErrEmpty = eris.New("data folder holds no replica")

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	identityName   = "identity"
	partSuffix     = ".part"
	// headerSize is the length and the checksum before each record, in bytes.
	headerSize = 8
	// maxRecord bounds a record in bytes, so that a damaged length shows.
	maxRecord = 1 << 30
	dirMode   = 0o700
	fileMode  = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Identity names a replica and its group.
type Identity struct {
	Group string
	ID    string
}

// Folder is an open data folder. Make it with Open or Create.
type Folder struct {
	path string
	// generation numbers the snapshot and the log that belongs to it.
	generation uint64
	log        *os.File
	identity   Identity
}

// Create makes a folder for a new replica that starts from r.
func Create(path string, id Identity, r raft.PersistentState) (*Folder, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Folder{path: path, identity: id}
	h := r.HardState
	if err := f.Write(repl.Write{HardState: &h, Snapshot: &r.Snapshot, Entries: r.Entries}); err != nil {
		return nil, err
	}
	// The identity comes last: a folder without it holds no replica.
	if err := f.replace(identityName, []byte(id.Group+"\n"+id.ID+"\n")); err != nil {
		return nil, fmt.Errorf("write identity: %w", err)
	}
	return f, nil
}

// Open opens a folder and returns what it holds.
func Open(path string) (*Folder, raft.PersistentState, error) {
	id, err := readIdentity(path)
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	f := &Folder{path: path, identity: id}
	r, err := f.restore()
	if err != nil {
		return nil, r, fmt.Errorf("open data folder %s: %w", path, err)
	}
	return f, r, nil
}

func readIdentity(path string) (Identity, error) {
	b, err := os.ReadFile(filepath.Join(path, identityName))
	if os.IsNotExist(err) {
		return Identity{}, ErrEmpty
	}
	if err != nil {
		return Identity{}, fmt.Errorf("read identity: %w", err)
	}
	group, id, ok := strings.Cut(strings.TrimSuffix(string(b), "\n"), "\n")
	if !ok || group == "" || id == "" {
		return Identity{}, fmt.Errorf("identity of %s: %w", path, ErrCorrupt)
	}
	return Identity{Group: group, ID: id}, nil
}

// Identity returns the replica's identity.
func (f *Folder) Identity() Identity { return f.identity }

func (f *Folder) name(prefix string, generation uint64) string {
	return filepath.Join(f.path, prefix+strconv.FormatUint(generation, 10))
}

// restore reads the newest snapshot and its log.
func (f *Folder) restore() (raft.PersistentState, error) {
	generation, err := f.newest()
	if err != nil {
		return raft.PersistentState{}, err
	}
	f.generation = generation
	var r raft.PersistentState
	if r.Snapshot, err = f.readSnapshot(); err != nil {
		return r, err
	}
	records, size, err := f.readLog()
	if err != nil {
		return r, err
	}
	for _, rec := range records {
		if err := replay(&r, rec); err != nil {
			return r, err
		}
	}
	if f.log, err = os.OpenFile(f.name(logPrefix, generation), os.O_RDWR, fileMode); err != nil {
		return r, fmt.Errorf("open log: %w", err)
	}
	if err := f.cut(size); err != nil {
		return r, err
	}
	return r, f.clean()
}

// newest returns the highest generation that has a snapshot.
func (f *Folder) newest() (uint64, error) {
	names, err := filepath.Glob(filepath.Join(f.path, snapshotPrefix+"*"))
	if err != nil {
		return 0, fmt.Errorf("list snapshots: %w", err)
	}
	newest := uint64(0)
	for _, n := range names {
		g, err := strconv.ParseUint(strings.TrimPrefix(filepath.Base(n), snapshotPrefix), 10, 64)
		if err == nil {
			newest = max(newest, g)
		}
	}
	if newest == 0 {
		return 0, fmt.Errorf("no snapshot: %w", ErrCorrupt)
	}
	return newest, nil
}

func (f *Folder) readSnapshot() (raft.Snapshot, error) {
	b, err := os.ReadFile(f.name(snapshotPrefix, f.generation))
	if err != nil {
		return raft.Snapshot{}, fmt.Errorf("read snapshot: %w", err)
	}
	payload, rest, ok := cutRecord(b)
	if !ok || len(rest) > 0 {
		return raft.Snapshot{}, fmt.Errorf("snapshot %d: %w", f.generation, ErrCorrupt)
	}
	var s wire.Snapshot
	if err := proto.Unmarshal(payload, &s); err != nil {
		return raft.Snapshot{}, fmt.Errorf("decode snapshot: %w: %w", err, ErrCorrupt)
	}
	return FromSnapshot(&s), nil
}

// readLog returns the log's records and the size of the part that is whole.
func (f *Folder) readLog() ([]*wire.LogRecord, int64, error) {
	b, err := os.ReadFile(f.name(logPrefix, f.generation))
	if err != nil {
		return nil, 0, fmt.Errorf("read log: %w: %w", err, ErrCorrupt)
	}
	var out []*wire.LogRecord
	rest := b
	for len(rest) > 0 {
		payload, after, ok := cutRecord(rest)
		if !ok {
			break
		}
		rec := new(wire.LogRecord)
		if err := proto.Unmarshal(payload, rec); err != nil {
			return nil, 0, fmt.Errorf("decode record: %w: %w", err, ErrCorrupt)
		}
		out = append(out, rec)
		rest = after
	}
	offset := int64(len(b) - len(rest))
	if holdsRecord(rest) {
		return nil, 0, fmt.Errorf("record at byte %d of log %d: %w", offset, f.generation, ErrCorrupt)
	}
	return out, offset, nil
}

// cutRecord splits the first record off, if it is whole.
func cutRecord(b []byte) (payload, rest []byte, ok bool) {
	if len(b) < headerSize {
		return nil, b, false
	}
	size := binary.LittleEndian.Uint32(b)
	if size == 0 || size > maxRecord || int(size) > len(b)-headerSize {
		return nil, b, false
	}
	payload = b[headerSize : headerSize+int(size)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, b, false
	}
	return payload, b[headerSize+int(size):], true
}

// holdsRecord reports whether a whole record begins anywhere behind the first
// byte. A write is synced before the next one begins, so behind a torn record
// there is none; behind a damaged one there may be.
func holdsRecord(b []byte) bool {
	for i := 1; i+headerSize < len(b); i++ {
		if _, _, ok := cutRecord(b[i:]); ok {
			return true
		}
	}
	return false
}

func replay(r *raft.PersistentState, rec *wire.LogRecord) error {
	if h := rec.GetHardState(); h != nil {
		r.HardState = raft.HardState{Term: h.GetTerm(), Vote: h.GetVote()}
	}
	entries := FromEntries(rec.GetEntries())
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	last := r.Snapshot.Index + uint64(len(r.Entries))
	if first <= r.Snapshot.Index || first > last+1 {
		return fmt.Errorf("entry %d after %d: %w", first, last, ErrCorrupt)
	}
	keep := first - r.Snapshot.Index - 1
	r.Entries = append(r.Entries[:keep:keep], entries...)
	return nil
}

// cut drops a torn record at the end.
func (f *Folder) cut(size int64) error {
	if err := f.log.Truncate(size); err != nil {
		return fmt.Errorf("cut torn record: %w", err)
	}
	if _, err := f.log.Seek(size, 0); err != nil {
		return fmt.Errorf("seek log: %w", err)
	}
	if err := f.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// clean removes what earlier or unfinished generations left.
func (f *Folder) clean() error {
	names, err := os.ReadDir(f.path)
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	keep := map[string]bool{
		identityName: true,
		filepath.Base(f.name(logPrefix, f.generation)):      true,
		filepath.Base(f.name(snapshotPrefix, f.generation)): true,
	}
	for _, n := range names {
		ours := strings.HasPrefix(n.Name(), logPrefix) || strings.HasPrefix(n.Name(), snapshotPrefix) || strings.HasSuffix(n.Name(), partSuffix)
		if !ours || keep[n.Name()] {
			continue
		}
		if err := os.Remove(filepath.Join(f.path, n.Name())); err != nil {
			return fmt.Errorf("remove old file: %w", err)
		}
	}
	return nil
}

// Write syncs w. After an error nothing more may be written: what reached the
// disk is not known.
func (f *Folder) Write(w repl.Write) error {
	record, err := encodeRecord(w)
	if err != nil {
		return err
	}
	if w.Snapshot != nil {
		return f.next(w.Snapshot, record)
	}
	if _, err := f.log.Write(record); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := f.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

func encodeRecord(w repl.Write) ([]byte, error) {
	rec := &wire.LogRecord{Entries: ToEntries(w.Entries)}
	if w.HardState != nil {
		rec.HardState = &wire.HardState{Term: w.HardState.Term, Vote: w.HardState.Vote}
	}
	payload, err := proto.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return frame(payload), nil
}

func frame(payload []byte) []byte {
	var b bytes.Buffer
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	b.Write(header[:])
	b.Write(payload)
	return b.Bytes()
}

// next begins a generation: its log first, then the snapshot, whose name is
// what makes the generation count.
func (f *Folder) next(s *raft.Snapshot, record []byte) error {
	payload, err := proto.Marshal(ToSnapshot(*s))
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	generation := f.generation + 1
	log, err := os.OpenFile(f.name(logPrefix, generation), os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	if len(record) > headerSize {
		if _, err := log.Write(record); err != nil {
			return fmt.Errorf("write log: %w", err)
		}
	}
	if err := log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	if err := f.replace(filepath.Base(f.name(snapshotPrefix, generation)), frame(payload)); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log = log
	f.generation = generation
	return f.clean()
}

// replace puts a file in place as a whole or not at all.
func (f *Folder) replace(name string, data []byte) error {
	part := filepath.Join(f.path, name+partSuffix)
	file, err := os.OpenFile(part, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := os.Rename(part, filepath.Join(f.path, name)); err != nil {
		return err
	}
	return f.syncDir()
}

func (f *Folder) syncDir() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Close closes the folder's files.
func (f *Folder) Close() error {
	if f.log == nil {
		return nil
	}
	return f.log.Close()
}
