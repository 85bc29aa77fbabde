// Package limit keeps the requests that all VMs together send to a backend server
// within the rate limit that the server names in its responses.
package limit

import (
	"errors"
	"regexp"
	"strconv"
	"strings"
)

// Rate is a number of requests a second.
type Rate float64

// Statement is what a response says of the rate limit of its server.
type Statement struct {
	// Named is set if the response names a limit, Rate.
	Named bool
	Rate  Rate
	// Invalid is set if the response names something that is no rate, Text. It says
	// nothing then: the server still asks for a limit, but not for which.
	Invalid bool
	Text    string
}

// maxRate bounds a limit. A server that names a higher one is not limited in practice.
const maxRate = 1e9

// decimal matches a decimal number that is not negative, of any number of digits.
var decimal = regexp.MustCompile(`^([0-9]+\.?[0-9]*|\.[0-9]+)$`)

// parseDecimal parses a decimal number that is not negative. One that is too large for a
// float64 is infinite.
func parseDecimal(text string) (float64, bool) {
	if !decimal.MatchString(text) {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil || errors.Is(err, strconv.ErrRange)
}

// ParseStatement parses the values of the header field that names a limit.
func ParseStatement(values []string) Statement {
	if len(values) == 0 {
		return Statement{}
	}
	rate, ok := parseDecimal(values[0])
	if len(values) > 1 || !ok {
		return Statement{Invalid: true, Text: strings.Join(values, ", ")}
	}
	return Statement{Named: true, Rate: Rate(min(rate, maxRate))}
}
