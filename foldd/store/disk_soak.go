//go:build soak

package store

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// diskFaultName is the file beside a data folder in which the soak writes the fault of its
// disk: "full", "stall", or how long a sync takes.
const diskFaultName = "disk"

// stallPoll is how often a stalled operation looks whether the fault is over.
const stallPoll = 20 * time.Millisecond

func init() {
	write, sync := Disk.Write, Disk.Sync
	Disk.Write = func(f *os.File, b []byte) error {
		awaitDisk(f)
		if diskFault(f) == "full" {
			return &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
		}
		return write(f, b)
	}
	Disk.Sync = func(f *os.File) error {
		awaitDisk(f)
		if d, err := time.ParseDuration(diskFault(f)); err == nil {
			time.Sleep(d)
		}
		return sync(f)
	}
}

// diskFault returns the fault of the disk that holds a file, empty if there is none.
func diskFault(f *os.File) string {
	b, err := os.ReadFile(filepath.Join(filepath.Dir(filepath.Dir(f.Name())), diskFaultName))
	if err != nil {
		// There is no fault without the file.
		return ""
	}
	return strings.TrimSpace(string(b))
}

func awaitDisk(f *os.File) {
	for diskFault(f) == "stall" {
		time.Sleep(stallPoll)
	}
}
