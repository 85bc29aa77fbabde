package store

import (
	"errors"
	"os"
	"slices"
	"syscall"
)

// Operations holds the operations that may fail or take long on a faulty disk.
type Operations struct {
	ReadFile func(path string) ([]byte, error)
	// Create opens a file for writing. It creates the file, or empties it.
	Create   func(path string) (*os.File, error)
	Write    func(f *os.File, b []byte) error
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error
	Remove   func(path string) error
}

// Disk holds the operations that this package uses. Only tests and the build for the soak
// replace them, before they open a folder.
var Disk = Operations{
	ReadFile: os.ReadFile,
	Create: func(path string) (*os.File, error) {
		return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	},
	Write: func(f *os.File, b []byte) error {
		_, err := f.Write(b)
		return err
	},
	Sync:     (*os.File).Sync,
	Truncate: (*os.File).Truncate,
	Rename:   os.Rename,
	Remove:   os.Remove,
}

// DiskFailed reports whether an error is one of a disk that is full or fails, which may
// pass.
func DiskFailed(err error) bool {
	return slices.ContainsFunc([]error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO}, func(cause error) bool { return errors.Is(err, cause) })
}
