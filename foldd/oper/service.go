package oper

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/foldd/ctrl"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

// Applier applies the configurations and orders that operators send.
type Applier interface {
	Apply(ctx context.Context, req *wire.ApplyRequest) (*wire.ApplyResponse, error)
	Evacuate(ctx context.Context, req *wire.EvacuateRequest) (*wire.EvacuateResponse, error)
}

// Service implements the operators' API. All fields but Control must be set.
type Service struct {
	Node          *node.Node
	Peers         *peer.Service
	ControlServer *ctrl.DeferredServer
	// Control applies new configurations. If it is nil, they are rejected.
	Control Applier
}

// errNoControl is returned when a configuration is sent to a deployment without
// a control VM.
var errNoControl = eris.New("this deployment has no control VM: the configuration was not applied")

// Handler returns the handler of the operators' address.
func (o *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewOperatorServiceHandler(o, connect.WithCompressMinBytes(peer.MinCompressed)))
	mux.HandleFunc("GET /metrics", o.metrics)
	mux.HandleFunc("GET "+repl.ReportPath, o.controlReport)
	return RequireToken(o.Node.Settings.OperatorToken, mux)
}

// WatchHandler returns the handler of the metrics address, which serves the
// metrics as text and the status for foldctl. It is read-only.
func (o *Service) WatchHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewWatchServiceHandler(o, connect.WithCompressMinBytes(peer.MinCompressed)))
	mux.HandleFunc("GET "+repl.ReportPath, o.controlReport)
	mux.Handle("/", MetricsHandler(o.Node))
	return mux
}

// metrics writes every metric as one JSON document.
func (o *Service) metrics(w http.ResponseWriter, r *http.Request) {
	updateGauges(o.Node)
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(o.Node.Metrics, w)
}

// reportTimeout is how long a report of the control group may take. A replica whose disk hangs
// doesn't answer.
const reportTimeout = 2 * time.Second

// controlReport writes what the control replica tells of its group, a repl.GroupReport, as
// JSON. The status is 404 if no replica runs on this VM, and 503 if it doesn't answer.
func (o *Service) controlReport(w http.ResponseWriter, r *http.Request) {
	server := o.ControlServer.Server()
	if server == nil {
		http.Error(w, "no control replica runs on this VM", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), reportTimeout)
	defer cancel()
	report, err := server.Report(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(report)
}

// Status implements wire.OperatorServiceHandler.
func (o *Service) Status(ctx context.Context, req *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	n := o.Node
	res := &wire.StatusResponse{Self: peer.ToPeer(n.Self()), OpenStreams: uint64(n.Streams()), Evacuations: peer.ToEvacuations(n.Evacuations())}
	for _, p := range n.Peers() {
		res.Peers = append(res.Peers, peer.ToPeer(p))
	}
	for _, b := range n.Backends() {
		res.Backends = append(res.Backends, peer.ToBackend(member.BackendUpdate{Backend: b}))
	}
	res.Classes = o.classStatuses()
	for _, v := range n.ServiceViews() {
		res.Services = append(res.Services, peer.ToServiceStatus(v))
	}
	counts := n.ErrorCounts()
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		res.Errors = append(res.Errors, &wire.ErrorCount{Code: code, Count: uint64(counts[code])})
	}
	if server := o.ControlServer.Server(); server != nil {
		members, leader, err := server.Status(ctx)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		res.Controls = store.ToMembers(members)
		res.ControlLeader = leader
	}
	return connect.NewResponse(res), nil
}

func (o *Service) classStatuses() []*wire.ClassStatus {
	index := o.Node.Index()
	if index == nil {
		return nil
	}
	queued, running := o.Node.RequestCounts()
	var statuses []*wire.ClassStatus
	for _, c := range index.Document().Classes {
		statuses = append(statuses, &wire.ClassStatus{Name: c.Name, Queued: uint64(queued[c.Name]), Running: uint64(running[c.Name])})
	}
	return statuses
}

// Apply implements wire.OperatorServiceHandler.
func (o *Service) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	if o.Control == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoControl)
	}
	res, err := o.Control.Apply(ctx, req.Msg)
	if errors.Is(err, ctrl.ErrNoQuorum) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	if wait := time.Duration(req.Msg.GetWaitMillis()) * time.Millisecond; wait > 0 && !res.GetConflict() {
		o.awaitInForce(ctx, res, min(wait, maxWait))
	}
	return connect.NewResponse(res), nil
}

// Limit and poll interval of the wait for a configuration to be in force.
const (
	maxWait             = 5 * time.Minute
	inForcePollInterval = 50 * time.Millisecond
)

// awaitInForce waits until the revision in res is in force at every live VM, at
// most for the time wait. It stores in res how long it waited and which VMs lag.
func (o *Service) awaitInForce(ctx context.Context, res *wire.ApplyResponse, wait time.Duration) {
	start := time.Now()
	for {
		status := o.Peers.QueryInForce(ctx, res.GetRevision())
		waited := time.Since(start)
		res.Lagging = status.GetLagging()
		res.InForce = uint64(len(status.GetInForce()))
		res.WaitedMillis = uint64(waited.Milliseconds())
		if len(res.Lagging) == 0 || waited >= wait || ctx.Err() != nil {
			return
		}
		time.Sleep(inForcePollInterval)
	}
}

// Config implements wire.OperatorServiceHandler.
func (o *Service) Config(ctx context.Context, req *connect.Request[wire.ConfigRequest]) (*connect.Response[wire.ConfigResponse], error) {
	res, err := peer.CurrentConfig(o.Node)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

// Drain implements wire.OperatorServiceHandler.
func (o *Service) Drain(ctx context.Context, req *connect.Request[wire.DrainRequest]) (*connect.Response[wire.DrainResponse], error) {
	o.Node.Drain()
	return connect.NewResponse(&wire.DrainResponse{OpenStreams: uint64(o.Node.Streams())}), nil
}
