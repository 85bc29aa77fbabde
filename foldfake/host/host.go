// Package host serves a stand-in model engine over HTTP in real time. It
// implements the completions protocol with server-sent events, resume and
// cancel, sends announcements, and injects faults on request.
package host

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/mix"
	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/netio/serve"
)

// Config configures a stand-in engine.
type Config struct {
	ID      string
	Addr    netip.AddrPort
	Service string
	Model   string
	Domain  string
	Version string
	// Advertise is the address in announcements; the zero value means that of the
	// engine itself.
	Advertise netip.AddrPort
	// Entries are the addresses of the entry VMs that receive announcements.
	Entries            []netip.AddrPort
	BackendToken       string
	ChecksFencingToken bool
	Params             model.Params
	// Lengths is the distribution of answer lengths for prompts without a length
	// directive. The zero value means mix.SummaryLengths.
	Lengths mix.LengthDist
	Seed    uint64
	// Interval is the time between announcements, DefaultInterval if zero. Lag is
	// the age of the load report in an announcement.
	Interval time.Duration
	Lag      time.Duration
	Log      *logrus.Logger
	// CrashPrompt, if not empty, makes the engine close, as if its process had died,
	// when the first token of a prompt that contains this text is due.
	CrashPrompt string
	// Meter, if not nil, counts the requests and names a rate limit in the responses.
	Meter *meter.Meter
}

const (
	// DefaultInterval is the default time between announcements.
	DefaultInterval = 500 * time.Millisecond
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 4 << 20
	// writeTimeout is how long a write may block on a client that does not read.
	writeTimeout = 30 * time.Second
)

// Engine is a running stand-in engine, started by New. It is safe for concurrent
// use.
type Engine struct {
	// conf doesn't change after New, except for Model and Version, which orders
	// change and mu guards.
	conf      Config
	server    *serve.Server
	orders    orderLog
	faults    activeFaults
	ctx       context.Context
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	closeOnce sync.Once

	// mu guards the fields below, except for wake, and those of the generations.
	mu          sync.Mutex
	sim         *model.Engine
	generations map[string]*generation
	// wake has a buffer of one and receives a value when there is work for the
	// step loop.
	wake        chan struct{}
	leaving     bool
	epoch       uint64
	seq         uint64
	loadHistory []timedLoad
	// pendingEvents holds the cache events for the next announcement.
	pendingEvents []model.CacheEvent
}

// New starts an engine. The caller must call Close.
func New(c Config) (*Engine, error) {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Lengths == (mix.LengthDist{}) {
		c.Lengths = mix.SummaryLengths
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		conf:        c,
		ctx:         ctx,
		cancel:      cancel,
		sim:         model.New(c.Params),
		generations: map[string]*generation{},
		wake:        make(chan struct{}, 1),
		epoch:       uint64(time.Now().UnixNano()),
	}
	s, err := serve.New(serve.Config{
		Addr:         c.Addr,
		Handler:      c.Meter.Wrap(e.handler()),
		MaxBody:      maxBody,
		WriteTimeout: writeTimeout,
		Log:          c.Log,
	})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("stand-in engine %s: %w", c.ID, err)
	}
	e.server = s
	e.loops.Add(3)
	go e.stepLoop()
	go e.announceLoop()
	go e.sweepLoop()
	return e, nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() netip.AddrPort { return e.server.Addr() }

// Leave makes the engine reject new generations and announces that it is leaving.
// The generations that run or wait continue.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.sim.Drain()
	e.mu.Unlock()
	e.announce()
}

// Close stops the engine at once, as if its process had died. It announces
// nothing. Only the first call has an effect.
func (e *Engine) Close() error {
	var err error
	e.closeOnce.Do(func() {
		e.cancel()
		err = e.server.Close()
		e.loops.Wait()
	})
	return err
}

// Closed reports whether the engine has been closed.
func (e *Engine) Closed() bool { return e.ctx.Err() != nil }

// Load returns the engine's current load.
func (e *Engine) Load() model.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sim.Load()
}

// stepLoop runs the simulated steps in real time until the engine closes. It waits
// for wake while nothing runs.
func (e *Engine) stepLoop() {
	defer e.loops.Done()
	for {
		e.faults.waitWhileFrozen(e.ctx)
		e.mu.Lock()
		d, tokens := e.sim.Step()
		e.mu.Unlock()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		if !e.sleep(e.faults.slowStep(d)) {
			return
		}
		e.publish(tokens)
	}
}

// sleep waits for d. It returns false at once if the engine closes.
func (e *Engine) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// publish adds generated tokens to their generations.
func (e *Engine) publish(tokens []model.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range tokens {
		g := e.generations[t.ID]
		if g == nil {
			continue
		}
		if g.crashes {
			// Close waits for the loop that publishes.
			go e.Close()
			return
		}
		g.addToken(t)
	}
}

// wakeStepLoop makes stepLoop look for work. It doesn't block.
func (e *Engine) wakeStepLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// sweepInterval is the time between two searches for generations to remove.
const sweepInterval = 50 * time.Millisecond

// sweepLoop removes the generations that have had no reader for longer than their
// resume window.
func (e *Engine) sweepLoop() {
	defer e.loops.Done()
	for e.sleep(sweepInterval) {
		now := time.Now()
		e.mu.Lock()
		for id, g := range e.generations {
			if g.readers == 0 && now.Sub(g.idleSince) > g.resumeWindow {
				e.removeGeneration(id, g)
			}
		}
		e.mu.Unlock()
	}
}

// removeGeneration cancels and removes a generation, frees its memory and wakes
// its readers. The caller must hold e.mu.
func (e *Engine) removeGeneration(id string, g *generation) {
	e.sim.Cancel(id)
	delete(e.generations, id)
	g.removed = true
	g.notifyReaders()
}
