package pool

import (
	"errors"
	"io"
	"syscall"
)

// ClosedByPeer reports whether a request or response broke off because the server
// closed the connection, as a process does that crashes. A timeout of the connection
// is not such an error.
func ClosedByPeer(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
