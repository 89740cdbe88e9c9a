package gateway

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised tests, so that every run gives the same
// result. The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
