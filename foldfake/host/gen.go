package host

import (
	"fmt"
	"time"

	"fuchsiafold.example/foldfake/model"
)

// generation is one generation and the text that it has produced so far. The
// engine's mu guards its mutable fields.
type generation struct {
	// id is the request ID of the generation.
	id    string
	model string
	// tokens holds the text of each token. The token at offset n, counted from 1,
	// is tokens[n-1].
	tokens   []string
	finished bool
	// preemptions is how often the engine has preempted the generation.
	preemptions int
	// removed is set once the engine has removed the generation.
	removed bool
	// readers counts the connections that read the generation.
	readers int
	// idleSince is when the last reader disconnected. It is only used while
	// readers is 0.
	idleSince time.Time
	// resumeWindow is how long the generation is kept without a reader.
	resumeWindow time.Duration
	// changed is closed and replaced at each change, to wake the readers.
	changed chan struct{}
	// crashes is set if the engine crashes when the first token is due.
	crashes bool
}

func newGeneration(id, model string, window time.Duration) *generation {
	return &generation{id: id, model: model, resumeWindow: window, idleSince: time.Now(), changed: make(chan struct{})}
}

// TokenText returns the text of the token at an offset of a generation. It starts
// with the first bytes of the generation's ID, so that a test detects an answer
// that mixes tokens of different generations.
func TokenText(id string, offset int) string {
	const idLen = 6
	return fmt.Sprintf("%.*s.%d ", idLen, id, offset)
}

// addToken appends the text of a token and wakes the readers.
func (g *generation) addToken(t model.Token) {
	g.tokens = append(g.tokens, TokenText(g.id, len(g.tokens)+1))
	g.finished = g.finished || t.Last
	g.preemptions = t.Preemptions
	g.notifyReaders()
}

// notifyReaders wakes the readers that wait for a change.
func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}
