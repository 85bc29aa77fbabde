package peer

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// errTooLarge is returned for a call that the other VM has refused for its size.
var errTooLarge = eris.New("the call exceeds the size limit of the other VM")

// maxRefusal bounds what is read of the reply to a call that was refused, in bytes.
const maxRefusal = 1 << 10

// refusalTransport returns an error with the code ResourceExhausted for a call that the
// other VM has refused for its size. Its server does so without a handler, with a reply that
// is none of the protocol.
type refusalTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t refusalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(r)
	if err != nil || res.StatusCode != http.StatusRequestEntityTooLarge {
		return res, err
	}
	reason, err := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	err = errors.Join(err, res.Body.Close())
	refused := fmt.Errorf("%w: sent %d bytes, reply %q", errTooLarge, r.ContentLength, reason)
	return nil, connect.NewError(connect.CodeResourceExhausted, errors.Join(refused, err))
}
