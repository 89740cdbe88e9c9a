// Package fixedseed gives randomised tests a fixed seed, so that a run has the
// same verdict every time. Test packages that use rapid import it for its
// effect; -rapid.seed on the command line goes first.
package fixedseed

import (
	"flag"

	// rapid registers the flag.
	_ "pgregory.net/rapid"
)

// seed is the seed of runs that name none.
const seed = "20260101"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
