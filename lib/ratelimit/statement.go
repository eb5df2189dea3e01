package ratelimit

import (
	"strconv"
	"strings"
)

const (
	// minPerSecond is used for lower rates, including zero. The server still gets a
	// request from time to time, whose response shows when the limit ends.
	minPerSecond = 0.1
	// maxPerSecond keeps intervals between requests representable.
	maxPerSecond = 1e6
)

// Statement is what one response of a backend server says about its limit.
type Statement struct {
	// Known is false if the response says nothing that can be used.
	Known bool
	// PerSecond is the limit in requests per second; zero means that the server has
	// none.
	PerSecond float64
}

// Parse parses the values of a header that holds the limit as a decimal number of
// requests per second. Without a header the server has no limit. Of several values
// the lowest one applies. Values that are not a number of at least zero are ignored.
func Parse(values []string) Statement {
	if len(values) == 0 {
		return Statement{Known: true}
	}
	var s Statement
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil && rate == 0 || !(rate >= 0) {
			continue
		}
		rate = min(max(rate, minPerSecond), maxPerSecond)
		if !s.Known || rate < s.PerSecond {
			s = Statement{Known: true, PerSecond: rate}
		}
	}
	return s
}
