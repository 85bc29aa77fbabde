// Package state is the replicated state machine of the control part: the
// configuration, claims of calls that run at most once, and leases with
// fencing numbers. Every replica applies the same commands in the same order
// and arrives at the same state.
package state

import (
	"encoding/json"
	"fmt"
	"time"
)

// Lifetimes in the machine's own time.
const (
	// ClaimTTL is how long a key is remembered after its last use.
	ClaimTTL = 2 * time.Hour
	// ChangeTTL is how long the answer to a change is remembered.
	ChangeTTL = 24 * time.Hour
	// PendingSlack is added to a call's timeout before a claim without an
	// answer counts as unknown.
	PendingSlack = 15 * time.Second
)

// Limits of the state.
const (
	MaxClaims = 200_000
	// MaxAnswerBytes is the largest recorded answer in bytes. The key of a larger
	// one is remembered as unknown.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes bounds the recorded answers in bytes, all together.
	MaxTotalAnswerBytes = 48 << 20
	MaxDocumentBytes    = 8 << 20
	maxKeyBytes         = 512
)

// Command is one change of the state. Exactly one of the pointers is set.
type Command struct {
	// Elapsed is the time that passed at the leader since its last command. The
	// machine's time is the sum: it never runs ahead of real time, whatever
	// the replicas' clocks say.
	Elapsed     time.Duration `json:"elapsed,omitempty"`
	ApplyConfig *ApplyConfig  `json:"apply,omitempty"`
	Claim       *Claim        `json:"claim,omitempty"`
	Settle      *Settle       `json:"settle,omitempty"`
	Lease       *Lease        `json:"lease,omitempty"`
}

// ApplyConfig puts a configuration in force: by compare-and-set if Base is the newest
// revision, or, if Version is set, by highest version.
type ApplyConfig struct {
	Base     uint64 `json:"base"`
	ChangeID string `json:"changeId"`
	// Version, if set, becomes the revision if it is above the newest one. A
	// version that is not changes nothing, and that is no error.
	Version uint64 `json:"version,omitempty"`
	// Document has been checked before it was proposed, so that replicas of
	// different versions can't differ on it.
	Document []byte `json:"document"`
}

// Claim asks for the right to run a call.
type Claim struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Digest identifies the request behind the key.
	Digest []byte `json:"digest"`
	// Nonce names this attempt to claim, so that it can be repeated.
	Nonce string `json:"nonce"`
	// Timeout is the longest time that the call may take.
	Timeout time.Duration `json:"timeout"`
}

// Settle records how a granted claim ended. Of Answer, Released and Unknown
// one is set.
type Settle struct {
	Workspace string  `json:"workspace"`
	Key       string  `json:"key"`
	Nonce     string  `json:"nonce"`
	Answer    *Answer `json:"answer,omitempty"`
	Released  bool    `json:"released,omitempty"`
	Unknown   bool    `json:"unknown,omitempty"`
}

// Answer is the recorded answer of a plain service.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Lease asks for a lease or renews it.
type Lease struct {
	Name   string        `json:"name"`
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"length"`
	// Release gives the lease back.
	Release bool `json:"release,omitempty"`
}

// Result is the answer to a command.
type Result struct {
	// Error is set when the command was refused.
	Error    string
	Revision uint64
	Conflict bool
	Claim    ClaimState
	Answer   *Answer
	// FencingToken is the number of a granted lease; zero means refused.
	FencingToken uint64
	// RetryAfter is how long the lease of another holder still lasts.
	RetryAfter time.Duration
}

// ClaimState says who may run a call.
type ClaimState string

// The states of a claim.
const (
	ClaimGranted  ClaimState = "granted"
	ClaimPending  ClaimState = "pending"
	ClaimDone     ClaimState = "done"
	ClaimMismatch ClaimState = "mismatch"
	ClaimUnknown  ClaimState = "unknown"
	ClaimFull     ClaimState = "full"
)

// Machine is the state. The zero value is empty and ready to use.
type Machine struct {
	// now is the machine's own time, which never falls.
	now    time.Duration
	config config
	claims claims
	leases map[string]*lease
	// fences is the highest number given out.
	fences uint64
}

type config struct {
	revision uint64
	document []byte
	changes  map[string]change
	// order lists the changes from oldest to newest.
	order []string
}

type change struct {
	Revision uint64        `json:"revision"`
	At       time.Duration `json:"at"`
}

type lease struct {
	Holder       string        `json:"holder"`
	FencingToken uint64        `json:"fence"`
	ExpiresAt    time.Duration `json:"until"`
}

// Revision returns the newest configuration's revision; zero means none.
func (m *Machine) Revision() uint64 { return m.config.revision }

// Document returns the newest configuration.
func (m *Machine) Document() []byte { return m.config.document }

// ClaimCount returns the number of remembered keys.
func (m *Machine) ClaimCount() int { return len(m.claims.byKey) }

// Apply carries out one command in its encoded form.
func (m *Machine) Apply(data []byte) Result {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Result{Error: fmt.Sprintf("decode command: %v", err)}
	}
	m.now += max(0, c.Elapsed)
	m.expire()
	switch {
	case c.ApplyConfig != nil:
		return m.apply(c.ApplyConfig)
	case c.Claim != nil:
		return m.claims.claim(m.now, c.Claim)
	case c.Settle != nil:
		return m.claims.settle(m.now, c.Settle)
	case c.Lease != nil:
		return m.lease(c.Lease)
	}
	return Result{}
}

func (m *Machine) expire() {
	m.claims.expire(m.now)
	for len(m.config.order) > 0 {
		id := m.config.order[0]
		if m.now-m.config.changes[id].At < ChangeTTL {
			return
		}
		delete(m.config.changes, id)
		m.config.order = m.config.order[1:]
	}
}

func (m *Machine) apply(a *ApplyConfig) Result {
	if a.Version > 0 {
		return m.applyVersion(a)
	}
	if c, ok := m.config.changes[a.ChangeID]; ok {
		return Result{Revision: c.Revision}
	}
	if a.ChangeID == "" || len(a.ChangeID) > maxKeyBytes {
		return Result{Error: fmt.Sprintf("change ID: want 1 to %d bytes", maxKeyBytes)}
	}
	if len(a.Document) > MaxDocumentBytes {
		return Result{Error: fmt.Sprintf("document: want at most %d bytes", MaxDocumentBytes)}
	}
	if a.Base != m.config.revision {
		return Result{Conflict: true, Revision: m.config.revision}
	}
	m.config.revision++
	m.config.document = a.Document
	if m.config.changes == nil {
		m.config.changes = map[string]change{}
	}
	m.config.changes[a.ChangeID] = change{Revision: m.config.revision, At: m.now}
	m.config.order = append(m.config.order, a.ChangeID)
	return Result{Revision: m.config.revision}
}

// applyVersion puts a configuration in force whose version is above the newest
// revision. A resend finds its own version in force and is answered alike.
func (m *Machine) applyVersion(a *ApplyConfig) Result {
	if len(a.Document) > MaxDocumentBytes {
		return Result{Error: fmt.Sprintf("document: want at most %d bytes", MaxDocumentBytes)}
	}
	if a.Version > m.config.revision {
		m.config.revision = a.Version
		m.config.document = a.Document
	}
	return Result{Revision: m.config.revision}
}

// lease grants a lease that is free, expired or already the holder's. A new
// holder gets a new fencing number.
func (m *Machine) lease(l *Lease) Result {
	cur := m.leases[l.Name]
	held := cur != nil && cur.ExpiresAt > m.now
	if held && cur.Holder != l.Holder {
		return Result{RetryAfter: cur.ExpiresAt - m.now}
	}
	if l.Release {
		if held {
			cur.ExpiresAt = m.now
		}
		return Result{}
	}
	if !held || cur.Holder != l.Holder {
		m.fences++
		cur = &lease{Holder: l.Holder, FencingToken: m.fences}
		if m.leases == nil {
			m.leases = map[string]*lease{}
		}
		m.leases[l.Name] = cur
	}
	cur.ExpiresAt = m.now + l.TTL
	return Result{FencingToken: cur.FencingToken}
}
