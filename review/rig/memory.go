package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// frontMemory is the memory of a front machine of the site in MB.
	frontMemory = 134
	// memoryPoll is the time between two looks of the platform at the memory of a process.
	memoryPoll = 10 * time.Millisecond
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// largeBody is max_body_bytes of the configuration. usualBody is the largest body of
	// the site's requests that are no streams.
	largeBody = 4_194_304
	usualBody = 3_600
	// uploads is the number of requests with a body that come at the same time.
	uploads = 8
	// linkRate is the bandwidth of a machine's link in bytes per second.
	linkRate = 125_000_000
	// keptClients is the number of clients that send one request after the other on a kept
	// connection, for keptTime.
	keptClients = 12
	keptTime    = 6 * time.Second
	// memoryEngines is the number of engines. Each has 6 slots.
	memoryEngines = 4
	// lossesAllowed is the number of requests that may be lost by the rule.
	lossesAllowed = 3
)

// memory returns the memory of a VM's process in MB, zero if it does not run.
func (v *vm) memory() int {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// watchMemory kills a process that uses more memory than its machine has, as the
// platform does, and starts it again. It returns the largest use once stop is closed.
func (w *world) watchMemory(v *vm, stop chan struct{}) (peak int) {
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(memoryPoll):
		}
		mb := v.memory()
		peak = max(peak, mb)
		if mb <= frontMemory {
			continue
		}
		w.rec.add("platform", "%s uses %d MB of %d MB: it is killed", v.name, mb, frontMemory)
		v.kill()
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			w.rec.add("platform", "%v", err)
			return peak
		}
	}
}

// memoryCase checks that requests are not lost while some clients send bodies as large
// as the configuration allows.
func memoryCase(w *world, trouble bool) error {
	fronts, err := smallWorld(w, 3, streamConfig)
	if err != nil {
		return err
	}
	for i := range memoryEngines {
		if _, err := w.startEngine(engineOptions{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Zone: fmt.Sprintf("zone-%d", i%3+1), Work: 60 * time.Millisecond}); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	front := fronts[0]
	stop, watched := make(chan struct{}), make(chan int)
	go func() { watched <- w.watchMemory(front, stop) }()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var unanswered []string
	kept := 0
	for i := range keptClients {
		wg.Go(func() {
			n, lost := w.keepSending(front, i)
			mu.Lock()
			defer mu.Unlock()
			kept += n
			unanswered = append(unanswered, lost...)
		})
	}
	time.Sleep(2 * time.Second)
	size := usualBody
	if trouble {
		size = largeBody
	}
	served := 0
	for i := range uploads {
		wg.Go(func() {
			a := w.upload(front, i, size)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.status == http.StatusOK {
				served++
			}
		})
	}
	wg.Wait()
	close(stop)
	peak := <-watched
	w.rec.add("platform", "%s has used %d MB at most", front.name, peak)
	w.rec.add("client", "%d of %d requests with a body of %d bytes were answered with success", served, uploads, size)
	w.rec.add("client", "%d requests from kept connections were answered", kept)
	return w.countLost(unanswered, kept)
}

// keepSending sends one request after the other on a kept connection, and on a new one
// once it has ended. It returns the number of requests that were answered, and those that
// were not although the connection had served another one before.
func (w *world) keepSending(v *vm, client int) (answered int, lost []string) {
	var c *keptClient
	for end, n := time.Now().Add(keptTime), 0; time.Now().Before(end); n++ {
		if c == nil {
			conn, err := w.dial(v)
			if err != nil {
				time.Sleep(restartDelay)
				continue
			}
			c = &keptClient{client: conn}
		}
		r := clientRequest{method: http.MethodPost, path: "/record/1", id: fmt.Sprintf("bbbb%04x%08x", client, n), deadline: 4 * time.Second, body: "reminder"}
		a := answer{err: c.send(r)}
		if a.err == nil {
			a = c.receive(r)
		}
		if a.err == nil {
			answered++
			c.served++
			continue
		}
		w.rec.add("client", "%s, request %d of its connection: %s", r.id, c.served+1, a)
		if c.served > 0 {
			lost = append(lost, r.id)
		}
		c.close()
		c = nil
	}
	return answered, lost
}

// keptClient is a client whose connection has served some requests.
type keptClient struct {
	*client
	served int
}

// upload sends a request with a body, at its share of the bandwidth of a machine's link.
func (w *world) upload(v *vm, i, size int) answer {
	c, err := w.dial(v)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	r := clientRequest{method: http.MethodPost, path: "/record/1", id: fmt.Sprintf("cccccccc%08x", i), deadline: 4 * time.Second, body: strings.Repeat("x", size)}
	if err := c.sendPaced(r, linkRate/uploads); err != nil {
		w.rec.add("client", "%s: %v", r.id, err)
		return answer{err: err}
	}
	a := c.receive(r)
	w.rec.add("client", "%s: %s", r.id, a)
	return a
}

// countLost checks how many of the requests that were not answered an engine has run.
func (w *world) countLost(unanswered []string, answered int) error {
	log := ""
	for _, p := range w.procs {
		log += w.engineLog(p.id)
	}
	lost := 0
	for _, id := range unanswered {
		if strings.Contains(log, "runs "+id) {
			w.rec.add("engine", "has run %s", id)
			lost++
		}
	}
	switch {
	case lost > lossesAllowed:
		return fmt.Errorf("%w: %d requests from kept connections were passed on to sound engines and got no answer, of %d", errBroken, lost, answered+len(unanswered))
	case answered == 0:
		return fmt.Errorf("no request was served")
	}
	return nil
}
