// Package record defines the format of request traces: one JSON document per
// line, each an arrival or a fault. foldd records arrivals and foldfake replays
// traces.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// Line is one line of a trace. Exactly one of Arrival and Fault is set.
type Line struct {
	// AtMS is the time since the beginning of the trace in milliseconds.
	AtMS    float64  `json:"atMs"`
	Arrival *Arrival `json:"arrival,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// Arrival is one generation request. It holds none of the request's text.
type Arrival struct {
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Model     string `json:"model"`
	// PromptTokens is the length of the prompt, GeneratedTokens that of the
	// answer. GeneratedTokens is zero if the answer did not end by itself.
	PromptTokens int `json:"prompt"`
	// Prefix identifies the beginning of the prompt that other prompts share, and
	// PrefixTokens is its length in tokens. Both are zero if there is none.
	Prefix          string `json:"prefix,omitempty"`
	PrefixTokens    int    `json:"prefixTokens,omitempty"`
	GeneratedTokens int    `json:"length"`
}

// Fault is a failure to inject during a replay.
type Fault struct {
	// Kind is one of FaultDie, FaultReclaim, FaultFreeze and FaultCoordinator.
	Kind string `json:"kind"`
	// Engine is the number of the affected engine.
	Engine int `json:"engine,omitempty"`
	// DurationMS is the duration in milliseconds. Its meaning depends on Kind.
	DurationMS float64 `json:"forMs,omitempty"`
}

// Kinds of faults.
const (
	// FaultDie stops an engine. Another one replaces it after DurationMS.
	FaultDie = "die"
	// FaultReclaim stops an engine after a notice of DurationMS, during which
	// it is leaving (shutting down).
	FaultReclaim = "reclaim"
	// FaultFreeze pauses an engine for DurationMS.
	FaultFreeze = "freeze"
	// FaultCoordinator stops the VM that schedules for all entry VMs, if there is
	// one.
	FaultCoordinator = "coordinator"
)

// Write writes lines in the trace format.
func Write(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

// maxLineBytes is the maximum length of a line that Read accepts.
const maxLineBytes = 64 << 10

// Read reads a whole trace and skips empty lines. Errors in a line state its
// number, counted from 1.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		if (l.Arrival == nil) == (l.Fault == nil) {
			return nil, fmt.Errorf("trace line %d: must hold either an arrival or a fault", n)
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return out, nil
}
