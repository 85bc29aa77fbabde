package origin

import (
	"io"
	"net"
	"net/http"
	"time"
)

// respondEarly writes the response before it reads the body of the request. It reports whether
// the connection stays open.
func (s *Server) respondEarly(c net.Conn, r *http.Request, id string, b Behaviour) bool {
	s.respond(c, id, b)
	if b.HalfClose {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	if b.StopReading {
		s.awaitClose()
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil && !b.HalfClose
}

// resetEarly writes the response while the body of the request is still being sent, and then
// resets the connection.
func (s *Server) resetEarly(c net.Conn, r *http.Request, id string, b Behaviour) {
	s.respond(c, id, b)
	if !b.StopReading {
		go func() { _, _ = io.Copy(io.Discard, r.Body) }()
	}
	time.Sleep(b.ResetAfter)
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// awaitClose waits until the server is closed.
func (s *Server) awaitClose() {
	for !s.Closed() {
		time.Sleep(holdPollInterval)
	}
}
