package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFreedomsNameWhatExists checks that each row of docs/FREEDOMS.md names functions, switches and
// tests that exist.
func TestFreedomsNameWhatExists(t *testing.T) {
	is := is.New(t)
	rows, mistakes, err := checkFreedoms("../..")
	is.NoErr(err)
	is.True(len(rows) > 0)
	for _, mistake := range mistakes {
		t.Error(mistake)
	}
	open := 0
	for i := range rows {
		if len(rows[i].openColumns()) > 0 {
			open++
		}
	}
	t.Logf("%d rows, %d of them with an open cell", len(rows), open)
}

// TestFreedomWithAWrongNameIsFound checks that each kind of mistake in a row is found.
func TestFreedomWithAWrongNameIsFound(t *testing.T) {
	index, err := indexSymbols("../..")
	is.New(t).NoErr(err)
	good := "| target | is slow | `dispatch.Plan` | `prepared.Delay` | `dispatch.TestLargePromptsAreNotStarved` | drawn |"
	for _, c := range []struct{ name, old, replacement, mistake string }{
		{"sound row", "", "", ""},
		{"open cells", "`prepared.Delay`", "open (a remark)", ""},
		{"unknown owner", "| target |", "| passer-by |", "who"},
		{"missing package", "`dispatch.Plan`", "`dispach.Plan`", "no package dispach"},
		{"missing function", "`dispatch.Plan`", "`dispatch.Plann`", "declares no Plann"},
		{"stand-in as decision", "`dispatch.Plan`", "`prepared.Delay`", "no package of the product"},
		{"test as decision", "`dispatch.Plan`", "`dispatch.TestLargePromptsAreNotStarved`", "declares no TestLarge"},
		{"missing switch", "`prepared.Delay`", "`prepared.Delai`", "declares no Delai"},
		{"switch elsewhere", "`prepared.Delay`", "`dispatch.Plan`", "no stand-in"},
		{"missing test", "TestLargePromptsAreNotStarved", "TestLargePrompts", "declares no TestLargePrompts"},
		{"test of another package", "`dispatch.Test", "`forward.Test", "declares no TestLarge"},
		{"second name is wrong", "`dispatch.Plan`", "`dispatch.Plan`, `dispatch.Plann`", "declares no Plann"},
		{"no name", "`dispatch.Plan`", "dispatch", "neither a name"},
		{"empty cell", "`prepared.Delay`", "", "neither a name"},
		{"unknown mark", "| drawn |", "| perhaps |", "soak"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rows, err := parseFreedoms("| " + strings.Join(freedomColumns, " | ") + " |\n" + strings.Replace(good, c.old, c.replacement, 1))
			is.NoErr(err)
			is.Equal(len(rows), 1)
			mistakes := strings.Join(index.checkFreedom(&rows[0]), "; ")
			if c.mistake == "" {
				is.Equal(mistakes, "")
			}
			is.True(strings.Contains(mistakes, c.mistake))
		})
	}
	_, err = parseFreedoms("| target | is slow |")
	is.New(t).True(err != nil) // columns are missing
}
