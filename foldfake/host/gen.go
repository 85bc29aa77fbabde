package host

import (
	"fmt"
	"time"

	"fuchsiafold.example/foldfake/model"
)

// gen is one generation with the text that it has produced. The engine's lock
// guards it.
type gen struct {
	id    string
	model string
	// tokens holds the text by offset - 1.
	tokens   []string
	finished bool
	// preemptions counts how often the engine took it from its batch.
	preemptions int
	cancelled   bool
	readers     int
	// left is when the last reader went; it matters while readers is 0.
	left   time.Time
	window time.Duration
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newGen(id, model string, window time.Duration) *gen {
	return &gen{id: id, model: model, window: window, left: time.Now(), changed: make(chan struct{})}
}

// TokenText returns the text of a generation's token. It differs between
// generations, so that a mixed answer shows.
func TokenText(generation string, offset int) string {
	const shown = 6
	return fmt.Sprintf("%.*s.%d ", shown, generation, offset)
}

func (g *gen) add(t model.Token) {
	g.tokens = append(g.tokens, TokenText(g.id, len(g.tokens)+1))
	g.finished = g.finished || t.Last
	g.preemptions = t.Preemptions
	g.broadcast()
}

func (g *gen) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}
