package spec

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fuchsiafold.example/fold/strict"
)

// Kinds of forwards.
const (
	// ForwardIdempotent means that a request may run more than once.
	ForwardIdempotent = "safe"
	// ForwardNonIdempotent means that a request runs at most once.
	ForwardNonIdempotent = "unsafe"
	// ForwardStream means that a request runs at most once and that its answer is
	// a stream of events.
	ForwardStream = "stream"
)

// MaxForwards is the largest number of forwards in a configuration.
const MaxForwards = 20_000

// Forward sends the requests for a host and a path prefix to backend servers, with
// method, path and body unchanged.
type Forward struct {
	Name string `json:"name,omitempty"`
	// Host is compared without regard to case and without the port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The longest matching prefix of a host
	// is used.
	Prefix string `json:"prefix"`
	// Kind is ForwardIdempotent, ForwardNonIdempotent or ForwardStream.
	Kind string `json:"kind"`
	// Timeout is the longest time until the end of a request's answer.
	Timeout strict.Duration `json:"timeout"`
	// Target holds the latency targets of the requests: FirstToken and TokenGap
	// for the events of a stream, Completion for other answers.
	Target Target `json:"target,omitempty"`
	// Rank is the priority of the requests; 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// Services divides the requests among services by weight.
	Services []WeightedService `json:"services"`
	// Attempts is the largest number of backend servers to which a request is
	// sent. Zero means one.
	Attempts int `json:"attempts,omitempty"`
	// Public admits requests without a workspace key.
	Public bool `json:"public,omitempty"`
	// Resumable means that a stream may go on at another backend server after the last
	// event that its caller has. Its requests may then run more than once. It may only be
	// set for ForwardStream.
	Resumable bool `json:"resumable,omitempty"`
}

// WeightedService is a service that receives a share of a forward's requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight divided by the sum of all weights is the share of the service. The
	// sum is above zero.
	Weight int `json:"part"`
}

// Engine describes the engines of a service to which requests are forwarded.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots,omitempty"`
	// MemoryTokens is the memory of one engine in tokens.
	MemoryTokens int `json:"memoryTokens,omitempty"`
	// TokenBytes is the size in bytes of one token in an engine's memory.
	TokenBytes int `json:"tokenBytes,omitempty"`
	// LinkMbps is the bandwidth of the link over which an engine copies memory, in
	// megabits per second.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"eventTokens,omitempty"`
	// CanMove means that the engines can copy the memory of a running request to
	// another engine.
	CanMove bool `json:"moves,omitempty"`
}

// ColdStart limits the requests to a server that is cold, as it is after each start.
type ColdStart struct {
	// Rate is the number of requests a second that a cold server takes from all VMs
	// together. It is above zero.
	Rate float64 `json:"rate"`
	// Duration is how long a server is cold after its start. If it is zero, a server is
	// cold only for the time that its announcements state.
	Duration strict.Duration `json:"duration,omitempty"`
}

// Limits of a ColdStart.
const (
	// MaxStartRate bounds the rate: a server for which more is right needs no limit.
	MaxStartRate = 100_000
	// MaxCold bounds the time for which a server is cold. Longer ones are more likely a
	// mistake of the unit.
	MaxCold = time.Hour
)

// check adds an error to errs for each invalid field. c may be nil.
func (c *ColdStart) check(path string, errs *strict.Errors) {
	if c == nil {
		return
	}
	if !(c.Rate > 0 && c.Rate <= MaxStartRate) {
		errs.Add(path+".rate", "want more than 0 and at most %d, got %v", MaxStartRate, c.Rate)
	}
	checkDuration(path+".duration", c.Duration, 0, MaxCold, errs)
}

// Idempotent reports whether the forward's requests may run more than once.
func (f *Forward) Idempotent() bool { return f.Kind == ForwardIdempotent || f.Resumable }

func (d *Document) checkForwards(errs *strict.Errors) {
	checkCount("forwards", len(d.Forwards), 0, MaxForwards, errs)
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	seen := map[hostPrefix]bool{}
	for i := range d.Forwards {
		f := &d.Forwards[i]
		path := fmt.Sprintf("forwards[%d]", i)
		key := hostPrefix{strings.ToLower(f.Host), f.Prefix}
		if seen[key] {
			errs.Add(path+".prefix", "%q of host %q is there twice", f.Prefix, f.Host)
		}
		seen[key] = true
		f.check(path, services, errs)
	}
}

func (f *Forward) check(path string, services map[string]bool, errs *strict.Errors) {
	if f.Host == "" {
		errs.Add(path+".host", "want the name of a host")
	}
	if !strings.HasPrefix(f.Prefix, "/") || !strings.HasSuffix(f.Prefix, "/") {
		errs.Add(path+".prefix", "want a path that begins and ends with /, got %q", f.Prefix)
	}
	if !slices.Contains([]string{ForwardIdempotent, ForwardNonIdempotent, ForwardStream}, f.Kind) {
		errs.Add(path+".kind", "want %q, %q or %q, got %q", ForwardIdempotent, ForwardNonIdempotent, ForwardStream, f.Kind)
	}
	if f.Resumable && f.Kind != ForwardStream {
		errs.Add(path+".resumable", "want it only with kind %q, got %q", ForwardStream, f.Kind)
	}
	checkDuration(path+".timeout", f.Timeout, time.Millisecond, 24*time.Hour, errs)
	if f.Attempts < 0 {
		errs.Add(path+".attempts", "want 0 or more, got %d", f.Attempts)
	}
	sum := 0
	for j, s := range f.Services {
		if !services[s.Service] {
			errs.Add(fmt.Sprintf("%s.services[%d].service", path, j), "no service is named %q", s.Service)
		}
		if s.Weight < 0 {
			errs.Add(fmt.Sprintf("%s.services[%d].part", path, j), "want 0 or more, got %d", s.Weight)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		errs.Add(path+".services", "the parts add up to %d, want more than 0", sum)
	}
}

// PickService chooses one of the forward's services in proportion to their weights.
// random must be a uniform random number in [0, 1).
func (f *Forward) PickService(random float64) string {
	sum := 0
	for _, s := range f.Services {
		sum += s.Weight
	}
	remaining := int(random * float64(sum))
	for _, s := range f.Services {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return f.Services[len(f.Services)-1].Service
}
