package pool

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// maxQuoted bounds what an error quotes of a malformed line, in bytes.
const maxQuoted = 60

// checkHead returns an error unless the head of a response, with its empty line, is one that
// HTTP allows. The standard library takes statuses such as 000 and +20, takes names with blanks for
// names of their own, and joins a line that begins with a blank to the line before: a response
// may be taken for an informational one, a line may be passed on that is no header field, and a
// field that states the length of the body may be overlooked.
func checkHead(head string) error {
	status, fields := nextLine(head)
	if !validStatusLine(status) {
		return eris.Errorf("invalid status line: %.*q", maxQuoted, status)
	}
	chunked := false
	for line, rest := nextLine(fields); line != ""; line, rest = nextLine(rest) {
		name, err := checkField(line)
		if err != nil {
			return err
		}
		chunked = chunked || strings.EqualFold(name, "Transfer-Encoding")
	}
	if chunked && strings.HasPrefix(status, "HTTP/1.0") {
		return eris.New("a transfer coding in a response of HTTP/1.0, which has none")
	}
	return nil
}

// validStatusLine reports whether a line is the status line of a response of HTTP/1 with a status
// from 100 to 599. Status 101 is excepted: no request asks to switch to another protocol.
func validStatusLine(line string) bool {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	return ok && isDigits(minor, 1) && isDigits(status, 3) && status >= "100" && status <= "599" && status != "101" && httpguts.ValidHeaderFieldValue(reason)
}

// isDigits reports whether s consists of n decimal digits.
func isDigits(s string, n int) bool {
	return len(s) == n && strings.Trim(s, "0123456789") == ""
}

// checkField returns the name of a header field, or an error unless the line is one. A field
// that is continued on a second line, which HTTP no longer allows, is none.
func checkField(line string) (name string, err error) {
	name, value, ok := strings.Cut(line, ":")
	switch {
	case !ok:
		return "", eris.Errorf("a line without a header field: %.*q", maxQuoted, line)
	case !httpguts.ValidHeaderFieldName(name):
		return "", eris.Errorf("invalid name of a header field: %.*q", maxQuoted, name)
	case !httpguts.ValidHeaderFieldValue(value):
		return "", eris.Errorf("invalid value of header field %.*q", maxQuoted, name)
	}
	return name, nil
}

// checkTrailer returns an error unless each name in the trailer of a response is valid.
func checkTrailer(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Errorf("invalid name of a trailer field: %.*q", maxQuoted, name)
		}
	}
	return nil
}

// nextLine returns the first line of text without its end, and what follows it.
func nextLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}
