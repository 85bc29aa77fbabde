// Package store keeps a control replica's log and snapshot in one data folder.
// Once Write has returned without an error, its data survives any crash. Open
// drops a torn record, which is one that a crash left incomplete at the end of the
// log, and reports any other damage as ErrCorrupt.
//
// Each new snapshot starts a new generation of files, which are numbered: the
// snapshot and the log of what follows it.
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

// ErrCorrupt is returned for a folder that is damaged or incomplete.
var ErrCorrupt = eris.New("data folder is damaged: remove the whole folder so that this VM joins as a new replica; do not restore only a part of it")

// ErrEmpty is returned by Open for a folder that doesn't contain a replica.
var ErrEmpty = eris.New("data folder holds no replica")

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	identityName   = "identity"
	partSuffix     = ".part"
	// headerSize is the size in bytes of the header before each record: the
	// payload's length and its checksum, four bytes each, little endian.
	headerSize = 8
	// maxRecordSize limits a record's payload in bytes, so that a damaged
	// length field is detected.
	maxRecordSize = 1 << 30
	dirMode       = 0o700
	fileMode      = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Identity identifies a replica and its group.
type Identity struct {
	Group string
	ID    string
}

// Folder is an open data folder, returned by Open or Create. It is not safe for
// concurrent use.
type Folder struct {
	path string
	// generation is the number in the file names of the current snapshot and of
	// the log that follows it.
	generation uint64
	log        *os.File
	identity   Identity
	// failed is the error of the first write that failed, nil before it.
	failed error
}

// Create creates a folder for a new replica whose initial state is r.
func Create(path string, id Identity, r raft.PersistentState) (*Folder, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	f := &Folder{path: path, identity: id}
	if err := f.Write(repl.Write{Replace: &r}); err != nil {
		f.Close()
		return nil, err
	}
	// The identity is written last, because Open treats a folder without it as
	// empty: a crash during Create leaves no half-created replica.
	if err := f.replaceFile(identityName, []byte(id.Group+"\n"+id.ID+"\n")); err != nil {
		f.Close()
		return nil, fmt.Errorf("write identity: %w", err)
	}
	return f, nil
}

// Open opens a folder and returns the state stored in it. The error is ErrEmpty
// for a folder without a replica, and wraps ErrCorrupt for a damaged folder.
func Open(path string) (*Folder, raft.PersistentState, error) {
	id, err := readIdentity(path)
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	f := &Folder{path: path, identity: id}
	r, err := f.restore()
	if err != nil {
		f.Close()
		return nil, r, fmt.Errorf("open data folder %s: %w", path, err)
	}
	return f, r, nil
}

func readIdentity(path string) (Identity, error) {
	b, err := Disk.ReadFile(filepath.Join(path, identityName))
	if os.IsNotExist(err) {
		return Identity{}, ErrEmpty
	}
	if err != nil {
		return Identity{}, fmt.Errorf("read identity: %w", err)
	}
	group, id, ok := strings.Cut(strings.TrimSuffix(string(b), "\n"), "\n")
	if !ok || group == "" || id == "" {
		return Identity{}, fmt.Errorf("parse identity of %s: %w", path, ErrCorrupt)
	}
	return Identity{Group: group, ID: id}, nil
}

// Identity returns the replica's identity.
func (f *Folder) Identity() Identity { return f.identity }

func (f *Folder) filePath(prefix string, generation uint64) string {
	return filepath.Join(f.path, prefix+strconv.FormatUint(generation, 10))
}

// restore reads the newest snapshot and its log, drops a torn last record, opens
// the log for appending and removes stale files.
func (f *Folder) restore() (raft.PersistentState, error) {
	generation, err := f.newestGeneration()
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
		if err := applyRecord(&r, rec); err != nil {
			return r, err
		}
	}
	if f.log, err = os.OpenFile(f.filePath(logPrefix, generation), os.O_RDWR, fileMode); err != nil {
		return r, fmt.Errorf("open log: %w", err)
	}
	if err := f.truncateLog(size); err != nil {
		return r, err
	}
	return r, f.removeStaleFiles()
}

// newestGeneration returns the highest generation that has a snapshot, or an
// error that wraps ErrCorrupt if there is none.
func (f *Folder) newestGeneration() (uint64, error) {
	names, err := filepath.Glob(filepath.Join(f.path, snapshotPrefix+"*"))
	if err != nil {
		return 0, fmt.Errorf("list snapshots: %w", err)
	}
	highest := uint64(0)
	for _, n := range names {
		g, err := strconv.ParseUint(strings.TrimPrefix(filepath.Base(n), snapshotPrefix), 10, 64)
		if err == nil {
			highest = max(highest, g)
		}
	}
	if highest == 0 {
		return 0, fmt.Errorf("no snapshot: %w", ErrCorrupt)
	}
	return highest, nil
}

func (f *Folder) readSnapshot() (raft.Snapshot, error) {
	b, err := Disk.ReadFile(f.filePath(snapshotPrefix, f.generation))
	if err != nil {
		return raft.Snapshot{}, fmt.Errorf("read snapshot: %w", err)
	}
	if bytes.Equal(b, frameRecord(nil)) {
		// The snapshot of a replica that has received nothing yet.
		return raft.Snapshot{}, nil
	}
	payload, rest, ok := splitRecord(b)
	if !ok || len(rest) > 0 {
		return raft.Snapshot{}, fmt.Errorf("snapshot %d: %w", f.generation, ErrCorrupt)
	}
	var s wire.Snapshot
	if err := proto.Unmarshal(payload, &s); err != nil {
		return raft.Snapshot{}, fmt.Errorf("decode snapshot: %w: %w", err, ErrCorrupt)
	}
	return FromSnapshot(&s), nil
}

// readLog returns the log's records and the size in bytes of the log up to the
// end of the last complete record.
func (f *Folder) readLog() ([]*wire.LogRecord, int64, error) {
	b, err := Disk.ReadFile(f.filePath(logPrefix, f.generation))
	if os.IsNotExist(err) {
		return nil, 0, fmt.Errorf("read log: %w: %w", err, ErrCorrupt)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read log: %w", err)
	}
	var out []*wire.LogRecord
	rest := b
	for len(rest) > 0 {
		payload, after, ok := splitRecord(rest)
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
	if containsRecord(rest) {
		return nil, 0, fmt.Errorf("record at byte %d of log %d: %w", offset, f.generation, ErrCorrupt)
	}
	return out, offset, nil
}

// splitRecord returns the payload of the first record and the bytes after the
// record. If the first record is incomplete or damaged, ok is false and rest
// is b.
func splitRecord(b []byte) (payload, rest []byte, ok bool) {
	if len(b) < headerSize {
		return nil, b, false
	}
	size := binary.LittleEndian.Uint32(b)
	if size == 0 || size > maxRecordSize || int(size) > len(b)-headerSize {
		return nil, b, false
	}
	payload = b[headerSize : headerSize+int(size)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, b, false
	}
	return payload, b[headerSize+int(size):], true
}

// containsRecord reports whether a complete record starts anywhere after the
// first byte of b. It tells a torn record from a damaged one: each write is
// synced before the next one starts, so no complete record can follow a torn
// record, but one may follow a damaged record.
func containsRecord(b []byte) bool {
	for i := 1; i+headerSize < len(b); i++ {
		if _, _, ok := splitRecord(b[i:]); ok {
			return true
		}
	}
	return false
}

func applyRecord(r *raft.PersistentState, rec *wire.LogRecord) error {
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
		return fmt.Errorf("log entry %d follows entry %d: %w", first, last, ErrCorrupt)
	}
	keep := first - r.Snapshot.Index - 1
	r.Entries = append(r.Entries[:keep:keep], entries...)
	return nil
}

// truncateLog truncates the log to size bytes, which drops a torn last record,
// and syncs it.
func (f *Folder) truncateLog(size int64) error {
	if err := Disk.Truncate(f.log, size); err != nil {
		return fmt.Errorf("truncate torn record: %w", err)
	}
	if _, err := f.log.Seek(size, 0); err != nil {
		return fmt.Errorf("seek log: %w", err)
	}
	if err := Disk.Sync(f.log); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// removeStaleFiles removes the files of earlier generations, of generations
// whose snapshot was not completed, and temporary files. It leaves files that
// this package doesn't create.
func (f *Folder) removeStaleFiles() error {
	names, err := os.ReadDir(f.path)
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	keep := map[string]bool{
		identityName: true,
		filepath.Base(f.filePath(logPrefix, f.generation)):      true,
		filepath.Base(f.filePath(snapshotPrefix, f.generation)): true,
	}
	for _, n := range names {
		managed := strings.HasPrefix(n.Name(), logPrefix) || strings.HasPrefix(n.Name(), snapshotPrefix) || strings.HasSuffix(n.Name(), partSuffix)
		if !managed || keep[n.Name()] {
			continue
		}
		if err := Disk.Remove(filepath.Join(f.path, n.Name())); err != nil {
			return fmt.Errorf("remove stale file: %w", err)
		}
	}
	return nil
}

// Write writes w and syncs it to the disk. After a write that failed, every further one
// fails with its error: how much of it reached the disk is unknown until the folder is opened
// again.
func (f *Folder) Write(w repl.Write) error {
	if f.failed == nil {
		f.failed = f.write(w)
	}
	return f.failed
}

func (f *Folder) write(w repl.Write) error {
	if w.Replace != nil {
		return f.startGeneration(w.Replace)
	}
	record, err := encodeRecord(w.HardState, w.Entries)
	if err != nil {
		return err
	}
	return writeSynced(f.log, record)
}

// writeSynced writes to a file and syncs it.
func writeSynced(f *os.File, b []byte) error {
	if err := Disk.Write(f, b); err != nil {
		return fmt.Errorf("write %s: %w", filepath.Base(f.Name()), err)
	}
	if err := Disk.Sync(f); err != nil {
		return fmt.Errorf("sync %s: %w", filepath.Base(f.Name()), err)
	}
	return nil
}

// encodeRecord returns a record of the log. h is nil if the record does not change the
// hard state.
func encodeRecord(h *raft.HardState, entries []raft.Entry) ([]byte, error) {
	rec := &wire.LogRecord{Entries: ToEntries(entries)}
	if h != nil {
		rec.HardState = &wire.HardState{Term: h.Term, Vote: h.Vote}
	}
	payload, err := proto.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return frameRecord(payload), nil
}

func frameRecord(payload []byte) []byte {
	var b bytes.Buffer
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	b.Write(header[:])
	b.Write(payload)
	return b.Bytes()
}

// startGeneration writes the log and the snapshot of a new generation, which hold the
// whole state r: Open reads nothing of earlier generations. The snapshot comes last,
// because its file name is what makes the generation valid for Open.
func (f *Folder) startGeneration(r *raft.PersistentState) error {
	record, err := encodeRecord(&r.HardState, r.Entries)
	if err != nil {
		return err
	}
	payload, err := proto.Marshal(ToSnapshot(r.Snapshot))
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	generation := f.generation + 1
	log, err := Disk.Create(f.filePath(logPrefix, generation))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	if err := writeSynced(log, record); err != nil {
		log.Close()
		return err
	}
	if err := f.replaceFile(filepath.Base(f.filePath(snapshotPrefix, generation)), frameRecord(payload)); err != nil {
		log.Close()
		return fmt.Errorf("write snapshot: %w", err)
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log = log
	f.generation = generation
	return f.removeStaleFiles()
}

// replaceFile writes a file of the folder atomically.
func (f *Folder) replaceFile(name string, data []byte) error {
	return replaceFile(f.path, name, name+partSuffix, data)
}

// replaceFile writes a file atomically: it writes and syncs the file temporary,
// renames it to name and syncs the folder.
func replaceFile(folder, name, temporary string, data []byte) error {
	part := filepath.Join(folder, temporary)
	file, err := Disk.Create(part)
	if err != nil {
		return err
	}
	if err := writeSynced(file, data); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := Disk.Rename(part, filepath.Join(folder, name)); err != nil {
		return err
	}
	return syncDir(folder)
}

func syncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return Disk.Sync(d)
}

// Close closes the folder's files.
func (f *Folder) Close() error {
	if f.log == nil {
		return nil
	}
	return f.log.Close()
}
