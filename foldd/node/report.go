package node

import (
	"context"
	"maps"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
)

const (
	// reportInterval is the time between load reports while the load changes.
	reportInterval = 250 * time.Millisecond
	// maxReportInterval is the time after which an unchanged load is reported
	// again, well before the last report expires at the placement VM.
	maxReportInterval = time.Second
)

// sentReport is the last load report sent for a service and when it was sent.
type sentReport struct {
	loads map[string]place.Load
	at    time.Time
}

// newLoadReport returns a load report on a service. It removes the pending length
// samples, which are sent once and lost if the message is lost. The caller holds
// the lock.
func (n *Node) newLoadReport(service string) PlacementRequest {
	req := PlacementRequest{From: n.Settings.ID, Service: service, Loads: n.placer.LocalLoad(n.table.OfService(service)), LengthSamples: n.lengthSamples[service]}
	delete(n.lengthSamples, service)
	return req
}

// maxLengthSamples bounds the length samples of a service that are pending for
// the placement VM.
const maxLengthSamples = 512

// RecordLength records a length sample of a run of a service and queues it for
// the placement VM, if that is another VM.
func (n *Node) RecordLength(service string, sample place.LengthSample) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.Learn(sample)
	if _, ok := n.placementVM(time.Now(), service); !ok {
		return
	}
	if len(n.lengthSamples[service]) >= maxLengthSamples {
		n.Count("place.lengthSamplesDropped", 1)
		return
	}
	n.lengthSamples[service] = append(n.lengthSamples[service], sample)
}

// reportLoads sends load reports to the placement VMs of all services whose load
// has changed or is due to be reported again. It reschedules itself while this VM
// has requests in progress or its last report showed some.
func (n *Node) reportLoads(now time.Time) {
	n.mu.Lock()
	n.reportScheduled = false
	var sends []func()
	busy := false
	for service := range n.forwardBudgets {
		loads := n.placer.LocalLoad(n.table.OfService(service))
		n.placer.ObserveLocal(now, loads)
		to, ok := n.placementVM(now, service)
		last := n.sentReports[service]
		if len(loads) == 0 && len(last.loads) == 0 {
			continue
		}
		busy = true
		if !ok || (maps.EqualFunc(loads, last.loads, place.Load.SameRequests) && now.Sub(last.at) < maxReportInterval) {
			continue
		}
		n.sentReports[service] = sentReport{loads: loads, at: now}
		req := n.newLoadReport(service)
		sends = append(sends, func() { n.sendLoadReport(to, req) })
	}
	if busy {
		n.scheduleReport(now)
	}
	n.mu.Unlock()
	for _, f := range sends {
		go f()
	}
}

// sendLoadReport sends a load report to a placement VM. It is called without the
// lock.
func (n *Node) sendLoadReport(to member.Peer, req PlacementRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), placementTimeout)
	defer cancel()
	if _, err := n.RequestPlacement(ctx, to, req); err != nil {
		// No retry: the next report or placement request carries the load.
		n.Count("place.reportsFailed", 1)
	}
}

// scheduleReport schedules the next call of reportLoads, if none is pending. The
// caller holds the lock.
func (n *Node) scheduleReport(now time.Time) {
	if n.reportScheduled {
		return
	}
	n.reportScheduled = true
	n.Clock.At(now.Add(reportInterval), n.reportLoads)
}

// Loads returns this VM's load at each backend server of a service.
func (n *Node) Loads(service string) map[string]place.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placer.LocalLoad(n.table.OfService(service))
}
