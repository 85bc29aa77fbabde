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

// answer writes the answer of a generation to a caller, as a stream of events or
// as one JSON document.
type answer struct {
	w        http.ResponseWriter
	caller   *serve.Caller
	streamed bool
	// mayHaveRun is set once an engine may have begun the request.
	mayHaveRun    bool
	headerWritten bool
	text          strings.Builder
	// position is the offset and checksum of the tokens written as events.
	position handle.Position
}

// summary is the "fold" field of the final event or of the document.
type summary struct {
	Outcome string `json:"outcome"`
	Tokens  int    `json:"tokens"`
	// CRC32C is the checksum of the complete text, in hexadecimal.
	CRC32C string `json:"crc32c"`
}

type finalChunk struct {
	engine.Chunk
	Summary summary `json:"fold"`
}

// writeTokens writes tokens as events and starts a new event whenever the text
// reaches maxEventText bytes. If the caller did not ask for events, it buffers
// the text for the document.
func (a *answer) writeTokens(signedHandle string, tokens []deliv.Token) {
	if !a.streamed {
		for _, t := range tokens {
			a.text.WriteString(t.Text)
		}
		return
	}
	a.writeHeader()
	var text strings.Builder
	for i, t := range tokens {
		text.WriteString(t.Text)
		a.position.Offset = t.Offset
		a.position.Sum = deliv.Checksum(a.position.Sum, t.Text)
		if text.Len() >= maxEventText || i == len(tokens)-1 {
			a.writeEvent(signedHandle, text.String())
			text.Reset()
		}
	}
	a.flush()
}

// maxEventText is the size of text, in bytes, at which an event is written.
const maxEventText = 8 << 10

func (a *answer) writeEvent(signedHandle, text string) {
	var buf bytes.Buffer
	a.appendMessage(&buf, handle.EventID(signedHandle, a.position), engine.Chunk{
		Object:  completionObject,
		Choices: []engine.Choice{{Text: text}},
	})
	a.w.Write(buf.Bytes())
}

func (a *answer) appendMessage(buf *bytes.Buffer, id string, v any) {
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

func (a *answer) writeHeader() {
	if a.headerWritten {
		return
	}
	a.headerWritten = true
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

// writeEnd writes the final event and the [DONE] marker, or the complete
// document if the caller did not ask for events.
func (a *answer) writeEnd(signedHandle string, p handle.Position, model string) {
	stop := "stop"
	chunk := finalChunk{
		Chunk: engine.Chunk{
			Object:  completionObject,
			Model:   model,
			Choices: []engine.Choice{{FinishReason: &stop}},
			Usage:   &engine.Usage{CompletionTokens: p.Offset},
		},
		Summary: summary{Outcome: retry.Done.String(), Tokens: p.Offset, CRC32C: formatChecksum(p.Sum)},
	}
	if !a.streamed {
		chunk.Choices[0].Text = a.text.String()
		a.writeDocument(chunk)
		return
	}
	a.writeHeader()
	var buf bytes.Buffer
	a.appendMessage(&buf, handle.EventID(signedHandle, p), chunk)
	done := &sse.Message{}
	done.AppendData("[DONE]")
	done.WriteTo(&buf)
	a.w.Write(buf.Bytes())
	a.flush()
}

func formatChecksum(sum uint32) string { return fmt.Sprintf("%08x", sum) }

func (a *answer) writeDocument(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	a.w.Write(b)
}

// writeInterrupted ends an answer of which a part was delivered. If the event
// stream has started, it writes a final error event and returns nil. Otherwise
// it returns the fault for the response.
func (a *answer) writeInterrupted(p handle.Position) *fault.Fault {
	f := &fault.Fault{
		Status:  http.StatusBadGateway,
		Code:    fault.Interrupted,
		Message: "the engine was lost after a part of the answer was delivered",
		Outcome: retry.Interrupted,
	}
	if !a.headerWritten {
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
