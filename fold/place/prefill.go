package place

import "time"

const (
	// defaultPromptTokenTime is the time per token of a prompt that is assumed
	// before any was observed, for an engine that generates meanwhile.
	defaultPromptTokenTime = 130 * time.Microsecond
	// prefillPriorTokens is the weight of defaultPromptTokenTime, in tokens.
	prefillPriorTokens = 2000
	// ownPrefillPriorTokens is the weight, in tokens, of the mean of all engines in
	// the estimate for one engine.
	ownPrefillPriorTokens = 8000
	// promptMargin is the factor by which prompts are assumed to take longer than
	// observed: a first token that is late costs the caller more than one that
	// could have come sooner elsewhere.
	promptMargin = 1.2
)

// withPromptMargin returns d times promptMargin.
func withPromptMargin(d time.Duration) time.Duration {
	return time.Duration(promptMargin * float64(d))
}

// prefill is a prompt that an engine was sent and has not read yet.
type prefill struct {
	server string
	at     time.Time
	// tokens is the size of the prompt and of those that the engine had to read
	// before it.
	tokens int
}

// prefills holds the prompts of one VM by the ID of their run. Those of runs that
// end between two load reports stay in it until it is full.
type prefills map[uint64]prefill

// maxPrefills bounds the prompts of one VM that are remembered.
const maxPrefills = 1024

// begin adds a prompt. If there are too many, it drops the others.
func (f *prefills) begin(run uint64, x prefill) {
	if *f == nil || len(*f) >= maxPrefills {
		*f = prefills{}
	}
	(*f)[run] = x
}

// end removes a prompt and returns it, or the zero value if there is none.
func (f prefills) end(run uint64) prefill {
	x := f[run]
	delete(f, run)
	return x
}

// newPrefill describes the prompt of a request that is sent to a server.
func (p *Placer) newPrefill(now time.Time, server string, req Request) prefill {
	_, before := p.counts(now, server)
	return prefill{server: server, at: now, tokens: before + req.PromptTokens}
}

// observePrefill records that the prompt was read at the given time.
func (p *Placer) observePrefill(at time.Time, x prefill) {
	if x.tokens == 0 || !at.After(x.at) {
		return
	}
	paceOf(&p.prefillPaces, x.server).observe(at, x.tokens, at.Sub(x.at))
}

// observeFirstTokens records the prompts that were read according to the load
// report of another VM. The report is later than the first token by the time that
// the run took to generate what it has.
func (p *Placer) observeFirstTokens(now time.Time, id string, peer *peerLoad, l Load) {
	for _, r := range l.Runs {
		if r.Generated == 0 {
			continue
		}
		x := peer.prefills.end(r.ID)
		if x.server != id {
			continue
		}
		since := time.Duration(r.Generated) * paceAt(p.paces, id).estimate(defaultTokenTime, 0)
		p.observePrefill(now.Add(-since), x)
	}
}
