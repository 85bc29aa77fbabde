// Package origin is a stand-in backend server for tests of forwarding. It writes
// raw HTTP responses, so that it can truncate, duplicate and reset them as a
// faulty server does. A run, which is a stream of events in progress, can be
// stopped and resumed at another stand-in.
package origin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"fuchsiafold.example/foldfake/meter"
)

// Headers of the forwarding protocol between foldd and backend servers that the
// stand-in reads and writes.
const (
	headerRequestID = "Fold-Request-Id"
	headerNotRun    = "Fold-Not-Run"
	headerBackend   = "Fold-Backend"
	headerResume    = "Fold-Resume"
)

// Part is a part of a response that has header fields.
type Part string

// The parts. Only a stream of events in chunks has a trailer.
const (
	Head          Part = "head"
	Informational Part = "informational"
	Trailer       Part = "trailer"
)

// Server is a running stand-in, started by New. ID is the backend server's ID.
type Server struct {
	ID string
	// CleanStop ends the response of a run with the final HTTP chunk when StopRun
	// stops the run, as some engines do. Then only the missing events show that the run
	// continues at another server.
	CleanStop bool
	// Meter, if not nil, counts the requests and names a rate limit in the responses.
	Meter    *meter.Meter
	behave   func(r *http.Request) Behaviour
	listener net.Listener

	mu sync.Mutex
	// runCounts counts how often each request ran, by request ID.
	runCounts map[string]int
	// lastRequests holds the last request received with each request ID.
	lastRequests map[string]*Request
	// runs holds the streams in progress, by request ID.
	runs  map[string]*run
	conns map[net.Conn]bool
	// accepted counts the connections accepted so far.
	accepted int
	// closed is set by Close.
	closed bool
	// full and turnedAway are as SetFull and TurnedAway say.
	full       bool
	turnedAway int
	// lingered is as Lingered returns it.
	lingered time.Duration
}

// Request is a request as the server received it.
type Request struct {
	Method string
	URI    string
	Header http.Header
	Body   string
}

// run is one stream in progress. The server's mu guards sent and stopped. Only
// streamEvents changes sent, so it reads sent without mu. StopRun does so once done
// is closed.
type run struct {
	total int
	// sent is the offset of the last event sent. A stopped run ends without its
	// remaining events.
	sent    int
	stopped bool
	// done is closed once the run has ended.
	done chan struct{}
}

// New starts a server on a loopback address. It calls behave for each request,
// from several goroutines. The caller must call Close.
func New(id string, behave func(r *http.Request) Behaviour) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{ID: id, behave: behave, listener: l, runCounts: map[string]int{}, lastRequests: map[string]*Request{}, runs: map[string]*run{}, conns: map[net.Conn]bool{}}
	go s.acceptLoop()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

// Closed reports whether the server has been closed or has crashed.
func (s *Server) Closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Lingered returns the time from the close of the connection to the end of the server in its
// last crash with CrashTruncated, zero before. On a busy machine it may be far above
// CrashLinger.
func (s *Server) Lingered() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lingered
}

// RunCount returns how often the request with the ID ran. A request with
// Fold-Resume doesn't count unless Drop, Hang or RespondEarly is set.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// SetFull makes the server reset each further connection, as a server does that has no room
// for it, or keep it again.
func (s *Server) SetFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// TurnedAway returns the number of connections that were reset for want of room.
func (s *Server) TurnedAway() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turnedAway
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	// The connection is closed in order if the option can't be set.
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// OpenConnections returns the number of connections that are open.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// LastRequest returns the last request received with the ID, or nil if there is
// none.
func (s *Server) LastRequest(id string) *Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequests[id]
}

// Running reports whether a stream with the request ID is in progress and not
// stopped.
func (s *Server) Running(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[id]
	return r != nil && !r.stopped
}

// EventsSent returns the offset of the last event sent by a run in progress, or 0
// if there is no such run.
func (s *Server) EventsSent(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[id]; r != nil {
		return r.sent
	}
	return 0
}

// StopRun stops a run before its end, as in a move to another server. It waits
// until the run has ended and returns the offset of the last event sent. ok is
// false if there is no such run or it has been stopped already.
func (s *Server) StopRun(id string) (sent int, ok bool) {
	s.mu.Lock()
	r := s.runs[id]
	if r == nil || r.stopped {
		s.mu.Unlock()
		return 0, false
	}
	r.stopped = true
	s.mu.Unlock()
	<-r.done
	return r.sent, true
}

func (s *Server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			// Accepted before the listener was closed: the end of a process closes such
			// connections, too.
			s.mu.Unlock()
			c.Close()
			return
		}
		if s.full {
			s.turnedAway++
			s.mu.Unlock()
			resetConn(c)
			continue
		}
		s.accepted++
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !s.handle(c, r) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (s *Server) handle(c net.Conn, r *http.Request) bool {
	b := s.behave(r)
	b.rateLimit = s.Meter.Arrive()
	id := r.Header.Get(headerRequestID)
	if b.ResetEarly {
		s.countRun(id)
		s.resetEarly(c, r, id, b)
		return false
	}
	if b.RespondEarly {
		s.countRun(id)
		return s.respondEarly(c, r, id, b)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.lastRequests[id] = &Request{Method: r.Method, URI: r.RequestURI, Header: r.Header, Body: string(body)}
	s.mu.Unlock()
	switch {
	case b.Raw != "":
		s.countRun(id)
		_, err := io.WriteString(c, b.Raw)
		return err == nil && !b.Drop
	case b.Drop:
		s.countRun(id)
		return false
	case b.Endless != "":
		s.countRun(id)
		writeEndless(c, id, b.Endless)
		return false
	case b.CrashUnanswered:
		s.countRun(id)
		s.Close()
		return false
	case b.Crash:
		s.countRun(id)
		out := streamWriter{w: c, chunked: !b.CloseDelimited, behaviour: b}
		_ = out.writeHead(id)
		_ = out.write(Event(1)[:5])
		s.Close()
		return false
	case b.Hang:
		s.countRun(id)
		if b.Unreachable {
			s.listener.Close()
		}
		_, _ = io.Copy(io.Discard, c)
		return false
	case r.Header.Get(headerBackend) != "" && r.Header.Get(headerBackend) != s.ID:
		b = Behaviour{Status: http.StatusMisdirectedRequest, rateLimit: b.rateLimit}
	case b.NotRun:
		b.Status = http.StatusServiceUnavailable
	case r.Header.Get(headerResume) == "":
		s.countRun(id)
	}
	time.Sleep(b.Delay)
	if _, err := io.WriteString(c, b.Before); err != nil {
		return false
	}
	if b.Events > 0 && !b.NotRun {
		return s.streamEvents(c, r, id, b)
	}
	return s.respond(c, id, b)
}

// countRun records that the request with the ID ran once more.
func (s *Server) countRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[id]++
}

// respond writes the response. If ExtraResponse is set, it first writes one with a
// wrong request ID. It reports whether the connection stays open.
func (s *Server) respond(c net.Conn, id string, b Behaviour) bool {
	if b.ExtraResponse {
		s.writeResponse(c, "another", b)
	}
	return s.writeResponse(c, id, b)
}

// writeResponse writes one response, truncated as b says. It reports whether the
// connection stays open.
func (s *Server) writeResponse(c net.Conn, id string, b Behaviour) bool {
	if b.Status == 0 {
		b.Status = http.StatusOK
	}
	var head strings.Builder
	head.WriteString(b.informational())
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s", b.Status, http.StatusText(b.Status), headerRequestID, id, b.statements())
	if b.NotRun {
		fmt.Fprintf(&head, "%s: 1\r\n", headerNotRun)
	}
	if !b.CloseDelimited {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(b.Body))
	}
	head.WriteString("\r\n")
	body := b.Body
	if b.TruncateAt > 0 {
		body = body[:b.TruncateAt]
	}
	_, err := io.WriteString(c, head.String()+body)
	if b.Reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	if b.CrashTruncated {
		began := time.Now()
		c.Close()
		time.Sleep(b.CrashLinger)
		s.Close()
		s.mu.Lock()
		s.lingered = max(time.Since(began), 1)
		s.mu.Unlock()
	}
	return err == nil && b.TruncateAt == 0 && !b.CloseDelimited
}

// streamEvents sends the events after Last-Event-Id, or from event 1 without that
// header. It reports whether the connection stays open.
func (s *Server) streamEvents(c net.Conn, r *http.Request, id string, b Behaviour) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if b.IgnorePosition {
		after = 0
	}
	current := &run{total: b.Events, sent: after, done: make(chan struct{})}
	s.mu.Lock()
	s.runs[id] = current
	s.mu.Unlock()
	end := sync.OnceFunc(func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
		close(current.done)
	})
	defer end()
	out := streamWriter{w: c, chunked: !b.CloseDelimited, behaviour: b}
	if err := out.writeHead(id); err != nil {
		return false
	}
	for current.sent < current.total {
		time.Sleep(b.Gap)
		if b.Hold != nil && current.sent == b.HoldAt {
			if b.Unreachable {
				s.listener.Close()
			}
			s.waitForRelease(current, b.Hold)
		}
		if b.CrashAfter > 0 && current.sent == b.CrashAfter {
			s.Close()
			return false
		}
		if s.isStopped(current) {
			next := current.sent + 1
			end()
			time.Sleep(b.LateBy)
			for i := range b.LateEvents {
				_ = out.write(Event(next + i))
			}
			if s.CleanStop {
				_ = out.writeEnd()
			}
			return false
		}
		e := Event(current.sent + 1)
		if b.TruncateAt > 0 && current.sent+1 == b.TruncateAt {
			// Send half of the event, and let the connection close.
			_ = out.write(e[:len(e)/2])
			if b.CleanEnd {
				_ = out.writeEnd()
			}
			return false
		}
		if err := out.write(e); err != nil {
			return false
		}
		s.mu.Lock()
		current.sent++
		s.mu.Unlock()
	}
	return out.writeEnd() == nil && !b.CloseDelimited
}

// holdPollInterval is the time between two checks whether a held run has been
// stopped.
const holdPollInterval = time.Millisecond

// waitForRelease waits until release is closed or the run is stopped.
func (s *Server) waitForRelease(r *run, release <-chan struct{}) {
	for !s.isStopped(r) {
		select {
		case <-release:
			return
		case <-time.After(holdPollInterval):
		}
	}
}

func (s *Server) isStopped(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.stopped
}

// Event returns the server-sent event with the ID n, as streams send it.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }
