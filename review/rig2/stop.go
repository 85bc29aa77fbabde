package main

import (
	"strings"
	"time"
)

// stop: an engine drains, and the way to it is cut while the first copy of a run's memory is made.
// The order to stop the run reaches it after the machine has given the order up.
func stop(e *env) (int, error) {
	const (
		events  = 240
		streams = 6
	)
	s, err := newStreamFleet(e, 2, events, 50*time.Millisecond, streamConfig(1, true))
	if err != nil {
		return failed, err
	}
	defer s.end()
	leaver := s.engines[0]
	notes := make(chan string, 1000)
	leaver.notes = notes
	answers := s.send(e, streams, 300)
	time.Sleep(1500 * time.Millisecond)
	leaver.leave()
	timeout := time.After(10 * time.Second)
	for first := true; first; {
		select {
		case n := <-notes:
			first = !strings.Contains(n, "kv-move")
		case <-timeout:
			first = false
		}
	}
	if e.trouble {
		time.Sleep(300 * time.Millisecond)
		s.link.in.cut()
		leaver.toggleHeartbeats()
		e.rec.log("nothing passes to engine %s any more, what it sends still passes", leaver.id)
		time.Sleep(5 * time.Second)
		s.link.in.heal()
		leaver.toggleHeartbeats()
		e.rec.log("the cut heals after 5 s")
	}
	return e.judge(answers, streams, events)
}
