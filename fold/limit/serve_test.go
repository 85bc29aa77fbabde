package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// playServer is a server that takes a number of requests a second and turns the others
// away, with a time for which it wants none from that VM.
type playServer struct {
	Server
	rate bucketRate
	away time.Duration
	// leavesAt is when the server begins to say that it leaves, zero for never. It then
	// turns everything away.
	leavesAt time.Time
	// awayUntil holds until when the server wants nothing of each VM.
	awayUntil map[int]time.Time
}

// bucketRate is a token bucket with the rate at which it is refilled.
type bucketRate struct {
	bucket
	rate Rate
}

// takes reports whether the server would take a request of a VM now.
func (s *playServer) takes(now time.Time, vm int) bool {
	s.rate.refill(now, s.rate.rate)
	leaving := !s.leavesAt.IsZero() && !now.Before(s.leavesAt)
	return !leaving && !now.Before(s.awayUntil[vm]) && s.rate.tokens >= 1
}

// send sends the server a request of a VM, and reports whether it was served.
func (s *playServer) send(now time.Time, vm int, l *Limiter) bool {
	taken := s.takes(now, vm)
	if !s.leavesAt.IsZero() && !now.Before(s.leavesAt) {
		l.ObserveLeaving(s.Server)
		return false
	}
	if taken {
		s.rate.tokens--
		return true
	}
	if now.Before(s.awayUntil[vm]) {
		return false
	}
	s.awayUntil[vm] = now.Add(s.away)
	l.ObserveRetryAfter(now, s.Server, s.away)
	return false
}

// servedShare is the share of the requests that a server would have taken that must be
// served.
const servedShare = 0.95

// TestServedBesideWhatServersTake plays VMs before servers that turn requests away and
// leave. Of the requests that a server would take from their VM, the share that is served
// reaches servedShare; none is rejected while a server is not withheld; and the time to come
// back is that at which a server is not withheld any more.
func TestServedBesideWhatServersTake(t *testing.T) {
	const vms, servers, attempts, perServer = 7, 4, 2, 10.0
	for _, load := range []float64{0.6, 0.9, 1.2, 2} {
		for _, away := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("load %v, away %v", load, away), func(t *testing.T) {
				taken, served := 0, 0
				for seed := range uint64(20) {
					a, b := playServed(t, seed, load, away, vms, servers, attempts, perServer)
					taken, served = taken+a, served+b
				}
				share := float64(served) / float64(taken)
				t.Logf("%d of %d requests that a server would take are served: %.3f", served, taken, share)
				if share < servedShare {
					t.Errorf("%.3f of the requests that a server would take are served, want %v", share, servedShare)
				}
			})
		}
	}
}

// playServed plays 20 s, and returns the number of requests that a server would have taken
// when they came, and of those the number that were served.
func playServed(t *testing.T, seed uint64, load float64, away time.Duration, vms, servers, attempts int, perServer float64) (taken, served int) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	var all []*playServer
	for i := range servers {
		s := &playServer{Server: Server{ID: fmt.Sprint("s", i), Epoch: 1}, rate: bucketRate{rate: Rate(perServer)}, away: away, awayUntil: map[int]time.Time{}}
		s.rate.at = now
		all = append(all, s)
	}
	all[0].leavesAt = now.Add(10 * time.Second)
	limiters := make([]Limiter, vms)
	gap := time.Duration(float64(time.Second) / (load * perServer * float64(servers)))
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(time.Duration(r.ExpFloat64() * float64(gap))) {
		vm := r.IntN(vms)
		l := &limiters[vm]
		wanted := slices.ContainsFunc(all, func(s *playServer) bool { return s.takes(now, vm) })
		ok := sendPlayed(t, now, r, all, vm, l, attempts)
		if wanted {
			taken++
		}
		if wanted && ok {
			served++
		}
	}
	return taken, served
}

// sendPlayed sends a request to servers that are not withheld, in random order, and reports
// whether it was served.
func sendPlayed(t *testing.T, now time.Time, r *rand.Rand, all []*playServer, vm int, l *Limiter, attempts int) bool {
	t.Helper()
	var soonest time.Duration
	for _, i := range r.Perm(len(all)) {
		s := all[i]
		if d, withheld := l.Withhold(now, s.Server, Begin); withheld {
			if d.Cause == Cooldown && (soonest == 0 || d.RetryAfter < soonest) {
				soonest = d.RetryAfter
			}
			continue
		}
		if attempts == 0 {
			return false
		}
		attempts--
		l.Sending(now, s.Server)
		if s.send(now, vm, l) {
			return true
		}
	}
	if soonest == 0 {
		return false
	}
	back := now.Add(soonest)
	if !slices.ContainsFunc(all, func(s *playServer) bool { _, w := l.Withhold(back, s.Server, Begin); return !w }) {
		t.Errorf("no server takes a request at the time to come back, in %v", soonest)
	}
	return false
}
