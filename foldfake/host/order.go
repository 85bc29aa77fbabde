package host

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

var errAnnounce = eris.New("announcement was not taken")

// Order tells an engine to change what it serves.
type Order struct {
	// FencingToken is the number of the holder that gives the order.
	FencingToken uint64   `json:"fence"`
	Model        string   `json:"model,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Version      string   `json:"version,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// fence remembers the highest number seen, and each order taken.
type fence struct {
	mu      sync.Mutex
	highest uint64
	taken   []Order
}

// admit reports whether an order may be carried out.
func (f *fence) admit(o Order, checks bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if checks && o.FencingToken < f.highest {
		return false
	}
	f.highest = max(f.highest, o.FencingToken)
	f.taken = append(f.taken, o)
	return true
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	e.faults.wait(e.ctx)
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, "want an order: "+err.Error())
		return
	}
	if !e.fenced.admit(o, e.conf.ChecksFencingToken) {
		refuse(w, http.StatusConflict, "fencing number is old")
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

// Orders returns the orders that the engine has taken.
func (e *Engine) Orders() []Order {
	e.fenced.mu.Lock()
	defer e.fenced.mu.Unlock()
	return append([]Order(nil), e.fenced.taken...)
}
