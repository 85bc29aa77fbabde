package store

import (
	"errors"
	"os"
	"slices"
	"syscall"
)

// disk holds the operations that may fail or take long on a faulty disk. Only the build
// for the soak replaces them.
var disk = struct {
	Write func(f *os.File, b []byte) error
	Sync  func(f *os.File) error
}{
	Write: func(f *os.File, b []byte) error {
		_, err := f.Write(b)
		return err
	},
	Sync: (*os.File).Sync,
}

// DiskFailed reports whether an error is one of a disk that is full or fails, which may
// pass.
func DiskFailed(err error) bool {
	return slices.ContainsFunc([]error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO}, func(cause error) bool { return errors.Is(err, cause) })
}
