package store

import "os"

// disk holds the operations that may fail or take long on a faulty disk. Only the build
// for the soak replaces them.
var disk = struct {
	write func(f *os.File, b []byte) error
	sync  func(f *os.File) error
}{
	write: func(f *os.File, b []byte) error {
		_, err := f.Write(b)
		return err
	},
	sync: (*os.File).Sync,
}
