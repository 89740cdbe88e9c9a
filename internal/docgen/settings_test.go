package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSettingsPage checks that docs/SETTINGS.md is up to date with the structs.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	want, err := settingsPage("../..")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	is.Equal(string(page), want) // run "make docs"
}

// TestEveryFieldIsDescribed checks that every field has a doc comment, that every number has a
// unit unless it is listed in unitless, and that the errors from the validation of empty settings
// (emptyErrors) name existing fields. The page marks the fields that they name as required.
func TestEveryFieldIsDescribed(t *testing.T) {
	is := is.New(t)
	source, err := readSources("../..", "settings", "contract", "operator", "target", "zone")
	is.NoErr(err)
	unitless := map[string]bool{"seed": true, "weight": true, "priority": true}
	for _, s := range sections() {
		all, err := source.fields(s.rootStruct, "")
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
		for path := range pathsOf(s.emptyErrors...) {
			if !contains(all, path) {
				t.Errorf("%s: the validation names %s, which is not a field", s.title, path)
			}
		}
	}
}

// contains reports whether all has a field with the path; the path of a list may lack its [].
func contains(all []fieldEntry, path string) bool {
	for _, f := range all {
		if f.path == path || f.path == path+"[]" {
			return true
		}
	}
	return false
}
