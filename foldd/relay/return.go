package relay

import (
	"context"
	"time"

	"fuchsiafold.example/fold/place"
)

const (
	// returnInterval is the time between two checks whether a run can return to
	// this VM's failure domain.
	returnInterval = 1500 * time.Millisecond
	// minReturnTokens is the mean remaining length of a run below which it stays
	// where it is.
	minReturnTokens = 100
)

// returnRun moves a run that generates in another failure domain to an engine of
// this VM's domain once one has room. A run goes to another domain while the
// engines of its own are full or leaving; as long as it stays there, a partition
// between the domains ends its stream.
func (x *Relay) returnRun(s *stream) {
	now := time.Now()
	if s.server.Domain == x.Node.Settings.Domain || now.Sub(s.returnChecked) < returnInterval || x.Mover == nil {
		return
	}
	s.returnChecked = now
	if x.Node.Evacuated(x.Node.Settings.Domain) {
		return
	}
	run := s.initialRun
	run.Generated = s.generated()
	if x.Node.MeanRemainingTokens(run) < minReturnTokens || !s.beginMove() {
		return
	}
	go x.moveToOwnDomain(s, s.server)
}

// moveToOwnDomain asks for an engine of this VM's failure domain and moves the run
// there. If there is none with room, or the copy fails, the run stays.
func (x *Relay) moveToOwnDomain(s *stream, from backend) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	req := s.copyRequest(from)
	req.Exclude, req.Domain, req.Copy.MayStay = nil, x.Node.Settings.Domain, true
	choice, ok := x.Node.Place(ctx, s.q.service.Name, req)
	if !ok || choice.Rejects() || choice.Server.ID == from.ID {
		x.cancelReturn(s, from)
		return
	}
	sleep(ctx, choice.CopyDelay)
	began := time.Now()
	handle, err := x.copyMemory(ctx, s, from, choice.Server)
	if err != nil {
		x.logMove(s, from, choice.Server, "return", nil, err)
		x.Node.EndPlacement(choice.Server.ID, req, place.Cancelled)
		x.cancelReturn(s, from)
		return
	}
	if !x.finishMove(ctx, s, from, firstCopy{target: choice.Server, handle: handle, took: time.Since(began)}) {
		x.cancelReturn(s, from)
	}
}

// cancelReturn lets the run be moved again. If its engine began to leave
// meanwhile, the run is moved off it now.
func (x *Relay) cancelReturn(s *stream, from backend) {
	s.mu.Lock()
	s.moveBegun = false
	s.mu.Unlock()
	if current, ok := x.Node.Backend(from.ID); ok && current.Leaving {
		x.evacuate([]*stream{s}, current)
	}
}
