package pool

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// upload is the write of a request while its response is read.
type upload struct {
	// done is closed at the end of the write, and err is set before that.
	done chan struct{}
	err  error
}

// startUpload writes the request with the given head while the response is read.
func (x *exchange) startUpload(head []byte) {
	u := &upload{done: make(chan struct{})}
	x.conn.upload = u
	go func() {
		defer close(u.done)
		u.err = x.writeLong(head)
	}()
}

// written reports whether the whole request has been written.
func (u *upload) written() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// lost returns why the connection was lost, as the write of the request found it, and nil if it
// was not. It must be called only after a read has returned io.EOF. It ends the write: the
// server sends nothing more.
//
// The kernel reports the loss of a connection, such as a reset, to one call only. If that is
// a write, later reads return io.EOF, as if the server had closed the connection.
func (c *conn) lost() error {
	if c.upload == nil {
		return nil
	}
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-c.upload.done
	err := c.upload.err
	// A write fails with EPIPE if the server had closed the connection before.
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}
