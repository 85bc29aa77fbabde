package oper

import (
	"context"
	"errors"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/foldd/ctrl"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/netio/clock"
	"fuchsiafold.example/wire"
)

// Evacuate submits an order about a failure domain to the control group. Once the order is
// committed, or has been found outdated, the set that then holds is in force at this VM and spread
// from here, too.
func Evacuate(ctx context.Context, n *node.Node, control Applier, order *wire.EvacuateRequest) (*wire.EvacuateResponse, error) {
	begun := time.Now()
	log := n.Log.WithFields(logrus.Fields{"domain": order.GetDomain(), "undo": order.GetUndo()})
	if order.IfVersion != nil {
		log = log.WithField("ifVersion", order.GetIfVersion())
	}
	res, err := control.Evacuate(ctx, &wire.EvacuateRequest{
		Domain: order.GetDomain(), Undo: order.GetUndo(), IfVersion: order.IfVersion, UnixMillis: uint64(clock.Wall().UnixMilli()),
	})
	log = log.WithField("ms", time.Since(begun).Milliseconds())
	if err != nil {
		n.Count("evacuations.unconfirmed", 1)
		log.WithError(err).Warn("evacuation not confirmed by the control group")
		return nil, err
	}
	log = log.WithField("version", res.GetEvacuations().GetVersion())
	if res.GetOutdated() {
		n.Count("evacuations.outdated", 1)
		log.Info("evacuation not carried out; its sender must repeat it with the version of the set")
	} else {
		n.Count("evacuations.acknowledged", 1)
		log.Info("evacuation acknowledged by the control group")
	}
	n.ApplyEvacuations(peer.FromEvacuations(res.GetEvacuations()), "")
	return res, nil
}

// CheckDomain returns an error if no order about a failure domain with the name is valid.
func CheckDomain(name string) error {
	if name == "" || len(name) > evac.MaxName || !utf8.ValidString(name) {
		return errDomainName
	}
	return nil
}

var errDomainName = eris.Errorf("failure domain: want 1 to %d bytes of UTF-8", evac.MaxName)

// Evacuate implements wire.OperatorServiceHandler.
func (o *Service) Evacuate(ctx context.Context, req *connect.Request[wire.EvacuateRequest]) (*connect.Response[wire.EvacuateResponse], error) {
	if o.Control == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoControl)
	}
	res, err := Evacuate(ctx, o.Node, o.Control, req.Msg)
	if errors.Is(err, ctrl.ErrNoQuorum) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}
