package soak

import (
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// raceChance is the chance that the first sends of an idempotency key go to two VMs at
// once.
const raceChance = 0.3

// claimOutput is what a caller got of one send of a call with an idempotency key.
type claimOutput struct {
	// outcome is that of the response, empty if none came whole. body is the answer if it
	// is outcomeDone.
	outcome, body string
}

// claimState is what is known of the calls with one key: whether one has run, and its
// answer, which is empty if no caller has got it.
type claimState struct {
	ran    bool
	answer string
}

// claimModel is the sequential specification of the calls with one key: one of them runs,
// and all others get its answer.
func claimModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{claimState{}} },
		Step:      func(state, _, output any) []any { return stepClaim(state.(claimState), output.(claimOutput)) },
		Equal:     func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

func stepClaim(s claimState, out claimOutput) []any {
	switch {
	case out.outcome == outcomeDone && (s.answer == "" || s.answer == out.body):
		return []any{claimState{ran: true, answer: out.body}}
	case out.outcome == outcomeDone:
		return nil
	case out.outcome == outcomeNotRun && s.ran:
		return nil
	case out.outcome == outcomeNotRun:
		return []any{s}
	}
	// This send may have run, if none had.
	return []any{s, claimState{ran: true, answer: s.answer}}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range history {
		byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
	}
	var out [][]porcupine.Operation
	for _, ops := range byKey {
		out = append(out, ops)
	}
	return out
}

// callOnce sends a call with an idempotency key to one VM after another until it is done.
// The first sends may go to two VMs at once.
func (c *callers) callOnce(client *http.Client, vm int, id string, r *rand.Rand) string {
	known := result{id: id}
	raced := r.Float64() < raceChance
	if raced {
		var race sync.WaitGroup
		race.Go(func() { c.sendOnce(&http.Client{Timeout: patience}, vm+1, id) })
		defer race.Wait()
	}
	for attempt := range maxAttempts {
		known.last = c.sendOnce(client, vm+attempt, id).outcome
		if known.last == outcomeDone {
			known.done = true
			break
		}
	}
	if raced {
		// The other send may run after this one was told that none has.
		known.last = ""
	}
	c.keep(known)
	if known.done {
		return outcomeDone
	}
	return outcomeError
}

// sendOnce sends a call with an idempotency key to a VM, and adds it to the history.
func (c *callers) sendOnce(client *http.Client, vm int, id string) claimOutput {
	vm %= len(c.world.vms)
	began := time.Now()
	var out claimOutput
	res, err := c.post(client, vm, "/remind", "", id, "nine", map[string]string{headerKey: id})
	c.checkHeld(vm, id, began)
	if err == nil {
		defer res.Body.Close()
		if b, err := io.ReadAll(res.Body); err == nil {
			out = claimOutput{outcome: res.Header.Get(headerOutcome), body: string(b)}
		}
	}
	op := porcupine.Operation{ClientId: vm, Input: id, Output: out, Call: began.UnixNano(), Return: time.Now().UnixNano()}
	if out.outcome != outcomeDone && out.outcome != outcomeNotRun {
		// It may still run.
		op.Return = math.MaxInt64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims = append(c.claims, op)
	return out
}

// checkClaims checks the history of calls with idempotency keys.
func (c *callers) checkClaims() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ops := range partitionByKey(c.claims) {
		if porcupine.CheckOperationsTimeout(claimModel(), ops, historyTimeout) != porcupine.Ok {
			c.findings.add(ClaimHistory, ops[0].Input.(string), "%d sends have no order in which one ran and the others got its answer: %+v", len(ops), ops)
		}
	}
}
