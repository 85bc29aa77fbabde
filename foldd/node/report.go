package node

import (
	"context"
	"maps"
	"slices"
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

// reportKey identifies the load reports on a service to one placement VM. domain is the
// failure domain of the engines, empty for the whole region.
type reportKey struct{ service, domain string }

// sentReport is the last load report sent to a placement VM and when it was sent.
type sentReport struct {
	loads map[string]place.Load
	at    time.Time
}

// newLoadReport returns a load report on a service's engines in a failure domain, or in the
// whole region if domain is empty. A report for the VM's own domain or the region removes
// the pending length samples, which are sent once and lost if the message is lost. The
// caller holds the lock.
func (n *Node) newLoadReport(service, domain string) PlacementRequest {
	req := PlacementRequest{From: n.Settings.ID, Service: service, Loads: n.placer.LocalLoad(time.Now(), n.enginesIn(service, domain))}
	if domain == "" || domain == n.Settings.Domain {
		req.LengthSamples = n.lengthSamples[service]
		delete(n.lengthSamples, service)
	}
	return req
}

// enginesIn returns the servers of a service in a failure domain, with those that name none,
// or all of them if domain is empty. The caller holds the lock.
func (n *Node) enginesIn(service, domain string) []member.Backend {
	return slices.DeleteFunc(n.table.OfService(service), func(b member.Backend) bool {
		return domain != "" && b.Domain != "" && b.Domain != domain
	})
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
	if _, ok := n.homePlacementVM(time.Now(), service); !ok {
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
		n.placer.ObserveLocal(now, n.placer.LocalLoad(now, n.table.OfService(service)))
		for _, key := range n.reportKeys(now, service) {
			send, active := n.dueReport(now, key)
			busy = busy || active
			if send != nil {
				sends = append(sends, send)
			}
		}
	}
	if busy {
		n.scheduleReport(now)
	}
	n.mu.Unlock()
	for _, f := range sends {
		go f()
	}
}

// reportKeys returns the load reports that this VM may have to send on a service. The caller
// holds the lock.
func (n *Node) reportKeys(now time.Time, service string) []reportKey {
	if !n.placesByDomain(now) {
		return []reportKey{{service: service}}
	}
	out := []reportKey{{service: service, domain: n.Settings.Domain}}
	for _, b := range n.table.OfService(service) {
		if b.Domain == "" {
			continue
		}
		if key := (reportKey{service: service, domain: b.Domain}); !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out
}

// dueReport returns a function that sends a load report, nil if none is due, and reports
// whether this VM has requests in progress there or its last report showed some. The caller
// holds the lock.
func (n *Node) dueReport(now time.Time, key reportKey) (send func(), active bool) {
	loads := n.placer.LocalLoad(now, n.enginesIn(key.service, key.domain))
	last := n.sentReports[key]
	if len(loads) == 0 && len(last.loads) == 0 {
		return nil, false
	}
	if maps.EqualFunc(loads, last.loads, place.Load.SameRequests) && now.Sub(last.at) < maxReportInterval {
		return nil, true
	}
	if !n.hasPlacementVM(key.service) {
		return nil, true
	}
	to := n.placementVM(now, key.service, key.domain)
	if to.ID == n.Settings.ID {
		return nil, true
	}
	n.sentReports[key] = sentReport{loads: loads, at: now}
	req := n.newLoadReport(key.service, key.domain)
	return func() { n.sendLoadReport(to, req) }, true
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
	return n.placer.LocalLoad(time.Now(), n.table.OfService(service))
}
