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

// ResetByServer reports whether a connection that could not be opened had reached a server that
// listens, and was reset by it at once, as a server does that has no room for it. A
// connection to a process that has ended is refused.
func ResetByServer(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
