package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// streamFleet is a deployment with engines of which one is behind a proxy.
type streamFleet struct {
	*fleet
	fronts  []*machine
	engines []*engineProcess
	// link is the way to the first engine.
	link *proxy
}

// newStreamFleet starts a deployment with one front machine and the given number of engines in each
// of three zones.
func newStreamFleet(e *env, perZone, events int, gap time.Duration, config []byte) (*streamFleet, error) {
	f, err := newFleet(e.rec, "tas-south", 134, bounds{
		"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
		"retry_budget": 0.2, "budget_window_s": 10, "budget_slack": 54,
	})
	if err != nil {
		return nil, err
	}
	s := &streamFleet{fleet: f}
	zones := []string{"hobart-a", "hobart-b", "kingston-c"}
	for i, z := range zones {
		f.addMachine("core", z, 11+i)
	}
	for i, z := range zones {
		s.fronts = append(s.fronts, f.addMachine("front", z, 21+i))
	}
	if err := f.startAll(); err != nil {
		s.end()
		return nil, err
	}
	op := &operator{rec: e.rec, nodes: f.seeds}
	if _, err := op.order(http.MethodPut, "/api/config", config, 15*time.Second); err != nil {
		s.end()
		return nil, err
	}
	for i := range perZone * len(zones) {
		advertise := fmt.Sprintf("%s.%d:%d", f.network, 101+i, portEngine)
		p := &engineProcess{rec: e.rec, id: fmt.Sprintf("i-%d", i+1), service: "models", zone: zones[i%len(zones)], listen: advertise, advertise: advertise, events: events, gap: gap, control: f.seeds}
		if i == 0 {
			p.listen = fmt.Sprintf("%s.111:%d", f.network, portEngine)
			if s.link, err = newProxy(advertise, p.listen); err != nil {
				s.end()
				return nil, err
			}
		}
		if err := p.start(); err != nil {
			s.end()
			return nil, err
		}
		s.engines = append(s.engines, p)
	}
	if err := awaitReady(f, 10*time.Second); err != nil {
		s.end()
		return nil, err
	}
	// Longer than contact_ms since the start: all machines are in touch.
	time.Sleep(6 * time.Second)
	return s, nil
}

// end ends all processes.
func (s *streamFleet) end() {
	for _, p := range s.engines {
		p.kill()
	}
	if s.link != nil {
		s.link.in.heal()
		s.link.out.heal()
		s.link.listener.Close()
	}
	s.stopAll()
}

// send starts streams, one after the other at each front machine, and returns a channel with the
// answers.
func (s *streamFleet) send(e *env, n, prompt int) <-chan answer {
	answers := make(chan answer, n)
	for i := range n {
		m := s.fronts[i%len(s.fronts)]
		go func() {
			answers <- request{node: m.addr(portFront), host: "models.example", path: "/draft/1", id: fmt.Sprintf("s%03d", i), deadline: 39 * time.Second, body: "x",
				header: map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,480", prompt), "X-Prompt-Prefix": fmt.Sprintf("%x:%d", 1000+i, prompt)}}.send(e.rec)
		}()
	}
	return answers
}

// judge counts the streams that ended as complete before their last event.
func (e *env) judge(answers <-chan answer, n, events int) (int, error) {
	short, cutOff := 0, 0
	for range n {
		a := <-answers
		got := strings.Count(a.body, "\n\n")
		switch {
		case a.err != nil || a.status != http.StatusOK:
			cutOff++
		case got < events:
			short++
			e.rec.log("a stream ended as complete after %d of %d events", got, events)
		}
	}
	e.rec.log("of %d streams %d ended as complete before their last event, %d were broken off visibly or refused", n, short, cutOff)
	if !e.trouble && cutOff > 0 {
		return failed, fmt.Errorf("%d streams failed without the disruption", cutOff)
	}
	if short > 0 {
		return broken, nil
	}
	return held, nil
}

// reborn: an engine is cut off from all machines, crashes behind the cut and starts again. Its
// streams, which have neither a length nor chunks, then end in the middle.
func reborn(e *env) (int, error) {
	const (
		events  = 120
		streams = 24
	)
	s, err := newStreamFleet(e, 2, events, 50*time.Millisecond, streamConfig(1, false))
	if err != nil {
		return failed, err
	}
	defer s.end()
	answers := s.send(e, streams, 300)
	time.Sleep(1500 * time.Millisecond)
	if e.trouble {
		cut := s.engines[0]
		s.link.in.cut()
		s.link.out.cut()
		e.rec.log("engine %s is cut off from all machines", cut.id)
		time.Sleep(300 * time.Millisecond)
		cut.kill()
		time.Sleep(2500 * time.Millisecond)
		next := &engineProcess{rec: cut.rec, id: cut.id + "-again", service: cut.service, zone: cut.zone, listen: cut.listen, advertise: cut.advertise, events: cut.events, gap: cut.gap, control: cut.control, cutOff: true}
		if err := next.start(); err != nil {
			return failed, err
		}
		s.engines = append(s.engines[1:], next)
		time.Sleep(1700 * time.Millisecond)
		s.link.in.heal()
		s.link.out.heal()
		next.toggleHeartbeats()
		e.rec.log("the cut heals after 4.5 s")
	}
	return e.judge(answers, streams, events)
}
