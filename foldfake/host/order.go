package host

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

var errAnnouncementRejected = eris.New("entry VM rejected the announcement")

// Order instructs an engine to change the model and version that it serves. The
// stand-in records Adapters and Role, but they have no effect. An Order is the body
// of POST /v1/orders.
type Order struct {
	// FencingToken is the fencing token of the VM that sends the order.
	FencingToken uint64   `json:"fence"`
	Model        string   `json:"model,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Version      string   `json:"version,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// orderLog records the accepted orders and the highest fencing token among them.
type orderLog struct {
	mu           sync.Mutex
	highestToken uint64
	accepted     []Order
}

// admit records an order and reports whether it may be carried out. If checkToken
// is set, an order with a fencing token below the highest one is rejected and not
// recorded.
func (l *orderLog) admit(o Order, checkToken bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if checkToken && o.FencingToken < l.highestToken {
		return false
	}
	l.highestToken = max(l.highestToken, o.FencingToken)
	l.accepted = append(l.accepted, o)
	return true
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	e.faults.waitWhileFrozen(e.ctx)
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "want an order: "+err.Error())
		return
	}
	if !e.orders.admit(o, e.conf.ChecksFencingToken) {
		writeError(w, http.StatusConflict, "fencing number is old")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Model != "" {
		e.conf.Model = o.Model
	}
	if o.Version != "" {
		e.conf.Version = o.Version
	}
	w.WriteHeader(http.StatusNoContent)
}

// Orders returns the orders that the engine has accepted, in the order of their
// arrival.
func (e *Engine) Orders() []Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]Order(nil), e.orders.accepted...)
}
