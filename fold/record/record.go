// Package record defines the trace format: one JSON document a line, each an
// arrival or a fault. foldd records arrivals, foldfake replays them.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// Line is one line of a trace. One of its fields is set besides AtMS.
type Line struct {
	// AtMS is the time from the beginning of the trace in milliseconds.
	AtMS    float64  `json:"atMs"`
	Arrival *Arrival `json:"arrival,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// Arrival is one request for a generation. It holds no text.
type Arrival struct {
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Model     string `json:"model"`
	// PromptTokens and Length are sizes in tokens; Length is zero if the answer did
	// not end by itself.
	PromptTokens    int    `json:"prompt"`
	Prefix          string `json:"prefix,omitempty"`
	PrefixTokens    int    `json:"prefixTokens,omitempty"`
	GeneratedTokens int    `json:"length"`
}

// Fault is something that fails in a replay.
type Fault struct {
	// Kind is one of the constants below.
	Kind string `json:"kind"`
	// Engine is the number of the engine that the fault strikes.
	Engine int `json:"engine,omitempty"`
	// DurationMS is how long it lasts, in milliseconds.
	DurationMS float64 `json:"forMs,omitempty"`
}

// Kinds of faults.
const (
	// FaultDie ends an engine; another one takes its place after ForMS.
	FaultDie = "die"
	// FaultReclaim lets an engine leave with a notice of ForMS.
	FaultReclaim = "reclaim"
	// FaultFreeze stops an engine for a while.
	FaultFreeze = "freeze"
	// FaultCoordinator ends the VM that coordinates, if there is one.
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

// maxLine bounds a line in bytes.
const maxLine = 64 << 10

// Read reads a whole trace. Its errors name the line.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		if (l.Arrival == nil) == (l.Fault == nil) {
			return nil, fmt.Errorf("trace line %d: want an arrival or a fault", n)
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return out, nil
}
