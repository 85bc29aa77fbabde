package entry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
)

// survivingTokens is the number of tokens after which a generation's prompt counts as
// one that does not crash engines.
const survivingTokens = 16

// promptParts returns the parts of a prompt that other requests may have in common
// with it: its beginning, which prefix is the hash of, and the whole.
func promptParts(prompt, prefix string) []string {
	var parts []string
	if prefix != "" {
		parts = append(parts, "prefix:"+prefix)
	}
	return append(parts, "prompt:"+strconv.FormatUint(xxhash.Sum64String(prompt), 16))
}

// checkQuarantine returns a fault if the generation's prompt crashes engines.
func (g *generation) checkQuarantine() *fault.Fault {
	if q, ok := g.handler.Node.GenerationQuarantine(g.request.Model, g.parts); ok {
		return fault.FromQuarantine(q)
	}
	return nil
}

// recordProgress records, once, that the generation's prompt does not crash engines.
func (g *generation) recordProgress(e engine.Event) {
	if g.survived || !e.Ended && !e.Token.Last && e.Token.Offset < survivingTokens {
		return
	}
	g.survived = true
	g.handler.Node.PromptSurvived(g.parts)
}

// recordStartLoss records a start whose connection the engine closed without an
// answer as evidence against the prompt.
func (g *generation) recordStartLoss(backend string, sent bool, err error) {
	if sent && pool.ClosedByPeer(err) {
		g.recordLoss(backend, false)
	}
}

// recordEnd records a generation that was lost at its engine before it got far, unless
// the engine was only silent. step is the last one of the generation.
func (g *generation) recordEnd(backend string, step deliv.Step) {
	lost := step.Action == deliv.Restart || step.Action == deliv.Finish && step.Outcome == retry.Interrupted
	if lost && !g.silent && !g.survived {
		g.recordLoss(backend, true)
	}
}

func (g *generation) recordLoss(backend string, begun bool) {
	if b, ok := g.handler.Node.Backend(backend); ok {
		g.handler.Node.PromptLost(g.parts, b, begun)
	}
}
