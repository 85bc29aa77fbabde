// Package plain serves a stand-in for a plain service, such as a booking
// application. It counts how often each call ran.
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
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/netio/serve"
)

// Config configures a stand-in service.
type Config struct {
	ID      string
	Addr    netip.AddrPort
	Service string
	Domain  string
	// Advertise is the address in announcements; the zero value means that of the
	// service itself.
	Advertise    netip.AddrPort
	Entries      []netip.AddrPort
	BackendToken string
	// Delay is the duration of a call.
	Delay time.Duration
	// Interval is the time between announcements, host.DefaultInterval if zero.
	Interval time.Duration
	Log      *logrus.Logger
	// Meter, if not nil, counts the requests and names a rate limit in the responses.
	Meter *meter.Meter
}

// Service is a running stand-in service, started by New. It is safe for
// concurrent use.
type Service struct {
	conf      Config
	server    *serve.Server
	cancel    context.CancelFunc
	ctx       context.Context
	loops     sync.WaitGroup
	closeOnce sync.Once

	mu sync.Mutex
	// runCounts counts the calls that ran, by idempotency key.
	runCounts map[string]int
	// fault is the fault in force, empty if there is none.
	fault   string
	leaving bool
	epoch   uint64
	seq     uint64
}

// Faults for Inject and POST /fault.
const (
	// FaultRefuse answers a call with the header that says it did not run.
	FaultRefuse = "refuse"
	// FaultLoseAnswer runs the call and closes the connection without an answer.
	FaultLoseAnswer = "loseAnswer"
	// FaultHang runs the call and doesn't answer while the connection stays open.
	FaultHang = "hang"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 4 << 20

// New starts a service. The caller must call Close.
func New(c Config) (*Service, error) {
	if c.Interval == 0 {
		c.Interval = host.DefaultInterval
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{conf: c, cancel: cancel, ctx: ctx, runCounts: map[string]int{}, epoch: uint64(time.Now().UnixNano())}
	server, err := serve.New(serve.Config{Addr: c.Addr, Handler: c.Meter.Wrap(http.HandlerFunc(s.handle)), MaxBody: maxBody, Log: c.Log})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("stand-in service %s: %w", c.ID, err)
	}
	s.server = server
	s.loops.Add(1)
	go s.announceLoop()
	return s, nil
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() netip.AddrPort { return s.server.Addr() }

// RunCount returns how often a call with the idempotency key ran.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[key]
}

// Inject applies a fault to the calls that follow, in place of the previous fault.
// An empty string ends the fault in force.
func (s *Service) Inject(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Leave announces that the service is leaving. It still answers calls.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announce()
}

// Close stops the service at once. Only the first call has an effect.
func (s *Service) Close() error {
	var err error
	s.closeOnce.Do(func() {
		s.cancel()
		err = s.server.Close()
		s.loops.Wait()
	})
	return err
}

// callResponse is the body of the response to a call. Ran is how often a call with
// its idempotency key has run.
type callResponse struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Ran       int    `json:"ran"`
}

// handle answers a request to /fault by injecting the fault named in its body. Any
// other request is a call.
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
	s.runCall(w, r, string(body), fault)
}

// runCall counts a call and answers it, unless the fault withholds the answer.
func (s *Service) runCall(w http.ResponseWriter, r *http.Request, body, fault string) {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runCounts[key]++
	response := callResponse{Service: s.conf.Service, Workspace: r.Header.Get("Fold-Workspace"), Path: r.URL.Path, Body: body, Ran: s.runCounts[key]}
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
	json.NewEncoder(w).Encode(response)
}

// announceLoop sends an announcement every Interval until the service closes.
func (s *Service) announceLoop() {
	defer s.loops.Done()
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

// announce sends an announcement to one entry VM. It starts with a different VM
// each time and stops at the first one that accepts the announcement.
func (s *Service) announce() {
	s.mu.Lock()
	s.seq++
	a := host.Announcement{
		ID:      s.conf.ID,
		Addr:    host.AdvertisedAddr(s.conf.Advertise, s.server.Addr()),
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
