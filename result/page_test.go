package result

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestPageMatchesTable checks docs/RESULT-CODES.md against the table.
func TestPageMatchesTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/RESULT-CODES.md")
	is.NoErr(err)
	is.Equal(string(page), Page()) // run "make docs"
}
