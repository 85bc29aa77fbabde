package oper

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/rcrowley/go-metrics"

	"fuchsiafold.example/foldd/memory"
	"fuchsiafold.example/foldd/node"
)

// quantiles lists the quantiles that the metrics page shows of each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// MetricsHandler returns the handler of the metrics page, which shows counters,
// gauges and histograms as text, one value a line.
func MetricsHandler(n *node.Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		updateGauges(n)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		b := bufio.NewWriter(w)
		defer b.Flush()
		var names []string
		n.Metrics.Each(func(name string, _ any) { names = append(names, name) })
		slices.Sort(names)
		for _, name := range names {
			writeMetric(b, name, n.Metrics.Get(name))
		}
	})
}

func writeMetric(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintln(w, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintln(w, name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		fmt.Fprintln(w, name+".count", s.Count())
		for i, v := range s.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s.p%.0f %.0f\n", name, quantiles[i]*100, v)
		}
	}
}

// updateGauges sets the gauges to their current values.
func updateGauges(n *node.Node) {
	metrics.GetOrRegisterGauge("streams.open", n.Metrics).Update(n.Streams())
	metrics.GetOrRegisterGauge("backends.present", n.Metrics).Update(int64(len(n.Backends())))
	metrics.GetOrRegisterGauge("peers.live", n.Metrics).Update(int64(len(n.Peers())))
	held := memory.ReadRuntime()
	n.Gauge("memory.residentBytes", memory.Resident())
	n.Gauge("memory.heapBytes", held.Heap)
	n.Gauge("memory.stackBytes", held.Stacks)
	n.Gauge("memory.freeBytes", held.Free)
	n.Gauge("memory.goroutines", held.Goroutines)
	servers, peers := n.KnownBytes()
	n.Gauge("memory.serverTableBytes", int64(servers))
	n.Gauge("memory.peerViewBytes", int64(peers))
}
