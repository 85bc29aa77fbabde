package origin

import (
	"fmt"
	"io"

	"fuchsiafold.example/foldfake/meter"
)

// streamWriter writes a stream of events in chunks, or delimited by the end of the
// connection.
type streamWriter struct {
	w       io.Writer
	chunked bool
	// behaviour holds what the server says of itself.
	behaviour Behaviour
}

const leavingLine = meter.HeaderLeaving + ": 1\r\n"

// statements returns the header lines by which the server says something of itself.
func (b *Behaviour) statements() string {
	var lines string
	if b.rateLimit != "" {
		lines += meter.HeaderLimit + ": " + b.rateLimit + "\r\n"
	}
	if b.Leaving == Head {
		lines += leavingLine
	}
	if b.RetryAfter != "" {
		lines += "Retry-After: " + b.RetryAfter + "\r\n"
	}
	return lines
}

// informational returns the informational response before the response itself, or an empty
// string if there is none.
func (b *Behaviour) informational() string {
	if b.Leaving != Informational {
		return ""
	}
	return "HTTP/1.1 103 Early Hints\r\n" + leavingLine + "\r\n"
}

func (s streamWriter) writeHead(id string) error {
	transferEncoding := ""
	if s.chunked {
		transferEncoding = "Transfer-Encoding: chunked\r\n"
	}
	if s.behaviour.Leaving == Trailer {
		transferEncoding += "Trailer: " + meter.HeaderLeaving + "\r\n"
	}
	_, err := fmt.Fprintf(s.w, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\n%s\r\n", s.behaviour.informational(), headerRequestID, id, s.behaviour.statements(), transferEncoding)
	return err
}

func (s streamWriter) write(text string) error {
	if s.chunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(s.w, text)
	return err
}

// writeEnd writes the final chunk and the trailer.
func (s streamWriter) writeEnd() error {
	if !s.chunked {
		return nil
	}
	trailer := ""
	if s.behaviour.Leaving == Trailer {
		trailer = leavingLine
	}
	_, err := io.WriteString(s.w, "0\r\n"+trailer+"\r\n")
	return err
}
