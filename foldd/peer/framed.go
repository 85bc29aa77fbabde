package peer

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// errUnframedReply is returned for a reply that ends with its connection. A
// truncated message may decode as a shorter one, so such a reply proves nothing.
var errUnframedReply = eris.New("the reply has neither a length nor chunks")

// framedTransport rejects responses whose body has no framing. The VMs send none.
type framedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t framedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed {
		res.Body.Close()
		return nil, errUnframedReply
	}
	return res, nil
}
