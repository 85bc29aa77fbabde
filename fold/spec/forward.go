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
	// ForwardIdempotent: a request may run more than once.
	ForwardIdempotent = "safe"
	// ForwardNonIdempotent: a request runs at most once.
	ForwardNonIdempotent = "unsafe"
	// ForwardStream: a request runs at most once, and its answer is a stream of
	// events.
	ForwardStream = "stream"
)

// MaxForwards bounds the forwards of a configuration.
const MaxForwards = 20_000

// Forward passes the requests for a host below a path on to backend servers,
// method, path and body unchanged.
type Forward struct {
	Name string `json:"name,omitempty"`
	// Host is matched without regard to case, and without a port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash; the longest match of a host wins.
	Prefix string `json:"prefix"`
	// Kind is ForwardSafe, ForwardUnsafe or ForwardStream.
	Kind string `json:"kind"`
	// Timeout is the longest time that a request is kept waiting for the end of
	// its answer.
	Timeout strict.Duration `json:"timeout"`
	// Target is what the requests are promised: FirstToken and TokenGap for the
	// events of a stream, Completion for other answers.
	Target Target `json:"target,omitempty"`
	// Rank orders forwards by urgency; 0 goes first.
	Rank int `json:"rank,omitempty"`
	// Services shares the requests out between services.
	Services []WeightedService `json:"services"`
	// Attempts is the largest number of backend servers that a request is sent
	// to; zero means one.
	Attempts int `json:"attempts,omitempty"`
	// Public admits requests without a workspace key.
	Public bool `json:"public,omitempty"`
}

// WeightedService is one service's part of a forward's requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the sum of all parts, which is above zero.
	Weight int `json:"part"`
}

// Engine describes the engines of a service to which requests are forwarded.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots,omitempty"`
	// MemoryTokens is the memory of one engine in tokens.
	MemoryTokens int `json:"memoryTokens,omitempty"`
	// TokenBytes is the memory of one token in bytes.
	TokenBytes int `json:"tokenBytes,omitempty"`
	// LinkMbps is the rate of an engine's link for memory, in megabits a second.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"eventTokens,omitempty"`
	// CanMove says that the engines copy a running request's memory on request.
	CanMove bool `json:"moves,omitempty"`
}

// Idempotent reports whether the forward's requests may run more than once.
func (f *Forward) Idempotent() bool { return f.Kind == ForwardIdempotent }

func (d *Document) checkForwards(errs *strict.Errors) {
	checkCount("forwards", len(d.Forwards), 0, MaxForwards, errs)
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	seen := map[place]bool{}
	for i := range d.Forwards {
		f := &d.Forwards[i]
		path := fmt.Sprintf("forwards[%d]", i)
		at := place{strings.ToLower(f.Host), f.Prefix}
		if seen[at] {
			errs.Add(path+".prefix", "%q of host %q is there twice", f.Prefix, f.Host)
		}
		seen[at] = true
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

// PickService chooses one of the forward's services by their parts; random is in
// [0, 1).
func (f *Forward) PickService(random float64) string {
	sum := 0
	for _, s := range f.Services {
		sum += s.Weight
	}
	at := int(random * float64(sum))
	for _, s := range f.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return f.Services[len(f.Services)-1].Service
}
