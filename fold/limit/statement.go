// Package limit keeps the requests that all VMs together send to a backend server
// within the rate limit that the server names in its responses.
package limit

import (
	"regexp"
	"strconv"
)

// Rate is a number of requests a second.
type Rate float64

// Statement is what a response says of the rate limit of its server.
type Statement struct {
	// Named is set if the response names a limit, Rate.
	Named bool
	Rate  Rate
	// Invalid is set if the response names something that is no rate. It says
	// nothing then: the server still asks for a limit, but not for which.
	Invalid bool
}

// decimal matches a decimal number that is not negative, of a length that a server
// could mean.
var decimal = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,9})?$`)

// ParseStatement parses the values of the header field that names a limit.
func ParseStatement(values []string) Statement {
	if len(values) == 0 {
		return Statement{}
	}
	if len(values) > 1 || !decimal.MatchString(values[0]) {
		return Statement{Invalid: true}
	}
	rate, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return Statement{Invalid: true}
	}
	return Statement{Named: true, Rate: Rate(rate)}
}
