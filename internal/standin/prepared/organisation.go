package prepared

import (
	"strconv"
	"strings"
)

// TokenUnit is the Unit of an organisation whose limit counts tokens.
const TokenUnit = "token_stream"

// Organisation is an organisation's entry in the platform's configuration.
type Organisation struct {
	Name    string
	ApiKeys []string //nolint:revive // the field's name in JSON
	// RatePerS and Burst are the limit of the organisation over all hosts, in units a second and units. A RatePerS of
	// 0 is no limit.
	RatePerS float64 `json:",omitempty"`
	Burst    float64 `json:",omitempty"`
	// Unit is TokenUnit, or empty if each request counts 1.
	Unit string `json:",omitempty"`
	// PlainTokens is what a request without the header X-Token-Count counts in tokens.
	PlainTokens int `json:",omitempty"`
}

// Units returns what a request counts against the limit of the organisation; tokenCount is its header
// X-Token-Count, empty if it has none. A figure that is no number counts nothing.
func (o *Organisation) Units(tokenCount string) int {
	switch {
	case o.Unit != TokenUnit:
		return 1
	case tokenCount == "":
		return o.PlainTokens
	}
	sum := 0
	for _, figure := range strings.SplitN(tokenCount, ",", 2) {
		n, _ := strconv.Atoi(strings.TrimSpace(figure)) // no target gets a request with a malformed header
		sum += n
	}
	return sum
}
