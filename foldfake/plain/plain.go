// Package plain is the stand-in for a plain service: a booking application
// that counts how often each call ran.
package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/netio/serve"
)

// Config describes one stand-in service.
type Config struct {
	ID           string
	Addr         netip.AddrPort
	Service      string
	Domain       string
	Entries      []netip.AddrPort
	BackendToken string
	// Delay is the duration of a call.
	Delay    time.Duration
	Interval time.Duration
	Log      *logrus.Logger
}

// Service is a running stand-in. Make it with New.
type Service struct {
	conf   Config
	server *serve.Server
	cancel context.CancelFunc
	ctx    context.Context
	done   sync.WaitGroup
	closed sync.Once

	mu  sync.Mutex
	ran map[string]int
	// fault is the fault in force, empty for none.
	fault   string
	leaving bool
	epoch   uint64
	seq     uint64
}

// Faults on command.
const (
	// FaultRefuse answers that the call did not run.
	FaultRefuse = "refuse"
	// FaultLoseAnswer runs the call and closes the connection.
	FaultLoseAnswer = "loseAnswer"
	// FaultHang runs the call and never answers.
	FaultHang = "hang"
)

const maxBody = 4 << 20

// New starts a service.
func New(c Config) (*Service, error) {
	if c.Interval == 0 {
		c.Interval = host.DefaultInterval
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{conf: c, cancel: cancel, ctx: ctx, ran: map[string]int{}, epoch: uint64(time.Now().UnixNano())}
	server, err := serve.New(serve.Config{Addr: c.Addr, Handler: http.HandlerFunc(s.handle), MaxBody: maxBody, Log: c.Log})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("stand-in service %s: %w", c.ID, err)
	}
	s.server = server
	s.done.Add(1)
	go s.announcements()
	return s, nil
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() netip.AddrPort { return s.server.Addr() }

// RunCount returns how often a call with the key ran.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[key]
}

// Inject puts a fault in force; empty ends it.
func (s *Service) Inject(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Leave announces that the service takes no new calls.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announce()
}

// Close ends the service at once.
func (s *Service) Close() error {
	var err error
	s.closed.Do(func() {
		s.cancel()
		err = s.server.Close()
		s.done.Wait()
	})
	return err
}

// reply is the answer to a call.
type reply struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Ran       int    `json:"ran"`
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		kind, err := io.ReadAll(r.Body)
		if err == nil {
			s.Inject(string(kind))
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault == FaultRefuse {
		w.Header().Set("Fold-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, string(body), fault)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, body, fault string) {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.ran[key]++
	rep := reply{Service: s.conf.Service, Workspace: r.Header.Get("Fold-Workspace"), Path: r.URL.Path, Body: body, Ran: s.ran[key]}
	s.mu.Unlock()
	switch fault {
	case FaultLoseAnswer:
		serve.CallerOf(r).Abort()
		return
	case FaultHang:
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(s.conf.Delay):
	case <-s.ctx.Done():
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(rep)
}

func (s *Service) announcements() {
	defer s.done.Done()
	t := time.NewTicker(s.conf.Interval)
	defer t.Stop()
	for {
		s.announce()
		select {
		case <-t.C:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Service) announce() {
	s.mu.Lock()
	s.seq++
	a := host.Announcement{
		ID:      s.conf.ID,
		Addr:    s.server.Addr().String(),
		Kind:    "plain",
		Service: s.conf.Service,
		Domain:  s.conf.Domain,
		Epoch:   s.epoch,
		Seq:     s.seq,
		Leaving: s.leaving,
	}
	s.mu.Unlock()
	n := len(s.conf.Entries)
	for i := range n {
		addr := s.conf.Entries[(int(a.Seq)+i)%n]
		if host.Announce(s.ctx, addr.String(), s.conf.BackendToken, a) == nil {
			return
		}
	}
}
