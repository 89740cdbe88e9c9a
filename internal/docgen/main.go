// Command docgen writes the pages of docs/ that are generated from texts in the code. Tests
// check that the pages are up to date.
package main

import (
	"fmt"
	"os"

	"zinniapin/event"
	"zinniapin/result"
)

// main writes every generated page. It must run in the root of the repository.
func main() {
	writePage("docs/RESULT-CODES.md", result.Page())
	writePage("docs/EVENTS.md", event.Page())
	page, err := settingsPage(".")
	if err != nil {
		exitWith(err)
	}
	writePage("docs/SETTINGS.md", page)
}

// exitWith prints an error and exits with status 1.
func exitWith(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// writePage writes one page and exits if it fails.
func writePage(path, content string) {
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		exitWith(err)
	}
}
