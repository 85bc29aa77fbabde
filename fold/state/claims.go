package state

import (
	"bytes"
	"container/list"
	"time"
)

// claims holds the idempotency records of calls that run at most once. The zero
// value is empty and ready to use.
type claims struct {
	byKey map[claimKey]*list.Element
	// byUse holds the records from least to most recently used.
	byUse list.List
	// answerBytes is the size of all recorded answers in bytes. It is at most
	// MaxTotalAnswerBytes.
	answerBytes int
}

type claimKey struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// claimRecord is the idempotency record of one key.
type claimRecord struct {
	claimKey
	Digest []byte `json:"digest"`
	Nonce  string `json:"nonce"`
	// State is ClaimPending, ClaimDone or ClaimUnknown.
	State  ClaimState `json:"state"`
	Answer *Answer    `json:"answer,omitempty"`
	// LastUsed is the time of the last claim of the key, Deadline the time from
	// which a pending claim counts as unknown. Both are in the machine's time.
	LastUsed time.Duration `json:"used"`
	Deadline time.Duration `json:"deadline"`
}

func (c *claims) get(k claimKey) (*list.Element, *claimRecord) {
	e := c.byKey[k]
	if e == nil {
		return nil, nil
	}
	return e, e.Value.(*claimRecord)
}

func (c *claims) claim(now time.Duration, a *Claim) Result {
	k := claimKey{a.Workspace, a.Key}
	e, r := c.get(k)
	if r == nil {
		return c.add(now, k, a)
	}
	r.LastUsed = now
	c.byUse.MoveToBack(e)
	switch {
	case !bytes.Equal(r.Digest, a.Digest):
		return Result{Claim: ClaimMismatch}
	case r.State == ClaimDone:
		return Result{Claim: ClaimDone, Answer: r.Answer}
	case r.State == ClaimUnknown || now >= r.Deadline:
		r.State = ClaimUnknown
		return Result{Claim: ClaimUnknown}
	case r.Nonce == a.Nonce:
		return Result{Claim: ClaimGranted}
	}
	return Result{Claim: ClaimPending}
}

func (c *claims) add(now time.Duration, k claimKey, a *Claim) Result {
	if len(c.byKey) >= MaxClaims {
		return Result{Claim: ClaimFull}
	}
	c.insert(&claimRecord{
		claimKey: k,
		Digest:   a.Digest,
		Nonce:    a.Nonce,
		State:    ClaimPending,
		LastUsed: now,
		Deadline: now + a.Timeout + PendingSlack,
	})
	return Result{Claim: ClaimGranted}
}

func (c *claims) insert(r *claimRecord) {
	if c.byKey == nil {
		c.byKey = map[claimKey]*list.Element{}
	}
	c.byKey[r.claimKey] = c.byUse.PushBack(r)
	if r.Answer != nil {
		c.answerBytes += len(r.Answer.Body)
	}
}

func (c *claims) remove(e *list.Element) {
	r := c.byUse.Remove(e).(*claimRecord)
	delete(c.byKey, r.claimKey)
	if r.Answer != nil {
		c.answerBytes -= len(r.Answer.Body)
	}
}

// settle records how a claim ended. It has an effect only for the attempt to which
// the claim was granted, and never replaces a recorded answer.
func (c *claims) settle(now time.Duration, s *Settle) Result {
	e, r := c.get(claimKey{s.Workspace, s.Key})
	if r == nil || r.Nonce != s.Nonce || r.State == ClaimDone {
		return Result{}
	}
	switch {
	case s.Released:
		c.remove(e)
	case s.Answer != nil && c.fits(s.Answer):
		r.State = ClaimDone
		r.Answer = s.Answer
		c.answerBytes += len(s.Answer.Body)
	default:
		r.State = ClaimUnknown
	}
	return Result{}
}

func (c *claims) fits(a *Answer) bool {
	return len(a.Body) <= MaxAnswerBytes && c.answerBytes+len(a.Body) <= MaxTotalAnswerBytes
}

// expire deletes the records of keys that have not been claimed for ClaimTTL.
func (c *claims) expire(now time.Duration) {
	for e := c.byUse.Front(); e != nil; e = c.byUse.Front() {
		r := e.Value.(*claimRecord)
		if now-r.LastUsed < ClaimTTL {
			return
		}
		c.remove(e)
	}
}
