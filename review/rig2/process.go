package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engineProcess is a stand-in engine that runs as a process of its own, so that it can be killed.
type engineProcess struct {
	rec                                  *recorder
	id, service, zone, listen, advertise string
	events                               int
	gap                                  time.Duration
	control                              []string
	cmd                                  *exec.Cmd
	exited                               chan struct{}
	// cutOff is set if the engine is cut off when it starts: its heartbeats reach nobody.
	cutOff bool
	// notes gets what the engine says of its work, unless it is nil.
	notes chan string
}

// start starts the process. It writes a line for each thing that it does.
func (p *engineProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{"engine", p.id, p.service, p.zone, p.listen, p.advertise, strconv.Itoa(p.events), p.gap.String()}
	p.cmd = exec.Command(self, append(args, p.control...)...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.cutOff {
		p.cmd.Env = append(os.Environ(), cutOffVariable+"=1")
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.rec.log("engine %s started at %s (zone %s)", p.id, p.advertise, p.zone)
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			p.rec.log("engine %s %s", p.id, lines.Text())
			if p.notes != nil {
				p.notes <- lines.Text()
			}
		}
		cmd.Wait()
		close(done)
	}(p.cmd, p.exited)
	return nil
}

// kill ends the process as a crash does.
func (p *engineProcess) kill() {
	p.cmd.Process.Kill()
	<-p.exited
	p.rec.log("engine %s killed", p.id)
}

// leave lets the engine announce that it is draining.
func (p *engineProcess) leave() { p.cmd.Process.Signal(syscall.SIGUSR1) }

// cutOffVariable is set in the environment of an engine that starts behind a cut.
const cutOffVariable = "CUT_OFF"

// toggleHeartbeats lets a cut begin or end for the engine's heartbeats.
func (p *engineProcess) toggleHeartbeats() { p.cmd.Process.Signal(syscall.SIGUSR2) }

// stream is a run of an engine process.
type stream struct {
	made    int
	stopped bool
	ended   chan struct{}
}

// streamServer is the engine of an engineProcess. Its streams have neither a length nor chunks and
// end with their connection.
type streamServer struct {
	engine
	total int
	pause time.Duration
	smu   sync.Mutex
	runs  map[string]*stream
}

// copyTime is how long the first copy of a run's memory takes.
const copyTime = 700 * time.Millisecond

// runEngine is the main function of an engineProcess.
func runEngine(args []string, signals <-chan os.Signal) error {
	total, err := strconv.Atoi(args[5])
	if err != nil {
		return err
	}
	pause, err := time.ParseDuration(args[6])
	if err != nil {
		return err
	}
	e := &streamServer{total: total, pause: pause, runs: map[string]*stream{}}
	e.id, e.service, e.zone, e.addr, e.slots, e.state = args[0], args[1], args[2], args[4], 24, "ready"
	control := args[7:]
	e.control = func() []string { return control }
	l, err := net.Listen("tcp", args[3])
	if err != nil {
		return err
	}
	go func() {
		t := time.NewTicker(heartbeat)
		cutOff := os.Getenv(cutOffVariable) != ""
		for {
			if !cutOff {
				e.beat()
			}
			select {
			case s := <-signals:
				if s == syscall.SIGUSR2 {
					cutOff = !cutOff
					break
				}
				e.mu.Lock()
				e.state, e.leaving = "draining", true
				e.mu.Unlock()
				fmt.Println("begins to drain")
			case <-t.C:
			}
		}
	}()
	return http.Serve(l, http.HandlerFunc(e.serve))
}

func (e *streamServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/kv-move" {
		e.move(w, r)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/api/") || id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	io.Copy(io.Discard, r.Body)
	if r.Header.Get("Kv-From") == "" {
		fmt.Println("runs request", id)
	}
	e.mu.Lock()
	leaving := ""
	if e.leaving {
		leaving = "Server-Leaving: 1\r\n"
	}
	e.mu.Unlock()
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	s := &stream{ended: make(chan struct{})}
	e.smu.Lock()
	e.runs[id] = s
	e.smu.Unlock()
	defer close(s.ended)
	defer func() {
		e.smu.Lock()
		delete(e.runs, id)
		e.smu.Unlock()
	}()
	after := 0
	if r.Header.Get("Kv-From") != "" {
		// The run goes on from the copy of its memory.
		after, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
		fmt.Println("goes on with request", id, "after event", after)
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nX-Weight-Versions: 1\r\n%sContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, e.id, leaving)
	for i := after + 1; i <= e.total; i++ {
		time.Sleep(e.pause)
		e.smu.Lock()
		if s.stopped {
			e.smu.Unlock()
			fmt.Println("has stopped the run of", id, "after event", s.made, "and closes its stream")
			return
		}
		s.made = i
		e.smu.Unlock()
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s %s\n\n", i, i, id, strings.Repeat("x", 200)); err != nil {
			fmt.Println("drops request", id, "after event", i)
			return
		}
	}
	fmt.Println("has ended the run of", id)
}

// move answers a call to copy the memory of a run.
func (e *streamServer) move(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.smu.Lock()
	s := e.runs[q.ID]
	e.smu.Unlock()
	fmt.Println("gets kv-move of", q.ID, "last:", q.Last)
	if s == nil || s.made == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !q.Last {
		time.Sleep(copyTime)
	} else {
		e.smu.Lock()
		s.stopped = true
		e.smu.Unlock()
		<-s.ended
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"handle": "h-" + q.ID, "made": s.made})
}
