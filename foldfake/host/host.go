// Package host serves the stand-in model engine over HTTP in real time: the
// completions protocol with server-sent events, resume, cancel, announcements
// and faults on command.
package host

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldfake/mix"
	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/netio/serve"
)

// Config describes one stand-in engine.
type Config struct {
	ID      string
	Addr    netip.AddrPort
	Service string
	Model   string
	Domain  string
	Version string
	// Entries are the addresses that take announcements.
	Entries            []netip.AddrPort
	BackendToken       string
	ChecksFencingToken bool
	Params             model.Params
	// Lengths is used for prompts that state no length.
	Lengths mix.LengthDist
	Seed    uint64
	// Interval is the time between announcements, Lag the age of the load in
	// them.
	Interval time.Duration
	Lag      time.Duration
	Log      *logrus.Logger
}

// Defaults of a Config.
const (
	DefaultInterval = 500 * time.Millisecond
	maxBody         = 4 << 20
	writeTimeout    = 30 * time.Second
)

// Engine is a running stand-in engine. Make it with New.
type Engine struct {
	conf   Config
	server *serve.Server
	fenced fence
	faults faults
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	closed sync.Once

	mu    sync.Mutex
	model *model.Engine
	gens  map[string]*gen
	// wake is signalled when there is work for the step loop.
	wake    chan struct{}
	leaving bool
	epoch   uint64
	seq     uint64
	history []timedLoad
	// lateEvents are the cache events of the next announcement.
	lateEvents []model.CacheEvent
}

// New starts an engine.
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
		conf:   c,
		ctx:    ctx,
		cancel: cancel,
		model:  model.New(c.Params),
		gens:   map[string]*gen{},
		wake:   make(chan struct{}, 1),
		epoch:  uint64(time.Now().UnixNano()),
	}
	s, err := serve.New(serve.Config{
		Addr:         c.Addr,
		Handler:      e.handler(),
		MaxBody:      maxBody,
		WriteTimeout: writeTimeout,
		Log:          c.Log,
	})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("stand-in engine %s: %w", c.ID, err)
	}
	e.server = s
	e.done.Add(3)
	go e.steps()
	go e.announcements()
	go e.sweep()
	return e, nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() netip.AddrPort { return e.server.Addr() }

// Leave announces that the engine takes no new work. The running generations
// go on.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.model.Drain()
	e.mu.Unlock()
	e.announce()
}

// Close ends the engine at once, as if its process had died.
func (e *Engine) Close() error {
	var err error
	e.closed.Do(func() {
		e.cancel()
		err = e.server.Close()
		e.done.Wait()
	})
	return err
}

// Load returns the engine's work at this moment.
func (e *Engine) Load() model.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Load()
}

// steps runs the model in real time.
func (e *Engine) steps() {
	defer e.done.Done()
	for {
		e.faults.wait(e.ctx)
		e.mu.Lock()
		d, tokens := e.model.Step()
		e.mu.Unlock()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		if !e.sleep(e.faults.slowed(d)) {
			return
		}
		e.publish(tokens)
	}
}

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

func (e *Engine) publish(tokens []model.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range tokens {
		if g := e.gens[t.ID]; g != nil {
			g.add(t)
		}
	}
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

const sweepInterval = 50 * time.Millisecond

// sweep drops generations that nobody has read for their resume window.
func (e *Engine) sweep() {
	defer e.done.Done()
	for e.sleep(sweepInterval) {
		now := time.Now()
		e.mu.Lock()
		for id, g := range e.gens {
			if g.readers == 0 && now.Sub(g.left) > g.window {
				e.drop(id, g)
			}
		}
		e.mu.Unlock()
	}
}

// drop forgets a generation and frees its memory. The caller holds the lock.
func (e *Engine) drop(id string, g *gen) {
	e.model.Cancel(id)
	delete(e.gens, id)
	g.cancelled = true
	g.broadcast()
}
