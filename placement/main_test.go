package placement

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the randomised tests a fixed seed, so that every run has the same
// result. The flag -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
