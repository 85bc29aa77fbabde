// Package origin is a stand-in for the servers to which requests are forwarded.
// It writes its answers byte by byte, so that it can break them in every way
// that a faulty server does, and it moves runs to other stand-ins.
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
)

// Names of the headers that the stand-in reads and writes: those of the
// product's own protocol of forwarding.
const (
	headerID      = "Fold-Request-Id"
	headerNotRun  = "Fold-Not-Run"
	headerBackend = "Fold-Backend"
	headerResume  = "Fold-Resume"
)

// Behaviour is what the server does with one request. The zero value answers
// 200 without a body.
type Behaviour struct {
	Status int
	Body   string
	// Delay is the time before the answer.
	Delay time.Duration
	// NotRun refuses the request before it begins.
	NotRun bool
	// CloseDelimited sends a body without a length, ended by the connection's end.
	CloseDelimited bool
	// TruncateAt ends the connection after so many bytes of the body, by a reset if
	// Reset is set.
	TruncateAt int
	Reset      bool
	// ExtraResponse sends the answer a second time, with another ID.
	ExtraResponse bool
	// RespondEarly answers before the body has been read.
	RespondEarly bool
	// Hang never answers; Drop ends the connection without an answer.
	Hang bool
	Drop bool
	// Events sends a stream of so many events, Gap apart.
	Events int
	Gap    time.Duration
	// Hold, if set, stops a stream after HoldAt events until it is closed, or the
	// run is stopped.
	Hold   <-chan struct{}
	HoldAt int
}

// Server is one stand-in. Make it with New.
type Server struct {
	ID string
	// CleanStop ends the answer of a run that Stop ends in good order, as some
	// engines do, so that only the missing events show that it goes on elsewhere.
	CleanStop bool
	behave    func(r *http.Request) Behaviour
	l         net.Listener

	mu sync.Mutex
	// ran counts the requests that ran, by ID.
	ran map[string]int
	// seen holds the last request of each ID.
	seen map[string]*Request
	// runs holds the streams in progress by ID.
	runs  map[string]*run
	conns map[net.Conn]bool
	// accepted counts connections.
	accepted int
}

// Request is a request as the server got it.
type Request struct {
	Method string
	URI    string
	Header http.Header
	Body   string
}

// run is one stream in progress.
type run struct {
	total int
	// made counts the events sent; the run ends without its end once stopped.
	made    int
	stopped bool
	gone    chan struct{}
}

// New starts a server on loopback. behave says what to do with each request.
func New(id string, behave func(r *http.Request) Behaviour) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{ID: id, behave: behave, l: l, ran: map[string]int{}, seen: map[string]*Request{}, runs: map[string]*run{}, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() netip.AddrPort { return s.l.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the server and its connections.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// RunCount returns how often the request ran.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// Accepted returns the number of connections so far.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// LastRequest returns the last request with the ID, or nil.
func (s *Server) LastRequest(id string) *Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id]
}

// Running reports whether a stream with the ID is in progress.
func (s *Server) Running(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[id]
	return r != nil && !r.stopped
}

// EventsSent returns the number of events that a run in progress has made.
func (s *Server) EventsSent(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[id]; r != nil {
		return r.made
	}
	return 0
}

// StopRun ends a run without its end, as for a move, and returns how many events
// it has made. It returns false if there is no such run.
func (s *Server) StopRun(id string) (made int, ok bool) {
	s.mu.Lock()
	r := s.runs[id]
	if r == nil || r.stopped {
		s.mu.Unlock()
		return 0, false
	}
	r.stopped = true
	s.mu.Unlock()
	<-r.gone
	return r.made, true
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
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
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !s.handle(c, r) {
			return
		}
	}
}

// handle answers one request and reports whether the connection goes on.
func (s *Server) handle(c net.Conn, r *http.Request) bool {
	b := s.behave(r)
	id := r.Header.Get(headerID)
	if b.RespondEarly {
		s.began(id)
		s.respond(c, id, b)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.seen[id] = &Request{Method: r.Method, URI: r.RequestURI, Header: r.Header, Body: string(body)}
	s.mu.Unlock()
	switch {
	case b.Drop:
		s.began(id)
		return false
	case b.Hang:
		s.began(id)
		_, _ = io.Copy(io.Discard, c)
		return false
	case r.Header.Get(headerBackend) != "" && r.Header.Get(headerBackend) != s.ID:
		b = Behaviour{Status: http.StatusMisdirectedRequest}
	case b.NotRun:
		b.Status = http.StatusServiceUnavailable
	case r.Header.Get(headerResume) == "":
		s.began(id)
	}
	time.Sleep(b.Delay)
	if b.Events > 0 && !b.NotRun {
		return s.stream(c, r, id, b)
	}
	return s.respond(c, id, b)
}

func (s *Server) began(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

// respond writes one whole answer, or what the behaviour makes of it.
func (s *Server) respond(c net.Conn, id string, b Behaviour) bool {
	if b.ExtraResponse {
		s.write(c, "another", b)
	}
	return s.write(c, id, b)
}

func (s *Server) write(c net.Conn, id string, b Behaviour) bool {
	if b.Status == 0 {
		b.Status = http.StatusOK
	}
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n%s: %s\r\n", b.Status, http.StatusText(b.Status), headerID, id)
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
	return err == nil && b.TruncateAt == 0 && !b.CloseDelimited
}

// stream sends events with IDs from 1 on, or from after Last-Event-Id.
func (s *Server) stream(c net.Conn, r *http.Request, id string, b Behaviour) bool {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	m := &run{total: b.Events, made: first, gone: make(chan struct{})}
	s.mu.Lock()
	s.runs[id] = m
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
		close(m.gone)
	}()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, id); err != nil {
		return false
	}
	for m.made < m.total {
		time.Sleep(b.Gap)
		if b.Hold != nil && m.made == b.HoldAt {
			s.hold(m, b.Hold)
		}
		if s.isStopped(m) {
			if s.CleanStop {
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			return false
		}
		e := Event(m.made + 1)
		if b.TruncateAt > 0 && m.made+1 == b.TruncateAt {
			// Half an event, then nothing.
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e)/2, e[:len(e)/2])
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		s.mu.Lock()
		m.made++
		s.mu.Unlock()
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// holdPoll is how often a stream that is held looks whether it was stopped.
const holdPoll = time.Millisecond

// hold waits until the channel is closed or the run is stopped.
func (s *Server) hold(m *run, until <-chan struct{}) {
	for !s.isStopped(m) {
		select {
		case <-until:
			return
		case <-time.After(holdPoll):
		}
	}
}

func (s *Server) isStopped(m *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.stopped
}

// Event returns the event with a number.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }
