// Package fixedseed sets a fixed seed for property-based tests, so that every run has the same
// result. Test packages that use rapid import it for its side effect; -rapid.seed on the command
// line takes precedence.
package fixedseed

import (
	"flag"

	// rapid registers the flag -rapid.seed.
	_ "pgregory.net/rapid"
)

// defaultSeed is used unless -rapid.seed is given.
const defaultSeed = "20260101"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
