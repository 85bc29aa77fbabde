package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// engine is a stand-in for one engine: it announces itself and answers requests in HTTP/1.1.
type engine struct {
	id, service, zone, addr string
	slots                   int
	rec                     *record
	controls                []*vm
	// handle answers one request on a connection whose body has been read. It returns false
	// if the connection must be closed.
	handle func(x *exchange) bool
	// admitConn, if set, reports whether a new connection is kept, with the number of open ones
	// beside it; others are reset.
	admitConn func(open int) bool

	mu       sync.Mutex
	seq      int
	born     int64
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	ran      map[string]int
	down     bool
	stopped  bool
}

// exchange is one request at an engine.
type exchange struct {
	e    *engine
	conn net.Conn
	req  *http.Request
	body []byte
	at   time.Time
}

func (x *exchange) id() string { return x.req.Header.Get("X-Attempt-Id") }

// newEngine returns an engine that listens on a loopback address and announces itself to the VMs.
func newEngine(c *cluster, id, service, zone string, slots int, handle func(x *exchange) bool) (*engine, error) {
	e := &engine{
		id: id, service: service, zone: zone, addr: c.ip() + ":8080", slots: slots, rec: c.rec, controls: c.vms, handle: handle,
		state: "ready", conns: map[net.Conn]bool{}, ran: map[string]int{}, born: time.Now().UnixMilli(),
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	go e.announce()
	return e, nil
}

func (e *engine) listen() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	go e.accept(l)
	return nil
}

func (e *engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		open := len(e.conns)
		keep := !e.down && (e.admitConn == nil || e.admitConn(open))
		if keep {
			e.conns[conn] = true
		}
		e.mu.Unlock()
		if !keep {
			reset(conn)
			continue
		}
		go e.serve(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	conn.Close()
}

func (e *engine) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &exchange{e: e, conn: conn, req: req, body: body, at: time.Now()}
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
			x.answer(http.StatusMisdirectedRequest, map[string]string{"X-Not-Run": "1"}, nil)
			continue
		}
		if !e.handle(x) {
			return
		}
	}
}

// run counts that the engine begins to work on the request.
func (x *exchange) run() {
	x.e.mu.Lock()
	x.e.ran[x.id()]++
	x.e.mu.Unlock()
	x.e.rec.line("run", "engine", x.e.id, "id", x.id(), "method", x.req.Method, "path", x.req.URL.Path)
}

// stamp is the engine's signature of an answer.
func (x *exchange) stamp() string { return "3e1b." + x.e.id + "." + x.id() }

// head returns the head of an answer with the given further fields.
func (x *exchange) head(status int, fields map[string]string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := x.id(); id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	for name, value := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer writes a whole answer with a length. A success is signed.
func (x *exchange) answer(status int, fields map[string]string, body []byte) bool {
	all := map[string]string{"Content-Length": strconv.Itoa(len(body))}
	if status < 300 {
		all["X-Server-Stamp"] = x.stamp()
	}
	for name, value := range fields {
		all[name] = value
	}
	_, err := x.conn.Write(append(x.head(status, all), body...))
	x.e.rec.line("engine answered", "engine", x.e.id, "id", x.id(), "status", status)
	return err == nil
}

// announcement is what the engine says of itself.
func (e *engine) announcement() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	b, err := json.Marshal(map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"cold_left_ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": e.seq, "born": e.born,
	})
	if err != nil {
		panic(err) // Only strings and numbers.
	}
	return b
}

// beat sends one heartbeat, to one VM after another until one acknowledges it.
func (e *engine) beat() (acknowledged bool) {
	for i := range e.controls {
		v := e.controls[(i+e.seq)%len(e.controls)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+v.operators()+"/api/instances/"+e.id, bytes.NewReader(e.announcement()))
		if err != nil {
			cancel()
			return false
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			res.Body.Close()
		}
		cancel()
		if err == nil && res.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

func (e *engine) announce() {
	for {
		e.mu.Lock()
		stopped, silent := e.stopped, e.down
		e.mu.Unlock()
		if stopped {
			return
		}
		if !silent {
			e.beat()
		}
		time.Sleep(heartbeatInterval)
	}
}

// crash ends the engine's process: all connections are reset and nothing listens. It starts again
// with a new identity after the given time.
func (e *engine) crash(restart time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	l := e.listener
	var open []net.Conn
	for conn := range e.conns {
		open = append(open, conn)
	}
	e.mu.Unlock()
	l.Close()
	for _, conn := range open {
		reset(conn)
	}
	time.AfterFunc(restart, func() {
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if stopped {
			return
		}
		for e.listen() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		e.mu.Lock()
		e.id = e.id + "r"
		e.seq, e.born, e.down = 0, time.Now().UnixMilli(), false
		e.mu.Unlock()
		e.beat()
	})
}

// stop ends the stand-in.
func (e *engine) stop() {
	e.mu.Lock()
	e.stopped = true
	l := e.listener
	var open []net.Conn
	for conn := range e.conns {
		open = append(open, conn)
	}
	e.mu.Unlock()
	l.Close()
	for _, conn := range open {
		conn.Close()
	}
}

// runs returns how often a request ran at the engine.
func (e *engine) runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}
