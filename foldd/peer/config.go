package peer

import (
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/wire"
)

var (
	errNoID        = eris.New("the sender names no ID")
	errTicketsLost = eris.New("the tickets of the sender are not here: hand them in anew")
	errNoConfig    = eris.New("no configuration is in force")
)

// CurrentConfig returns the configuration in force at a node. The error is a
// connect error, with the code Unavailable if no configuration is in force.
func CurrentConfig(n *node.Node) (*wire.ConfigResponse, error) {
	x := n.Index()
	if x == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfig)
	}
	doc := x.Source()
	if doc == nil {
		var err error
		if doc, err = json.Marshal(x.Document()); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	return &wire.ConfigResponse{Revision: x.Revision(), Document: doc}, nil
}
