package event

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestPageMatchesCatalogue checks docs/EVENTS.md against the catalogue.
func TestPageMatchesCatalogue(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	is.NoErr(err)
	is.Equal(string(page), Page()) // run "make docs"
}
