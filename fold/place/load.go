package place

import (
	"slices"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/usage"
)

// Run is one generation in an engine's memory. It is zero for a request that
// generates no tokens (a plain call).
type Run struct {
	// ID identifies the run among the runs of the VM that forwards it.
	ID uint64
	// Group names the runs whose lengths are learned together.
	Group learn.Group
	// BaseTokens is the size of the memory that the run uses apart from the
	// tokens it generates, in tokens.
	BaseTokens int
	// Generated is the number of tokens generated so far. MaxTokens is the
	// limit on it, zero if there is none known.
	Generated int
	MaxTokens int
	// GapTarget is the target for the longest pause between events of the run, zero if
	// there is none, and EventTokens the number of tokens in an event.
	GapTarget   time.Duration
	EventTokens int
	// Late is set if the run has missed one of its targets. Further delay then costs its
	// caller nothing.
	Late bool
}

// Load is what one VM has under way at a server.
type Load struct {
	Requests int
	// PrefillTokens is the total size, in tokens, of the prompts whose requests
	// have no first token yet.
	PrefillTokens int
	Runs          []Run
	// MaxGap is the longest pause between two events of a run in the last quarter of a
	// second, and MaxGapAge the time since its end. Both are zero if there was none.
	MaxGap    time.Duration
	MaxGapAge time.Duration
}

// SameRequests reports whether two loads consist of the same requests, whatever
// number of tokens their runs have generated.
func (l Load) SameRequests(o Load) bool {
	same := func(a, b Run) bool { return a.ID == b.ID }
	return l.Requests == o.Requests && l.PrefillTokens == o.PrefillTokens && slices.EqualFunc(l.Runs, o.Runs, same)
}

// currentRun returns the run with the number of tokens that it has generated up
// to now.
func (req *Request) currentRun() Run {
	r := req.Run
	if req.Progress != nil {
		r.Generated = req.Progress()
	}
	return r
}

// backendState is the load that this VM has at a server, and its back-off from
// the server.
type backendState struct {
	requests int
	prefill  int
	// runs holds the runs at an engine by ID.
	runs map[uint64]Request
	// Pause is the back-off from the server.
	retry.Pause
	// maxGap is the longest recent gap between two events of a run, and maxGapAt its end.
	maxGap   time.Duration
	maxGapAt time.Time
}

// load returns the load with the current progress of its runs, in the order of
// their IDs.
func (s *backendState) load(now time.Time) Load {
	l := Load{Requests: s.requests, PrefillTokens: s.prefill}
	if age := now.Sub(s.maxGapAt); s.maxGap > 0 && age <= maxGapAge {
		l.MaxGap, l.MaxGapAge = s.maxGap, age
	}
	for _, req := range s.runs {
		l.Runs = append(l.Runs, req.currentRun())
	}
	slices.SortFunc(l.Runs, func(a, b Run) int { return int(a.ID) - int(b.ID) })
	return l
}

// peerLoad is the load of another VM, as the VM last reported it, with the
// reservations made for the VM since.
type peerLoad struct {
	// lastSeen is the time of the VM's last load report or placement request.
	lastSeen time.Time
	// reportedAt is the time of the last load report, loads.
	reportedAt   time.Time
	loads        map[string]Load
	reservations []reservation
	// prefills holds the prompts of the VM's runs that have no token yet.
	prefills prefills
}

// reservation is a recent placement made for another VM.
type reservation struct {
	at           time.Time
	server       string
	run          Run
	promptTokens int
}

// pending reports whether a reservation still counts in addition to the peer's
// load report. It stops counting after reservationTTL, or once the report
// includes the run.
func (peer *peerLoad) pending(now time.Time, res *reservation) bool {
	if now.Sub(res.at) >= reservationTTL {
		return false
	}
	return !slices.ContainsFunc(peer.loads[res.server].Runs, func(r Run) bool { return r.ID == res.run.ID })
}

// counts returns the number of requests that all VMs have under way at a
// server, and the size in tokens of those prompts that have no first token yet.
func (p *Placer) counts(now time.Time, id string) (requests, prefill int) {
	if b := p.backends[id]; b != nil {
		requests, prefill = b.requests, b.prefill
	}
	for _, peer := range p.users[id] {
		if now.Sub(peer.lastSeen) >= peerLoadTTL {
			continue
		}
		l := peer.loads[id]
		requests += l.Requests
		prefill += l.PrefillTokens
		for i := range peer.reservations {
			if res := &peer.reservations[i]; res.server == id && peer.pending(now, res) {
				requests++
				prefill += res.promptTokens
			}
		}
	}
	return requests, prefill
}

// serverLoad returns the load of a server as this placer knows it.
func (p *Placer) serverLoad(now time.Time, s *member.Backend) ServerLoad {
	var l ServerLoad
	l.Requests, l.PrefillTokens = p.counts(now, s.ID)
	if s.MemoryTokens > 0 {
		l.MemoryShare = p.forecast(now, s.ID).Peak(&usage.Forecast{}, float64(s.MemoryTokens), marginStdDevs)
	}
	for _, peer := range p.peers {
		if age := now.Sub(peer.lastSeen); age < peerLoadTTL {
			l.ReportAge = max(l.ReportAge, age)
		}
	}
	return l
}

// forEachRun calls f for every run that any VM has at an engine.
func (p *Placer) forEachRun(now time.Time, id string, f func(Run)) {
	if b := p.backends[id]; b != nil {
		for _, req := range b.runs {
			f(req.currentRun())
		}
	}
	for _, peer := range p.users[id] {
		if now.Sub(peer.lastSeen) >= peerLoadTTL {
			continue
		}
		for _, r := range peer.loads[id].Runs {
			f(r)
		}
		for i := range peer.reservations {
			if res := &peer.reservations[i]; res.server == id && peer.pending(now, res) {
				f(res.run)
			}
		}
	}
}

// UpdatePeerLoad replaces the load report of another VM, by server ID, and
// drops the reservations that no longer count.
func (p *Placer) UpdatePeerLoad(now time.Time, vm string, loads map[string]Load) {
	peer := p.peerLoadOf(vm)
	for id, l := range loads {
		p.observeGrowth(now, id, peer.loads[id], l, now.Sub(peer.reportedAt))
		p.observeLate(now, id, peer.loads[id], l)
		p.observeReportedGap(now, id, l)
		p.observeFirstTokens(now, id, peer, l)
	}
	for id := range peer.loads {
		delete(p.users[id], vm)
	}
	for i := range peer.reservations {
		delete(p.users[peer.reservations[i].server], vm)
	}
	peer.lastSeen, peer.reportedAt = now, now
	peer.loads = loads
	peer.reservations = slices.DeleteFunc(peer.reservations, func(res reservation) bool { return !peer.pending(now, &res) })
	for id := range loads {
		p.addUser(id, vm, peer)
	}
	for i := range peer.reservations {
		p.addUser(peer.reservations[i].server, vm, peer)
	}
}

// addUser records that a VM has a load or a reservation at a server.
func (p *Placer) addUser(id, vm string, peer *peerLoad) {
	if p.users == nil {
		p.users = map[string]map[string]*peerLoad{}
	}
	if p.users[id] == nil {
		p.users[id] = map[string]*peerLoad{}
	}
	p.users[id][vm] = peer
}

// Reserve counts a placement made for another VM until the VM's load report
// includes it.
func (p *Placer) Reserve(now time.Time, vm, server string, req Request) {
	peer := p.peerLoadOf(vm)
	if req.ID != 0 && req.PromptTokens > 0 {
		peer.prefills.begin(req.ID, p.newPrefill(now, server, req))
	}
	p.observePrompt(now, server, req)
	peer.lastSeen = now
	p.addUser(server, vm, peer)
	peer.reservations = append(peer.reservations, reservation{at: now, server: server, run: req.currentRun(), promptTokens: req.PromptTokens})
	p.addToForecast(server, req)
}

// peerLoadOf returns the load of another VM, creating it if there is none.
func (p *Placer) peerLoadOf(vm string) *peerLoad {
	peer := p.peers[vm]
	if peer == nil {
		if p.peers == nil {
			p.peers = map[string]*peerLoad{}
		}
		peer = &peerLoad{}
		p.peers[vm] = peer
	}
	return peer
}

// LocalLoad returns the load that this VM has at those of the given servers
// where it has requests under way, by server ID.
func (p *Placer) LocalLoad(now time.Time, servers []member.Backend) map[string]Load {
	out := map[string]Load{}
	for _, s := range servers {
		if b := p.backends[s.ID]; b != nil && b.requests > 0 {
			out[s.ID] = b.load(now)
		}
	}
	return out
}

// InUse reports whether this VM has requests under way at a server.
func (p *Placer) InUse(id string) bool {
	b := p.backends[id]
	return b != nil && b.requests > 0
}

// backend returns this VM's state for a server, creating it if there is none.
func (p *Placer) backend(id string) *backendState {
	b := p.backends[id]
	if b == nil {
		if p.backends == nil {
			p.backends = map[string]*backendState{}
		}
		b = &backendState{runs: map[uint64]Request{}}
		p.backends[id] = b
	}
	return b
}

// Begin counts a request that is sent to a server. The caller must call End for
// it.
func (p *Placer) Begin(now time.Time, id string, req Request) {
	if req.ID != 0 && req.PromptTokens > 0 {
		p.localPrefills.begin(req.ID, p.newPrefill(now, id, req))
	}
	p.observePrompt(now, id, req)
	b := p.backend(id)
	b.requests++
	b.prefill += req.PromptTokens
	if req.ID != 0 {
		b.runs[req.ID] = req
		p.addToForecast(id, req)
	}
}

// Prefilled records that the first token of a request has arrived, so that its
// prompt no longer counts as prefill.
func (p *Placer) Prefilled(now time.Time, id string, req Request) {
	p.backend(id).prefill -= req.PromptTokens
	p.observePrefill(now, p.localPrefills.end(req.ID))
}

// End removes a request that Begin counted and records how it ended. req must
// be the request given to Begin, with PromptTokens set to zero if Prefilled was
// called.
func (p *Placer) End(now time.Time, id string, req Request, result Result) {
	b := p.backend(id)
	b.requests--
	b.prefill -= req.PromptTokens
	if req.ID != 0 {
		p.localPrefills.end(req.ID)
		delete(b.runs, req.ID)
		delete(p.forecasts, id)
	}
	switch result {
	case Answered:
		b.Pause = retry.Pause{}
	case Failed, Unreachable:
		b.Fail(now, minBackoff, maxBackoff)
	}
}

// Forget drops the state of a server that has expired or was removed, unless
// requests are still under way there.
func (p *Placer) Forget(id string) {
	delete(p.forecasts, id)
	delete(p.paces, id)
	delete(p.prefillPaces, id)
	delete(p.gaps, id)
	delete(p.localReports, id)
	if len(p.users[id]) == 0 {
		delete(p.users, id)
	}
	if b := p.backends[id]; b != nil && b.requests == 0 {
		delete(p.backends, id)
	}
}
