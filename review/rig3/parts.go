package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["parts"] = parts
	scenarios["names"] = names
}

// Figures of the case.
const (
	// manyParts is the number of parts of each prompt in one case, and fewParts in the other.
	// PARTS sets another one.
	manyParts      = 40
	fewParts       = 4
	partsEngines   = 6
	partsPerSecond = 12.0
	crashShare     = 0.2
	crashedFor     = 4 * time.Second
	partsFor       = 40 * time.Second
	// countedCrash is the crash after which requests with the part count, and allowedAfter how many
	// may reach engines then.
	countedCrash = 5
	allowedAfter = 3
	// crashingPart is the part that crashes each engine that begins to write an answer on it.
	crashingPart = "dead"
)

// partsWatch is what the engines have seen of requests with the part.
type partsWatch struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	// lostRuns counts the runs of sound requests that were lost in crashes.
	lostRuns int
	running  map[*exchange]bool
}

// arrive notes a request at an engine, and begin and end a run of a sound one.
func (w *partsWatch) arrive(x *exchange, crashing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if crashing {
		w.arrivals = append(w.arrivals, time.Now())
		return
	}
	w.running[x] = true
}

func (w *partsWatch) end(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, x)
}

// crash notes that an engine crashes, with the runs of sound requests there.
func (w *partsWatch) crash(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, time.Now())
	for x := range w.running {
		if x.e == e {
			w.lostRuns++
			e.rec.line("run of a sound request lost in the crash", "engine", e.id, "id", x.id())
		}
	}
}

// late returns the number of requests with the part that reached engines later than contact_ms
// after the fifth crash.
func (w *partsWatch) late() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashes) < countedCrash {
		return 0
	}
	from := w.crashes[countedCrash-1].Add(contactTime)
	n := 0
	for _, at := range w.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}

// handle serves a stream, or crashes as it begins to write its answer on the part.
func (w *partsWatch) handle(x *exchange) bool {
	if strings.HasPrefix(x.req.URL.Path, "/api/") {
		return x.answer(http.StatusNotFound, nil, nil)
	}
	crashing := strings.Contains(x.req.Header.Get("X-Prompt-Prefix"), crashingPart+":")
	w.arrive(x, crashing)
	defer w.end(x)
	x.run()
	time.Sleep(time.Duration(150+rand.IntN(150)) * time.Millisecond)
	if crashing {
		x.e.rec.line("engine crashes", "engine", x.e.id, "id", x.id())
		w.crash(x.e)
		x.e.crash(crashedFor)
		return false
	}
	head := x.head(http.StatusOK, map[string]string{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "X-Server-Stamp": x.stamp()})
	if _, err := x.conn.Write(head); err != nil {
		return false
	}
	for k := 1; k <= 20; k++ {
		time.Sleep(50 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", k, x.id())
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := fmt.Fprint(x.conn, "0\r\n\r\n")
	return err == nil
}

// prompt returns the parts of a prompt: those that many requests share, in the middle one of a few
// or the crashing one, and at the end one of the request alone.
func prompt(parts int, crashing bool, id string) string {
	var list []string
	for i := range parts - 2 {
		list = append(list, fmt.Sprintf("%04x:5", 0xa000+i))
	}
	middle := fmt.Sprintf("%04x:5", 0xb000+rand.IntN(20))
	if crashing {
		middle = crashingPart + ":5"
	}
	return strings.Join(append(list, middle, id+":50"), ",")
}

// partsPlay is a play of requests with a part that crashes engines.
type partsPlay struct {
	fronts, parts int
	// engineName begins the IDs of the engines.
	engineName string
}

// parts plays it with prompts of many parts.
func parts(c *cluster, trouble bool) (bool, error) {
	return partsPlay{fronts: 3, parts: manyParts, engineName: "i-llm-"}.run(c, trouble)
}

// longName is as an orchestrator may name an engine: with its service, its zone and its set. ID_NAME
// sets another name.
const longName = "advice-models-dense32b-bf16-7d9f8b6c5d-x2x9z.hobart-a.tas-south.example-"

// names plays it with engines whose IDs are long.
func names(c *cluster, trouble bool) (bool, error) {
	name := longName
	if text := os.Getenv("ID_NAME"); text != "" {
		name = text
	}
	return partsPlay{fronts: 7, parts: fewParts, engineName: name}.run(c, trouble)
}

func (p partsPlay) run(c *cluster, trouble bool) (bool, error) {
	count := p.parts
	if text := os.Getenv("PARTS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return false, fmt.Errorf("%w: PARTS: %w", errSetup, err)
		}
		count = n
	}
	if err := c.start(3, p.fronts); err != nil {
		return false, err
	}
	watch := &partsWatch{running: map[*exchange]bool{}}
	for i := range partsEngines {
		e, err := newEngine(c, p.engineName+strconv.Itoa(i+1), "advice-models", zoneName(i), 24, watch.handle)
		if err != nil {
			return false, err
		}
		defer e.stop()
	}
	d := document{
		Version: 1, Limits: defaultLimits(), Tenants: []tenant{{Name: "t1", Keys: []string{"key-1"}}},
		Routes:   []route{{Name: "triage", Host: "app.example", Prefix: "/triage/", Kind: "stream", TimeoutMS: 6000, TargetMS: 1500, Priority: 1, Service: "advice-models", Attempts: 1, GapMS: 180, Sticky: true}},
		Services: []service{llmService("advice-models")},
	}
	if err := c.configure(d, 15*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var sound, soundOK, crashing atomic.Int64
	send := func(v *vm, bad bool) {
		a := newStream("/triage/2f", "245,80", 6*time.Second)
		a.header.Set("X-Prompt-Prefix", prompt(count, bad, a.id))
		r := a.send(c.rec, v)
		switch {
		case bad:
			crashing.Add(1)
		default:
			sound.Add(1)
			if r.complete && r.status == http.StatusOK {
				soundOK.Add(1)
			}
		}
	}
	load(c, partsPerSecond, 8*time.Second, func(v *vm) { send(v, false) })
	load(c, partsPerSecond, partsFor, func(v *vm) { send(v, trouble && rand.Float64() < crashShare) })
	time.Sleep(4 * time.Second)
	late := watch.late()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	c.rec.verdict("prompts of %d parts, engine IDs of %d bytes; sound requests %d, whole %d; requests with the crashing part %d, crashes %d; such requests at engines later than contact_ms after the fifth crash %d (%d allowed); runs of sound requests lost in crashes %d",
		count, len(p.engineName)+1, sound.Load(), soundOK.Load(), crashing.Load(), len(watch.crashes), late, allowedAfter, watch.lostRuns)
	return late > allowedAfter, nil
}
