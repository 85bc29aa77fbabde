package origin

import (
	"bytes"
	"fmt"
	"io"
)

// Endless names the part of a response that has no end.
type Endless string

// The parts.
const (
	EndlessStatusLine Endless = "status line"
	// EndlessZeros are bytes of zero in place of a head, and EndlessLines empty lines.
	EndlessZeros Endless = "zeros"
	EndlessLines Endless = "empty lines"
	// EndlessField is a header field with an endless value, EndlessFields a header of
	// endless fields, and EndlessInformational a response of status 100 after the other.
	EndlessField         Endless = "header field"
	EndlessFields        Endless = "header fields"
	EndlessInformational Endless = "informational responses"
	// EndlessBody is a body without a length, EndlessChunks one in chunks and
	// EndlessError one in chunks with status 500.
	EndlessBody      Endless = "body"
	EndlessChunks    Endless = "chunks"
	EndlessError     Endless = "body of an error"
	EndlessChunkLine Endless = "chunk line"
	EndlessTrailer   Endless = "trailer"
	// EndlessEvent is a stream with an event that never ends.
	EndlessEvent Endless = "event"
	// EndlessForeign is a body of a response to another request, in chunks, and
	// EndlessFolds a header field that is continued on further lines.
	EndlessForeign Endless = "response to another request"
	EndlessFolds   Endless = "folded lines"
)

// EndlessParts lists all parts.
func EndlessParts() []Endless {
	return []Endless{
		EndlessStatusLine, EndlessZeros, EndlessLines, EndlessFolds, EndlessForeign, EndlessField, EndlessFields, EndlessInformational,
		EndlessBody, EndlessChunks, EndlessError, EndlessChunkLine, EndlessTrailer, EndlessEvent,
	}
}

// fillerSize is the size in bytes of what is written at once.
const fillerSize = 16 << 10

// writeEndless writes a response with an endless part until the connection is closed.
func writeEndless(w io.Writer, id string, part Endless) {
	start := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", headerRequestID, id)
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n"
	plain := bytes.Repeat([]byte("x"), fillerSize)
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(plain), plain)
	fields := bytes.Repeat([]byte("X-Filler: yyyyyyyy\r\n"), fillerSize/20)
	switch part {
	case EndlessStatusLine:
		repeat(w, "HTTP/1.1 200 ", plain)
	case EndlessZeros:
		repeat(w, "", make([]byte, fillerSize))
	case EndlessLines:
		repeat(w, "", bytes.Repeat([]byte("\r\n"), fillerSize/2))
	case EndlessFolds:
		repeat(w, start+"X-Filler: x\r\n", bytes.Repeat([]byte(" x\r\n"), fillerSize/4))
	case EndlessForeign:
		repeat(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: another\r\nTransfer-Encoding: chunked\r\n\r\n", headerRequestID), chunk)
	case EndlessField:
		repeat(w, start+"X-Filler: ", plain)
	case EndlessFields:
		repeat(w, start, fields)
	case EndlessInformational:
		repeat(w, "", bytes.Repeat([]byte("HTTP/1.1 100 Continue\r\n\r\n"), fillerSize/25))
	case EndlessBody:
		repeat(w, start+"\r\n", plain)
	case EndlessChunks:
		repeat(w, chunked, chunk)
	case EndlessError:
		repeat(w, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", headerRequestID, id), chunk)
	case EndlessChunkLine:
		repeat(w, chunked+"1;", plain)
	case EndlessTrailer:
		repeat(w, chunked+"1\r\nx\r\n0\r\n", fields)
	case EndlessEvent:
		repeat(w, chunked+"8\r\ndata: x\n\r\n", fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(plain)+1, plain))
	}
}

// repeat writes start, and then filler until the connection is closed.
func repeat(w io.Writer, start string, filler []byte) {
	_, err := io.WriteString(w, start)
	for err == nil {
		_, err = w.Write(filler)
	}
}
