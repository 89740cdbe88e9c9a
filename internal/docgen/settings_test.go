package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSettingsPage checks docs/SETTINGS.md against the structs.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	want, err := settingsPage("../..")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	is.Equal(string(page), want) // run "make docs"
}

// TestEveryFieldIsDescribed finds fields without a doc comment or, where they
// are numbers, without a unit.
func TestEveryFieldIsDescribed(t *testing.T) {
	is := is.New(t)
	source, err := readSources("../..", "settings", "contract", "operator", "target", "zone")
	is.NoErr(err)
	unitless := map[string]bool{"seed": true, "weight": true, "priority": true}
	for _, s := range sections() {
		all, err := source.fields(s.root, "")
		is.NoErr(err)
		for _, f := range all {
			if f.doc == "" {
				t.Errorf("%s %s has no doc comment", s.title, f.path)
			}
			last := f.path[strings.LastIndex(f.path, ".")+1:]
			number := f.kind == "integer" || f.kind == "number"
			if number && unitOf(f) == "" && !unitless[last] {
				t.Errorf("%s %s has no unit", s.title, f.path)
			}
		}
		for path := range pathsOf(s.missing...) {
			if !contains(all, path) {
				t.Errorf("%s: the check names %s, which is no field", s.title, path)
			}
		}
	}
}

// contains reports whether a path is a field; lists may be named without [].
func contains(all []field, path string) bool {
	for _, f := range all {
		if f.path == path || f.path == path+"[]" {
			return true
		}
	}
	return false
}
