package member

import (
	"errors"
	"fmt"
	"slices"
	"unicode"
	"unicode/utf8"
)

// ErrText is returned for a text of a backend server that is empty, too long, or can't be
// sent in a message, a header or a log line.
var ErrText = errors.New("text is unusable")

// Limits of what a backend server says of itself.
const (
	// maxTextBytes bounds each text.
	maxTextBytes = 255
	maxAdapters  = 256
)

// CheckID returns an error, which wraps ErrText, for a text that can't be the ID of a
// backend server.
func CheckID(id string) error {
	if id == "" {
		return fmt.Errorf("id: %w: want at least one byte", ErrText)
	}
	return checkText("id", id)
}

// checkText returns an error unless a text is short and consists of printable UTF-8.
func checkText(field, text string) error {
	switch {
	case len(text) > maxTextBytes:
		return fmt.Errorf("%s: %w: want at most %d bytes", field, ErrText, maxTextBytes)
	case !utf8.ValidString(text):
		return fmt.Errorf("%s: %w: want UTF-8", field, ErrText)
	case slices.ContainsFunc([]rune(text), unicode.IsControl):
		return fmt.Errorf("%s: %w: want no control characters", field, ErrText)
	}
	return nil
}

// Check returns an error, which wraps ErrText, if a text of the backend server is unusable.
// Any writer may announce one, with any text.
func (b *Backend) Check() error {
	if err := CheckID(b.ID); err != nil {
		return err
	}
	for _, f := range []struct{ name, text string }{
		{"kind", b.Kind}, {"service", b.Service}, {"model", b.Model}, {"version", b.Version}, {"domain", b.Domain},
	} {
		if err := checkText(f.name, f.text); err != nil {
			return err
		}
	}
	if len(b.Adapters) > maxAdapters {
		return fmt.Errorf("adapters: %w: want at most %d", ErrText, maxAdapters)
	}
	for _, a := range b.Adapters {
		if err := checkText("adapters", a); err != nil {
			return err
		}
	}
	return nil
}
