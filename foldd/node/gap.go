package node

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/place"
)

// urgentReportInterval is the least time between a load report and one that is sent at once
// because an engine is in a slow period.
const urgentReportInterval = 100 * time.Millisecond

// ObserveEvent records an event of a run with a gap target at an engine of a service. gap is
// the time since the event before it, zero for the first one, and late reports whether the
// run has missed a target. If the gap shows a slow period of the engine, the placement VM
// learns of it at once.
func (n *Node) ObserveEvent(service, id string, run uint64, gap time.Duration, late bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.placer.ObserveEvent(now, id, run, gap, late) {
		return
	}
	n.Count("place.slowGaps", 1)
	if send := n.urgentReport(now, service, id); send != nil {
		n.Count("place.urgentReports", 1)
		go send()
	}
}

// RunLateByMove records that a run with a gap target, now at the engine id, became late by its
// move there.
func (n *Node) RunLateByMove(id string, run uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placer.LateByMove(id, run)
}

// urgentReport returns a function that sends a load report to the VM that places requests at
// an engine, nil if that is this VM or if a report was sent just now. The caller holds the
// lock.
func (n *Node) urgentReport(now time.Time, service, id string) func() {
	b, ok := n.table.Get(id)
	if !ok || !n.hasPlacementVM(service) {
		return nil
	}
	key := reportKey{service: service}
	if n.placesByDomain(now) {
		key.domain = b.Domain
	}
	to := n.placementVM(now, service, key.domain)
	if to.ID == n.Settings.ID || now.Sub(n.sentReports[key].at) < urgentReportInterval {
		return nil
	}
	req := n.newLoadReport(service, key.domain)
	n.sentReports[key] = sentReport{loads: req.Loads, at: now}
	return func() { n.sendLoadReport(to, req) }
}

// addGapRisk adds the risk of gaps that a choice was based on to its log line, and records
// it. It does nothing if there is none.
func (n *Node) addGapRisk(fields logrus.Fields, r place.GapRisk) {
	if r == (place.GapRisk{}) {
		return
	}
	fields["riskOthers"], fields["riskOwn"], fields["slow"] = percent(r.Others), percent(r.Own), r.Slow
	n.Count("place.riskPercent", int64(percent(r.Others+r.Own)))
	if r.Slow {
		n.Count("place.slowChosen", 1)
	}
}

// percent returns a share in percent.
func percent(share float64) int { return int(math.Round(100 * share)) }
