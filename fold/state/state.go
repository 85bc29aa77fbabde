// Package state implements the replicated state machine of the control replicas:
// the configuration, the claims of calls that run at most once, and leases with
// fencing tokens. Every replica applies the same commands in the same order and
// so reaches the same state.
package state

import (
	"encoding/json"
	"fmt"
	"time"

	"fuchsiafold.example/fold/evac"
)

// Lifetimes in the machine's time.
const (
	// ClaimTTL is how long the record of a key is kept after its last claim.
	ClaimTTL = 2 * time.Hour
	// ChangeTTL is how long the result of a configuration change is kept, so that
	// a resent change gets the same result.
	ChangeTTL = 24 * time.Hour
	// PendingSlack is added to a call's timeout to get the time after which a
	// pending claim counts as unknown.
	PendingSlack = 15 * time.Second
)

// Limits of the state.
const (
	MaxClaims = 200_000
	// MaxAnswerBytes is the size in bytes of the largest answer that is recorded.
	// A claim with a larger answer becomes ClaimUnknown.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes is the largest total size of all recorded answers in
	// bytes.
	MaxTotalAnswerBytes = 48 << 20
	MaxDocumentBytes    = 8 << 20
	// MaxCommandBytes is the size in bytes of the largest encoded command that may be
	// proposed. One with the largest document fits.
	MaxCommandBytes = 12 << 20
	// MaxSnapshotBytes is above the size in bytes of a snapshot of the full state, with the
	// longest idempotency keys that callers may send. What the leases and the IDs of
	// changes take comes on top, and is small.
	MaxSnapshotBytes = 176 << 20
	maxKeyBytes      = 512
)

// Command is one change of the state. Exactly one of the pointers is set.
type Command struct {
	// Elapsed is the time that passed at the leader since its last command. The
	// machine's time is the sum of these durations, so it never runs ahead of
	// real time, whatever the replicas' clocks show.
	Elapsed     time.Duration `json:"elapsed,omitempty"`
	ApplyConfig *ApplyConfig  `json:"apply,omitempty"`
	Claim       *Claim        `json:"claim,omitempty"`
	Settle      *Settle       `json:"settle,omitempty"`
	Lease       *Lease        `json:"lease,omitempty"`
	Evacuate    *Evacuate     `json:"evacuate,omitempty"`
}

// ApplyConfig puts a configuration in force. If Version is zero, Base must equal the
// newest revision (compare-and-set). Otherwise the highest version wins.
type ApplyConfig struct {
	Base     uint64 `json:"base"`
	ChangeID string `json:"changeId"`
	// Version becomes the revision if it is higher than the newest one. A lower or
	// equal version changes nothing and is not an error.
	Version uint64 `json:"version,omitempty"`
	// Document must be validated before the command is proposed. The state machine
	// does not validate it, so that replicas of different software versions cannot
	// disagree on whether it is valid.
	Document []byte `json:"document"`
}

// Claim requests the right to run a call.
type Claim struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Digest identifies the request that uses the key.
	Digest []byte `json:"digest"`
	// Nonce identifies this attempt, so that the claim can be resent.
	Nonce string `json:"nonce"`
	// Timeout is the longest time that the call may take.
	Timeout time.Duration `json:"timeout"`
}

// Settle records how a granted claim ended. Exactly one of Answer, Released and
// Unknown is set.
type Settle struct {
	Workspace string  `json:"workspace"`
	Key       string  `json:"key"`
	Nonce     string  `json:"nonce"`
	Answer    *Answer `json:"answer,omitempty"`
	// Released deletes the record, so that the key can be claimed again. It is for
	// a call that provably did not run.
	Released bool `json:"released,omitempty"`
	// Unknown is for a call that may have run without a known answer.
	Unknown bool `json:"unknown,omitempty"`
}

// Answer is the recorded answer of a plain service to a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Lease requests, renews or releases a lease.
type Lease struct {
	Name   string        `json:"name"`
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"length"`
	// Release ends the lease if Holder has it.
	Release bool `json:"release,omitempty"`
}

// Evacuate evacuates a failure domain, or ends that. An order that is already in effect
// changes nothing and is not an error.
type Evacuate struct {
	Domain string `json:"domain"`
	Undo   bool   `json:"undo,omitempty"`
	// Ordered is the time of the order by the clock of the VM that accepted it.
	Ordered time.Time `json:"ordered"`
}

// Result is the result of a command.
type Result struct {
	// Error says why the command was rejected; it is empty otherwise.
	Error    string
	Revision uint64
	// Conflict means that ApplyConfig.Base was not the newest revision. Revision is
	// then the newest one.
	Conflict bool
	Claim    ClaimState
	Answer   *Answer
	// FencingToken is the fencing token of a granted lease. Zero means that the
	// lease was not granted.
	FencingToken uint64
	// RetryAfter is the remaining time of another holder's lease.
	RetryAfter time.Duration
	// Evacuations is the set of evacuated failure domains after an Evacuate.
	Evacuations evac.Set
}

// ClaimState is the result of a claim, and the state of its record.
type ClaimState string

// Results of a claim.
const (
	// ClaimGranted means that the attempt may run the call.
	ClaimGranted ClaimState = "granted"
	// ClaimPending means that another attempt has claimed the key and has not
	// settled the claim yet.
	ClaimPending ClaimState = "pending"
	// ClaimDone means that the answer is recorded.
	ClaimDone ClaimState = "done"
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch ClaimState = "mismatch"
	// ClaimUnknown means that the call may have run, but its answer is not
	// recorded.
	ClaimUnknown ClaimState = "unknown"
	// ClaimFull means that there are MaxClaims records already.
	ClaimFull ClaimState = "full"
)

// Machine is the replicated state machine. The zero value is empty and ready to use.
type Machine struct {
	// now is the machine's time, which never decreases.
	now    time.Duration
	config config
	claims claims
	leases map[string]*lease
	// lastFencingToken is the highest fencing token that was issued.
	lastFencingToken uint64
	evacuations      evac.Set
}

type config struct {
	revision uint64
	document []byte
	changes  map[string]change
	// order lists the IDs of the changes from oldest to newest.
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

// Evacuations returns the set of evacuated failure domains.
func (m *Machine) Evacuations() evac.Set { return m.evacuations }

// ClaimCount returns the number of keys that have a record.
func (m *Machine) ClaimCount() int { return len(m.claims.byKey) }

// Apply executes one command, which is encoded as JSON.
func (m *Machine) Apply(data []byte) Result {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Result{Error: fmt.Sprintf("decode command: %v", err)}
	}
	m.now += max(0, c.Elapsed)
	m.expire()
	switch {
	case c.ApplyConfig != nil:
		return m.applyConfig(c.ApplyConfig)
	case c.Claim != nil:
		return m.claims.claim(m.now, c.Claim)
	case c.Settle != nil:
		return m.claims.settle(m.now, c.Settle)
	case c.Lease != nil:
		return m.lease(c.Lease)
	case c.Evacuate != nil:
		return m.evacuate(c.Evacuate)
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

func (m *Machine) applyConfig(a *ApplyConfig) Result {
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

// applyVersion puts a configuration in force if its version is higher than the
// newest revision. A resent command finds its version in force and gets the same
// result.
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

// evacuate changes the set of evacuated failure domains.
func (m *Machine) evacuate(e *Evacuate) Result {
	if err := e.check(); err != nil {
		return Result{Error: err.Error()}
	}
	m.evacuations = e.apply(m.evacuations)
	return Result{Evacuations: m.evacuations}
}

// check returns an error if no order about the domain is valid.
func (e *Evacuate) check() error {
	if e.Domain == "" || len(e.Domain) > evac.MaxName {
		return fmt.Errorf("failure domain: want 1 to %d bytes", evac.MaxName)
	}
	return nil
}

// apply returns the set after the order.
func (e *Evacuate) apply(s evac.Set) evac.Set {
	if e.Undo {
		return s.Remove(e.Domain)
	}
	return s.Add(e.Domain, e.Ordered)
}

// Changes reports whether the order changes a set.
func (e *Evacuate) Changes(s evac.Set) bool { return s.Has(e.Domain) == e.Undo }

// EvacuationsAfter returns the set s after a command, which is encoded as JSON.
func EvacuationsAfter(s evac.Set, command []byte) evac.Set {
	var c struct {
		Evacuate *Evacuate `json:"evacuate"`
	}
	if json.Unmarshal(command, &c) != nil || c.Evacuate == nil || c.Evacuate.check() != nil {
		return s
	}
	return c.Evacuate.apply(s)
}

// lease grants a lease that is free, has expired or belongs to the same holder. A
// grant that does not renew an unexpired lease gets a new fencing token.
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
		m.lastFencingToken++
		cur = &lease{Holder: l.Holder, FencingToken: m.lastFencingToken}
		if m.leases == nil {
			m.leases = map[string]*lease{}
		}
		m.leases[l.Name] = cur
	}
	cur.ExpiresAt = m.now + l.TTL
	return Result{FencingToken: cur.FencingToken}
}
