package ctrl

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// diskRestartDelay is how long foldd waits before it starts a control replica again.
const diskRestartDelay = 300 * time.Millisecond

// refusalTime is how long a full disk takes to refuse a write.
const refusalTime = 100 * time.Millisecond

// fullDisks holds the data folders whose disks are full. A write to one of them keeps half
// of its bytes and fails after refusalTime.
type fullDisks struct {
	mu   sync.Mutex
	full map[string]bool
}

// newFullDisks replaces the disk of all folders until the test ends. A strict disk that is
// full also refuses to create, rename, truncate, sync and remove files.
func newFullDisks(t *testing.T, strict bool) *fullDisks {
	d := &fullDisks{full: map[string]bool{}}
	disk := store.Disk
	t.Cleanup(func() { store.Disk = disk })
	store.Disk.Write = func(f *os.File, b []byte) error {
		full := d.refuse("write", f.Name())
		if full == nil {
			return disk.Write(f, b)
		}
		if err := disk.Write(f, b[:len(b)/2]); err != nil {
			return err
		}
		time.Sleep(refusalTime)
		return full
	}
	if strict {
		d.refuseAll(disk)
	}
	return d
}

// refuseAll makes full disks refuse all that changes a file or a folder.
func (d *fullDisks) refuseAll(disk store.Operations) {
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

// refuse returns an error if the disk that holds a file, or is the folder itself, is full.
func (d *fullDisks) refuse(op, path string) error {
	if d.isFull(filepath.Dir(path)) || d.isFull(path) {
		return &os.PathError{Op: op, Path: path, Err: syscall.ENOSPC}
	}
	return nil
}

func (d *fullDisks) isFull(folder string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full[folder]
}

// setFull fills the disk of a VM, or makes room on it.
func (d *fullDisks) setFull(vm *rigVM, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full[vm.conf.DataFolder] = full
}

// keepRunning lets time pass, and starts the replicas that stop again, as foldd does.
func (g *groupRig) keepRunning(t *testing.T, during time.Duration) {
	t.Helper()
	const step = 10 * time.Millisecond
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(step) {
		for _, vm := range g.vms {
			g.restartStopped(vm)
		}
	}
}

// restartStopped starts the replica of a VM again if it has stopped by itself and the delay
// is over.
func (g *groupRig) restartStopped(vm *rigVM) {
	if vm.conf.DataFolder == "" {
		return
	}
	if vm.server == nil {
		if time.Now().Before(vm.restartAt) {
			return
		}
		if vm.startErr = g.tryStart(vm); vm.startErr != nil {
			vm.restartAt = time.Now().Add(diskRestartDelay)
		}
		return
	}
	select {
	case <-vm.server.Stopped():
		g.stop(vm)
		vm.restartAt = time.Now().Add(diskRestartDelay)
	default:
	}
}

// lastIndexes returns the last log index of each running control VM.
func (g *groupRig) lastIndexes(t *testing.T) []uint64 {
	t.Helper()
	var out []uint64
	for _, vm := range g.vms {
		if vm.server == nil {
			continue
		}
		err := vm.server.do(t.Context(), func(time.Time) { out = append(out, vm.server.rep.LastIndex()) })
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// operator sends changes in series through one VM until ctx ends.
type operator struct {
	mu        sync.Mutex
	confirmed uint64
	done      chan struct{}
}

// operate sends a change of size bytes each interval.
func operate(ctx context.Context, entry *rigVM, interval time.Duration, size int) *operator {
	o := &operator{done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for version := uint64(1000); ctx.Err() == nil; version++ {
			o.send(ctx, entry, version, size)
			select {
			case <-time.After(interval):
			case <-ctx.Done():
			}
		}
	}()
	return o
}

func (o *operator) send(ctx context.Context, entry *rigVM, version uint64, size int) {
	if !tryApply(ctx, entry, version, randomDocument(version, size)) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed = version
}

// lastConfirmed returns the last version that was confirmed.
func (o *operator) lastConfirmed() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmed
}

// Times for which a disk is full, and all have room, while disks are full in turn.
const (
	fullFor    = 3 * time.Second
	roomFor    = time.Second
	fullRounds = 2
)

// TestGroupGoesOnAfterDisksWereFullInTurn guards against a group that confirms no change any
// more after the disks of its VMs were full for some seconds each.
func TestGroupGoesOnAfterDisksWereFullInTurn(t *testing.T) {
	for _, tt := range []struct {
		name   string
		size   int
		strict bool
	}{
		{"large changes", documentSize, false},
		{"small changes", 2_000, false},
		{"small changes, strict disks", 2_000, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) { fillInTurn(t, newFullDisks(t, tt.strict), tt.size) })
		})
	}
}

// fillInTurn fills the disk of each of three control VMs, in some rounds, and checks that the
// group is whole after it.
func fillInTurn(t *testing.T, disks *fullDisks, size int) {
	g := newGroupRig(t, 3)
	g.addEntryVMs(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := operate(ctx, g.vms[3], changeInterval, size)
	for range fullRounds {
		for _, vm := range g.vms[:3] {
			disks.setFull(vm, true)
			g.keepRunning(t, fullFor)
			disks.setFull(vm, false)
			g.keepRunning(t, roomFor)
		}
	}
	before := o.lastConfirmed()
	g.keepRunning(t, maxConfirmation)
	if o.lastConfirmed() == before {
		t.Errorf("no change was confirmed for %v after the last disk had room again", maxConfirmation)
	}
	cancel()
	<-o.done
	g.keepRunning(t, maxRejoin)
	for _, vm := range g.vms[:3] {
		if vm.server == nil {
			t.Fatalf("no replica runs at %v: %v", vm.addr, vm.startErr)
		}
	}
	if n := g.liveVoters(t); n != 3 {
		t.Errorf("%d live voters, want 3", n)
	}
	if last := g.lastIndexes(t); last[0] != last[1] || last[1] != last[2] {
		t.Errorf("the logs end at %v, want all at the same entry", last)
	}
}

// TestNoWriteFollowsFailedWrite guards against a replica that goes on after its disk has
// refused a write: a record behind a torn one makes the folder unreadable.
func TestNoWriteFollowsFailedWrite(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		disks := newFullDisks(t, false)
		g := newGroupRig(t, 1)
		g.addEntryVMs(t, 1)
		vm, entry := g.vms[0], g.vms[1]
		for version := uint64(10); version < 50; version += 2 {
			disks.setFull(vm, true)
			go tryApply(t.Context(), entry, version, []byte("{}"))
			time.Sleep(refusalTime / 2)
			disks.setFull(vm, false)
			go tryApply(t.Context(), entry, version+1, []byte("{}"))
			<-vm.server.Stopped()
			g.stop(vm)
			g.start(t, vm)
			time.Sleep(diskRestartDelay)
		}
	})
}

// tryApply sends a change to a VM and reports whether it was confirmed.
func tryApply(ctx context.Context, vm *rigVM, version uint64, document []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	res, err := vm.client.Apply(ctx, &wire.ApplyRequest{Version: version, Document: document})
	return err == nil && res.GetRevision() >= version
}

// TestRefusalNamesFullDisk guards against a change that is refused without the reason that the
// control VM's disk is full.
func TestRefusalNamesFullDisk(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		disks := newFullDisks(t, false)
		g := newGroupRig(t, 1)
		g.addEntryVMs(t, 1)
		disks.setFull(g.vms[0], true)
		for _, attempt := range []string{"leader during the write", "leader after it", "replica started again"} {
			if attempt == "replica started again" {
				g.stop(g.vms[0])
				g.start(t, g.vms[0])
				<-g.vms[0].server.Stopped()
			}
			ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
			_, err := g.vms[1].client.Apply(ctx, &wire.ApplyRequest{Version: 10, Document: []byte("{}")})
			cancel()
			if err == nil || !strings.Contains(err.Error(), syscall.ENOSPC.Error()) {
				t.Errorf("%s: error %v, want one that says %q", attempt, err, syscall.ENOSPC)
			}
		}
	})
}
