package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"fuchsiafold.example/fold/deliv"
	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/serve"
)

const completionObject = "text_completion"

// answer writes what a caller gets: events one by one, or one document.
type answer struct {
	w        http.ResponseWriter
	caller   *serve.Caller
	streamed bool
	// taken is set once an engine may have begun the request.
	taken   bool
	started bool
	text    strings.Builder
	// position is what the written events cover.
	position handle.Position
}

// summary is what the last event states.
type summary struct {
	Outcome string `json:"outcome"`
	Tokens  int    `json:"tokens"`
	// CRC32C is the checksum of the whole text, in hexadecimal.
	CRC32C string `json:"crc32c"`
}

type endChunk struct {
	engine.Chunk
	Summary summary `json:"fold"`
}

// tokens passes tokens on, an event for each piece of text that fits into one
// write.
func (a *answer) tokens(sealed string, tokens []deliv.Token) {
	if !a.streamed {
		for _, t := range tokens {
			a.text.WriteString(t.Text)
		}
		return
	}
	a.start()
	var text strings.Builder
	for i, t := range tokens {
		text.WriteString(t.Text)
		a.position.Offset = t.Offset
		a.position.Sum = deliv.Checksum(a.position.Sum, t.Text)
		if text.Len() >= maxEventText || i == len(tokens)-1 {
			a.event(sealed, text.String())
			text.Reset()
		}
	}
	a.flush()
}

// maxEventText bounds the text of one event in bytes.
const maxEventText = 8 << 10

func (a *answer) event(sealed, text string) {
	var buf bytes.Buffer
	a.message(&buf, handle.EventID(sealed, a.position), engine.Chunk{
		Object:  completionObject,
		Choices: []engine.Choice{{Text: text}},
	})
	a.w.Write(buf.Bytes())
}

func (a *answer) message(buf *bytes.Buffer, id string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	m := &sse.Message{}
	if id != "" {
		m.ID = sse.ID(id)
	}
	m.AppendData(string(data))
	m.WriteTo(buf)
}

func (a *answer) start() {
	if a.started {
		return
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) flush() {
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

// end writes the last event, or the whole document of a caller that did not
// ask for events.
func (a *answer) end(sealed string, p handle.Position, model string) {
	stop := "stop"
	chunk := endChunk{
		Chunk: engine.Chunk{
			Object:  completionObject,
			Model:   model,
			Choices: []engine.Choice{{FinishReason: &stop}},
			Usage:   &engine.Usage{CompletionTokens: p.Offset},
		},
		Summary: summary{Outcome: retry.Done.String(), Tokens: p.Offset, CRC32C: formatSum(p.Sum)},
	}
	if !a.streamed {
		chunk.Choices[0].Text = a.text.String()
		a.document(chunk)
		return
	}
	a.start()
	var buf bytes.Buffer
	a.message(&buf, handle.EventID(sealed, p), chunk)
	done := &sse.Message{}
	done.AppendData("[DONE]")
	done.WriteTo(&buf)
	a.w.Write(buf.Bytes())
	a.flush()
}

func formatSum(sum uint32) string { return fmt.Sprintf("%08x", sum) }

func (a *answer) document(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	a.w.Write(b)
}

// interrupt ends an answer of which a part was delivered. A caller that has
// events gets a final one; another gets the fault as its response.
func (a *answer) interrupt(p handle.Position) *fault.Fault {
	f := &fault.Fault{
		Status:  http.StatusBadGateway,
		Code:    fault.Interrupted,
		Message: "the engine was lost after a part of the answer was delivered",
		Outcome: retry.Interrupted,
	}
	if !a.started {
		return f
	}
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(f.Body(p.Offset)))
	var buf bytes.Buffer
	m.WriteTo(&buf)
	a.w.Write(buf.Bytes())
	a.flush()
	return nil
}
